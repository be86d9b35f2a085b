"""Runs the starts and stops that the engine decides, each in a task."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from returns import result

from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf import mailbox
from knapweedwharf.scheduling import flusher as flusher_module
from knapweedwharf.scheduling import gang as gang_module
from knapweedwharf.scheduling import record as record_module
from knapweedwharf.scheduling import roster as roster_module
from knapweedwharf import settings as settings_module

_ISOLATED_RETRY_S = 5.0
_MIN_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 5.0


@dataclasses.dataclass(frozen=True)
class GangEvent:
    """The start or stop of a gang has ended.

    :ivar engine_event: the event for the engine.
    """

    engine_event: event.Event


@dataclasses.dataclass(frozen=True)
class StrayStopped:
    """A stray attempt, which has no job record, has been stopped."""

    attempt_id: str


Report = typing.Union[GangEvent, StrayStopped]


class GangOrders(mailbox.Actor[None]):
    """Starts and stops gangs and reports the outcome.

    :param may_start_without_store: returns whether this VM may start
        restartable jobs while it cannot reach the store.
    :ivar isolated: whether the store is unreachable.
    """

    name = "gang-orders"

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        runner: gang_module.GangRunner,
        roster: roster_module.Roster,
        flusher: flusher_module.Flusher,
        report: typing.Callable[[Report], None],
        may_start_without_store: typing.Callable[[], bool],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._runner = runner
        self._roster = roster
        self._flusher = flusher
        self._report = report
        self._may_start_without_store = may_start_without_store
        self._starts: dict[str, asyncio.Task] = {}
        self._gangs: dict[str, gang_module.Gang] = {}
        self._backoffs_s: dict[str, float] = {}
        self.isolated = False

    def track_attempt(self, record: engine_module.JobRecord) -> None:
        """Keep the gang of a record's attempt, if it has one."""
        if record.attempt_id:
            self._gangs[record.attempt_id] = gang_module.Gang(
                attempt_id=record.attempt_id,
                assignments=tuple(record.assignments),
                job_id=record.job.job_id,
                descriptor=record_module.to_descriptor(record),
            )

    def knows_attempt(self, attempt_id: str) -> bool:
        """Return whether the attempt belongs to a record of this owner."""
        return attempt_id in self._gangs

    # Starts

    def start(self, record: engine_module.JobRecord) -> None:
        """Start the record's attempt in a task of its own."""
        self.track_attempt(record)
        attempt_id = record.attempt_id
        task = self.spawn(self._start(attempt_id, record.job))
        self._starts[attempt_id] = task

    async def _start(self, attempt_id: str, job: model.JobSpec) -> None:
        if self.isolated and not self._allowed_without_store(job):
            await asyncio.sleep(_ISOLATED_RETRY_S)
            refusal = gang_module.Refusal(
                worker_id="", fault=_store_unreachable_fault()
            )
        else:
            refusal = await self._runner.start(
                self._gangs[attempt_id], lambda: self._commit(job)
            )
        await self._back_off(job.job_id, refusal)
        del self._starts[attempt_id]
        self._report_start(attempt_id, refusal)

    async def _back_off(
        self, job_id: str, refusal: gang_module.Refusal | None
    ) -> None:
        # Delays the report, so that the engine retries the job later.
        backoff_s = self._backoffs_s.pop(job_id, _MIN_BACKOFF_S)
        if refusal is None:
            return
        self._backoffs_s[job_id] = min(2 * backoff_s, _MAX_BACKOFF_S)
        await asyncio.sleep(backoff_s)

    def _report_start(
        self, attempt_id: str, refusal: gang_module.Refusal | None
    ) -> None:
        if refusal is None:
            self._report(GangEvent(event.GangStarted(attempt_id)))
            return
        self._gangs.pop(attempt_id, None)
        refused = event.GangRefused(
            attempt_id=attempt_id,
            worker_id=refusal.worker_id,
            reason=refusal.fault.message,
        )
        self._report(GangEvent(refused))

    def _allowed_without_store(self, job: model.JobSpec) -> bool:
        return (
            job.restartable
            and self._roster.reaches_majority()
            and self._may_start_without_store()
        )

    async def _commit(
        self, job: model.JobSpec
    ) -> result.Result[None, errors.Fault]:
        """Write the attempt to the store: the commit point of a start."""
        outcome: result.Result[None, errors.Fault]
        outcome = result.Failure(_store_unreachable_fault())
        if not self.isolated:
            try:
                outcome = await asyncio.wait_for(
                    self._flusher.flush([job.job_id]),
                    self._settings.gang_hold_s / 2,
                )
            except asyncio.TimeoutError:
                pass
        if isinstance(outcome, result.Success):
            return outcome
        if isinstance(outcome.failure(), errors.Fenced):
            return outcome
        return (
            result.Success(None)
            if self._allowed_without_store(job)
            else outcome
        )

    # Attempts of a former owner

    def finish_start(self, attempt_id: str) -> None:
        """Confirm an attempt whose members were all started provisionally."""
        self._starts[attempt_id] = self.spawn(self._finish_start(attempt_id))

    async def _finish_start(self, attempt_id: str) -> None:
        refusal = await self._runner.finish_start(self._gangs[attempt_id])
        del self._starts[attempt_id]
        self._report_start(attempt_id, refusal)

    def roll_back(self, attempt_id: str) -> None:
        """Stop an attempt whose start a change of owner interrupted."""
        self.spawn(self._roll_back(attempt_id))

    async def _roll_back(self, attempt_id: str) -> None:
        await self._runner.stop(self._gangs[attempt_id], checkpoint=False)
        self._report_start(
            attempt_id, gang_module.Refusal("", _interrupted_fault())
        )

    def stop_stray(self, attempt_id: str, worker_ids: list[str]) -> None:
        """Stop a stray attempt, which has no job record."""
        self.spawn(self._stop_stray(attempt_id, worker_ids))

    async def _stop_stray(
        self, attempt_id: str, worker_ids: list[str]
    ) -> None:
        assignments = tuple(
            model.Assignment(0, worker_id, (), 0, 0)
            for worker_id in worker_ids
        )
        stray = gang_module.Gang(
            attempt_id=attempt_id, assignments=assignments
        )
        await self._runner.stop(stray, checkpoint=False)
        self._report(StrayStopped(attempt_id))

    # Stops

    def stop(self, attempt_id: str, *, checkpoint: bool) -> None:
        """Stop an attempt; a start that is still running is cancelled."""
        start = self._starts.pop(attempt_id, None)
        if start is not None:
            start.cancel()
        self.spawn(self._stop(attempt_id, checkpoint=checkpoint))

    async def _stop(self, attempt_id: str, *, checkpoint: bool) -> None:
        gang = self._gangs[attempt_id]
        checkpointed = await self._runner.stop(gang, checkpoint=checkpoint)
        self._gangs.pop(attempt_id, None)
        self._report(GangEvent(event.GangStopped(attempt_id, checkpointed)))

    def throttle(self, attempt_id: str) -> None:
        """Limit an attempt to the resources that its job declares."""
        gang = self._gangs.get(attempt_id)
        if gang is not None:
            self.spawn(self._runner.throttle(gang))

    def forget_finished(self, job_id: str) -> None:
        """Let workers forget a finished job once its record is written."""
        ended = [g for g in self._gangs.values() if g.job_id == job_id]
        for gang in ended:
            del self._gangs[gang.attempt_id]
        self.spawn(self._forget(job_id, ended))

    async def _forget(
        self, job_id: str, ended: list[gang_module.Gang]
    ) -> None:
        flushed = await self._flusher.flush([job_id])
        while isinstance(flushed, result.Failure):
            if isinstance(flushed.failure(), errors.Fenced):
                return
            flushed = await self._flusher.flush([job_id])
        for gang in ended:
            for worker_id in gang.worker_ids:
                self._roster.release(worker_id, gang.attempt_id)


def _interrupted_fault() -> errors.Fault:
    return errors.Conflict(
        message="The owner changed during the start.",
        remedy="The job is queued again.",
    )


def _store_unreachable_fault() -> errors.Fault:
    return errors.Unreachable(
        message="The store is unreachable, so the attempt cannot be "
        "written.",
        remedy="The start is retried; restartable jobs may start without "
        "the store.",
    )
