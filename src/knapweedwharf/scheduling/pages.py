"""Job records of a data centre, packed into few keys of the store.

A new owner first rewrites every page under its own epoch; from then
on the compare-and-swap of an older owner fails.
"""

from __future__ import annotations

import asyncio
from collections import abc
import json
import uuid
import zlib

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf.core import engine
from knapweedwharf import errors
from knapweedwharf.scheduling import record as record_module

PAGE_COUNT = 16
MAX_PAGE_BYTES = 700_000
_TAKE_OVER_TRIES = 5

Records = dict[str, engine.JobRecord]


def prefix_of(data_centre: str) -> str:
    """Return the prefix of a data centre's pages."""
    return f"/knapweedwharf/dc/{data_centre}/page/"


def decode(entries: abc.Iterable[store_module.Entry]) -> Records:
    """Read the records of all pages."""
    records: Records = {}
    for entry in entries:
        _decode_page(json.loads(entry.value), records)
    return records


def _decode_page(document: dict, records: Records) -> list[dict]:
    """Add a page's records; return those that cannot be read."""
    unread = []
    for item in document["records"]:
        record = _read(item)
        if record is None:
            unread.append(item)
        else:
            records[record.job.job_id] = record
    return unread


def _read(document: dict) -> engine.JobRecord | None:
    try:
        return record_module.from_dict(document)
    except (AttributeError, KeyError, TypeError):
        return None


class Pages:
    """Writes records under one epoch.

    :ivar writes: page writes so far, for the budget of store calls.
    :ivar bytes_written: values of those writes.
    """

    def __init__(
        self, *, store: store_module.Store, data_centre: str, epoch: int
    ) -> None:
        self._store = store
        self._prefix = prefix_of(data_centre)
        self._epoch = epoch
        self._versions: dict[int, int] = {}
        self._unread: dict[int, list[dict]] = {}
        self.writes = 0
        self.bytes_written = 0

    async def take_over(self) -> result.Result[Records, errors.Fault]:
        """Read every page and rewrite it under this epoch.

        A former owner may write between the two; its page is then read
        again, until all pages bear this epoch.
        """
        outcome: result.Result[Records, errors.Fault]
        for _try in range(_TAKE_OVER_TRIES):
            outcome = await self._take_over_once()
            if isinstance(outcome, result.Success):
                return outcome
            if not isinstance(outcome.failure(), errors.Conflict):
                return outcome
        return outcome

    async def _take_over_once(self) -> result.Result[Records, errors.Fault]:
        listed = await self._store.list(self._prefix)
        if isinstance(listed, result.Failure):
            return listed
        records: Records = {}
        for entry in listed.unwrap().entries:
            page = int(entry.key.rsplit("/", 1)[1])
            document = json.loads(entry.value)
            if document["epoch"] > self._epoch:
                return result.Failure(_fenced())
            self._versions[page] = entry.version
            self._unread[page] = _decode_page(document, records)
        held = _by_page(records, range(PAGE_COUNT))
        written = await asyncio.gather(
            *(self._write(page, jobs) for page, jobs in held.items())
        )
        failed = [one for one in written if isinstance(one, result.Failure)]
        return failed[0] if failed else result.Success(records)

    async def write(
        self, pages: abc.Iterable[int], records: Records
    ) -> result.Result[None, errors.Fault]:
        """Write pages; ``Fenced`` when another epoch has them."""
        held = _by_page(records, pages)
        written = await asyncio.gather(
            *(self._write_owned(page, jobs) for page, jobs in held.items())
        )
        failed = [one for one in written if isinstance(one, result.Failure)]
        fenced = [o for o in failed if isinstance(o.failure(), errors.Fenced)]
        return (fenced or failed or [result.Success(None)])[0]

    async def _write_owned(
        self, page: int, jobs: list[engine.JobRecord]
    ) -> result.Result[None, errors.Fault]:
        written = await self._write(page, jobs)
        if not isinstance(written, result.Failure):
            return written
        if not isinstance(written.failure(), errors.Conflict):
            return written
        # An earlier write whose answer was lost may have moved the
        # version; only this owner writes under its epoch.
        found = await self._store.get(self._key(page))
        if isinstance(found, result.Failure):
            return found
        entry = found.unwrap()
        if entry is None or json.loads(entry.value)["epoch"] != self._epoch:
            return result.Failure(_fenced())
        self._versions[page] = entry.version
        return await self._write(page, jobs)

    async def _write(
        self, page: int, jobs: list[engine.JobRecord]
    ) -> result.Result[None, errors.Fault]:
        held = [record_module.to_dict(record) for record in jobs]
        document = {
            "epoch": self._epoch,
            "write_id": uuid.uuid4().hex,
            "records": held + self._unread.get(page, []),
        }
        value = json.dumps(document, separators=(",", ":")).encode()
        self.writes += 1
        self.bytes_written += len(value)
        written = await store_module.write_certain(
            self._store,
            self._key(page),
            value,
            expected_version=self._versions.get(page, 0),
        )
        if isinstance(written, result.Failure):
            return written
        self._versions[page] = written.unwrap().version
        return result.Success(None)

    def _key(self, page: int) -> str:
        return f"{self._prefix}{page:02d}"


def page_of(job_id: str) -> int:
    """Return the page a job's record stands in."""
    return zlib.crc32(job_id.encode()) % PAGE_COUNT


def _by_page(
    records: Records, pages: abc.Iterable[int]
) -> dict[int, list[engine.JobRecord]]:
    held: dict[int, list[engine.JobRecord]] = {page: [] for page in pages}
    for job_id, record in records.items():
        jobs = held.get(page_of(job_id))
        if jobs is not None:
            jobs.append(record)
    return held


def _fenced() -> errors.Fenced:
    return errors.Fenced(
        message="Another epoch has written a page.",
        remedy="Step down; the new owner goes on.",
    )
