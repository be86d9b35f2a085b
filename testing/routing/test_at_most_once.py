"""Requests run at most once and their reported outcomes are correct.

Failures are injected from a seed. The outcomes that callers got are
compared with the calls that the fake executors recorded.
"""

from __future__ import annotations

import asyncio
import collections
import random

import pytest
from returns import result

from knapweedwharf import errors
from knapweedwharf.routing import at_most_once
from knapweedwharf.routing import claim as claim_module
from knapweedwharf.routing import dispatch
from testing.routing import fakes

SEEDS = range(60)
FAULTS = ["ran"] * 5 + ["refused", "unsent", "cut before", "cut after"]
KEYS = 6
CALLS_PER_KEY = 5


class _Simulation:
    """Sends repeated keys through two nodes while calls fail at random.

    :ivar reported: outcomes that callers got, by key.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.store = fakes.Store(random.Random(seed + 1))
        self.executor = fakes.Executor(
            *self._random.choices(FAULTS, k=KEYS * CALLS_PER_KEY)
        )
        self.reported: dict[str, list[str]] = collections.defaultdict(list)
        self.nodes = [
            fakes.Node(self.executor, self.store, seed=n) for n in (1, 2)
        ]

    async def call(self, node: fakes.Node, key: str) -> None:
        """Send a request once; some are cancelled, as if the node died.

        A cancelled request reports no outcome.
        """
        request = fakes.make_request(
            fakes.BOOKING, key=key, body=key.encode(), timeout_s=0.5
        )
        task = asyncio.create_task(node.at_most_once.run(request))
        if self._random.random() < 0.2:
            await asyncio.sleep(self._random.choice([0, 0.001, 0.003]))
            task.cancel()
        await asyncio.wait([task])
        if task.cancelled():
            return
        outcome = task.result()
        self.reported[key].append(dispatch.outcome_label(outcome))
        if isinstance(outcome, result.Success):
            assert outcome.unwrap().body == b"answer to " + key.encode()

    async def run(self) -> None:
        """Send every key several times, up to four requests at once."""
        keys = [f"key-{n}" for n in range(KEYS)] * CALLS_PER_KEY
        self._random.shuffle(keys)
        while keys:
            together = [keys.pop() for _n in range(min(4, len(keys)))]
            calls = [
                self.call(self._random.choice(self.nodes), key)
                for key in together
            ]
            await asyncio.gather(*calls)
        for node in self.nodes:
            await node.at_most_once.close()


@pytest.fixture(scope="module")
def simulations() -> list[_Simulation]:
    """Run all seeds concurrently, since they mostly wait."""

    async def run_all() -> list[_Simulation]:
        all_seeds = [_Simulation(seed) for seed in SEEDS]
        await asyncio.gather(*(one.run() for one in all_seeds))
        return all_seeds

    return asyncio.run(run_all())


@pytest.mark.parametrize("seed", SEEDS)
def test_a_key_runs_at_most_once(
    simulations: list[_Simulation], seed: int
) -> None:
    simulation = simulations[seed]
    ran = collections.Counter(
        c.request_id for c in simulation.executor.executed
    )
    assert all(count <= 1 for count in ran.values()), ran
    for key, words in simulation.reported.items():
        if dispatch.RAN in words:
            assert ran[key] == 1
        refused = words.count(dispatch.DID_NOT_RUN)
        assert ran[key] <= CALLS_PER_KEY - refused


@pytest.mark.parametrize("seed", SEEDS)
def test_a_refused_call_ran_nothing(seed: int) -> None:
    async def check() -> None:
        generator = random.Random(seed)
        executor = fakes.Executor(*generator.choices(FAULTS, k=60))
        node = fakes.Node(executor, fakes.Store(generator), executors=3)
        for number in range(20):
            service = generator.choice([fakes.BOOKING, fakes.CHECK])
            before = len(executor.executed)
            request = fakes.make_request(
                service, key=f"key-{number}", timeout_s=0.2
            )
            run = (
                node.at_most_once if service is fakes.BOOKING else node.runner
            )
            word = dispatch.outcome_label(await run.run(request))
            ran = len(executor.executed) - before
            assert not (word == dispatch.DID_NOT_RUN and ran)
            assert not (word == dispatch.RAN and not ran)
        await node.at_most_once.close()

    asyncio.run(check())


def _run(node: fakes.Node, *requests) -> list:
    async def gather() -> list:
        return await asyncio.gather(
            *(node.at_most_once.run(r) for r in requests)
        )

    return asyncio.run(gather())


def test_the_same_key_on_two_nodes_at_once() -> None:
    async def check() -> None:
        executor = fakes.Executor()
        executor.delay_s = 0.05
        store = fakes.Store()
        nodes = [fakes.Node(executor, store, seed=n) for n in (1, 2)]
        answers = await asyncio.gather(
            *(
                node.at_most_once.run(fakes.make_request(fakes.BOOKING))
                for node in nodes
            )
        )
        assert len(executor.executed) == 1
        assert [a.unwrap().body for a in answers] == [b"answer to body"] * 2

    asyncio.run(check())


def test_refused_key_may_run_later() -> None:
    executor = fakes.Executor("refused", "refused", "refused")
    node = fakes.Node(executor)

    async def check() -> None:
        first = await node.at_most_once.run(fakes.make_request(fakes.BOOKING))
        assert isinstance(first.failure(), errors.DidNotRun)
        second = await node.at_most_once.run(fakes.make_request(fakes.BOOKING))
        assert second.unwrap().status == 200
        third = await node.at_most_once.run(fakes.make_request(fakes.BOOKING))
        assert third.unwrap().body == second.unwrap().body

    asyncio.run(check())
    assert len(executor.executed) == 1


def test_reused_key_with_another_body_is_refused() -> None:
    executor = fakes.Executor()
    node = fakes.Node(executor)
    first, second = (
        fakes.make_request(fakes.BOOKING, body=body)
        for body in (b"one", b"two")
    )
    outcomes = _run(node, first, second)
    assert outcomes[0].unwrap().status == 200
    assert isinstance(outcomes[1].failure(), errors.Conflict)
    assert len(executor.executed) == 1


def test_outage_refuses_and_sends_nothing() -> None:
    executor = fakes.Executor()
    store = fakes.Store()
    store.outage = True
    outcome = _run(
        fakes.Node(executor, store), fakes.make_request(fakes.BOOKING)
    )[0]
    assert isinstance(outcome.failure(), errors.DidNotRun)
    assert not executor.arrivals


def test_lost_answer_to_the_claim_is_read_back() -> None:
    executor = fakes.Executor()
    store = fakes.Store()
    store.lost_answers = 1
    outcome = _run(
        fakes.Node(executor, store), fakes.make_request(fakes.BOOKING)
    )[0]
    assert outcome.unwrap().status == 200
    assert len(executor.executed) == 1


def test_claim_of_a_dead_node_stays_unknown() -> None:
    async def check() -> None:
        executor = fakes.Executor()
        executor.delay_s = 10.0
        store = fakes.Store()
        nodes = [fakes.Node(executor, store, seed=n) for n in (1, 2)]
        dying = asyncio.create_task(
            nodes[0].at_most_once.run(fakes.make_request(fakes.BOOKING))
        )
        while not executor.executed:
            await asyncio.sleep(0)
        dying.cancel()
        executor.delay_s = 0.0
        again = await nodes[1].at_most_once.run(
            fakes.make_request(fakes.BOOKING, timeout_s=0.2)
        )
        assert isinstance(again.failure(), errors.OutcomeUnknown)
        assert len(executor.executed) == 1

    asyncio.run(check())


def test_outcome_is_written_after_an_outage() -> None:
    async def check() -> None:
        executor = fakes.Executor()
        executor.delay_s = 0.05
        store = fakes.Store()
        node = fakes.Node(executor, store)
        task = asyncio.create_task(
            node.at_most_once.run(fakes.make_request(fakes.BOOKING))
        )
        while not executor.executed:
            await asyncio.sleep(0)
        store.outage = True
        assert (await task).unwrap().status == 200
        assert node.at_most_once.unsettled == 1
        store.outage = False
        while node.at_most_once.unsettled:
            await asyncio.sleep(0.01)
        key = claim_module.key_of("counter", "key")
        kept = claim_module.decode(store.entries[key])
        assert (
            at_most_once.outcome_from_claim(kept).unwrap().body
            == b"answer to body"
        )

    asyncio.run(check())


def test_an_hour_of_claims_takes_one_lease() -> None:
    store = fakes.Store()
    node = fakes.Node(fakes.Executor(), store)
    _run(
        node,
        *(fakes.make_request(fakes.BOOKING, key=f"k{n}") for n in range(20)),
    )
    assert store.grants == 1


def test_attempt_that_may_have_run_is_never_reported_as_not_run() -> None:
    executor = fakes.Executor("cut after", "refused", "refused", "refused")
    node = fakes.Node(executor, executors=3)

    async def check() -> None:
        outcome = await node.runner.run(fakes.make_request(fakes.CHECK))
        assert isinstance(outcome.failure(), errors.OutcomeUnknown)

    asyncio.run(check())
