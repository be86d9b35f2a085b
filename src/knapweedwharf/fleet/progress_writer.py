"""Writes the progress of jobs and calls back once it is stored.

Each write is conditional on the record's last revision and on the
owner's epoch, so a transaction that arrives late changes nothing.
"""

from __future__ import annotations

import asyncio
from collections import abc
import itertools

from returns import result

from knapweedwharf import backoff
from knapweedwharf import errors
from knapweedwharf.fleet import background
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records
from knapweedwharf import log
from knapweedwharf import metrics

MAX_ENTRIES_PER_COMMIT = 31
"""The store allows 32 per transaction; one is the condition on the epoch."""

ENTRIES_PER_WRITE = 2
"""Entries per record: its condition and its write."""

ENTRIES_PER_END = ENTRIES_PER_WRITE + 1
"""The specification of a job that is over is written as well."""

MAX_BYTES_PER_COMMIT = 200_000
"""Sent in under half a second on the slowest links; a larger record has a
transaction of its own."""

COMMIT_TIMEOUT_S = 1.0
"""A hundred times the store's usual answer time."""

MIN_BYTES_PER_S = 50_000.0
"""Rate of the slowest link when reports take most of it; limits how long a
large transaction may take."""

FADING = 0.9
"""Share of an earlier duration that remains with each later transaction."""

_RECORD_KINDS = (records.SPEC, records.PROGRESS, records.CANCEL)

_FIRST_RETRY_S = 0.05
_LONGEST_RETRY_S = 0.4

Callback = abc.Callable[[], None]


class ProgressWriter(background.Background):
    """Writes the progress records of changed jobs in batches.

    :param epoch_revision: revision of the epoch's key; a condition of
        every write.
    :param dump: returns a job's current record; None removes all records
        of the job.
    :param dump_ended: returns the specification to keep of a job that is
        over; None for any other. It is written with the last progress.
    :param on_fenced: called when another owner has taken over.
    :param priority_of: returns a job's priority; lower values are written
        first.
    """

    def __init__(
        self,
        *,
        store,
        epoch_revision: int,
        dump: abc.Callable[[str], bytes | None],
        dump_ended: abc.Callable[[str], bytes | None] = lambda _job_id: None,
        on_fenced: abc.Callable[[], None],
        sender: metrics.Metrics,
        priority_of: abc.Callable[[str], int] = lambda _job_id: 0,
    ) -> None:
        self._store = store
        self._epoch_revision = epoch_revision
        self._dump = dump
        self._dump_ended = dump_ended
        self._on_fenced = on_fenced
        self._priority_of = priority_of
        self._sender = sender
        self._log = log.get("ledger")
        self._revisions: dict[str, int] = {}
        self._shrunk: set[str] = set()
        self._dirty: dict[str, list[Callback]] = {}
        self._in_flight: frozenset[str] = frozenset()
        self._wake = asyncio.Event()
        self._timeout_s = COMMIT_TIMEOUT_S
        self._write_s = 0.0

    @property
    def write_s(self) -> float:
        """The longest of the recent transactions; older ones fade."""
        return self._write_s

    @property
    def unstored_jobs(self) -> int:
        """Number of jobs whose latest record is not stored yet."""
        return len(self._in_flight.union(self._dirty))

    def set_revision(self, job_id: str, revision: int) -> None:
        """Record the revision of a progress record that was read."""
        self._revisions[job_id] = revision

    def mark_dirty(self, job_id: str, then: Callback | None = None) -> None:
        """Schedule a write of a job's record; call ``then`` once stored."""
        waiting = self._dirty.setdefault(job_id, [])
        if then is not None:
            waiting.append(then)
        self._wake.set()

    def is_stored(self, job_id: str) -> bool:
        """Return whether a job's latest record is stored."""
        return job_id not in self._dirty and job_id not in self._in_flight

    def when_stored(self, job_id: str, then: Callback) -> None:
        """Call ``then`` once no write of a job is outstanding."""
        if self.is_stored(job_id):
            then()
        else:
            self.mark_dirty(job_id, then)

    async def _run(self) -> None:
        delays = backoff.Backoff(
            initial_s=_FIRST_RETRY_S, max_s=_LONGEST_RETRY_S
        )
        while True:
            await self._wake.wait()
            values, ended = self._next_batch()
            if not values:
                self._wake.clear()
                continue
            thens = {job_id: self._dirty.pop(job_id) for job_id in values}
            self._in_flight = frozenset(values)
            written = False
            try:
                written = await self._write(values, ended)
            finally:
                self._in_flight = frozenset()
                if not written:
                    self._mark_dirty_again(thens)
            if written:
                delays.reset()
                for then in itertools.chain.from_iterable(thens.values()):
                    self._run_callback(then)
                continue
            await asyncio.sleep(delays.next_s())

    def _mark_dirty_again(self, thens: dict[str, list[Callback]]) -> None:
        for job_id, waiting in thens.items():
            later = self._dirty.pop(job_id, [])
            self._dirty[job_id] = [*waiting, *later]

    def _next_batch(
        self,
    ) -> tuple[dict[str, bytes | None], dict[str, bytes]]:
        """Return as many changed records as fit into a transaction.

        :returns: progress, and specifications of jobs that are over.
        """
        values: dict[str, bytes | None] = {}
        ended: dict[str, bytes] = {}
        left = MAX_ENTRIES_PER_COMMIT
        left_bytes = MAX_BYTES_PER_COMMIT
        for job_id in self._in_turn():
            value = self._dump(job_id)
            spec = None
            if value is not None and job_id not in self._shrunk:
                spec = self._dump_ended(job_id)
            if value is None:
                left -= len(_RECORD_KINDS)
            else:
                left -= ENTRIES_PER_END if spec else ENTRIES_PER_WRITE
            left_bytes -= len(value or b"") + len(spec or b"")
            if left < 0 or (values and left_bytes < 0):
                break
            values[job_id] = value
            if spec is not None:
                ended[job_id] = spec
        return values, ended

    def _in_turn(self) -> list[str]:
        """Return the changed jobs in the order in which they are written.

        Starts wait for their record, so after an outage those of the first
        priority go before the ends of all other work. The record that was
        changed first is in each transaction, so none waits for ever.
        """
        if not self._dirty:
            return []
        first, *others = self._dirty
        return [first, *sorted(others, key=self._priority_of)]

    def _run_callback(self, then: Callback) -> None:
        """Call back for a stored record; an error must not stop the writer."""
        try:
            then()
        except Exception:
            self._log.exception("stored-record-not-acted-upon")

    async def _write(
        self, values: dict[str, bytes | None], ended: dict[str, bytes]
    ) -> bool:
        expected = {records.EPOCH_KEY: self._epoch_revision}
        writes: list[model.Write] = []
        removes: list[str] = []
        for job_id, value in values.items():
            key = records.key(job_id, records.PROGRESS)
            if value is None:
                removes.extend(
                    records.key(job_id, kind) for kind in _RECORD_KINDS
                )
                continue
            expected[key] = self._revisions.get(job_id, 0)
            writes.append(model.Write(key, value))
            if job_id in ended:
                spec_key = records.key(job_id, records.SPEC)
                writes.append(model.Write(spec_key, ended[job_id]))
        sent_s = clock.elapsed_s()
        sent_bytes = sum(len(write.value) for write in writes)
        longest_s = max(COMMIT_TIMEOUT_S, sent_bytes / MIN_BYTES_PER_S)
        committed = await self._store.commit(
            model.Commit(expected, tuple(writes), tuple(removes)),
            timeout_s=min(self._timeout_s, longest_s),
        )
        took_s = clock.elapsed_s() - sent_s
        self._write_s = max(took_s, FADING * self._write_s)
        self._sender.timing(metric_definitions.STORE_WRITE_MS, took_s * 1000)
        if isinstance(committed, result.Success):
            for job_id, value in values.items():
                self._revisions[job_id] = committed.unwrap()
                if value is None:
                    del self._revisions[job_id]
                    self._shrunk.discard(job_id)
            self._shrunk.update(ended)
            self._timeout_s = COMMIT_TIMEOUT_S
            return True
        if isinstance(committed.failure(), errors.OutcomeUnknown):
            # It may have been sent for all that time.
            self._timeout_s = min(2 * self._timeout_s, longest_s)
        self._handle_failure(committed.failure(), values)
        return False

    def _handle_failure(
        self, fault: errors.Fault, values: dict[str, bytes | None]
    ) -> None:
        """Take the current revisions from a failed condition.

        Only the owner writes progress, so an unexpected revision comes
        from an own write whose answer was lost. The next attempt
        overwrites it with the current state.
        """
        self._sender.count(metric_definitions.STORE_WRITE_FAULTS)
        self._log.warning(
            "progress-not-written", why=fault.code, records=len(values)
        )
        if not isinstance(fault, errors.Conflict):
            return
        current = fault.mismatch.current
        epoch = current.get(records.EPOCH_KEY)
        if epoch is not None and epoch.revision != self._epoch_revision:
            self._on_fenced()
            return
        for job_id in values:
            item = current.get(records.key(job_id, records.PROGRESS))
            if item is not None:
                self._revisions[job_id] = item.revision
