"""Carries the engine's decisions about gangs out, each in its own task."""

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

_STORELESS_RETRY_S = 5.0
_FIRST_PAUSE_S = 0.25
_LONGEST_PAUSE_S = 5.0


@dataclasses.dataclass(frozen=True)
class GangEvent:
    """A gang's start or stop has ended."""

    happened: event.Event


@dataclasses.dataclass(frozen=True)
class StrayStopped:
    """An attempt of no record no longer takes room."""

    attempt_id: str


Report = typing.Union[GangEvent, StrayStopped]


class GangOrders(mailbox.Actor[None]):
    """Starts and stops gangs and posts how that ended.

    :param may_start_storeless: whether this VM may start restartable
        jobs while it cannot reach the store.
    :ivar isolated: the store does not answer.
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
        may_start_storeless: typing.Callable[[], bool],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._runner = runner
        self._roster = roster
        self._flusher = flusher
        self._report = report
        self._may_start_storeless = may_start_storeless
        self._starts: dict[str, asyncio.Task] = {}
        self._gangs: dict[str, gang_module.Gang] = {}
        self._pauses_s: dict[str, float] = {}
        self.isolated = False

    def remember(self, record: engine_module.JobRecord) -> None:
        """Note an attempt that holds places."""
        if record.attempt_id:
            self._gangs[record.attempt_id] = gang_module.Gang(
                attempt_id=record.attempt_id,
                assignments=tuple(record.assignments),
                job_id=record.job.job_id,
                descriptor=record_module.describe(record),
            )

    def drives(self, attempt_id: str) -> bool:
        """Tell whether an attempt is known to this ownership."""
        return attempt_id in self._gangs

    # Starts

    def start(self, record: engine_module.JobRecord) -> None:
        """Start the record's attempt."""
        self.remember(record)
        attempt_id = record.attempt_id
        task = self.spawn(self._start(attempt_id, record.job))
        self._starts[attempt_id] = task

    async def _start(self, attempt_id: str, job: model.JobSpec) -> None:
        if self.isolated and not self._storeless(job):
            await asyncio.sleep(_STORELESS_RETRY_S)
            refusal = gang_module.Refusal(worker_id="", fault=_store_away())
        else:
            refusal = await self._runner.start(
                self._gangs[attempt_id], lambda: self._commit(job)
            )
        await self._pace(job.job_id, refusal)
        del self._starts[attempt_id]
        self._started(attempt_id, refusal)

    async def _pace(
        self, job_id: str, refusal: gang_module.Refusal | None
    ) -> None:
        # A job that is refused again and again is placed less often.
        pause_s = self._pauses_s.pop(job_id, _FIRST_PAUSE_S)
        if refusal is None:
            return
        self._pauses_s[job_id] = min(2 * pause_s, _LONGEST_PAUSE_S)
        await asyncio.sleep(pause_s)

    def _started(
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

    def _storeless(self, job: model.JobSpec) -> bool:
        return (
            job.restartable
            and self._roster.reaches_majority()
            and self._may_start_storeless()
        )

    async def _commit(
        self, job: model.JobSpec
    ) -> result.Result[None, errors.Fault]:
        """Write the attempt down: the commit point of a start."""
        outcome: result.Result[None, errors.Fault]
        outcome = result.Failure(_store_away())
        if not self.isolated:
            try:
                outcome = await asyncio.wait_for(
                    self._flusher.flushed([job.job_id]),
                    self._settings.gang_hold_s / 2,
                )
            except asyncio.TimeoutError:
                pass
        if isinstance(outcome, result.Success):
            return outcome
        if isinstance(outcome.failure(), errors.Fenced):
            return outcome
        return result.Success(None) if self._storeless(job) else outcome

    # Attempts of a former owner

    def finish_start(self, attempt_id: str) -> None:
        """Confirm an attempt whose members have all been started."""
        self._starts[attempt_id] = self.spawn(self._finish_start(attempt_id))

    async def _finish_start(self, attempt_id: str) -> None:
        refusal = await self._runner.finish_start(self._gangs[attempt_id])
        del self._starts[attempt_id]
        self._started(attempt_id, refusal)

    def roll_back(self, attempt_id: str) -> None:
        """Stop an attempt whose start was interrupted."""
        self.spawn(self._roll_back(attempt_id))

    async def _roll_back(self, attempt_id: str) -> None:
        await self._runner.stop(self._gangs[attempt_id], checkpoint=False)
        self._started(attempt_id, gang_module.Refusal("", _interrupted()))

    def stop_stray(self, attempt_id: str, worker_ids: list[str]) -> None:
        """Stop an attempt of no record."""
        self.spawn(self._stop_stray(attempt_id, worker_ids))

    async def _stop_stray(
        self, attempt_id: str, worker_ids: list[str]
    ) -> None:
        places = tuple(
            model.Assignment(0, worker_id, (), 0, 0)
            for worker_id in worker_ids
        )
        stray = gang_module.Gang(attempt_id=attempt_id, assignments=places)
        await self._runner.stop(stray, checkpoint=False)
        self._report(StrayStopped(attempt_id))

    # Stops

    def stop(self, attempt_id: str, *, checkpoint: bool) -> None:
        """Stop an attempt; a start under way is broken off."""
        start = self._starts.pop(attempt_id, None)
        if start is not None:
            start.cancel()
        self.spawn(self._stop(attempt_id, checkpoint=checkpoint))

    async def _stop(self, attempt_id: str, *, checkpoint: bool) -> None:
        gang = self._gangs[attempt_id]
        saved = await self._runner.stop(gang, checkpoint=checkpoint)
        self._gangs.pop(attempt_id, None)
        self._report(GangEvent(event.GangStopped(attempt_id, saved)))

    def throttle(self, attempt_id: str) -> None:
        """Hold an attempt to its declared size."""
        gang = self._gangs.get(attempt_id)
        if gang is not None:
            self.spawn(self._runner.throttle(gang))

    def forget_finished(self, job_id: str) -> None:
        """Let workers drop a finished job once its record is safe."""
        ended = [g for g in self._gangs.values() if g.job_id == job_id]
        for gang in ended:
            del self._gangs[gang.attempt_id]
        self.spawn(self._forget(job_id, ended))

    async def _forget(
        self, job_id: str, ended: list[gang_module.Gang]
    ) -> None:
        flushed = await self._flusher.flushed([job_id])
        while isinstance(flushed, result.Failure):
            if isinstance(flushed.failure(), errors.Fenced):
                return
            flushed = await self._flusher.flushed([job_id])
        for gang in ended:
            for worker_id in gang.worker_ids:
                self._roster.release(worker_id, gang.attempt_id)


def _interrupted() -> errors.Fault:
    return errors.Conflict(
        message="The owner changed during the start.",
        remedy="The job is placed again.",
    )


def _store_away() -> errors.Fault:
    return errors.Unreachable(
        message="The store cannot be reached, so the start is not "
        "written down.",
        remedy="The job is tried again; restartable jobs need not wait.",
    )
