"""The state of one ownership of a data centre, from election to step-down.

Holds the decision engine, and what feeds it and carries out its decisions.
Tasks belong to the tenure that started them and end with it, so that no
task of an ended ownership acts on the next one.
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
from knapweedwharf.scheduling import election as election_module
from knapweedwharf.scheduling import flusher as flusher_module
from knapweedwharf.scheduling import gang as gang_module
from knapweedwharf.scheduling import gang_orders as gang_orders_module
from knapweedwharf.scheduling import inbox as inbox_module
from knapweedwharf.scheduling import pages as pages_module
from knapweedwharf.scheduling import recovery as recovery_module
from knapweedwharf.scheduling import retention
from knapweedwharf.scheduling import roster as roster_module
from knapweedwharf.scheduling import session as session_module
from knapweedwharf.scheduling import translation
from knapweedwharf import settings as settings_module

_MAX_CONCURRENT_DELETES = 8
_RETENTION_INTERVAL_S = 60.0

Clock = typing.Callable[[], float]


class Tenure(mailbox.Actor[None]):
    """The scheduling state of one ownership.

    Its methods never wait for the store or for workers; calls that wait
    run in separate tasks.

    :param may_start_without_store: returns whether this VM may start
        restartable jobs while it cannot reach the store.
    """

    name = "tenure"

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        store: store_module.Store,
        worker: worker_module.Worker,
        ownership: election_module.Ownership,
        pages: pages_module.Pages,
        post: typing.Callable[[typing.Any], None],
        may_start_without_store: typing.Callable[[], bool],
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
        self._orders = gang_orders_module.GangOrders(
            settings=settings,
            runner=runner,
            roster=self.roster,
            flusher=self._flusher,
            report=post,
            may_start_without_store=may_start_without_store,
        )
        self._init_state()

    def _init_state(self) -> None:
        self._withheld: dict[str, engine_module.JobRecord] = {}
        self._recovery = recovery_module.Recovery(())
        self._pending_states: dict[str, worker_module.WorkerState] = {}
        self._early_task_ends: dict[str, list[event.TaskEnded]] = {}
        self._began_s = 0.0
        self._last_prune_s = 0.0
        self._inbox_read = False

    @property
    def records(self) -> pages_module.Records:
        """Every job of the data centre, by id."""
        if not self._withheld:
            return self.engine.records
        return {**self._withheld, **self.engine.records}

    @property
    def isolated(self) -> bool:
        """Whether the store is unreachable."""
        return self._orders.isolated

    @isolated.setter
    def isolated(self, isolated: bool) -> None:
        self._orders.isolated = isolated

    async def begin(
        self,
        *,
        records: pages_module.Records,
        unrecorded_starts_possible: bool,
        configuration: model.Configuration,
        vms: tuple[directory_module.Vm, ...],
    ) -> None:
        """Restore the engine from records and open the worker sessions.

        :param unrecorded_starts_possible: whether a former owner may have
            started queued restartable jobs without the store; these jobs
            are withheld until every worker is sealed or has lapsed.
        """
        self._began_s = _now_s()
        for job_id, record in records.items():
            waits = record.state == "queued" and record.job.restartable
            if unrecorded_starts_possible and waits:
                self._withheld[job_id] = record
                continue
            self.engine.restore(record)
            self._orders.track_attempt(record)
        self._recovery = recovery_module.Recovery(records.values())
        self.roster.add_workers(
            assignment.worker_id
            for record in records.values()
            for assignment in record.assignments
        )
        await self._flusher.start()
        self.apply_event(event.ConfigurationChanged(configuration))
        await self.update_worker_list(vms)

    async def close(self) -> None:
        """End every task and session; no order is sent after this."""
        await self._orders.close()
        await super().close()
        await self._flusher.close()
        await self.roster.close()

    # Events

    def update_configuration(self, configuration: model.Configuration) -> None:
        """Pass a new configuration to the engine."""
        self.apply_event(event.ConfigurationChanged(configuration))

    def is_cut_off(self) -> bool:
        """Return whether the store and most workers are unreachable.

        Another VM may then have been elected and have sealed the workers
        that this one cannot reach.
        """
        waited_s = _now_s() - self._began_s
        return (
            self.isolated
            and bool(self.roster.members)
            and waited_s > self.roster.fence_detection_s
            and not self.roster.reaches_majority()
        )

    def apply_event(self, engine_event: event.Event) -> None:
        """Pass an event to the engine and carry out its decisions."""
        for decided in self.engine.handle(engine_event, now_s=self._clock()):
            self._carry_out(decided)

    async def update_worker_list(
        self, vms: tuple[directory_module.Vm, ...]
    ) -> None:
        """Update the workers from the list of this data centre's VMs."""
        await self.roster.open_sessions(vms)
        for worker_id in self.roster.take_leaving(vms):
            self.apply_event(event.WorkerLeaving(worker_id))
        await self.roster.drop_gone(vms)
        self._update_topology_complete()

    def process_inbox(self, items: tuple[inbox_module.Item, ...]) -> None:
        """Process submissions, then cancellations."""
        self._inbox_read = True
        for item in items:
            if item.job is not None and item.job_id not in self._withheld:
                self.apply_event(event.JobSubmitted(item.job))
        for item in items:
            if item.kind == inbox_module.CANCEL:
                self._restore_withheld(item.job_id)
                self.apply_event(event.JobCancelled(item.job_id))
        if items:
            self.spawn(self._clear_inbox(items))
        self._recover()

    async def _clear_inbox(self, items: tuple[inbox_module.Item, ...]) -> None:
        flushed = await self._flusher.flush(item.job_id for item in items)
        if isinstance(flushed, result.Failure):
            return
        limiter = asyncio.Semaphore(_MAX_CONCURRENT_DELETES)

        async def delete(item: inbox_module.Item) -> None:
            async with limiter:
                await self._store.delete(
                    item.key, expected_version=item.version
                )

        await asyncio.gather(*map(delete, items))

    def tick(self) -> None:
        """Run the regular checks: leases, recovery and retention."""
        for worker_id in self.roster.take_lapsed():
            self.apply_event(event.WorkerGone(worker_id))
        self._recover()
        if _now_s() - self._last_prune_s >= _RETENTION_INTERVAL_S:
            self._last_prune_s = _now_s()
            self._prune()
        self.apply_event(event.Tick())

    def _prune(self) -> None:
        gone = retention.expired(
            self.engine.records.values(),
            settings=self._settings,
            now_s=self._clock(),
        )
        for job_id in gone:
            del self.engine.records[job_id]
        self._flusher.mark_dirty(gone)

    def gang_event(self, engine_event: event.Event) -> None:
        """Process the end of a start or stop, then early ends of tasks."""
        self.apply_event(engine_event)
        for ended in self._early_task_ends.pop(engine_event.attempt_id, ()):
            self.apply_event(ended)

    # Workers

    def worker_sealed(self, report: session_module.Sealed) -> None:
        """Reconcile a sealed worker's attempts with the records.

        The engine learns of the worker once no stray occupies it.
        """
        self.roster.mark_sealed(report.worker_id)
        self._pending_states[report.worker_id] = report.state
        reported = {held.attempt_id: held for held in report.state.attempts}
        for held in reported.values():
            self._recovery.add_reported(report.worker_id, held)
            if not self._orders.knows_attempt(held.attempt_id):
                self._recovery.add_stray(held.attempt_id)
        begun = [
            record
            for record in self.engine.records.values()
            if record.state in ("starting", "running")
        ]
        for record in begun:
            attempt = reported.get(record.attempt_id)
            self._end_tasks(
                recovery_module.reported_task_ends(
                    record, report.worker_id, attempt
                )
            )
        self._recover()

    def renewal_answered(self, report: session_module.RenewalAnswered) -> None:
        """Process the events that a worker reports."""
        self.roster.drop_released(report)
        self._end_tasks(
            translation.task_ended(one.attempt_id, report.worker_id, one)
            for one in report.events
            if one.kind in worker_module.TASK_ENDS
        )
        for usage in translation.usage_reports(report.events):
            self.apply_event(usage)

    def _end_tasks(self, ends: typing.Iterable[event.TaskEnded]) -> None:
        for ended in ends:
            record = self.engine.job_of_attempt(ended.attempt_id)
            if record is not None and record.state == "starting":
                # Ended before the last member was confirmed.
                self._early_task_ends.setdefault(ended.attempt_id, []).append(
                    ended
                )
                continue
            self.apply_event(ended)

    def worker_silent(self, report: session_module.Silent) -> None:
        """Tell the engine that a worker is silent, so it gets no new work."""
        if self.roster.mark_silent(report.worker_id):
            self.apply_event(event.WorkerLost(report.worker_id))

    def stray_stopped(self, report: gang_orders_module.StrayStopped) -> None:
        """Tell the engine of workers that a stray has occupied until now."""
        self._recovery.stray_stopped(report.attempt_id)
        self._recover()

    # Recovery

    def _recover(self) -> None:
        steps = self._recovery.decide(
            self.roster.settled,
            leases_lapsed=_now_s() - self._began_s
            > self._settings.gang_hold_s,
            inbox_read=self._inbox_read or self.isolated,
        )
        for step in steps:
            self._apply_step(step)
        self._recovery.drop_reports()
        for worker_id, state in list(self._pending_states.items()):
            if not self._recovery.blocks_worker(worker_id):
                del self._pending_states[worker_id]
                spec = translation.worker_spec(worker_id, state)
                self.apply_event(event.WorkerSealed(spec))
        if self._withheld and self.roster.settled():
            for job_id in list(self._withheld):
                self._restore_withheld(job_id)
            self.apply_event(event.Tick())
        self._update_topology_complete()

    def _update_topology_complete(self) -> None:
        self.engine.topology.complete = (
            not self._pending_states and self.roster.settled()
        )

    def _restore_withheld(self, job_id: str) -> None:
        record = self._withheld.pop(job_id, None)
        if record is not None:
            self.engine.restore(record)

    @functools.singledispatchmethod
    def _apply_step(self, step: recovery_module.Step) -> None:
        raise TypeError(f"unknown step {type(step).__name__}")

    @_apply_step.register
    def _(self, step: recovery_module.FinishStart) -> None:
        self._end_tasks(self._recovery.reported_ends(step.record))
        self._orders.finish_start(step.record.attempt_id)

    @_apply_step.register
    def _(self, step: recovery_module.RollBack) -> None:
        self._orders.roll_back(step.record.attempt_id)

    @_apply_step.register
    def _(self, step: recovery_module.StopAgain) -> None:
        saved = step.record.after_stop == "requeue"
        self._orders.stop(step.record.attempt_id, checkpoint=saved)

    @_apply_step.register
    def _(self, step: recovery_module.StopStray) -> None:
        self._orders.stop_stray(step.attempt_id, list(step.worker_ids))

    @_apply_step.register
    def _(self, step: recovery_module.Adopt) -> None:
        found = step.descriptor_record
        job_id = found.job.job_id
        self._restore_withheld(job_id)
        record = self.engine.records.get(job_id)
        if record is None or record.state != "queued":
            workers = sorted({one.worker_id for one in found.assignments})
            self._recovery.mark_stopping(found.attempt_id)
            self._orders.stop_stray(found.attempt_id, workers)
            return
        self._orders.track_attempt(found)
        self.apply_event(
            event.GangAdopted(
                job_id=job_id,
                attempt_id=found.attempt_id,
                assignments=tuple(found.assignments),
            )
        )
        self._end_tasks(self._recovery.reported_ends(found))

    # Decisions

    @functools.singledispatchmethod
    def _carry_out(self, decided: typing.Any) -> None:
        self._log.info("decision-ignored", kind=type(decided).__name__)

    @_carry_out.register
    def _(self, decided: decision.JobChanged) -> None:
        self._flusher.mark_dirty([decided.job_id])
        self._log.info(
            "job-changed",
            job_id=decided.job_id,
            state=decided.state,
            reason=decided.reason.code,
        )
        if decided.state == "finished":
            self._orders.forget_finished(decided.job_id)

    @_carry_out.register
    def _(self, decided: decision.GuaranteeChanged) -> None:
        self._log.info(
            "guarantee-changed",
            guarantee=decided.guarantee,
            unit=decided.unit,
            met=decided.met,
            why=decided.reason.text,
        )

    @_carry_out.register
    def _(self, decided: decision.WorkerChanged) -> None:
        self._log.info(
            "worker-changed",
            worker_id=decided.worker_id,
            standing=decided.standing,
            why=decided.reason.text,
        )

    @_carry_out.register
    def _(self, decided: decision.StartGang) -> None:
        self._orders.start(self.engine.records[decided.job.job_id])

    @_carry_out.register
    def _(self, decided: decision.StopGang) -> None:
        self._orders.stop(decided.attempt_id, checkpoint=decided.checkpoint)

    @_carry_out.register
    def _(self, decided: decision.ThrottleGang) -> None:
        self._orders.throttle(decided.attempt_id)

    @_carry_out.register
    def _(self, decided: decision.GuaranteeChanged) -> None:
        self._log.warning(
            "guarantee-changed",
            guarantee=decided.guarantee,
            unit=decided.unit,
            met=decided.met,
            reason=decided.reason.text,
        )

    @_carry_out.register
    def _(self, decided: decision.WorkerChanged) -> None:
        self._log.warning(
            "worker-changed",
            worker_id=decided.worker_id,
            standing=decided.standing,
            reason=decided.reason.text,
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
