"""Submit, list, show, cancel and explain jobs over HTTP."""

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
from knapweedwharf.scheduling import data_centre_choice
from knapweedwharf.scheduling import inbox
from knapweedwharf.web import auth
from knapweedwharf.web import base

_NAME = validate.Regexp(r"^[a-z0-9][a-z0-9-]{0,62}$")
_TASK_COUNT = validate.Range(min=1, max=4096)
_MAX_LISTED_JOBS = 500
_MAX_WAIT_S = 60.0
_POLL_INTERVAL_S = 0.5
_RESOURCE_AMOUNT = validate.Range(min=0, max=10_000_000)


class JobSchema(marshmallow.Schema):
    """Body of ``POST /v1/jobs``."""

    job_id = fields.Str(validate=_NAME)
    data_centre = fields.Str()
    kind = fields.Str(validate=_NAME, load_default="job")
    tasks = fields.Int(strict=True, validate=_TASK_COUNT, load_default=1)
    accelerators_per_task = fields.Int(
        strict=True, validate=_RESOURCE_AMOUNT, load_default=1
    )
    cores_per_task = fields.Int(
        strict=True, validate=_RESOURCE_AMOUNT, load_default=1
    )
    memory_mib_per_task = fields.Int(
        strict=True, validate=_RESOURCE_AMOUNT, load_default=1024
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
        validate=validate.Range(min=1, max=_MAX_LISTED_JOBS),
        load_default=_MAX_LISTED_JOBS,
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
        """Accept a job; respond once it is durable."""
        caller = self.caller()
        document = self.document(JobSchema())
        has_own_id = "job_id" in document
        document.setdefault("job_id", f"job-{uuid.uuid4().hex[:12]}")
        has_data_centre = "data_centre" in document
        document.setdefault("data_centre", self.node.settings.data_centre)
        self._check_data_centre(document["data_centre"])
        job = model.JobSpec(
            account=caller.account, submitted_s=time.time(), **document
        )
        if not has_data_centre:
            job = self._choose_data_centre(job)
        if not has_own_id or not await self._is_already_accepted(
            job, has_data_centre
        ):
            await self._submit(job, has_own_id)
        self.answer(
            {"job_id": job.job_id, "data_centre": job.data_centre},
            status=202,
        )

    def _choose_data_centre(self, job: model.JobSpec) -> model.JobSpec:
        free_accelerators = {
            peer.room.data_centre: peer.room.free_accelerators
            for peer in self.node.membership.live_peers()
            if peer.room is not None
        }
        engine = self.node.role.engine
        if engine is not None:
            free = engine.topology.free_accelerators()
            free_accelerators[job.data_centre] = free
        chosen = data_centre_choice.choose_data_centre(
            self.node.feed.current, job, free_accelerators=free_accelerators
        )
        return dataclasses.replace(job, data_centre=chosen)

    async def _is_already_accepted(
        self, job: model.JobSpec, has_data_centre: bool
    ) -> bool:
        """Tell whether this job was accepted; refuse another of its id."""
        found = base.unwrap(await self.node.jobs.find(job.job_id))
        if found is None:
            return False
        if not _is_same_job(
            codec.decode(model.JobSpec, found["job"]), job, has_data_centre
        ):
            raise base.Refused(_job_id_conflict(job.job_id))
        return True

    async def _submit(self, job: model.JobSpec, has_own_id: bool) -> None:
        if not data_centre_choice.could_ever_run(self.node.feed.current, job):
            raise base.Refused(_never_runnable(job))
        submitted = await inbox.submit(self.node.store, job)
        if not isinstance(submitted, result.Failure):
            return
        lost_race = isinstance(submitted.failure(), errors.Conflict)
        if (
            has_own_id
            and lost_race
            and await self._is_already_accepted(job, True)
        ):
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
        """List the account's jobs in pages; operators see all jobs."""
        caller = self.caller()
        query = _validated_query(self, ListSchema())
        listing = await self.node.jobs.list_all()
        jobs = [
            job
            for job in listing.jobs
            if _is_visible_to(caller, job)
            and job["job"]["job_id"] > query["after"]
            and query.get("state", job["state"]) == job["state"]
            and query.get("account", job["job"]["account"])
            == job["job"]["account"]
        ]
        shown = jobs[: query["limit"]]
        has_more_jobs = len(jobs) > len(shown)
        self.answer(
            {
                "jobs": shown,
                "next_after": (
                    shown[-1]["job"]["job_id"] if has_more_jobs else ""
                ),
                "unread_data_centres": listing.unread_data_centres,
            }
        )


class JobHandler(base.Handler):
    """``/v1/jobs/<id>``."""

    async def get(self, job_id: str) -> None:
        """Show one job.

        With ``wait_s``, wait up to that long until the state differs
        from ``state``, which defaults to the current one, or is final.
        """
        query = _validated_query(self, WaitSchema())
        job = await self._find(job_id)
        known_state = query["state"] or job["state"]
        deadline_s = time.monotonic() + query["wait_s"]
        final = chart.load("job").final
        while job["state"] == known_state and job["state"] not in final:
            remaining_wait_s = deadline_s - time.monotonic()
            if remaining_wait_s <= 0:
                break
            await asyncio.sleep(min(_POLL_INTERVAL_S, remaining_wait_s))
            job = await self._find(job_id)
        self.answer(job)

    async def delete(self, job_id: str) -> None:
        """Cancel one job; respond once the cancellation is durable."""
        job = await self._find(job_id)
        cancelled = await inbox.cancel(
            self.node.store,
            data_centre=job["job"]["data_centre"],
            job_id=job_id,
        )
        is_already_requested = isinstance(
            cancelled, result.Failure
        ) and isinstance(cancelled.failure(), errors.Conflict)
        if not is_already_requested:
            # A conflict means that the same cancellation is pending.
            base.unwrap(cancelled)
        self.answer({"job_id": job_id, "cancelling": True}, status=202)

    async def _find(self, job_id: str) -> dict[str, typing.Any]:
        caller = self.caller()
        job = base.unwrap(await self.node.jobs.find(job_id))
        if job is None or not _is_visible_to(caller, job):
            raise base.Refused(
                errors.NotFound(
                    message=f"This account has no job {job_id!r}.",
                    remedy="List its jobs with 'knapweedwharf job list'.",
                )
            )
        return job


class ExplainHandler(JobHandler):
    """``GET /v1/jobs/<id>/explain``."""

    async def get(self, job_id: str) -> None:
        """Return the reasons for the job's current state."""
        job = await self._find(job_id)
        self.answer(
            {
                "job_id": job_id,
                "state": job["state"],
                "reasons": job["reasons"],
            }
        )


def _is_visible_to(caller: auth.Caller, job: dict) -> bool:
    return caller.is_operator or job["job"]["account"] == caller.account


def _validated_query(
    handler: base.Handler, schema: marshmallow.Schema
) -> dict[str, typing.Any]:
    """Return the validated query or refuse the request."""
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


def _is_same_job(
    accepted: model.JobSpec, submitted: model.JobSpec, has_data_centre: bool
) -> bool:
    data_centre = (
        submitted.data_centre if has_data_centre else accepted.data_centre
    )
    return accepted == dataclasses.replace(
        submitted, submitted_s=accepted.submitted_s, data_centre=data_centre
    )


def _job_id_conflict(job_id: str) -> errors.Conflict:
    return errors.Conflict(
        message=f"A different job was accepted with the id {job_id!r}.",
        remedy="Submit this job with another job id.",
    )


def _never_runnable(job: model.JobSpec) -> errors.NeverRunnable:
    return errors.NeverRunnable(
        message=f"No racks declared for {job.data_centre} could ever run "
        f"{job.tasks} x {job.accelerators_per_task} accelerators within "
        f"one {job.within.replace('_', ' ')}.",
        remedy="Ask for less, a wider 'within' or another data centre.",
    )
