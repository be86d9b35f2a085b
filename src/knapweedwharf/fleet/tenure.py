"""Scheduling during one ownership.

The owner reads all records, seals all executors, and from then on
passes events to the engine and carries out its decisions. No order is
sent before the intent is stored, and no end is acknowledged to an
executor before its effect is stored.
"""

from __future__ import annotations

import asyncio

from returns import result

from knapweedwharf.fleet import advice as advice_module
from knapweedwharf.fleet import background
from knapweedwharf.fleet import backlog_record as backlog_record_module
from knapweedwharf.fleet import clients as clients_module
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import crashes as crashes_module
from knapweedwharf.fleet import decider as decider_module
from knapweedwharf.fleet import demand_record as demand_record_module
from knapweedwharf.fleet import desired as desired_module
from knapweedwharf.fleet import election as election_module
from knapweedwharf.fleet import engines as engines_module
from knapweedwharf.fleet import evacuated_executors
from knapweedwharf.fleet import executor_loss
from knapweedwharf.fleet import intake as intake_module
from knapweedwharf.fleet import job_specs as job_specs_module
from knapweedwharf.fleet import late_ends as late_ends_module
from knapweedwharf.fleet import machine_order_context as context_module
from knapweedwharf.fleet import maintenance as maintenance_module
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import model
from knapweedwharf.fleet import orders as orders_module
from knapweedwharf.fleet import pacing as pacing_module
from knapweedwharf.fleet import policy
from knapweedwharf.fleet import pool_scaling as pool_scaling_module
from knapweedwharf.fleet import progress_writer as progress_writer_module
from knapweedwharf.fleet import records
from knapweedwharf.fleet import registry as registry_module
from knapweedwharf.fleet import reports as reports_module
from knapweedwharf.fleet import retention as retention_module
from knapweedwharf.fleet import scheduling_state as scheduling_state_module
from knapweedwharf.fleet import session as session_module
from knapweedwharf.fleet import start_delay as start_delay_module
from knapweedwharf.fleet import start_gate as start_gate_module
from knapweedwharf.fleet import start_window as start_window_module
from knapweedwharf.fleet import take_over as take_over_module
from knapweedwharf.fleet import versioned_value
from knapweedwharf.fleet import waiting_report as waiting_report_module
from knapweedwharf import log
from knapweedwharf import metrics

TICK_S = 0.2
"""Period of time-driven checks; a tenth of the shortest time limit."""

PENDING_INTERVAL_S = 0.5
"""A quarter of the allowed age of the published pending counts."""


class Tenure:
    """Schedules all services while this VM is the owner.

    :param desired: this VM's copy of the operator's desired state.
    :param election: knows whether orders may still be sent.
    :param take_over: bounds the time to read the records.
    """

    def __init__(
        self,
        *,
        process_config: model.ProcessConfig,
        clients: clients_module.PlatformClients,
        desired: desired_module.DesiredState,
        election: election_module.Election,
        ownership: election_module.Ownership,
        take_over: take_over_module.TakeOver,
        sender: metrics.Metrics,
    ) -> None:
        self._process_config = process_config
        self._clients = clients
        self._election = election
        self._ownership = ownership
        self._take_over = take_over
        self._sender = sender
        self._log = log.get("tenure").bind(epoch=ownership.epoch)
        self._tasks: list[asyncio.Task] = []
        self._won_s = clock.elapsed_s()
        self._published: dict[str, int] | None = None
        self.scheduling_state = scheduling_state_module.SchedulingState()
        self._progress_writer = progress_writer_module.ProgressWriter(
            store=clients.store,
            epoch_revision=ownership.revision,
            dump=self.scheduling_state.dump,
            dump_ended=self.scheduling_state.dump_ended,
            on_fenced=lambda: election.give_up("fenced-by-store"),
            sender=sender,
            priority_of=self.scheduling_state.priority_of,
        )
        self.registry = registry_module.Registry(
            process_config=process_config,
            clients=clients,
            ownership=ownership,
            evacuations=desired.evacuations,
            hooks=self._hooks(),
            used_on=lambda executor: self._decider.used_on(executor),
            changed=self._announce,
            reborn=lambda session, how: self._reports.reborn(session, how),
        )
        self._evacuations = desired.evacuations
        self._connect(desired)

    def _connect(self, desired: desired_module.DesiredState) -> None:
        """Create the components that exchange events with the engine."""
        self._advice = advice_module.Advice(
            client=self._clients.advisor,
            candidates=lambda *asked: self._decider.candidates(*asked),
            approved=lambda *told: self._decider.approved(*told),
            sender=self._sender,
        )
        capacity = self._process_config.capacity
        self._start_delay = start_delay_module.StartDelay(
            link_bps=capacity.link_bps,
            stop_timeout_s=self._process_config.bounds.stop_timeout_s,
            answer_times=self.registry.answer_times,
            progress_writer=self._progress_writer,
        )
        self._decider = decider_module.Decider(
            scheduling_state=self.scheduling_state,
            progress_writer=self._progress_writer,
            desired=desired,
            job_specs=self._job_specs(desired),
            epoch=self._ownership.epoch,
            engine_factory=self._engine_factory(),
            sender=self._sender,
            start=lambda attempt: self._orders.start(attempt),
            advance=lambda attempt: self._orders.advance(attempt),
            advice=self._advice,
            executors=self.registry.usable,
            incarnation_of=self.registry.incarnation_of,
            may_decide=self._may_start,
        )
        self._orders = orders_module.Orders(
            scheduling_state=self.scheduling_state,
            progress_writer=self._progress_writer,
            sessions=self.registry.sessions,
            election=self._election,
            epoch=self._ownership.epoch,
            sender=self._sender,
            tell=self._decider.tell,
            advice=self._advice,
            window=start_window_module.StartWindow(capacity.link_bps),
            start_delay=self._start_delay,
            gate=self._start_gate(desired),
        )
        self._connect_inputs(desired)

    def _engine_factory(self) -> engines_module.EngineFactory:
        return engines_module.EngineFactory(
            epoch=self._ownership.epoch,
            configuration=policy.configuration(
                learns_speeds=self._process_config.learns_speeds
            ),
        )

    def _start_gate(
        self, desired: desired_module.DesiredState
    ) -> start_gate_module.StartGate:
        return start_gate_module.StartGate(
            may_start=self._may_start,
            evacuations=desired.evacuations,
            sender=self._sender,
        )

    def _job_specs(
        self, desired: desired_module.DesiredState
    ) -> job_specs_module.JobSpecs:
        return job_specs_module.JobSpecs(
            scheduling_state=self.scheduling_state,
            desired=desired,
            bounds=self._process_config.bounds,
            start_delay=self._start_delay,
        )

    def _connect_inputs(self, desired: desired_module.DesiredState) -> None:
        """Create the components that process reports and submissions."""
        self._crashes = crashes_module.Crashes(
            scheduling_state=self.scheduling_state,
            departures=self.registry.departures,
            progress_writer=self._progress_writer,
            tell=self._decider.tell,
            sender=self._sender,
        )
        self._reports = reports_module.Reports(
            scheduling_state=self.scheduling_state,
            progress_writer=self._progress_writer,
            orders=self._orders,
            tell=self._decider.tell,
            sender=self._sender,
            pacing=pacing_module.Pacing(
                scheduling_state=self.scheduling_state,
                set_speed=self._orders.pace,
            ),
            late_ends=late_ends_module.LateEnds(
                scheduling_state=self.scheduling_state,
                decider=self._decider,
                progress_writer=self._progress_writer,
            ),
            crashes=self._crashes,
        )
        self._intake = intake_module.Intake(
            store=self._clients.store,
            scheduling_state=self.scheduling_state,
            progress_writer=self._progress_writer,
            decider=self._decider,
            crashes=self._crashes,
            epoch=self._ownership.epoch,
            cancel_s=self._process_config.bounds.cancel_s,
            won_s=self._won_s,
            sender=self._sender,
        )
        self._connect_reports()
        self._connect_machines(desired)

    def _connect_reports(self) -> None:
        """Create the components that tell of the engines' state."""
        self._waiting_report = waiting_report_module.WaitingReport(
            engines=self._decider.engines, epoch=self._ownership.epoch
        )
        self._retention = retention_module.Retention(
            scheduling_state=self.scheduling_state,
            progress_writer=self._progress_writer,
            decider=self._decider,
            kept_s=self._process_config.bounds.status_retention_s,
        )
        self._backlog_record = backlog_record_module.BacklogRecord(
            store=self._clients.store,
            ownership=self._ownership,
            scheduling_state=self.scheduling_state,
        )
        self._demand_record = demand_record_module.DemandRecord(
            store=self._clients.store,
            ownership=self._ownership,
            engines=self._decider.engines,
            tell=self._decider.tell,
        )

    def _connect_machines(self, desired: desired_module.DesiredState) -> None:
        """Create the components that concern machines."""
        self._evacuated = evacuated_executors.EvacuatedExecutors(
            evacuations=desired.evacuations,
            sessions=self.registry.sessions,
            cordon=self.registry.cordon_announced,
            announce=self._announce,
            sender=self._sender,
        )
        context = context_module.MachineOrderContext(
            bounds=self._process_config.bounds,
            clients=self._clients,
            desired=desired,
            registry=self.registry,
            scheduling_state=self.scheduling_state,
            election=self._election,
            ownership=self._ownership,
            sender=self._sender,
            first_order_s=clock.elapsed_s()
            + self._process_config.bounds.owner_lease_s,
            tell=self._decider.tell,
        )
        self._maintenance = maintenance_module.MaintenanceRunner(context)
        self._pools = pool_scaling_module.PoolScaler(
            context,
            waiting=self._decider.waiting_need,
            has_other_orders=self._maintenance.has_orders_for,
        )

    def _hooks(self) -> session_module.Hooks:
        return session_module.Hooks(
            reported=self._reported,
            silent=lambda: self._sender.count(
                metric_definitions.EXECUTORS_SILENT
            ),
            cordoned=lambda session: self._reports.cordoned(session),
            leaving=lambda session: self._reports.leaving(session),
            gone=lambda session, how: self._reports.gone(session, how),
            fenced=lambda: self._election.give_up("fenced-by-executor"),
            may_order=lambda: self._election.may_order(),
            is_busy=self.scheduling_state.is_busy,
        )

    async def start(self) -> None:
        """Take over: read the records, seal the executors, then schedule."""
        await self._progress_writer.start()
        await self._advice.start()
        await self._decider.start()
        await self._intake.start()
        for work in (
            self._bound_reading(),
            self._schedule_forever(),
            background.keep_running(self._publish_forever, "publication"),
        ):
            self._tasks.append(asyncio.create_task(work))

    async def close(self) -> None:
        """Stop sending orders and close all components."""
        self._decider.event_times.report()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._decider.close()
        await self._intake.close()
        await self._backlog_record.close()
        await self._demand_record.close()
        await self._maintenance.close()
        await self._pools.close()
        self._evacuated.close()
        await self.registry.close()
        await self._advice.close()
        await self._orders.close()
        await self._progress_writer.close()

    async def _bound_reading(self) -> None:
        """Hand over to another VM if the records can't be read in time."""
        began_s = clock.elapsed_s()
        while not self._intake.loaded.is_set():
            why = self._take_over.overdue(began_s, self._intake.progressed_s)
            if why:
                self._hand_over(why, clock.elapsed_s() - began_s)
                return
            await asyncio.sleep(TICK_S)
        self._take_over.succeed()

    def _hand_over(self, why: str, spent_s: float) -> None:
        stuck_s, total_s = self._take_over.stuck_s, self._take_over.total_s
        pause_s = self._take_over.fail()
        self._log.warning(
            "take-over-given-up",
            why=why,
            spent_s=round(spent_s, 3),
            stuck_limit_s=stuck_s,
            total_limit_s=total_s,
            pages=self._intake.pages,
            jobs=self._intake.applied,
            failed_calls=self._intake.failures,
            hand_overs=self._take_over.failures,
            pause_s=pause_s,
        )
        self._election.step_down(why, pause_s)

    async def _schedule_forever(self) -> None:
        await self._intake.loaded.wait()
        await self._backlog_record.start()
        await self._demand_record.start()
        for attempt in self.scheduling_state.attempts.values():
            for member in attempt.members.values():
                self.registry.awaited.add(member.executor_id)
        await self.registry.start()
        self._evacuated.start()
        await self._maintenance.start()
        await self._pools.start()
        await background.keep_running(self._tick_forever, "ticks")

    async def _tick_forever(self) -> None:
        while await self._election.may_order():
            await asyncio.sleep(TICK_S)
            try:
                self._tick()
            except Exception:
                # The next tick may succeed, and without ticks no time
                # limit would be enforced.
                self._log.exception("tick-broken")

    async def _may_start(self) -> bool:
        """Return whether to place and start work; wait while cancellations
        or evacuations may be unknown or the ownership is in doubt.
        """
        await self._intake.until_confirmed()
        while await self._evacuations.until_confirmed():
            await self._intake.until_confirmed()
        return await self._election.may_order()

    def _tick(self) -> None:
        self.registry.tick()
        for executor_id in self.registry.awaited.pop_lapsed():
            self._reports.executor_ended(executor_id, executor_loss.ABSENT)
        self._crashes.tick()
        self._decider.tick()
        self._decider.event_times.tick()
        self._retention.tick()
        self._waiting_report.tick()
        self._evacuated.tick()

    def _reported(
        self,
        session: session_module.Session,
        report: model.Report,
        requested_s: float,
    ) -> None:
        self._reports.apply(session, report, requested_s)
        self._announce(session)

    def _announce(self, session: session_module.Session) -> None:
        if self.registry.announce(session, self._decider.tell):
            self._advice.executors_changed()

    async def _publish_forever(self) -> None:
        await self._intake.loaded.wait()
        counts = versioned_value.VersionedValue(
            self._clients.store,
            records.PENDING_KEY,
            epoch_revision=self._ownership.revision,
        )
        while await self._election.may_order():
            await asyncio.sleep(PENDING_INTERVAL_S)
            pending = self.scheduling_state.pending()
            self._sender.gauge(
                metric_definitions.JOBS_PENDING, sum(pending.values())
            )
            if pending != self._published:
                await self._publish(counts, pending)

    async def _publish(
        self, counts: versioned_value.VersionedValue, pending: dict[str, int]
    ) -> None:
        written = await counts.write(records.dump_pending(pending))
        if isinstance(written, result.Success):
            self._published = pending
        else:
            self._log.info("pending-not-published", why=written.failure().code)
