"""Records are written and removed within the store's limits."""

from __future__ import annotations

import asyncio

import pytest
from returns import result

from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf.fleet import progress_writer as progress_writer_module
from knapweedwharf.fleet import records
from knapweedwharf import metrics
from standins import fleet_store
from standins import virtual_time

MAX_ENTRIES = 32
ENDED = {f"{number:016x}": b"[]" for number in range(100, 140)}
"""The specifications to keep of jobs that are over."""

URGENT = {f"{number:016x}" for number in range(200, 210)}
"""Jobs of the first priority."""


class _LimitedStore(fleet_store.FakeStore):
    """A store that enforces the platform's limit on transaction size."""

    async def commit(self, commit: model.Commit, *, timeout_s: float = 0.0):
        entries = [*commit.expected, *commit.writes, *commit.removes]
        assert len(entries) <= MAX_ENTRIES
        return await super().commit(commit, timeout_s=timeout_s)


SLOW_LINK_BYTES_PER_S = 625_000.0
"""5 Mbit/s, the slowest link of a deployment."""


class _SlowStore(_LimitedStore):
    """A store to which transactions are sent over a slow link."""

    async def commit(self, commit: model.Commit, *, timeout_s: float = 0.0):
        sent = sum(len(write.value) * 4 // 3 for write in commit.writes)
        needed_s = sent / SLOW_LINK_BYTES_PER_S
        limit_s = timeout_s or self._timeout_s
        await asyncio.sleep(min(needed_s, limit_s))
        if needed_s > limit_s:
            unknown = errors.OutcomeUnknown(message="Cut.", remedy="Repeat.")
            return result.Failure(unknown)
        return await super().commit(commit, timeout_s=timeout_s)


def _run_with_ledger(main, store_class=_LimitedStore) -> None:
    async def whole() -> None:
        store = store_class(fleet_store.StoreState())
        store.state.put(records.EPOCH_KEY, b"{}")
        values: dict[str, bytes] = {}
        progress_writer = progress_writer_module.ProgressWriter(
            store=store,
            epoch_revision=store.state.revision,
            dump=values.get,
            dump_ended=ENDED.get,
            on_fenced=lambda: None,
            sender=metrics.Metrics(None),
            priority_of=lambda job_id: 0 if job_id in URGENT else 1,
        )
        await progress_writer.start()
        try:
            await main(store, progress_writer, values)
        finally:
            await progress_writer.close()

    virtual_time.run(whole())


def test_all_records_of_many_expired_jobs_are_removed():
    async def main(store, progress_writer, values):
        for number in range(40):
            job_id = f"{number:016x}"
            for kind in (records.SPEC, records.CANCEL):
                store.state.put(records.key(job_id, kind), b"{}")
            values[job_id] = b"{}"
            progress_writer.mark_dirty(job_id)
        await asyncio.sleep(1)
        assert len(store.state.items) == 1 + 40 * 3
        dropped = list(values)
        values.clear()
        for job_id in dropped:
            progress_writer.mark_dirty(job_id)
        await asyncio.sleep(1)
        assert list(store.state.items) == [records.EPOCH_KEY]

    _run_with_ledger(main)


def test_the_ends_of_many_jobs_fit_into_transactions():
    async def main(store, progress_writer, values):
        for job_id in ENDED:
            values[job_id] = b"{}"
            progress_writer.mark_dirty(job_id)
        await asyncio.sleep(1)
        for job_id in ENDED:
            spec = store.state.items[records.key(job_id, records.SPEC)]
            progress = store.state.items[records.key(job_id, records.PROGRESS)]
            assert spec.value == b"[]"
            assert spec.revision == progress.revision

    _run_with_ledger(main)


def test_the_specification_of_an_ended_job_is_written_once():
    async def main(store, progress_writer, values):
        job_id = next(iter(ENDED))
        for value in (b"one", b"two"):
            values[job_id] = value
            progress_writer.mark_dirty(job_id)
            await asyncio.sleep(1)
        spec = store.state.items[records.key(job_id, records.SPEC)]
        progress = store.state.items[records.key(job_id, records.PROGRESS)]
        assert progress.value == b"two"
        assert spec.revision < progress.revision

    _run_with_ledger(main)


def test_urgent_records_wait_for_no_backlog_of_an_outage():
    """The ends of 300 jobs are to be written, 1 MB over a slow link."""

    async def main(store, progress_writer, values):
        loop = asyncio.get_running_loop()
        stored_s: dict[str, float] = {}

        def mark(job_id: str) -> None:
            values[job_id] = b"x" * 3_500
            progress_writer.mark_dirty(
                job_id, lambda: stored_s.setdefault(job_id, loop.time())
            )

        store.path.silent = True
        for number in range(1_000, 1_300):
            mark(f"{number:016x}")
        await asyncio.sleep(4.0)
        for job_id in URGENT:
            mark(job_id)
        store.path.silent = False
        await asyncio.sleep(60.0)
        assert len(stored_s) == 300 + len(URGENT)
        before = [
            job_id
            for job_id, at_s in stored_s.items()
            if at_s < max(stored_s[urgent] for urgent in URGENT)
        ]
        in_transaction = (
            MAX_ENTRIES // progress_writer_module.ENTRIES_PER_WRITE
        )
        assert len(set(before) - URGENT) <= in_transaction

    _run_with_ledger(main, _SlowStore)


def test_other_records_are_written_beside_urgent_ones_all_the_time():
    async def main(store, progress_writer, values):
        others = [f"{number:016x}" for number in range(1_000, 1_040)]
        stored: set[str] = set()
        for job_id in others:
            values[job_id] = b"{}"
            progress_writer.mark_dirty(
                job_id, lambda job_id=job_id: stored.add(job_id)
            )

        def mark_again(job_id: str) -> None:
            values[job_id] = b"{}"
            progress_writer.mark_dirty(job_id, lambda: mark_again(job_id))

        many = [f"{number:016x}" for number in range(5_000, 5_060)]
        URGENT.update(many)
        try:
            for job_id in many:
                mark_again(job_id)
            await asyncio.sleep(5.0)
        finally:
            URGENT.difference_update(many)
        assert stored == set(others)

    _run_with_ledger(main)


def test_an_error_in_one_callback_does_not_stop_the_writer():
    async def main(store, progress_writer, values):
        def broken() -> None:
            raise RuntimeError("of a test")

        values["a"] = b"{}"
        progress_writer.mark_dirty("a", broken)
        await asyncio.sleep(1)
        stored: list[str] = []
        progress_writer.mark_dirty("a", lambda: stored.append("a"))
        await asyncio.sleep(1)
        assert stored == ["a"]

    _run_with_ledger(main)


def test_a_write_whose_answer_is_lost_is_repeated():
    async def main(store, progress_writer, values):
        values["a"] = b"one"
        store.path.lose_answers = 1
        stored: list[str] = []
        progress_writer.mark_dirty("a", lambda: stored.append("a"))
        await asyncio.sleep(3)
        assert stored == ["a"]
        key = records.key("a", records.PROGRESS)
        assert store.state.items[key].value == b"one"

    _run_with_ledger(main)


@pytest.mark.parametrize("record_bytes", [40_000, 2_000_000])
def test_large_records_are_written_over_a_slow_link(record_bytes):
    async def main(store, progress_writer, values):
        for number in range(20):
            job_id = f"{number:016x}"
            values[job_id] = b"x" * record_bytes
            progress_writer.mark_dirty(job_id)
        await asyncio.sleep(240)
        assert progress_writer.unstored_jobs == 0

    _run_with_ledger(main, _SlowStore)


def test_a_former_owner_writes_nothing():
    """Its process was paused while another VM took the next epoch."""
    fenced = []

    async def main():
        store = fleet_store.FakeStore(fleet_store.StoreState())
        store.state.put(records.EPOCH_KEY, b"{}")
        progress_writer = progress_writer_module.ProgressWriter(
            store=store,
            epoch_revision=store.state.revision,
            dump=lambda _job_id: b"{}",
            on_fenced=lambda: fenced.append(True),
            sender=metrics.Metrics(None),
        )
        await progress_writer.start()
        await store.state.external_write(records.EPOCH_KEY, b"{}")
        stored = []
        progress_writer.mark_dirty("1", lambda: stored.append(True))
        await asyncio.sleep(1.0)
        await progress_writer.close()
        assert fenced and not stored
        assert records.key("1", records.PROGRESS) not in store.state.items

    virtual_time.run(main())
