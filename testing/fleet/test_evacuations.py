"""Which requests to evacuate a data centre are in force."""

from __future__ import annotations

import asyncio

from knapweedwharf.fleet import clock
from knapweedwharf.fleet import confirmation
from knapweedwharf.fleet import evacuations as evacuations_module
from knapweedwharf.fleet import model
from testing.fleet import entries

EVACUATION_S = 6.0
MAX_AGE_S = confirmation.MAX_AGE_SHARE * EVACUATION_S


class _Scene:
    """Evacuations, and how often they told of a change."""

    def __init__(self, *, evacuation_s: float = EVACUATION_S) -> None:
        self.age_s = 0.0
        self.changes = 0
        self.evacuations = evacuations_module.Evacuations(
            store_schema=entries.STORE_SCHEMA,
            evacuation_s=evacuation_s,
            age_s=lambda: self.age_s,
        )
        self.evacuations.subscribe(self.changed)

    def changed(self) -> None:
        self.changes += 1

    def apply(self, *events: model.Item | model.Removal) -> None:
        self.evacuations.apply_changes(model.Changes(events, 99))

    def list(self, *items: model.Item, revision: int) -> None:
        self.evacuations.apply_listing(model.Listing(items, revision))


def _key(data_centre: str) -> str:
    return entries.EVACUATIONS + data_centre


def _request(data_centre: str, revision: int) -> model.Item:
    return model.Item(_key(data_centre), b"{}", revision)


def _removal(data_centre: str, revision: int) -> model.Removal:
    return model.Removal(_key(data_centre), revision)


def test_changes_of_one_answer_are_taken_in_their_order():
    scene = _Scene()
    scene.apply(_request("a", 2), _removal("a", 3), _request("b", 4))
    assert scene.evacuations.in_force == {"b": 4}
    scene.apply(_removal("b", 5), _request("b", 6))
    assert scene.evacuations.in_force == {"b": 6}


def test_an_older_change_does_not_count():
    scene = _Scene()
    scene.apply(_request("a", 5))
    scene.apply(_removal("a", 4))
    assert scene.evacuations.in_force == {"a": 5}
    scene.apply(_removal("a", 6))
    scene.apply(_request("a", 5))
    assert not scene.evacuations.in_force


def test_changes_without_a_revision_count_as_they_come():
    scene = _Scene()
    scene.apply(_request("a", 5), _removal("a", 0))
    assert not scene.evacuations.in_force
    scene.apply(_request("a", 0))
    assert scene.evacuations.in_force == {"a": 0}


def test_a_listing_lifts_what_it_lacks():
    scene = _Scene()
    scene.apply(_request("a", 2), _request("b", 3))
    scene.list(_request("b", 3), _request("c", 8), revision=9)
    assert scene.evacuations.in_force == {"b": 3, "c": 8}
    scene.list(revision=9)
    assert not scene.evacuations.in_force


def test_a_listing_from_before_a_request_does_not_lift_it():
    scene = _Scene()
    scene.apply(_request("a", 7))
    scene.list(revision=5)
    assert scene.evacuations.in_force == {"a": 7}
    scene.list(revision=7)
    assert not scene.evacuations.in_force


def test_only_what_changes_is_passed_on():
    scene = _Scene()
    scene.apply(_request("a", 2))
    scene.apply(_request("a", 3))
    scene.list(_request("a", 3), revision=4)
    scene.apply(_removal("b", 5))
    assert scene.changes == 1
    scene.apply(_removal("a", 6))
    assert scene.changes == 2
    scene.evacuations.unsubscribe(scene.changed)
    scene.evacuations.unsubscribe(scene.changed)
    scene.apply(_request("a", 7))
    assert scene.changes == 2


def test_an_error_of_a_subscriber_keeps_no_other_from_the_change():
    scene = _Scene()
    told = []

    def fail() -> None:
        raise ValueError("broken")

    scene.evacuations.unsubscribe(scene.changed)
    scene.evacuations.subscribe(fail)
    scene.evacuations.subscribe(lambda: told.append(True))
    scene.apply(_request("a", 2))
    assert told == [True]


def test_an_executor_without_a_data_centre_may_be_in_an_evacuated_one():
    scene = _Scene()
    assert not scene.evacuations.forbids("")
    scene.apply(_request("a", 2))
    assert scene.evacuations.forbids("")
    assert scene.evacuations.forbids("a")
    assert not scene.evacuations.forbids("b")


def test_requests_that_are_too_old_are_waited_for(monkeypatch):
    monkeypatch.setattr(clock, "elapsed_s", lambda: 0.0)

    async def main() -> None:
        scene = _Scene()
        scene.age_s = MAX_AGE_S
        assert not await scene.evacuations.until_confirmed()
        scene.age_s = MAX_AGE_S + 0.1
        waiting = asyncio.create_task(scene.evacuations.until_confirmed())
        await asyncio.sleep(3 * confirmation.STALE_POLL_S)
        assert not waiting.done()
        scene.age_s = 0.0
        assert await waiting

    asyncio.run(main())


def test_without_a_limit_nothing_is_waited_for():
    async def main() -> None:
        scene = _Scene(evacuation_s=0.0)
        scene.age_s = float("inf")
        assert not await scene.evacuations.until_confirmed()

    asyncio.run(main())
