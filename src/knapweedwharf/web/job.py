"""Jobs: submit, list, show, cancel and explain."""

from __future__ import annotations

import time
import typing
import uuid

import marshmallow
from marshmallow import fields
from marshmallow import validate

from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf.scheduling import inbox
from knapweedwharf.web import auth
from knapweedwharf.web import base

_NAME = validate.Regexp(r"^[a-z0-9][a-z0-9-]{0,62}$")
_COUNT = validate.Range(min=1, max=4096)
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


class JobsHandler(base.Handler):
    """``/v1/jobs``."""

    async def post(self) -> None:
        """Accept a job once it is durable."""
        caller = self.caller()
        asked = self.document(JobSchema())
        asked.setdefault("job_id", f"job-{uuid.uuid4().hex[:12]}")
        asked.setdefault("data_centre", self.node.settings.data_centre)
        self._check_data_centre(asked["data_centre"])
        job = model.JobSpec(
            account=caller.account, submitted_s=time.time(), **asked
        )
        base.unwrap(await inbox.submit(self.node.store, job))
        self.answer(
            {"job_id": job.job_id, "data_centre": job.data_centre},
            status=202,
        )

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
        """List the account's jobs; operators see all."""
        caller = self.caller()
        jobs = await self.node.jobs.list_all()
        self.answer({"jobs": [j for j in jobs if _may_see(caller, j)]})


class JobHandler(base.Handler):
    """``/v1/jobs/<id>``."""

    async def get(self, job_id: str) -> None:
        """Show one job."""
        self.answer(await self._find(job_id))

    async def delete(self, job_id: str) -> None:
        """Cancel one job; durable once answered."""
        job = await self._find(job_id)
        cancelled = await inbox.cancel(
            self.node.store,
            data_centre=job["job"]["data_centre"],
            job_id=job_id,
        )
        base.unwrap(cancelled)
        self.answer({"job_id": job_id, "cancelling": True}, status=202)

    async def _find(self, job_id: str) -> dict[str, typing.Any]:
        caller = self.caller()
        job = await self.node.jobs.find(job_id)
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
