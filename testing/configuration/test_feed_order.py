"""The feed's revision never decreases, whatever order messages arrive in.

Entries and snapshots from peers arrive in random order, with repeats and
gaps.
"""

from __future__ import annotations

import asyncio

import hypothesis
from hypothesis import strategies

from knapweedwharf.configuration import feed as feed_module
from knapweedwharf.configuration import revision as revision_module
from knapweedwharf.configuration import snapshot as snapshot_module
from testing.adapters import memory_store

COUNT = 6
MESSAGES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["entry", "snapshot"]),
        strategies.integers(1, COUNT),
    ),
    max_size=30,
)


def _revision(number: int) -> revision_module.Revision:
    return revision_module.Revision(
        number=number,
        actor="operator",
        at_s=0.0,
        message="",
        changed={"1.toml": f"[service.s]\ntimeout_s = {number}\n"},
        write_id=f"w{number}",
        parent=f"w{number - 1}" if number > 1 else "",
    )


def _message(kind: str, number: int) -> feed_module.Message:
    revision = _revision(number)
    if kind == "entry":
        return feed_module.RevisionsReceived((revision,), "peer")
    return feed_module.SnapshotReceived(
        snapshot_module.Snapshot(number, revision.write_id, revision.changed),
        "peer",
    )


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(messages=MESSAGES)
def test_revision_never_falls(messages: list[tuple[str, int]]) -> None:
    async def scenario() -> None:
        feed = feed_module.Feed(store=memory_store.MemoryStore())
        seen: list[int] = []
        feed.add_listener(lambda c: seen.append(c.revision))
        feed.known = True
        for kind, number in messages:
            await feed.handle(_message(kind, number))
            if seen:
                timeout_s = feed.current.services["s"].timeout_s
                assert timeout_s == feed.current.revision
        assert seen == sorted(set(seen))
        for number in range(1, COUNT + 1):
            await feed.handle(_message("entry", number))
        assert feed.current.revision == COUNT

    asyncio.run(scenario())
