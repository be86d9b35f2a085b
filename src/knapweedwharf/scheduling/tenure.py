"""One ownership of a data centre, from its election to its end.

Holds the engine and everything that works for it. Tasks belong to the
tenure that started them, so that nothing of an ended ownership touches
the next one.
"""

from __future__ import annotations

import asyncio
import functools
import time
import typing

from returns import result

from knapweedwharf.adapters import directory as directory_module
from knapweedwharf.adapters import store as store_module
from knapweedwharf.adapters import worker as worker_module
from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf import mailbox
from knapweedwharf.scheduling import flusher as flusher_module
from knapweedwharf.scheduling import gang as gang_module
from knapweedwharf.scheduling import inbox as inbox_module
from knapweedwharf.scheduling import orders as orders_module
from knapweedwharf.scheduling import owner as owner_module
from knapweedwharf.scheduling import pages as pages_module
from knapweedwharf.scheduling import recovery as recovery_module
from knapweedwharf.scheduling import retention
from knapweedwharf.scheduling import roster as roster_module
from knapweedwharf.scheduling import session as session_module
from knapweedwharf.scheduling import translation
from knapweedwharf import settings as settings_module

_DELETES_AT_ONCE = 8
_RETENTION_INTERVAL_S = 60.0

Clock = typing.Callable[[], float]


class Tenure(mailbox.Actor[None]):
    """The scheduling state of one ownership.

    Its methods never wait for the store or for workers; what has to
    wait runs in tasks of its own.

    :param may_start_storeless: whether this VM may start restartable
        jobs while it cannot reach the store.
    """

    name = "tenure"

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        store: store_module.Store,
        worker: worker_module.Worker,
        ownership: owner_module.Ownership,
        pages: pages_module.Pages,
        post: typing.Callable[[typing.Any], None],
        may_start_storeless: typing.Callable[[], bool],
        clock: Clock = time.time,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._store = store
        self._clock = clock
        self.epoch = ownership.epoch
        self.engine = engine_module.Engine(
            data_centre=settings.data_centre,
            attempt_prefix=f"{settings.data_centre}-{ownership.epoch}",
        )
        self.roster = roster_module.Roster(
            epoch=ownership.epoch,
            worker=worker,
            settings=settings,
            report=post,
        )
        self._flusher = flusher_module.Flusher(
            pages=pages, records=lambda: self.records, report=post
        )
        runner = gang_module.GangRunner(
            worker=worker,
            settings=settings,
            epoch=ownership.epoch,
            roster=self.roster,
        )
        self._orders = orders_module.GangOrders(
            settings=settings,
            runner=runner,
            roster=self.roster,
            flusher=self._flusher,
            report=post,
            may_start_storeless=may_start_storeless,
        )
        self._begin_empty()

    def _begin_empty(self) -> None:
        self._withheld: dict[str, engine_module.JobRecord] = {}
        self._recovery = recovery_module.Recovery(())
        self._states: dict[str, worker_module.WorkerState] = {}
        self._early: dict[str, list[event.TaskEnded]] = {}
        self._began_s = 0.0
        self._pruned_s = 0.0
        self._inbox_read = False

    @property
    def records(self) -> pages_module.Records:
        """Every job of the data centre."""
        if not self._withheld:
            return self.engine.records
        return {**self._withheld, **self.engine.records}

    @property
    def isolated(self) -> bool:
        """Whether the store does not answer."""
        return self._orders.isolated

    @isolated.setter
    def isolated(self, isolated: bool) -> None:
        self._orders.isolated = isolated

    async def begin(
        self,
        *,
        records: pages_module.Records,
        suspects: bool,
        configuration: model.Configuration,
        vms: tuple[directory_module.Vm, ...],
    ) -> None:
        """Take the records over and open the sessions.

        :param suspects: a former owner may have started queued
            restartable jobs without the store; they wait until every
            worker has been sealed or has lapsed.
        """
        self._began_s = _now_s()
        for job_id, record in records.items():
            waits = record.state == "queued" and record.job.restartable
            if suspects and waits:
                self._withheld[job_id] = record
                continue
            self.engine.restore(record)
            self._orders.remember(record)
        self._recovery = recovery_module.Recovery(records.values())
        self.roster.expect(
            place.worker_id
            for record in records.values()
            for place in record.assignments
        )
        await self._flusher.start()
        self.tell(event.ConfigurationChanged(configuration))
        await self.list(vms)

    async def close(self) -> None:
        """End every task and session; nothing is sent any more."""
        await self._orders.close()
        await super().close()
        await self._flusher.close()
        await self.roster.close()

    # Events

    def configured(self, configuration: model.Configuration) -> None:
        """Take a new configuration."""
        self.tell(event.ConfigurationChanged(configuration))

    def cut_off(self) -> bool:
        """Tell whether neither the store nor most workers answer.

        A new owner may then have been elected and have sealed the
        workers that do not answer here.
        """
        waited_s = _now_s() - self._began_s
        return (
            self.isolated
            and bool(self.roster.members)
            and waited_s > self.roster.former_owner_s
            and not self.roster.reaches_majority()
        )

    def tell(self, happened: event.Event) -> None:
        """Tell the engine and carry out what it decides."""
        for taken in self.engine.handle(happened, now_s=self._clock()):
            self._carry_out(taken)

    async def list(self, vms: tuple[directory_module.Vm, ...]) -> None:
        """Take the list of this data centre's workers."""
        await self.roster.list(vms)
        for worker_id in self.roster.take_leaving(vms):
            self.tell(event.WorkerLeaving(worker_id))
        await self.roster.drop_gone(vms)
        self._complete_topology()

    def take_inbox(self, items: tuple[inbox_module.Item, ...]) -> None:
        """Take submissions, then cancellations."""
        self._inbox_read = True
        for item in items:
            if item.job is not None and item.job_id not in self._withheld:
                self.tell(event.JobSubmitted(item.job))
        for item in items:
            if item.kind == inbox_module.CANCEL:
                self._restore_withheld(item.job_id)
                self.tell(event.JobCancelled(item.job_id))
        if items:
            self.spawn(self._empty_inbox(items))
        self._recover()

    async def _empty_inbox(self, items: tuple[inbox_module.Item, ...]) -> None:
        flushed = await self._flusher.flushed(item.job_id for item in items)
        if isinstance(flushed, result.Failure):
            return
        gate = asyncio.Semaphore(_DELETES_AT_ONCE)

        async def delete(item: inbox_module.Item) -> None:
            async with gate:
                await self._store.delete(
                    item.key, expected_version=item.version
                )

        await asyncio.gather(*map(delete, items))

    def tick(self) -> None:
        """Look at leases, recovery and retention."""
        for worker_id in self.roster.take_lapsed():
            self.tell(event.WorkerGone(worker_id))
        self._recover()
        if _now_s() - self._pruned_s >= _RETENTION_INTERVAL_S:
            self._pruned_s = _now_s()
            self._prune()
        self.tell(event.Tick())

    def _prune(self) -> None:
        gone = retention.expired(
            self.engine.records.values(),
            settings=self._settings,
            now_s=self._clock(),
        )
        for job_id in gone:
            del self.engine.records[job_id]
        self._flusher.mark(gone)

    def gang_event(self, happened: event.Event) -> None:
        """Take the end of a start or stop, and what came before it."""
        self.tell(happened)
        for ended in self._early.pop(happened.attempt_id, ()):
            self.tell(ended)

    # Workers

    def sealed(self, report: session_module.Sealed) -> None:
        """Take a worker in once its attempts have been compared."""
        self.roster.sealed(report.worker_id)
        self._states[report.worker_id] = report.state
        held = {one.attempt_id: one for one in report.state.attempts}
        for one in held.values():
            self._recovery.saw(report.worker_id, one)
            if not self._orders.drives(one.attempt_id):
                self._recovery.stray(one.attempt_id)
        begun = [
            record
            for record in self.engine.records.values()
            if record.state in ("starting", "running")
        ]
        for record in begun:
            attempt = held.get(record.attempt_id)
            self._end_tasks(
                recovery_module.learned(record, report.worker_id, attempt)
            )
        self._recover()

    def happened(self, report: session_module.Happened) -> None:
        """Take a worker's events."""
        self.roster.answered(report)
        self._end_tasks(
            translation.task_ended(one.attempt_id, report.worker_id, one)
            for one in report.events
            if one.kind in worker_module.TASK_ENDS
        )
        for usage in translation.usages(report.events):
            self.tell(usage)

    def _end_tasks(self, ends: typing.Iterable[event.TaskEnded]) -> None:
        for ended in ends:
            record = self.engine.job_of_attempt(ended.attempt_id)
            if record is not None and record.state == "starting":
                # Ended before the last member's confirmation came in.
                self._early.setdefault(ended.attempt_id, []).append(ended)
                continue
            self.tell(ended)

    def silent(self, report: session_module.Silent) -> None:
        """Give a silent worker no new work."""
        if self.roster.silent(report.worker_id):
            self.tell(event.WorkerLost(report.worker_id))

    def stray_stopped(self, report: orders_module.StrayStopped) -> None:
        """Take workers in that a stray has held back."""
        self._recovery.stray_stopped(report.attempt_id)
        self._recover()

    # Recovery

    def _recover(self) -> None:
        steps = self._recovery.decide(
            self.roster.settled,
            overdue=_now_s() - self._began_s > self._settings.gang_hold_s,
            inbox_read=self._inbox_read or self.isolated,
        )
        for step in steps:
            self._take_step(step)
        self._recovery.forget()
        for worker_id, state in list(self._states.items()):
            if not self._recovery.holds_back(worker_id):
                del self._states[worker_id]
                spec = translation.spec_of(worker_id, state)
                self.tell(event.WorkerSealed(spec))
        if self._withheld and self.roster.settled():
            for job_id in list(self._withheld):
                self._restore_withheld(job_id)
            self.tell(event.Tick())
        self._complete_topology()

    def _complete_topology(self) -> None:
        self.engine.topology.complete = (
            not self._states and self.roster.settled()
        )

    def _restore_withheld(self, job_id: str) -> None:
        record = self._withheld.pop(job_id, None)
        if record is not None:
            self.engine.restore(record)

    @functools.singledispatchmethod
    def _take_step(self, step: recovery_module.Step) -> None:
        raise TypeError(f"unknown step {type(step).__name__}")

    @_take_step.register
    def _(self, step: recovery_module.FinishStart) -> None:
        self._end_tasks(self._recovery.outcomes(step.record))
        self._orders.finish_start(step.record.attempt_id)

    @_take_step.register
    def _(self, step: recovery_module.RollBack) -> None:
        self._orders.roll_back(step.record.attempt_id)

    @_take_step.register
    def _(self, step: recovery_module.StopAgain) -> None:
        saved = step.record.after_stop == "requeue"
        self._orders.stop(step.record.attempt_id, checkpoint=saved)

    @_take_step.register
    def _(self, step: recovery_module.StopStray) -> None:
        self._orders.stop_stray(step.attempt_id, list(step.worker_ids))

    @_take_step.register
    def _(self, step: recovery_module.Adopt) -> None:
        found = step.found
        job_id = found.job.job_id
        self._restore_withheld(job_id)
        record = self.engine.records.get(job_id)
        if record is None or record.state != "queued":
            workers = sorted({p.worker_id for p in found.assignments})
            self._recovery.stopping(found.attempt_id)
            self._orders.stop_stray(found.attempt_id, workers)
            return
        self._orders.remember(found)
        self.tell(
            event.GangAdopted(
                job_id=job_id,
                attempt_id=found.attempt_id,
                assignments=tuple(found.assignments),
            )
        )
        self._end_tasks(self._recovery.outcomes(found))

    # Decisions

    @functools.singledispatchmethod
    def _carry_out(self, taken: typing.Any) -> None:
        self._log.info("decision-ignored", kind=type(taken).__name__)

    @_carry_out.register
    def _(self, taken: decision.JobChanged) -> None:
        self._flusher.mark([taken.job_id])
        self._log.info(
            "job-changed",
            job_id=taken.job_id,
            state=taken.state,
            reason=taken.reason.code,
        )
        if taken.state == "finished":
            self._orders.forget_finished(taken.job_id)

    @_carry_out.register
    def _(self, taken: decision.GuaranteeChanged) -> None:
        self._log.info(
            "guarantee-changed",
            guarantee=taken.guarantee,
            unit=taken.unit,
            met=taken.met,
            why=taken.reason.text,
        )

    @_carry_out.register
    def _(self, taken: decision.WorkerChanged) -> None:
        self._log.info(
            "worker-changed",
            worker_id=taken.worker_id,
            standing=taken.standing,
            why=taken.reason.text,
        )

    @_carry_out.register
    def _(self, taken: decision.StartGang) -> None:
        self._orders.start(self.engine.records[taken.job.job_id])

    @_carry_out.register
    def _(self, taken: decision.StopGang) -> None:
        self._orders.stop(taken.attempt_id, checkpoint=taken.checkpoint)

    @_carry_out.register
    def _(self, taken: decision.ThrottleGang) -> None:
        self._orders.throttle(taken.attempt_id)

    @_carry_out.register
    def _(self, taken: decision.GuaranteeChanged) -> None:
        self._log.warning(
            "guarantee-changed",
            guarantee=taken.guarantee,
            unit=taken.unit,
            met=taken.met,
            reason=taken.reason.text,
        )

    @_carry_out.register
    def _(self, taken: decision.WorkerChanged) -> None:
        self._log.warning(
            "worker-changed",
            worker_id=taken.worker_id,
            standing=taken.standing,
            reason=taken.reason.text,
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
