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

Records = dict[str, engine.JobRecord]


def prefix_of(data_centre: str) -> str:
    """Return the prefix of a data centre's pages."""
    return f"/knapweedwharf/dc/{data_centre}/page/"


def decode(entries: abc.Iterable[store_module.Entry]) -> Records:
    """Read the records of all pages."""
    records: Records = {}
    for entry in entries:
        for document in json.loads(entry.value)["records"]:
            record = record_module.from_dict(document)
            records[record.job.job_id] = record
    return records


class Pages:
    """Writes records under one epoch.

    :ivar writes: page writes so far, for the budget of store calls.
    """

    def __init__(
        self, *, store: store_module.Store, data_centre: str, epoch: int
    ) -> None:
        self._store = store
        self._prefix = prefix_of(data_centre)
        self._epoch = epoch
        self._versions: dict[int, int] = {}
        self._turn = asyncio.Lock()
        self.writes = 0

    async def take_over(self) -> result.Result[Records, errors.Fault]:
        """Read every page and rewrite it under this epoch."""
        listed = await self._store.list(self._prefix)
        if isinstance(listed, result.Failure):
            return listed
        entries = listed.unwrap().entries
        for entry in entries:
            self._versions[int(entry.key.rsplit("/", 1)[1])] = entry.version
        records = decode(entries)
        for page in range(PAGE_COUNT):
            written = await self._write(page, records)
            if isinstance(written, result.Failure):
                return written
        return result.Success(records)

    async def flush(
        self, job_ids: abc.Iterable[str], records: Records
    ) -> result.Result[None, errors.Fault]:
        """Write the pages that hold these jobs."""
        async with self._turn:
            for page in sorted({page_of(job_id) for job_id in job_ids}):
                written = await self._write(page, records)
                if isinstance(written, result.Failure):
                    return written
        return result.Success(None)

    async def _write(
        self, page: int, records: Records
    ) -> result.Result[None, errors.Fault]:
        held = [
            record_module.to_dict(record)
            for job_id, record in records.items()
            if page_of(job_id) == page
        ]
        document = {
            "epoch": self._epoch,
            "write_id": uuid.uuid4().hex,
            "records": held,
        }
        self.writes += 1
        written = await store_module.write_certain(
            self._store,
            f"{self._prefix}{page:02d}",
            json.dumps(document).encode(),
            expected_version=self._versions.get(page, 0),
        )
        if isinstance(written, result.Failure):
            return written
        self._versions[page] = written.unwrap().version
        return result.Success(None)


def page_of(job_id: str) -> int:
    """Return the page a job's record stands in."""
    return zlib.crc32(job_id.encode()) % PAGE_COUNT
