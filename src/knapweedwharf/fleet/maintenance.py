"""Carries out maintenance waves: drains machines, then orders them down.

At most as many machines of a wave are down or draining as the operator
allows at once. Work that ends before its machine's drain deadline
stays; other work moves. Each order is stored before it is sent, so that
another owner can continue where this one stopped. A machine is finished
once its order was accepted and it is back. An order that may not have
been accepted is repeated, but only while nothing runs on its machine.
"""

from __future__ import annotations

import asyncio

from returns import result

from knapweedwharf import backoff
from knapweedwharf import codec
from knapweedwharf.core import event
from knapweedwharf import errors
from knapweedwharf.fleet import availability
from knapweedwharf.fleet import background
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import machine_order_context as context_module
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records
from knapweedwharf.fleet import session as session_module
from knapweedwharf.fleet import versioned_value
from knapweedwharf.fleet import wave_progress
from knapweedwharf import log

TICK_S = 0.25
"""A tenth of the shortest maintenance."""

LIST_INTERVAL_S = 1.0
"""Listing machines has a price, and the list hardly changes faster."""

DRAIN_MARGIN_S = 0.5
"""Reserved after a drain deadline for the last stops and the order."""

OVERDUE_FACTOR = 2.0
"""Multiple of the usual maintenance time after which a machine that is not
back is looked up in the list of machines."""

_FIRST_RETRY_S = 0.2
_LONGEST_RETRY_S = 1.0


class MaintenanceRunner(background.Background):
    """Carries out the operator's maintenance waves for the owner."""

    def __init__(self, context: context_module.MachineOrderContext) -> None:
        self._bounds = context.bounds
        self._store = context.clients.store
        self._machines = context.clients.machines
        self._store_schema = context.clients.store_schema
        self._desired = context.desired
        self._registry = context.registry
        self._scheduling_state = context.scheduling_state
        self._election = context.election
        self._ownership = context.ownership
        self._sender = context.sender
        self._tell = context.tell
        self._first_order_s = context.first_order_s
        self._log = log.get("upkeep").bind(epoch=context.ownership.epoch)
        self._waves: dict[int, wave_progress.WaveProgress] = {}
        self._listed_at_s = float("-inf")

    def has_orders_for(self, machine_id: str) -> bool:
        """Return whether a machine is draining or down for some wave."""
        return any(machine_id in w.away for w in self._waves.values())

    async def _run(self) -> None:
        delays = backoff.Backoff(
            initial_s=_FIRST_RETRY_S, max_s=_LONGEST_RETRY_S
        )
        while await self._election.may_order():
            fault: errors.Fault | None = None
            for wave in list(self._desired.waves.values()):
                try:
                    fault = await self._step(wave) or fault
                except Exception:
                    # Continue with the other waves and the next round.
                    self._log.exception("wave-broken", wave=wave.number)
            if fault is None:
                delays.reset()
                await asyncio.sleep(TICK_S)
            else:
                self._log.warning("wave-held-up", why=fault.code)
                await asyncio.sleep(delays.next_s())

    async def _step(self, wave: model.MaintenanceWave) -> errors.Fault | None:
        """Advance a wave by one step."""
        progress = self._waves.get(wave.number)
        if progress is None:
            return await self._load(wave)
        progress.wave = wave
        if progress.is_complete:
            fault = None if progress.is_saved else await progress.save()
            return await self._publish_status(progress) or fault
        fault = await self._publish_status(progress)
        fault = await self._check_missing(progress) or fault
        self._collect_returned(progress)
        for machine_id in list(progress.drains):
            fault = (
                await self._continue_draining(progress, machine_id) or fault
            )
        if not progress.is_saved:
            fault = await progress.save() or fault
        self._start_draining(progress)
        return fault

    # Records

    async def _load(self, wave: model.MaintenanceWave) -> errors.Fault | None:
        key = records.wave_key(wave.number)
        read = await self._store.read(key)
        if isinstance(read, result.Failure):
            return read.failure()
        item = read.unwrap()
        status_key, _value = self._store_schema.wave_status(wave.number, False)
        progress = wave_progress.WaveProgress(
            wave,
            clock.elapsed_s(),
            record=self._value_at(key, item.revision if item else 0),
            status=self._value_at(status_key),
        )
        if item is not None:
            try:
                progress.load(item.value)
            except codec.UNDECODABLE as error:
                # Orders are repeated; those carried out have no effect.
                self._log.error(
                    "wave-record-malformed",
                    wave=wave.number,
                    revision=item.revision,
                    why=str(error),
                )
            # These may have crashed since and run work.
            turn_s = self._drain_time_s(progress)
            progress.drains = {
                machine_id: wave_progress.Drain(turn_s)
                for machine_id in progress.unconfirmed
            }
        self._waves[wave.number] = progress
        return None

    def _value_at(
        self, key: str, revision: int = 0
    ) -> versioned_value.VersionedValue:
        return versioned_value.VersionedValue(
            self._store,
            key,
            epoch_revision=self._ownership.revision,
            revision=revision,
        )

    async def _publish_status(
        self, progress: wave_progress.WaveProgress
    ) -> errors.Fault | None:
        """Publish to the operator whether the wave is complete."""
        complete = progress.is_complete
        if progress.published == complete:
            return None
        _key, value = self._store_schema.wave_status(
            progress.wave.number, complete
        )
        written = await progress.status.write(value)
        if isinstance(written, result.Failure):
            return written.failure()
        progress.published = complete
        self._log.info(
            "wave-shown",
            wave=progress.wave.number,
            complete=complete,
            finished=len(progress.finished),
            machines=len(progress.wave.machine_ids),
        )
        return None

    # Machines

    def _session(self, machine_id: str) -> session_module.Session | None:
        return self._registry.session_of_machine(machine_id)

    async def _check_missing(
        self, progress: wave_progress.WaveProgress
    ) -> errors.Fault | None:
        """List the machines if one is missing or overdue."""
        now_s = clock.elapsed_s()
        late_s = now_s - OVERDUE_FACTOR * self._bounds.maintenance_s
        absent = [m for m in progress.not_begun if self._session(m) is None]
        missing = absent if self._has_room(progress) else []
        missing += [
            m
            for m in progress.down
            if progress.accepted_s.get(m, now_s) < late_s
        ]
        if not missing or now_s - self._listed_at_s < LIST_INTERVAL_S:
            return None
        self._listed_at_s = now_s
        listed = await self._machines.list()
        if isinstance(listed, result.Failure):
            return listed.failure()
        machines = {m.machine_id: m for m in listed.unwrap()}
        for machine_id in missing:
            self._resolve_missing(
                progress, machine_id, machines.get(machine_id)
            )
        return None

    def _resolve_missing(
        self,
        progress: wave_progress.WaveProgress,
        machine_id: str,
        machine: model.Machine | None,
    ) -> None:
        is_up = machine is not None and machine.state == model.MACHINE_UP
        if machine_id in progress.begun:
            if machine is None or is_up:
                why = "is-up" if is_up else "has-left"
                self._finish(progress, machine_id, why=why)
        elif machine is None or (is_up and not machine.executor_id):
            # Its pool is off, or it has left. The answer to its order tells
            # whether it has, as a list may lack rows.
            if self._may_drain(machine_id):
                progress.drains[machine_id] = wave_progress.Drain(
                    0.0, is_idle=True
                )

    def _collect_returned(self, progress: wave_progress.WaveProgress) -> None:
        """Finish the machines that are back with a new incarnation.

        An incarnation that is seen before the maintenance can have ended
        belongs to a crash before it.
        """
        latest_s = clock.elapsed_s() - self._bounds.maintenance_s
        for machine_id in progress.down:
            accepted_s = progress.accepted_s.get(machine_id)
            if accepted_s is None or accepted_s > latest_s:
                continue
            session = self._session(machine_id)
            before = progress.begun[machine_id]
            if session is None or _incarnation_of(session) == before:
                continue
            if session.executor.state == model.READY:
                self._finish(progress, machine_id, why="is-back")

    def _finish(
        self,
        progress: wave_progress.WaveProgress,
        machine_id: str,
        *,
        why: str,
    ) -> None:
        progress.finished.add(machine_id)
        progress.is_saved = False
        progress.drains.pop(machine_id, None)
        session = self._session(machine_id)
        if session is not None:
            self._registry.reinstate(session)
        self._log.info(
            "machine-finished",
            wave=progress.wave.number,
            machine=machine_id,
            why=why,
        )

    # Draining

    def _start_draining(self, progress: wave_progress.WaveProgress) -> None:
        """Start draining the machines that lose the least work.

        Those that don't answer come last: a crashed one refuses its order
        until it is back.
        """
        is_early = clock.elapsed_s() < self._first_order_s
        if is_early or not self._has_room(progress):
            return
        present = [
            (
                session.is_silent,
                self._scheduling_state.work_lost_by_stop(session.executor_id),
                machine_id,
            )
            for machine_id in progress.not_begun
            if (session := self._session(machine_id)) is not None
        ]
        turn_s = self._drain_time_s(progress)
        for _is_silent, _work, machine_id in sorted(present):
            if self._may_drain(machine_id):
                progress.drains[machine_id] = wave_progress.Drain(turn_s)
                self._keep_drained(progress, machine_id)

    def _may_drain(self, machine_id: str) -> bool:
        """Return whether each wave of a machine allows one more to be away.

        A wave whose record isn't read yet may have machines away.
        """
        if not self._desired.waves.keys() <= self._waves.keys():
            return False
        return not self.has_orders_for(machine_id) and all(
            self._has_room(progress)
            for progress in self._waves.values()
            if machine_id in progress.wave.machine_ids
            and not progress.is_complete
        )

    def _has_room(self, progress: wave_progress.WaveProgress) -> bool:
        return wave_progress.has_room(progress, self._waves.values())

    def _keep_drained(
        self, progress: wave_progress.WaveProgress, machine_id: str
    ) -> session_module.Session | None:
        """Keep new work off the present incarnation; return its session."""
        session = self._session(machine_id)
        if session is None:
            return None
        drain = progress.drains[machine_id]
        if drain.incarnation == _incarnation_of(session):
            return session
        drain.incarnation = _incarnation_of(session)
        drain.deadline_s = clock.elapsed_s() + drain.turn_s
        self._log.info(
            "machine-emptied",
            wave=progress.wave.number,
            machine=machine_id,
            executor=session.executor_id,
            turn_s=round(drain.turn_s, 2),
        )
        self._registry.retire(session)
        self._report_leaving(session, drain.turn_s)
        return session

    def _drain_time_s(self, progress: wave_progress.WaveProgress) -> float:
        """Return how long the next machines may take to drain."""
        passed_s = clock.elapsed_s() - progress.seen_s
        left_s = progress.wave.within_s - passed_s
        rounds = -(-len(progress.not_begun) // progress.wave.most_at_once)
        turn_s = left_s / max(rounds, 1) - self._bounds.maintenance_s
        return max(0.0, turn_s - DRAIN_MARGIN_S)

    def _report_leaving(
        self, session: session_module.Session, remaining_s: float
    ) -> None:
        leaving = event.WorkerLeaving(
            session.executor_id, remaining_s, keeps_lasting=True
        )
        self._tell(session.executor.service, leaving)

    async def _continue_draining(
        self, progress: wave_progress.WaveProgress, machine_id: str
    ) -> errors.Fault | None:
        """Continue draining; order the machine down once nothing runs."""
        session = self._keep_drained(progress, machine_id)
        if session is None:
            if machine_id in progress.begun:
                incarnation = progress.begun[machine_id]
            elif progress.drains[machine_id].is_idle:
                incarnation = ""
            else:
                del progress.drains[machine_id]
                return None
            return await self._order_maintenance(
                progress, machine_id, incarnation=incarnation
            )
        if not self._scheduling_state.is_busy(session.executor_id):
            return await self._order_maintenance(
                progress, machine_id, incarnation=_incarnation_of(session)
            )
        if clock.elapsed_s() >= progress.drains[machine_id].deadline_s:
            self._report_leaving(session, 0.0)
        for attempt in availability.movable(
            self._scheduling_state, session.executor_id
        ):
            moved = event.JobMoved(
                attempt.part.part_id, "Its machine is to be maintained."
            )
            self._tell(session.executor.service, moved)
        return None

    async def _order_maintenance(
        self,
        progress: wave_progress.WaveProgress,
        machine_id: str,
        *,
        incarnation: str,
    ) -> errors.Fault | None:
        """Order a machine down, on which nothing runs.

        Repeated until the order is accepted; a repeated order has no
        effect if the maintenance has begun.
        """
        if clock.elapsed_s() < self._first_order_s:
            return None
        fault = await progress.save_begun(machine_id, incarnation)
        if fault is not None:
            return fault
        if not await self._election.may_order():
            return None
        session = self._session(machine_id)
        if session is not None and _incarnation_of(session) != incarnation:
            return None
        ordered = await self._machines.maintain(
            machine_id, progress.wave.number, epoch=self._ownership.epoch
        )
        fault = None
        if isinstance(ordered, result.Success):
            progress.accepted_s[machine_id] = clock.elapsed_s()
            progress.is_saved = False
            del progress.drains[machine_id]
            self._sender.count(metric_definitions.MACHINES_MAINTAINED)
        else:
            fault = ordered.failure()
            self._handle_refusal(progress, machine_id, fault)
        self._log.info(
            "machine-ordered",
            wave=progress.wave.number,
            machine=machine_id,
            life=progress.begun.get(machine_id, ""),
            outcome="accepted" if fault is None else fault.why,
        )
        return fault

    def _handle_refusal(
        self,
        progress: wave_progress.WaveProgress,
        machine_id: str,
        fault: errors.Fault,
    ) -> None:
        if isinstance(fault, errors.Fenced):
            self._election.give_up("fenced-by-machines")
        elif isinstance(fault, errors.OrderRefused):
            if fault.reason in (model.NOT_OF_WAVE, model.NO_MACHINE):
                self._finish(progress, machine_id, why=fault.reason)


def _incarnation_of(session: session_module.Session) -> str:
    executor = session.executor
    return f"{executor.executor_id}/{executor.incarnation_ms}"
