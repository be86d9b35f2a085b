"""Reads jobs from any node: from the owner, or else from the store."""

from __future__ import annotations

import dataclasses
import typing

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf import codec
from knapweedwharf import errors
from knapweedwharf.scheduling import inbox as inbox_module
from knapweedwharf.scheduling import pages as pages_module
from knapweedwharf.scheduling import record as record_module
from knapweedwharf.scheduling import role as role_module

JobDocument = dict[str, typing.Any]

AskOwner = typing.Callable[
    [str, str, dict], typing.Awaitable[JobDocument | None]
]
"""Sends (data centre, operation, body) to the owner; returns its answer."""

FIND = "find"
LIST = "list"


@dataclasses.dataclass(frozen=True)
class Listing:
    """Jobs of all data centres that could be read.

    :ivar unread_data_centres: those whose jobs could not be read.
    """

    jobs: list[JobDocument]
    unread_data_centres: list[str]


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

    async def find(
        self, job_id: str
    ) -> result.Result[JobDocument | None, errors.Fault]:
        """Return a job by its id, from any data centre; None if unknown.

        Fails if the job was not found and a data centre, which may have
        it, could not be read.
        """
        failure = None
        for data_centre in self._own_first():
            found = await self._find_in(data_centre, job_id)
            if isinstance(found, result.Failure):
                failure = found
            elif found.unwrap() is not None:
                return found
        return failure or result.Success(None)

    def _own_first(self) -> list[str]:
        own = self._role.data_centre
        return sorted(self._data_centres(), key=lambda name: name != own)

    async def _find_in(
        self, data_centre: str, job_id: str
    ) -> result.Result[JobDocument | None, errors.Fault]:
        if self._is_owner_of(data_centre):
            job = self._own_job(job_id)
        else:
            answered = await self._ask_owner(
                data_centre, FIND, {"job_id": job_id}
            )
            job = answered["job"] if answered else None
        if job is not None:
            return result.Success(job)
        # The owner may not have read an accepted job from the inbox yet.
        return await self._stored_job(data_centre, job_id)

    async def _stored_job(
        self, data_centre: str, job_id: str
    ) -> result.Result[JobDocument | None, errors.Fault]:
        # The inbox is read first: the owner deletes an entry only after it
        # has written the job's page, so one of the two has the job.
        waiting = await self._store.get(
            inbox_module.key_of(data_centre, job_id, inbox_module.SUBMIT)
        )
        page = await self._store.get(
            pages_module.key_of(data_centre, pages_module.page_of(job_id))
        )
        for read in (waiting, page):
            if isinstance(read, result.Failure):
                return result.Failure(
                    _unread_fault(data_centre, read.failure())
                )
        if page.unwrap() is not None:
            record = pages_module.decode([page.unwrap()]).get(job_id)
            if record is not None:
                return result.Success(record_module.to_dict(record))
        if waiting.unwrap() is not None:
            return result.Success(_queued_job(waiting.unwrap()))
        return result.Success(None)

    async def list_all(self) -> Listing:
        """Return the jobs of every data centre, in order of their ids."""
        jobs: dict[str, JobDocument] = {}
        unread = []
        for data_centre in self._data_centres():
            listed = await self._list_in(data_centre)
            if listed is None:
                unread.append(data_centre)
                continue
            for job in listed:
                jobs[job["job"]["job_id"]] = job
        return Listing([jobs[job_id] for job_id in sorted(jobs)], unread)

    async def answer(self, operation: str, body: dict) -> dict | None:
        """Answer a peer's request; None if this node is not the owner."""
        if not self._role.active:
            return None
        if operation == FIND:
            return {"job": self._own_job(body["job_id"])}
        return {"jobs": self._own_jobs()} if operation == LIST else None

    async def _list_in(self, data_centre: str) -> list[JobDocument] | None:
        if self._is_owner_of(data_centre):
            return self._own_jobs()
        answered = await self._ask_owner(data_centre, LIST, {})
        if answered is not None:
            return answered["jobs"]
        return await self._stored_jobs(data_centre)

    def _is_owner_of(self, data_centre: str) -> bool:
        return self._role.active and self._role.data_centre == data_centre

    def _own_jobs(self) -> list[JobDocument]:
        records = self._role.tenure.records.values()
        return [record_module.to_dict(record) for record in records]

    def _own_job(self, job_id: str) -> JobDocument | None:
        record = self._role.tenure.records.get(job_id)
        return record_module.to_dict(record) if record else None

    async def _stored_jobs(self, data_centre: str) -> list[JobDocument] | None:
        # The inbox is read first, for the same reason as for one job.
        inbox = await self._store.list(inbox_module.prefix_of(data_centre))
        pages = await self._store.list(pages_module.prefix_of(data_centre))
        if isinstance(inbox, result.Failure):
            return None
        if isinstance(pages, result.Failure):
            return None
        waiting = map(_queued_job, inbox.unwrap().entries)
        records = pages_module.decode(pages.unwrap().entries)
        return [
            *(job for job in waiting if job is not None),
            *map(record_module.to_dict, records.values()),
        ]


def _queued_job(entry: store_module.Entry) -> JobDocument | None:
    item = inbox_module.decode(entry)
    if item is None or item.job is None:
        return None
    job = codec.encode(item.job)
    return {"job": job, "state": "queued", "reasons": []}


def _unread_fault(data_centre: str, fault: errors.Fault) -> errors.DidNotRun:
    return errors.DidNotRun(
        message=f"The jobs of {data_centre} cannot be read: "
        f"{fault.message}",
        remedy="Retry; nothing was changed.",
        retry_after_s=2.0,
    )
