"""Job records of a data centre, packed into a fixed set of store keys.

Each key holds a page of many records. A new owner first rewrites every
page under its own epoch; after that, the compare-and-swap of an older
owner fails.
"""

from __future__ import annotations

import asyncio
from collections import abc
import json
import uuid
import zlib

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf.charts import chart
from knapweedwharf.core import engine
from knapweedwharf import errors
from knapweedwharf.scheduling import record as record_module

PAGE_COUNT = 16
MAX_PAGE_BYTES = 700_000
_TAKE_OVER_TRIES = 5

Records = dict[str, engine.JobRecord]


def prefix_of(data_centre: str) -> str:
    """Return the key prefix of a data centre's pages."""
    return f"/knapweedwharf/dc/{data_centre}/page/"


def key_of(data_centre: str, page: int) -> str:
    """Return the key of a page."""
    return f"{prefix_of(data_centre)}{page:02d}"


def decode(entries: abc.Iterable[store_module.Entry]) -> Records:
    """Decode the records of pages, without those that cannot be read."""
    records: Records = {}
    for entry in entries:
        _decode_page(json.loads(entry.value), records)
    return records


def _decode_page(document: dict, records: Records) -> list[dict]:
    """Add a page's records to ``records``; return the unreadable ones."""
    unreadable = []
    for item in document["records"]:
        record = _parse_record(item)
        if record is None:
            unreadable.append(item)
        else:
            records[record.job.job_id] = record
    return unreadable


def _parse_record(document: dict) -> engine.JobRecord | None:
    try:
        return record_module.from_dict(document)
    except (AttributeError, KeyError, TypeError):
        return None


class Pages:
    """Reads and writes the pages of a data centre under one epoch.

    Records that cannot be read are kept as they are and written back.

    :ivar writes: page writes so far, for the budget of store calls.
    :ivar bytes_written: size of the values of those writes.
    """

    def __init__(
        self, *, store: store_module.Store, data_centre: str, epoch: int
    ) -> None:
        self._store = store
        self._data_centre = data_centre
        self._epoch = epoch
        self._versions: dict[int, int] = {}
        self._unreadable: dict[int, list[dict]] = {}
        self.writes = 0
        self.bytes_written = 0

    async def take_over(self) -> result.Result[Records, errors.Fault]:
        """Read every page and rewrite it under this epoch.

        If a former owner writes between the read and the write of a
        page, all pages are read and written again.
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
        listed = await self._store.list(prefix_of(self._data_centre))
        if isinstance(listed, result.Failure):
            return listed
        records: Records = {}
        for entry in listed.unwrap().entries:
            page = int(entry.key.rsplit("/", 1)[1])
            document = json.loads(entry.value)
            if document["epoch"] > self._epoch:
                return result.Failure(_fenced_fault())
            self._versions[page] = entry.version
            self._unreadable[page] = _decode_page(document, records)
        jobs_by_page = _group_by_page(records, range(PAGE_COUNT))
        written = await asyncio.gather(
            *(self._write(page, jobs) for page, jobs in jobs_by_page.items())
        )
        failed = [one for one in written if isinstance(one, result.Failure)]
        return failed[0] if failed else result.Success(records)

    async def write(
        self, pages: abc.Iterable[int], records: Records
    ) -> result.Result[None, errors.Fault]:
        """Write pages; ``Fenced`` if another epoch has written one."""
        jobs_by_page = _group_by_page(records, pages)
        written = await asyncio.gather(
            *(
                self._write_owned(page, jobs)
                for page, jobs in jobs_by_page.items()
            )
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
        # An earlier write whose answer was lost may have changed the
        # version; a page with this epoch was written by this owner.
        found = await self._store.get(self._key(page))
        if isinstance(found, result.Failure):
            return found
        entry = found.unwrap()
        if entry is None or json.loads(entry.value)["epoch"] != self._epoch:
            return result.Failure(_fenced_fault())
        self._versions[page] = entry.version
        return await self._write(page, jobs)

    async def _write(
        self, page: int, jobs: list[engine.JobRecord]
    ) -> result.Result[None, errors.Fault]:
        value = self._encode(page, jobs)
        ended = sorted(filter(_has_ended, jobs), key=_ended_s)
        while len(value) > MAX_PAGE_BYTES and ended:
            # Drops the older half of the ended jobs.
            dropped = {id(job) for job in ended[: len(ended) // 2 + 1]}
            ended = ended[len(dropped) :]
            jobs = [job for job in jobs if id(job) not in dropped]
            value = self._encode(page, jobs)
        self.writes += 1
        self.bytes_written += len(value)
        written = await store_module.write_with_read_back(
            self._store,
            self._key(page),
            value,
            expected_version=self._versions.get(page, 0),
        )
        if isinstance(written, result.Failure):
            return written
        self._versions[page] = written.unwrap().version
        return result.Success(None)

    def _encode(self, page: int, jobs: list[engine.JobRecord]) -> bytes:
        documents = [record_module.to_dict(record) for record in jobs]
        document = {
            "epoch": self._epoch,
            "write_id": uuid.uuid4().hex,
            "records": documents + self._unreadable.get(page, []),
        }
        return json.dumps(document, separators=(",", ":")).encode()

    def _key(self, page: int) -> str:
        return key_of(self._data_centre, page)


def page_of(job_id: str) -> int:
    """Return the number of the page that holds a job's record."""
    return zlib.crc32(job_id.encode()) % PAGE_COUNT


def _group_by_page(
    records: Records, pages: abc.Iterable[int]
) -> dict[int, list[engine.JobRecord]]:
    jobs_by_page: dict[int, list[engine.JobRecord]] = {
        page: [] for page in pages
    }
    for job_id, record in records.items():
        jobs = jobs_by_page.get(page_of(job_id))
        if jobs is not None:
            jobs.append(record)
    return jobs_by_page


def _has_ended(record: engine.JobRecord) -> bool:
    return record.state in chart.load("job").final


def _ended_s(record: engine.JobRecord) -> float:
    return record.ended_s


def _fenced_fault() -> errors.Fenced:
    return errors.Fenced(
        message="Another epoch has written a page.",
        remedy="Step down; the new owner continues.",
    )
