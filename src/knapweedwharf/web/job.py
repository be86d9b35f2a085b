"""Jobs: submit, list, show, cancel and explain."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing
import uuid

import marshmallow
from marshmallow import fields
from marshmallow import validate
from returns import result

from knapweedwharf.charts import chart
from knapweedwharf import codec
from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf.scheduling import choice
from knapweedwharf.scheduling import inbox
from knapweedwharf.web import auth
from knapweedwharf.web import base

_NAME = validate.Regexp(r"^[a-z0-9][a-z0-9-]{0,62}$")
_COUNT = validate.Range(min=1, max=4096)
_MAX_LIST = 500
_MAX_WAIT_S = 60.0
_POLL_S = 0.5
_AMOUNT = validate.Range(min=0, max=10_000_000)


class JobSchema(marshmallow.Schema):
    """Body of ``POST /v1/jobs``."""

    job_id = fields.Str(validate=_NAME)
    data_centre = fields.Str()
    kind = fields.Str(validate=_NAME, load_default="job")
    tasks = fields.Int(strict=True, validate=_COUNT, load_default=1)
    accelerators_per_task = fields.Int(
        strict=True, validate=_AMOUNT, load_default=1
    )
    cores_per_task = fields.Int(strict=True, validate=_AMOUNT, load_default=1)
    memory_mib_per_task = fields.Int(
        strict=True, validate=_AMOUNT, load_default=1024
    )
    within = fields.Str(
        validate=validate.OneOf(model.WITHIN_LEVELS),
        load_default=model.WITHIN_DATA_CENTRE,
    )
    urgency = fields.Str(
        validate=validate.OneOf(model.URGENCIES), load_default=model.NORMAL
    )
    declared_run_s = fields.Float(
        validate=validate.Range(min=0, min_inclusive=False),
        load_default=3600.0,
    )
    restartable = fields.Bool(load_default=True)


class ListSchema(marshmallow.Schema):
    """Query of ``GET /v1/jobs``."""

    state = fields.Str(
        validate=validate.OneOf(sorted(chart.load("job").states))
    )
    account = fields.Str(validate=_NAME)
    after = fields.Str(validate=_NAME, load_default="")
    limit = fields.Int(
        validate=validate.Range(min=1, max=_MAX_LIST), load_default=_MAX_LIST
    )


class WaitSchema(marshmallow.Schema):
    """Query of ``GET /v1/jobs/<id>``."""

    wait_s = fields.Float(
        validate=validate.Range(min=0, max=_MAX_WAIT_S), load_default=0.0
    )
    state = fields.Str(load_default="")


class JobsHandler(base.Handler):
    """``/v1/jobs``."""

    async def post(self) -> None:
        """Accept a job once it is durable."""
        caller = self.caller()
        asked = self.document(JobSchema())
        named = "job_id" in asked
        asked.setdefault("job_id", f"job-{uuid.uuid4().hex[:12]}")
        placed = "data_centre" in asked
        asked.setdefault("data_centre", self.node.settings.data_centre)
        self._check_data_centre(asked["data_centre"])
        job = model.JobSpec(
            account=caller.account, submitted_s=time.time(), **asked
        )
        if not placed:
            job = self._choose_place(job)
        if not named or not await self._accepted_before(job, placed):
            await self._submit(job, named)
        self.answer(
            {"job_id": job.job_id, "data_centre": job.data_centre},
            status=202,
        )

    def _choose_place(self, job: model.JobSpec) -> model.JobSpec:
        rooms = {
            peer.room.data_centre: peer.room.free_accelerators
            for peer in self.node.membership.live_peers()
            if peer.room is not None
        }
        engine = self.node.role.engine
        if engine is not None:
            free = engine.topology.free_accelerators()
            rooms[job.data_centre] = free
        chosen = choice.data_centre(self.node.feed.current, job, rooms=rooms)
        return dataclasses.replace(job, data_centre=chosen)

    async def _accepted_before(self, job: model.JobSpec, placed: bool) -> bool:
        """Tell whether the same job was accepted; refuse a different one."""
        found = base.unwrap(await self.node.jobs.find(job.job_id))
        if found is None:
            return False
        if not _same(codec.build(model.JobSpec, found["job"]), job, placed):
            raise base.Refused(_taken(job.job_id))
        return True

    async def _submit(self, job: model.JobSpec, named: bool) -> None:
        if not choice.can_ever_run(self.node.feed.current, job):
            raise base.Refused(_never_runnable(job))
        submitted = await inbox.submit(self.node.store, job)
        if not isinstance(submitted, result.Failure):
            return
        lost = isinstance(submitted.failure(), errors.Conflict)
        if named and lost and await self._accepted_before(job, True):
            return
        base.unwrap(submitted)

    def _check_data_centre(self, name: str) -> None:
        known = self.node.feed.current.data_centres
        if name in known:
            return
        raise base.Refused(
            errors.InvalidField(
                message="There is no such data centre.",
                remedy=f"Use one of {', '.join(sorted(known))}.",
                source="request body",
                field="data_centre",
                value=name,
            )
        )

    async def get(self) -> None:
        """List the account's jobs in parts; operators see all."""
        caller = self.caller()
        asked = _query(self, ListSchema())
        listing = await self.node.jobs.list_all()
        jobs = [
            job
            for job in listing.jobs
            if _may_see(caller, job)
            and job["job"]["job_id"] > asked["after"]
            and asked.get("state", job["state"]) == job["state"]
            and asked.get("account", job["job"]["account"])
            == job["job"]["account"]
        ]
        shown = jobs[: asked["limit"]]
        more = len(jobs) > len(shown)
        self.answer(
            {
                "jobs": shown,
                "next_after": shown[-1]["job"]["job_id"] if more else "",
                "unread_data_centres": listing.unread_data_centres,
            }
        )


class JobHandler(base.Handler):
    """``/v1/jobs/<id>``."""

    async def get(self, job_id: str) -> None:
        """Show one job, with ``wait_s`` once its state has changed."""
        asked = _query(self, WaitSchema())
        job = await self._find(job_id)
        known = asked["state"] or job["state"]
        ends_s = time.monotonic() + asked["wait_s"]
        final = chart.load("job").final
        while job["state"] == known and job["state"] not in final:
            left_s = ends_s - time.monotonic()
            if left_s <= 0:
                break
            await asyncio.sleep(min(_POLL_S, left_s))
            job = await self._find(job_id)
        self.answer(job)

    async def delete(self, job_id: str) -> None:
        """Cancel one job; durable once answered."""
        job = await self._find(job_id)
        cancelled = await inbox.cancel(
            self.node.store,
            data_centre=job["job"]["data_centre"],
            job_id=job_id,
        )
        waits = isinstance(cancelled, result.Failure) and isinstance(
            cancelled.failure(), errors.Conflict
        )
        if not waits:
            # Else an equal cancellation is on its way already.
            base.unwrap(cancelled)
        self.answer({"job_id": job_id, "cancelling": True}, status=202)

    async def _find(self, job_id: str) -> dict[str, typing.Any]:
        caller = self.caller()
        job = base.unwrap(await self.node.jobs.find(job_id))
        if job is None or not _may_see(caller, job):
            raise base.Refused(
                errors.NotFound(
                    message=f"No job {job_id!r} of this account.",
                    remedy="List yours with 'knapweedwharf job list'.",
                )
            )
        return job


class ExplainHandler(JobHandler):
    """``GET /v1/jobs/<id>/explain``."""

    async def get(self, job_id: str) -> None:
        """Tell why the job is where it is."""
        job = await self._find(job_id)
        self.answer(
            {
                "job_id": job_id,
                "state": job["state"],
                "reasons": job["reasons"],
            }
        )


def _may_see(caller: auth.Caller, job: dict) -> bool:
    return caller.is_operator or job["job"]["account"] == caller.account


def _query(
    handler: base.Handler, schema: marshmallow.Schema
) -> dict[str, typing.Any]:
    """Return the validated query or refuse the call."""
    names = handler.request.query_arguments
    try:
        return schema.load({n: handler.get_query_argument(n) for n in names})
    except marshmallow.ValidationError as error:
        messages = error.normalized_messages()
    field = next(iter(messages))
    raise base.Refused(
        errors.InvalidField(
            message=" ".join(map(str, messages[field])),
            remedy="See docs/reference/http.md.",
            source="query",
            field=field,
            value="",
        )
    )


def _same(known: model.JobSpec, asked: model.JobSpec, placed: bool) -> bool:
    place = asked.data_centre if placed else known.data_centre
    return known == dataclasses.replace(
        asked, submitted_s=known.submitted_s, data_centre=place
    )


def _taken(job_id: str) -> errors.Conflict:
    return errors.Conflict(
        message=f"Another job was accepted as {job_id!r}.",
        remedy="Submit this one under a job id of its own.",
    )


def _never_runnable(job: model.JobSpec) -> errors.NeverRunnable:
    return errors.NeverRunnable(
        message=f"No racks declared for {job.data_centre} could ever run "
        f"{job.tasks} x {job.accelerators_per_task} accelerators within "
        f"one {job.within.replace('_', ' ')}.",
        remedy="Ask for less, a wider 'within' or another data centre.",
    )
