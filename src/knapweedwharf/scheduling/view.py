"""Jobs as seen from any node: the owner's records, else the store's."""

from __future__ import annotations

import dataclasses
import typing

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf.scheduling import inbox as inbox_module
from knapweedwharf.scheduling import pages as pages_module
from knapweedwharf.scheduling import record as record_module
from knapweedwharf.scheduling import role as role_module

JobDocument = dict[str, typing.Any]

AskOwner = typing.Callable[
    [str, str, dict], typing.Awaitable[JobDocument | None]
]
"""(data centre, operation, body) to the owner's answer."""

FIND = "find"
LIST = "list"


class JobView:
    """Reads jobs of every data centre."""

    def __init__(
        self,
        *,
        role: role_module.Role,
        store: store_module.Store,
        ask_owner: AskOwner,
        data_centres: typing.Callable[[], list[str]],
    ) -> None:
        self._role = role
        self._store = store
        self._ask_owner = ask_owner
        self._data_centres = data_centres

    async def find(self, job_id: str) -> JobDocument | None:
        """Return a job by its id, wherever it stands."""
        jobs = await self.list_all()
        for data_centre in self._data_centres():
            # An accepted job may not have reached its owner yet.
            jobs.extend(await self._stored(data_centre))
        for job in jobs:
            if job["job"]["job_id"] == job_id:
                return job
        return None

    async def list_all(self) -> list[JobDocument]:
        """Return the jobs of every data centre."""
        jobs: dict[str, JobDocument] = {}
        for data_centre in self._data_centres():
            for job in await self._list(data_centre):
                jobs[job["job"]["job_id"]] = job
        return [jobs[job_id] for job_id in sorted(jobs)]

    async def answer(self, operation: str, _body: dict) -> dict | None:
        """Answer a peer; None when this node is not the owner."""
        if not self._role.active or operation != LIST:
            return None
        return {"jobs": self._own()}

    async def _list(self, data_centre: str) -> list[JobDocument]:
        if self._role.active and self._role.data_centre == data_centre:
            return self._own()
        answered = await self._ask_owner(data_centre, LIST, {})
        if answered is not None:
            return answered["jobs"]
        return await self._stored(data_centre)

    def _own(self) -> list[JobDocument]:
        return [
            record_module.to_dict(record)
            for record in self._role.tenure.records.values()
        ]

    async def _stored(self, data_centre: str) -> list[JobDocument]:
        # In this order: a job on its way is in one of the two.
        inbox = await self._store.list(inbox_module.prefix_of(data_centre))
        pages = await self._store.list(pages_module.prefix_of(data_centre))
        jobs = [*_waiting(inbox)]
        if isinstance(pages, result.Success):
            records = pages_module.decode(pages.unwrap().entries)
            jobs.extend(map(record_module.to_dict, records.values()))
        return jobs


def _waiting(listed: result.Result) -> typing.Iterator[JobDocument]:
    if isinstance(listed, result.Failure):
        return
    for entry in listed.unwrap().entries:
        item = inbox_module.decode(entry)
        if item.job is not None:
            yield {
                "job": dataclasses.asdict(item.job),
                "state": "queued",
                "reasons": [],
            }
