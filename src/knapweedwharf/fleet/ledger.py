"""Writing of progress: what changed is written, then acted upon.

Each record is written under the revision it had, and under the owner's
epoch, so a transaction that is carried out late changes nothing.
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
from knapweedwharf.fleet import measures
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records
from knapweedwharf import log
from knapweedwharf import metrics

ENTRIES_AT_ONCE = 31
"""The store takes 32 in a transaction; one is the epoch's condition."""

WRITE_ENTRIES = 2
"""A record's condition and its write."""

_KINDS = (records.SPEC, records.PROGRESS, records.CANCEL)

_FIRST_RETRY_S = 0.05
_LONGEST_RETRY_S = 0.4

Then = abc.Callable[[], None]


class Ledger(background.Background):
    """Writes the records of jobs that changed.

    :param epoch_revision: condition of every write.
    :param dump: returns a job's record as it is now; None removes all
        records of the job.
    :param on_fenced: called when another owner has taken over.
    """

    def __init__(
        self,
        *,
        store,
        epoch_revision: int,
        dump: abc.Callable[[str], bytes | None],
        on_fenced: abc.Callable[[], None],
        sender: metrics.Metrics,
    ) -> None:
        self._store = store
        self._epoch_revision = epoch_revision
        self._dump = dump
        self._on_fenced = on_fenced
        self._sender = sender
        self._log = log.get("ledger")
        self._revisions: dict[str, int] = {}
        self._dirty: dict[str, list[Then]] = {}
        self._under_way: frozenset[str] = frozenset()
        self._wake = asyncio.Event()

    def known(self, job_id: str, revision: int) -> None:
        """Note the revision of a record that was read."""
        self._revisions[job_id] = revision

    def mark(self, job_id: str, then: Then | None = None) -> None:
        """Write a job's record; call ``then`` once it is stored."""
        waiting = self._dirty.setdefault(job_id, [])
        if then is not None:
            waiting.append(then)
        self._wake.set()

    def when_stored(self, job_id: str, then: Then) -> None:
        """Call ``then`` once all that is known of a job is stored."""
        if job_id in self._dirty or job_id in self._under_way:
            self.mark(job_id, then)
        else:
            then()

    async def _run(self) -> None:
        waits = backoff.Backoff(
            first_s=_FIRST_RETRY_S, longest_s=_LONGEST_RETRY_S
        )
        while True:
            await self._wake.wait()
            values = self._next_batch()
            if not values:
                self._wake.clear()
                continue
            thens = {job_id: self._dirty.pop(job_id) for job_id in values}
            self._under_way = frozenset(values)
            written = await self._write(values)
            self._under_way = frozenset()
            if written:
                waits.reset()
                for then in itertools.chain.from_iterable(thens.values()):
                    self._call(then)
                continue
            for job_id, waiting in thens.items():
                later = self._dirty.pop(job_id, [])
                self._dirty[job_id] = [*waiting, *later]
            await asyncio.sleep(waits.next_s())

    def _next_batch(self) -> dict[str, bytes | None]:
        """Return as many changed records as a transaction takes."""
        values: dict[str, bytes | None] = {}
        left = ENTRIES_AT_ONCE
        for job_id in self._dirty:
            value = self._dump(job_id)
            left -= len(_KINDS) if value is None else WRITE_ENTRIES
            if left < 0:
                break
            values[job_id] = value
        return values

    def _call(self, then: Then) -> None:
        """Act upon a stored record; a fault must not end the writing."""
        try:
            then()
        except Exception:
            self._log.exception("stored-record-not-acted-upon")

    async def _write(self, values: dict[str, bytes | None]) -> bool:
        expected = {records.EPOCH_KEY: self._epoch_revision}
        writes: list[model.Write] = []
        removes: list[str] = []
        for job_id, value in values.items():
            key = records.key(job_id, records.PROGRESS)
            if value is None:
                removes.extend(records.key(job_id, kind) for kind in _KINDS)
                continue
            expected[key] = self._revisions.get(job_id, 0)
            writes.append(model.Write(key, value))
        sent_s = clock.elapsed_s()
        committed = await self._store.commit(
            model.Commit(expected, tuple(writes), tuple(removes))
        )
        took_ms = (clock.elapsed_s() - sent_s) * 1000
        self._sender.timing(measures.STORE_CALL, took_ms)
        if isinstance(committed, result.Success):
            for job_id, value in values.items():
                self._revisions[job_id] = committed.unwrap()
                if value is None:
                    del self._revisions[job_id]
            return True
        self._learn(committed.failure(), values)
        return False

    def _learn(
        self, fault: errors.Fault, values: dict[str, bytes | None]
    ) -> None:
        """Take the present revisions from a condition that failed.

        Only this owner writes progress, so an unexpected revision is an
        own write whose answer was lost; what is known now goes over it.
        """
        self._sender.count(measures.STORE_FAULT)
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
