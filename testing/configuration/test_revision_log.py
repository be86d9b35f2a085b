"""Accepted revisions are never lost or taken back, and audited once.

Several nodes share a store that loses requests, answers and watch
events.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random

import pytest
from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf.configuration import audit
from knapweedwharf.configuration import compaction
from knapweedwharf.configuration import feed as feed_module
from knapweedwharf.configuration import publish
from knapweedwharf.configuration import revision as revision_module
from knapweedwharf.configuration import snapshot as snapshot_module
from knapweedwharf import errors
from testing.adapters import memory_store

SEED = 5
FILE = "10-s.toml"


@pytest.fixture(autouse=True)
def _no_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store_module, "_MAX_RETRY_DELAY_S", 0.0)
    monkeypatch.setattr(compaction, "TRIM_DELAY_S", 0.0)


class Node:
    """Feed and publisher of one node on a store shared by several nodes."""

    def __init__(self, store: memory_store.MemoryStore) -> None:
        self.feed = feed_module.Feed(store=store, seed=SEED)
        self.publisher = publish.Publisher(store=store, feed=self.feed)
        self.seen: list[int] = []
        self.feed.add_listener(lambda c: self.seen.append(c.revision))

    async def apply(self, text: str, **options) -> publish.Outcome:
        """Publish a file's text, based on this node's revision."""
        change = publish.Change(
            base_revision=self.feed.current.revision,
            changed={FILE: text},
            actor="operator",
        )
        return await self.publisher.publish(
            dataclasses.replace(change, **options)
        )


def _service(number: int) -> str:
    return f"[service.s]\ntimeout_s = {number + 1}\n"


async def _trail(store: memory_store.MemoryStore) -> list[audit.Record]:
    records: list[audit.Record] = []
    after: int | None = 0
    while after is not None:
        part = (await audit.read(store, after=after, limit=100)).unwrap()
        records.extend(part.records)
        after = part.next_after
    return records


def test_restarted_node_reads_before_it_appends() -> None:
    async def scenario() -> None:
        store = memory_store.MemoryStore()
        first = Node(store)
        for number in range(3):
            assert isinstance(
                await first.apply(_service(number)), result.Success
            )
        restarted = Node(store)
        refused = (await restarted.apply(_service(9))).failure()
        assert isinstance(refused, errors.Conflict)
        assert "3 by operator" in str(refused)
        assert restarted.feed.current.revision == 3
        ahead = Node(store)
        accepted = await ahead.apply(_service(10), base_revision=3)
        assert accepted.unwrap().number == 4

    asyncio.run(scenario())


def test_racing_operators_and_lost_answers_leave_one_chain() -> None:
    async def scenario(seed: int) -> None:
        source = random.Random(seed)
        store = memory_store.MemoryStore()
        nodes = [Node(store) for _number in range(3)]
        accepted: list[str] = []
        unknown: list[str] = []
        call_outcomes = [memory_store.ANSWERED] * 6
        call_outcomes += [memory_store.ANSWER_LOST, memory_store.NOT_SENT]
        for step in range(40):
            store.script = [source.choice(call_outcomes) for _call in range(4)]
            node = source.choice(nodes)
            text = _service(step * 10 + seed)
            outcome = await node.apply(text)
            if isinstance(outcome, result.Success):
                revision = outcome.unwrap().revision
                if revision is not None:
                    accepted.append(revision.write_id)
            elif isinstance(outcome.failure(), errors.OutcomeUnknown):
                unknown.append(outcome.failure().message)
        store.script = []
        written = [record.write_id for record in await _trail(store)]
        assert len(written) == len(set(written))
        for write_id in accepted:
            assert written.count(write_id) == 1
        for write_id in set(written) - set(accepted):
            assert any(write_id in message for message in unknown)
        for node in nodes:
            assert node.seen == sorted(set(node.seen))

    for seed in range(10):
        asyncio.run(scenario(seed))


def test_paused_node_cannot_take_a_compacted_position_again() -> None:
    async def scenario() -> None:
        store = memory_store.MemoryStore()
        paused = Node(store)
        await paused.apply(_service(0))
        other = Node(store)
        await other.feed.catch_up()
        count = audit.PAGE_REVISIONS + 4 * compaction.KEPT_REVISIONS
        for number in range(1, count):
            accepted = await other.apply(_service(number))
            assert isinstance(accepted, result.Success)
            await other.publisher.wait_compacted()
        assert revision_module.key_of(2) not in store.entries
        refused = (await paused.apply(_service(count + 5))).failure()
        assert isinstance(refused, errors.Conflict)
        assert paused.feed.current.revision == count
        assert paused.feed.files == other.feed.files
        trail = await _trail(store)
        assert [r.revision for r in trail] == list(range(1, count + 1))
        log = [
            key
            for key in store.entries
            if key.startswith(revision_module.LOG_PREFIX)
        ]
        bound = audit.PAGE_REVISIONS + compaction.KEPT_REVISIONS
        assert len(log) <= bound + 2 * compaction.SNAPSHOT_REVISIONS

    asyncio.run(scenario())


def test_start_reads_snapshot_and_tail_only() -> None:
    async def scenario() -> None:
        store = memory_store.MemoryStore()
        writer = Node(store)
        for number in range(200):
            await writer.apply(_service(number))
            await writer.publisher.wait_compacted()
        store.calls.clear()
        restarted = Node(store)
        await restarted.feed.catch_up()
        assert restarted.feed.current.revision == 200
        assert restarted.feed.files == writer.feed.files
        tail = 200 % compaction.SNAPSHOT_REVISIONS
        assert len(store.calls) <= 3 + tail // revision_module.LOG_READ_LIMIT

    asyncio.run(scenario())


def test_change_that_locks_operators_out_needs_force() -> None:
    async def scenario() -> None:
        store = memory_store.MemoryStore()
        node = Node(store)
        operator = (
            f'[account.operator]\ntoken_sha256 = "{"a" * 64}"\n'
            'role = "operator"\n'
        )
        await node.apply(operator)
        for text in ("", operator.replace("a" * 64, "b" * 64)):
            refused = (await node.apply(text)).failure()
            assert isinstance(refused, errors.Forbidden)
            assert "--force" in refused.remedy
        assert node.feed.current.revision == 1
        forced = await node.apply("", force=True)
        assert forced.unwrap().number == 2

    asyncio.run(scenario())


def test_same_folder_twice_and_dry_run_add_nothing() -> None:
    async def scenario() -> None:
        store = memory_store.MemoryStore()
        node = Node(store)
        dry = (await node.apply(_service(1), dry_run=True)).unwrap()
        assert dry.revision is None and not store.entries
        await node.apply(_service(1))
        again = (await node.apply(_service(1))).unwrap()
        assert (again.number, again.revision) == (1, None)
        assert len(await _trail(store)) == 1

    asyncio.run(scenario())


def test_too_large_change_is_refused_before_it_is_written() -> None:
    async def scenario() -> None:
        source = random.Random(SEED)
        store = memory_store.MemoryStore()
        node = Node(store)
        noise = "".join(
            f"# {source.getrandbits(400):0100x}\n" for _line in range(600)
        )
        files = {f"{n}-x.toml": noise[n:] for n in range(8)}
        refused = await node.apply("", changed=files)
        assert isinstance(refused.failure(), list)
        assert not store.entries

    asyncio.run(scenario())


def test_missed_event_is_healed_and_nothing_goes_back() -> None:
    async def scenario() -> None:
        store = memory_store.MemoryStore()
        writer = Node(store)
        follower = Node(store)
        await follower.feed.start()
        await asyncio.sleep(0)
        await writer.apply(_service(0))
        store.drop_events = 1
        await writer.apply(_service(1))
        await writer.apply(_service(2))
        while follower.feed.current.revision < 3:
            await asyncio.sleep(0.01)
        store.cut_watches()
        await writer.apply(_service(3))
        while follower.feed.current.revision < 4:
            await asyncio.sleep(0.01)
        assert follower.seen == sorted(set(follower.seen))
        await follower.feed.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_conflicting_entry_of_a_peer_gives_way_to_the_store() -> None:
    async def scenario() -> None:
        store = memory_store.MemoryStore()
        writer = Node(store)
        await writer.apply(_service(0))
        await writer.apply(_service(1))
        node = Node(store)
        await node.feed.catch_up()
        forged = revision_module.Revision(
            number=3,
            actor="x",
            at_s=0.0,
            message="",
            changed={FILE: _service(77)},
            write_id="forged",
            parent=node.feed.snapshot.write_id,
        )
        node.feed.apply(forged, source="peer")
        await writer.apply(_service(2))
        node.feed.apply(writer.feed.history[-1])
        assert node.feed.files != writer.feed.files
        await node.feed.catch_up()
        assert node.feed.files == writer.feed.files
        assert node.feed.current.revision == 3

    asyncio.run(scenario())


def test_snapshot_head_that_cannot_be_read_is_a_fault() -> None:
    async def scenario() -> None:
        store = memory_store.MemoryStore()
        key = snapshot_module.HEAD_KEY
        store.entries[key] = store_module.Entry(key, b"{}", 2)
        outcome = await snapshot_module.read(store)
        assert isinstance(outcome.failure(), errors.OutcomeUnknown)

    asyncio.run(scenario())
