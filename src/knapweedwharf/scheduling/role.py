"""The scheduling role: decides for a data centre while it is owner."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing

from returns import result

from knapweedwharf.adapters import directory as directory_module
from knapweedwharf.adapters import store as store_module
from knapweedwharf.adapters import worker as worker_module
from knapweedwharf.charts import chart
from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf import mailbox
from knapweedwharf.scheduling import gang as gang_module
from knapweedwharf.scheduling import inbox as inbox_module
from knapweedwharf.scheduling import owner as owner_module
from knapweedwharf.scheduling import pages as pages_module
from knapweedwharf.scheduling import record as record_module
from knapweedwharf.scheduling import session as session_module
from knapweedwharf import settings as settings_module

_RETRY_S = 0.5
_TICK_S = 1.0


@dataclasses.dataclass(frozen=True)
class InboxSeen:
    """Entries of the inbox, new or listed again."""

    items: tuple[inbox_module.Item, ...]


@dataclasses.dataclass(frozen=True)
class ConfigurationInForce:
    """A new configuration."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True)
class Listed:
    """The VM list was read."""

    vms: tuple[directory_module.Vm, ...]


@dataclasses.dataclass(frozen=True)
class GangEvent:
    """A gang's start or stop has ended."""

    happened: event.Event


@dataclasses.dataclass(frozen=True)
class TimePassed:
    """Regular tick."""


Message = typing.Union[
    InboxSeen,
    ConfigurationInForce,
    Listed,
    GangEvent,
    TimePassed,
    session_module.Report,
]


class Role(mailbox.Actor[Message]):
    """Owns the engine and the workers' sessions while active."""

    name = "scheduling-role"

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        store: store_module.Store,
        worker: worker_module.Worker,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._store = store
        self._worker = worker
        self._election = owner_module.Election(store=store, settings=settings)
        self._chart = chart.load("owner")
        self._sessions: dict[str, session_module.Session] = {}
        self._vms: dict[str, directory_module.Vm] = {}
        self._configuration = model.Configuration()
        self._pages: pages_module.Pages | None = None
        self._runner: gang_module.GangRunner | None = None
        self._watcher: asyncio.Task | None = None
        self._dirty: set[str] = set()
        self.state = self._chart.initial
        self.ownership: owner_module.Ownership | None = None
        self.engine: engine_module.Engine | None = None

    async def start(self) -> None:
        """Stand for election from now on."""
        await super().start()
        self.spawn(self._stand())
        self.spawn(self._tick())

    async def close(self) -> None:
        """Resign and stop."""
        ownership = self.ownership
        await self._step_down("close")
        await super().close()
        if ownership is not None:
            await self._election.resign(ownership)

    @property
    def data_centre(self) -> str:
        """The data centre this node belongs to."""
        return self._settings.data_centre

    @property
    def active(self) -> bool:
        """Whether this node decides for its data centre now."""
        return self.engine is not None

    # Election

    async def _stand(self) -> None:
        pause_s = self._settings.owner_lease_s / 3
        while True:
            if self.ownership is None:
                await self._try_election()
            else:
                await self._renew()
            await asyncio.sleep(pause_s if self.ownership else _RETRY_S)

    async def _try_election(self) -> None:
        won = await self._election.run()
        if isinstance(won, result.Failure):
            return
        self.ownership = won.unwrap()
        self.state = self._chart.step(self.state, "elected")
        self._log.info("elected", epoch=self.ownership.epoch)
        await self._take_over(self.ownership)

    async def _take_over(self, ownership: owner_module.Ownership) -> None:
        pages = pages_module.Pages(
            store=self._store,
            data_centre=self._settings.data_centre,
            epoch=ownership.epoch,
        )
        taken = await pages.take_over()
        if isinstance(taken, result.Failure):
            self._log.warning("take-over-failed", why=str(taken.failure()))
            await self._step_down("deposed")
            await self._election.resign(ownership)
            return
        self._pages = pages
        self._runner = gang_module.GangRunner(
            worker=self._worker,
            settings=self._settings,
            epoch=ownership.epoch,
        )
        self.engine = engine_module.Engine(
            data_centre=self._settings.data_centre,
            attempt_prefix=f"{self._settings.data_centre}-{ownership.epoch}",
        )
        for record in taken.unwrap().values():
            self.engine.restore(record)
        self.state = self._chart.step(self.state, "sealed")
        self.post(ConfigurationInForce(self._configuration))
        self.post(Listed(tuple(self._vms.values())))
        self._watcher = self.spawn(self._watch_inbox())

    async def _renew(self) -> None:
        renewed = await self._election.renew(self.ownership)
        if isinstance(renewed, result.Success):
            if self._chart.allows(self.state, "store_back"):
                self.state = self._chart.step(self.state, "store_back")
            return
        if isinstance(renewed.failure(), errors.Fenced):
            await self._step_down("deposed")
        elif self._chart.allows(self.state, "store_lost"):
            self.state = self._chart.step(self.state, "store_lost")

    async def _step_down(self, why: str) -> None:
        self._log.info("step-down", why=why)
        self.state = self._chart.step(self.state, why)
        self.ownership = None
        self.engine = None
        self._pages = None
        if self._watcher is not None:
            self._watcher.cancel()
            self._watcher = None
        sessions = list(self._sessions.values())
        self._sessions.clear()
        for session in sessions:
            await session.close()

    async def _watch_inbox(self) -> None:
        prefix = inbox_module.prefix_of(self._settings.data_centre)
        while True:
            listed = await self._store.list(prefix)
            if isinstance(listed, result.Success):
                page = listed.unwrap()
                self._inbox_seen(page.entries, [], page.version)
                await self._store.watch(
                    prefix,
                    after_version=page.version,
                    callback=self._inbox_seen,
                )
            await asyncio.sleep(_RETRY_S)

    def _inbox_seen(self, entries, _deleted, _version) -> None:
        items = tuple(inbox_module.decode(entry) for entry in entries)
        if items:
            self.post(InboxSeen(items))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self.post(TimePassed())

    # Messages

    async def handle(self, message: Message) -> None:
        """Handle one message; a standby only remembers."""
        if isinstance(message, ConfigurationInForce):
            self._configuration = message.configuration
        if isinstance(message, Listed):
            self._remember(message.vms)
        if self.engine is None:
            return
        if isinstance(message, ConfigurationInForce):
            self._tell(event.ConfigurationChanged(message.configuration))
        elif isinstance(message, Listed):
            await self._open_sessions()
        elif isinstance(message, InboxSeen):
            await self._take_inbox(message.items)
        elif isinstance(message, GangEvent):
            self._tell(message.happened)
        elif isinstance(message, TimePassed):
            self._tell(event.Tick())
        else:
            await self._take_report(message)
        await self._flush()

    def _remember(self, vms: tuple[directory_module.Vm, ...]) -> None:
        workers = {
            vm.vm_id: vm
            for vm in vms
            if vm.kind == directory_module.WORKER_KIND
            and vm.data_centre == self._settings.data_centre
        }
        self._vms.update(workers)

    async def _open_sessions(self) -> None:
        for vm_id in self._vms.keys() - self._sessions.keys():
            session = session_module.Session(
                vm=self._vms[vm_id],
                epoch=self.ownership.epoch,
                worker=self._worker,
                settings=self._settings,
                report=self.post,
            )
            self._sessions[vm_id] = session
            await session.start()

    async def _take_inbox(self, items: tuple[inbox_module.Item, ...]) -> None:
        for item in items:
            if item.kind == inbox_module.SUBMIT:
                self._tell(event.JobSubmitted(item.job))
            else:
                self._tell(event.JobCancelled(item.job_id))
        if not await self._flush():
            return
        for item in items:
            await self._store.delete(item.key, expected_version=item.version)

    async def _take_report(self, report: session_module.Report) -> None:
        if isinstance(report, session_module.Sealed):
            self._take_sealed(report)
        elif isinstance(report, session_module.Happened):
            for worker_event in report.events:
                self._take_worker_event(report.worker_id, worker_event)
        elif isinstance(report, session_module.Silent):
            self._tell(event.WorkerLost(report.worker_id))
        elif isinstance(report, session_module.Lapsed):
            self._tell(event.WorkerGone(report.worker_id))
        else:
            await self._step_down("deposed")

    def _take_sealed(self, report: session_module.Sealed) -> None:
        state = report.state
        known = {
            attempt.attempt_id
            for attempt in state.attempts
            if self.engine.job_of_attempt(attempt.attempt_id) is not None
        }
        spec = model.WorkerSpec(
            worker_id=report.worker_id,
            rack=state.rack,
            data_centre=state.data_centre,
            accelerators=state.accelerators,
            cores=state.cores,
            memory_mib=state.memory_mib,
        )
        for attempt in state.attempts:
            if attempt.attempt_id not in known:
                self._stop_stray(report.worker_id, attempt.attempt_id)
        self._complete_topology(report.worker_id)
        self._tell(event.WorkerSealed(spec))

    def _complete_topology(self, worker_id: str) -> None:
        sealed = self.engine.topology.workers.keys() | {worker_id}
        self.engine.topology.complete = sealed >= self._vms.keys()

    def _stop_stray(self, worker_id: str, attempt_id: str) -> None:
        stray = gang_module.Gang(
            attempt_id=attempt_id,
            assignments=(),
            addresses={worker_id: self._vms[worker_id].address},
            descriptor="",
        )
        self.spawn(self._runner.stop(stray, checkpoint=False))

    def _take_worker_event(
        self, worker_id: str, happened: worker_module.WorkerEvent
    ) -> None:
        if happened.kind not in ("ended", "failed", "lapsed"):
            return
        self._tell(
            event.TaskEnded(
                attempt_id=happened.attempt_id,
                task_index=happened.task_index,
                worker_id=worker_id,
                succeeded=happened.kind == "ended",
                lapsed=happened.kind == "lapsed",
                detail=happened.detail or happened.kind,
            )
        )

    # Decisions

    def _tell(self, happened: event.Event) -> None:
        for taken in self.engine.handle(happened, now_s=time.time()):
            self._carry_out(taken)

    def _carry_out(self, taken: decision.Decision) -> None:
        if isinstance(taken, decision.JobChanged):
            self._dirty.add(taken.job_id)
            self._log.info(
                "job-changed",
                job_id=taken.job_id,
                state=taken.state,
                reason=taken.reason.code,
            )
        elif isinstance(taken, decision.StartGang):
            self.spawn(self._start_gang(taken))
        elif isinstance(taken, decision.StopGang):
            self.spawn(self._stop_gang(taken))

    async def _start_gang(self, start: decision.StartGang) -> None:
        gang = self._gang_of(start.attempt_id, start.job.job_id)
        refusal = await self._runner.start(
            gang, lambda: self._commit(start.job.job_id)
        )
        if refusal is None:
            self.post(GangEvent(event.GangStarted(start.attempt_id)))
            return
        self.post(
            GangEvent(
                event.GangRefused(
                    attempt_id=start.attempt_id,
                    worker_id=refusal.worker_id,
                    reason=refusal.fault.message,
                )
            )
        )

    async def _commit(self, job_id: str) -> result.Result[None, errors.Fault]:
        if self._pages is None:
            return result.Failure(
                errors.Fenced(
                    message="This VM is no longer the owner.",
                    remedy="The new owner places the job.",
                )
            )
        return await self._pages.flush([job_id], self.engine.records)

    async def _stop_gang(self, stop: decision.StopGang) -> None:
        gang = self._gang_of(stop.attempt_id, stop.job_id)
        saved = await self._runner.stop(gang, checkpoint=stop.checkpoint)
        self.post(GangEvent(event.GangStopped(stop.attempt_id, saved)))

    def _gang_of(self, attempt_id: str, job_id: str) -> gang_module.Gang:
        record = self.engine.records[job_id]
        worker_ids = {place.worker_id for place in record.assignments}
        return gang_module.Gang(
            attempt_id=attempt_id,
            assignments=record.assignments,
            addresses={w: self._vms[w].address for w in sorted(worker_ids)},
            descriptor=record_module.describe(record),
        )

    async def _flush(self) -> bool:
        if self._pages is None:
            return False
        dirty, self._dirty = self._dirty, set()
        written = await self._pages.flush(dirty, self.engine.records)
        if isinstance(written, result.Success):
            return True
        self._dirty |= dirty
        self._log.warning("flush-failed", why=str(written.failure()))
        if isinstance(written.failure(), errors.Conflict):
            await self._step_down("deposed")
        return False
