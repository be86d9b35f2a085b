"""Who becomes the owner, and for how long."""

from __future__ import annotations

import asyncio
import random

import pytest

from knapweedwharf.fleet import clock
from knapweedwharf.fleet import election as election_module
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records
from testing.fleet import candidates

ABLE = candidates.ABLE
SLOW_LINK = candidates.SLOW_LINK
SLOW_CORE = candidates.SLOW_CORE
WEAKEST = candidates.WEAKEST
BOUNDS = model.TimeLimits()
run = candidates.run


@pytest.mark.parametrize("less", [SLOW_LINK, SLOW_CORE, WEAKEST])
@pytest.mark.parametrize("seed", range(4))
def test_the_ablest_candidate_takes_over(monkeypatch, less, seed):
    async def main(fleet):
        first = await fleet.add(f"first-{seed}")
        assert await fleet.until_owner(within_s=1.0) is first
        for number in range(8):
            await fleet.add(f"less-{seed}-{number}", less)
        able = await fleet.add(f"able-{seed}")
        await asyncio.sleep(1.0)
        await first.election.resign()
        owner = await fleet.until_owner(within_s=BOUNDS.owner_lease_s)
        assert owner is able

    run(main, monkeypatch)


@pytest.mark.parametrize("what", ["absent", "refused", "silent"])
def test_the_weakest_take_over_in_time_without_the_able(monkeypatch, what):
    """Half of the allowed time remains for the records and the seals."""

    async def main(fleet):
        first = await fleet.add("first")
        assert await fleet.until_owner(within_s=1.0) is first
        for number in range(5):
            await fleet.add(f"weak-{number}", WEAKEST)
        if what != "absent":
            able = await fleet.add("able")
            await asyncio.sleep(1.0)
            setattr(able.store.path, what, True)
        await asyncio.sleep(1.0)
        await first.election.resign()
        allowed_s = BOUNDS.owner_lease_s * (1 - election_module.LEASE_SHARE)
        owner = await fleet.until_owner(within_s=allowed_s / 2)
        assert owner.election.ownership.epoch == 2

    run(main, monkeypatch)


@pytest.mark.parametrize("after_s", [0.0, 0.5, 1.0, 2.0])
def test_a_lost_owner_is_replaced_in_time_though_watches_are_silent(
    monkeypatch, after_s
):
    async def main(fleet):
        first = await fleet.add("first")
        assert await fleet.until_owner(within_s=1.0) is first
        for number in range(3):
            await fleet.add(f"other-{number}")
        await asyncio.sleep(0.5 + after_s)
        for one in fleet.candidates:
            one.store.path.mute_open_connections()
        first.store.path.refused = True
        await first.election.close()
        await fleet.until_owner(within_s=BOUNDS.owner_lease_s)

    run(main, monkeypatch)


def test_a_candidate_that_sees_an_owner_does_not_compete(monkeypatch):
    async def main(fleet):
        slow = [await fleet.add(f"slow-{n}", WEAKEST) for n in range(8)]
        able = await fleet.add("able")
        assert await fleet.until_owner(within_s=1.0) is able
        await asyncio.sleep(1.0)
        assert len(fleet.state.leases) == 1
        assert not any(one.store.grants for one in slow)

    run(main, monkeypatch)


def test_a_candidate_whose_lease_ended_before_it_won_tries_again(monkeypatch):
    async def main(fleet):
        candidate = await fleet.add("candidate")
        commit = candidate.store.commit

        async def commit_late(what, **options):
            monkeypatch.setattr(candidate.store, "commit", commit)
            asyncio.get_running_loop().block(2.0)
            return await commit(what, **options)

        monkeypatch.setattr(candidate.store, "commit", commit_late)
        assert await fleet.until_owner(within_s=5.0) is candidate

    run(main, monkeypatch)


@pytest.mark.parametrize("late_s", [0.3, 0.6, 1.0])
def test_late_answers_extend_the_ownership(monkeypatch, late_s):
    async def main(fleet):
        owner = await fleet.add("owner")
        await fleet.until_owner(within_s=1.0)
        await fleet.add("other")
        await asyncio.sleep(1.0)
        owner.store.late_s = late_s
        for _check in range(1000):
            await asyncio.sleep(0.01)
            assert fleet.owner() in (owner, None)
        assert not owner.lost
        assert owner.is_owner

    run(main, monkeypatch)


@pytest.mark.parametrize("what", ["lost_requests", "lost_answers"])
@pytest.mark.parametrize("count", [1, 2, 3])
def test_lost_renewals_do_not_end_the_ownership(monkeypatch, what, count):
    async def main(fleet):
        owner = await fleet.add("owner")
        await fleet.until_owner(within_s=1.0)
        await fleet.add("other")
        await asyncio.sleep(1.0)
        setattr(owner.store, what, count)
        for _check in range(500):
            await asyncio.sleep(0.01)
            assert owner.is_owner
        assert not owner.lost

    run(main, monkeypatch)


@pytest.mark.parametrize("blocked_s", [0.1, 0.2])
def test_a_busy_event_loop_does_not_end_the_ownership(monkeypatch, blocked_s):
    """Every turn of the loop takes long, several times in a row."""

    async def main(fleet):
        owner = await fleet.add("owner")
        await fleet.until_owner(within_s=1.0)
        await fleet.add("other")
        await asyncio.sleep(1.0)
        for _turn in range(8):
            asyncio.get_running_loop().block(blocked_s)
            assert owner.is_owner
            await asyncio.sleep(0.0)
            assert owner.is_owner
        await asyncio.sleep(1.0)
        assert not owner.lost
        assert owner.election.ownership.epoch == 1

    run(main, monkeypatch)


@pytest.mark.parametrize(
    ["blocked_s", "pause_s", "turns"],
    [(0.4, 0.0, 8), (0.6, 0.02, 8), (0.8, 0.02, 8), (1.1, 0.0, 1)],
)
def test_an_ownership_in_doubt_goes_on_if_its_lease_survived(
    monkeypatch, blocked_s, pause_s, turns
):
    """Answers are late and the event loop is busy; orders wait."""

    async def main(fleet):
        owner = await fleet.add("owner")
        await fleet.until_owner(within_s=1.0)
        await fleet.add("other")
        await asyncio.sleep(1.0)
        owner.store.late_s = 0.3
        waiting = []
        for _turn in range(turns):
            asyncio.get_running_loop().block(blocked_s)
            waiting.append(asyncio.create_task(owner.election.may_order()))
            await asyncio.sleep(pause_s)
        assert all(await asyncio.gather(*waiting))
        await asyncio.sleep(1.0)
        assert owner.is_owner
        assert not owner.lost
        assert owner.election.ownership.epoch == 1

    run(main, monkeypatch)


def test_an_ownership_in_doubt_ends_with_its_lease(monkeypatch):
    async def main(fleet):
        owner = await fleet.add("owner")
        await fleet.until_owner(within_s=1.0)
        other = await fleet.add("other")
        await asyncio.sleep(1.0)
        owner.store.lost_requests = 6
        await asyncio.sleep(1.4)
        assert not owner.is_owner
        waiting = asyncio.create_task(owner.election.may_order())
        assert await fleet.until_owner(within_s=1.0) is other
        assert not await waiting
        assert owner.lost == ["lease-ended"]

    run(main, monkeypatch)


def test_an_ownership_is_not_in_doubt_for_ever(monkeypatch):
    async def main(fleet):
        owner = await fleet.add("owner")
        await fleet.until_owner(within_s=1.0)
        owner.store.path.silent = True
        owner.store.lost_requests = 1000
        await asyncio.sleep(BOUNDS.owner_lease_s)
        assert not owner.is_owner
        await asyncio.sleep(BOUNDS.owner_lease_s)
        assert owner.lost == ["lease-not-renewed"]
        assert not await owner.election.may_order()

    run(main, monkeypatch)


@pytest.mark.parametrize("seed", range(20))
def test_only_the_holder_of_a_living_lease_is_the_owner(monkeypatch, seed):
    """Renewals are lost or late, paths fail and the event loop is busy."""

    async def disturb(fleet, chance: random.Random) -> None:
        one = chance.choice(fleet.candidates)
        match chance.randrange(6):
            case 0:
                one.store.lost_requests = chance.randrange(6)
            case 1:
                one.store.lost_answers = chance.randrange(6)
            case 2:
                one.store.late_s = chance.uniform(0.0, 2.0)
            case 3:
                one.store.late_s = 0.0
            case 4:
                one.store.path.silent = chance.random() < 0.5
            case 5:
                asyncio.get_running_loop().block(chance.uniform(0.0, 2.0))

    async def main(fleet):
        chance = random.Random(seed)
        for number in range(4):
            await fleet.add(f"vm-{number}", chance.choice([ABLE, WEAKEST]))
        owned = 0
        for _step in range(4000):
            if chance.random() < 0.05:
                await disturb(fleet, chance)
            await asyncio.sleep(0.01)
            await fleet.state.expire()
            owner = fleet.owner()
            if owner is None:
                continue
            owned += 1
            item = fleet.state.items[records.OWNER_KEY]
            assert item.revision == owner.election.ownership.revision
        assert owned

    run(main, monkeypatch)


def test_an_owner_that_gave_up_leaves_a_pause_before_the_next_epoch(
    monkeypatch,
):
    """An order that is fenced each time must not cost an epoch each turn."""

    async def main(fleet):
        owner = await fleet.add("owner")
        await fleet.until_owner(within_s=1.0)
        began_s = clock.elapsed_s()
        while clock.elapsed_s() - began_s < 3.0:
            owner.election.give_up("fenced-by-executor")
            await fleet.until_owner(within_s=1.0)
        periods = 3.0 / BOUNDS.owner_lease_s * 2
        epochs = periods * election_module.RENEWALS_PER_LEASE
        assert owner.election.ownership.epoch <= 1 + epochs

    run(main, monkeypatch)


@pytest.mark.parametrize("compacts", [False, True])
@pytest.mark.parametrize("resigns", [True, False])
def test_a_candidate_that_missed_a_whole_ownership_competes_again(
    monkeypatch, resigns, compacts
):
    """One answer of the watch told of a removal, a write and a removal."""

    async def main(fleet):
        alone = await fleet.add("alone")
        assert await fleet.until_owner(within_s=1.0) is alone
        alone.store.path.silent, alone.store.lost_requests = True, 1000
        other = await fleet.add("other")
        async with asyncio.timeout(10.0):
            while not other.is_owner:
                await asyncio.sleep(0.01)
        if resigns:
            await other.election.resign()
        other.store.path.refused, other.store.lost_requests = True, 1000
        await asyncio.sleep(3.0)
        if compacts:
            fleet.state.compact_history()
        alone.store.path.silent, alone.store.lost_requests = False, 0
        owner = await fleet.until_owner(within_s=10.0)
        assert owner is alone

    run(main, monkeypatch)


def test_an_answer_later_than_the_lease_leaves_no_owner_that_is_gone(
    monkeypatch,
):
    """The removal of the own key had been seen before the answer."""

    async def main(fleet):
        alone = await fleet.add("alone")
        alone.store.late_commit_s = 6.0
        async with asyncio.timeout(20.0):
            while not alone.lost:
                await asyncio.sleep(0.01)
        alone.store.late_commit_s = 0.0
        assert await fleet.until_owner(within_s=3.0) is alone

    run(main, monkeypatch)


def test_a_removal_that_the_watch_left_out_is_found_by_reading(monkeypatch):
    """No event leads out of the wait for the owner's key to go."""

    async def main(fleet):
        first = await fleet.add("first")
        assert await fleet.until_owner(within_s=1.0) is first
        other = await fleet.add("other")
        await asyncio.sleep(1.0)
        other.store.hidden_removals = 1
        await first.election.resign()
        owner = await fleet.until_owner(
            within_s=2 * election_module.CHECK_INTERVAL_S
        )
        assert owner is other

    run(main, monkeypatch)
