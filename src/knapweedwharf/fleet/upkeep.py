"""Waves of maintenance: machines are emptied, ordered down, awaited.

At most as many machines of a wave are down, or being emptied, as the
operator allows at once. Work that ends before its machine's turn has
to be over stays; other work moves. What was ordered is stored before
the order, so that another owner goes on where this one stopped.
"""

from __future__ import annotations

import asyncio
import dataclasses

from returns import result

from knapweedwharf import backoff
from knapweedwharf.core import event
from knapweedwharf import errors
from knapweedwharf.fleet import availability
from knapweedwharf.fleet import background
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import duty as duty_module
from knapweedwharf.fleet import measures
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records
from knapweedwharf.fleet import session as session_module
from knapweedwharf import log

TICK_S = 0.25
"""A tenth of the shortest maintenance."""

LOOK_S = 1.0
"""Lists of machines are priced; nothing there changes much faster."""

TURN_MARGIN_S = 0.5
"""Of a machine's turn, for its last stops and for the order."""

RETURN_SHARE = 2.0
"""A machine that is not back after so many times the usual is looked
for in the list of machines."""

_FIRST_RETRY_S = 0.2
_LONGEST_RETRY_S = 1.0


@dataclasses.dataclass(slots=True)
class _Wave:
    """What became of a wave under this owner and earlier ones.

    :ivar revision: of its record; 0 before the first.
    :ivar begun: machines ordered down, and the life that each had.
    :ivar finished: machines that are back, or have left for good.
    :ivar turns: machines being emptied, and when that has to be over.
    :ivar ordered_s: when this owner gave an order that was confirmed.
    :ivar shown: the state last shown to the operator, or None.
    """

    wave: model.Wave
    seen_s: float
    revision: int = 0
    begun: dict[str, str] = dataclasses.field(default_factory=dict)
    finished: set[str] = dataclasses.field(default_factory=set)
    turns: dict[str, float] = dataclasses.field(default_factory=dict)
    ordered_s: dict[str, float] = dataclasses.field(default_factory=dict)
    shown: bool | None = None

    @property
    def left(self) -> list[str]:
        """Machines whose turn has not come."""
        done = self.begun.keys() | self.finished | self.turns.keys()
        return [m for m in self.wave.machine_ids if m not in done]

    @property
    def down(self) -> list[str]:
        """Machines ordered down that are not back."""
        return [m for m in self.begun if m not in self.finished]

    @property
    def is_complete(self) -> bool:
        """Whether every machine had its turn."""
        return self.finished.issuperset(self.wave.machine_ids)


class Upkeep(background.Background):
    """Carries the operator's waves out while this VM is the owner."""

    def __init__(self, duty: duty_module.Duty) -> None:
        self._bounds = duty.bounds
        self._store = duty.outside.store
        self._machines = duty.outside.machines
        self._catalogue = duty.outside.catalogue
        self._desired = duty.desired
        self._registry = duty.registry
        self._board = duty.board
        self._election = duty.election
        self._ownership = duty.ownership
        self._sender = duty.sender
        self._tell = duty.tell
        self._first_order_s = duty.first_order_s
        self._log = log.get("upkeep").bind(epoch=duty.ownership.ordinal)
        self._waves: dict[int, _Wave] = {}
        self._listed: dict[str, model.Machine] = {}
        self._looked_s = float("-inf")

    def is_ordered(self, machine_id: str) -> bool:
        """Tell whether a machine's turn in some wave has begun."""
        return any(
            machine_id in wave.turns or machine_id in wave.down
            for wave in self._waves.values()
        )

    async def _run(self) -> None:
        waits = backoff.Backoff(
            first_s=_FIRST_RETRY_S, longest_s=_LONGEST_RETRY_S
        )
        while self._election.is_owner:
            fault: errors.Fault | None = None
            for wave in list(self._desired.waves.values()):
                try:
                    fault = await self._step(wave) or fault
                except Exception:
                    # The other waves and the next round go on.
                    self._log.exception("wave-broken", wave=wave.number)
            if fault is None:
                waits.reset()
                await asyncio.sleep(TICK_S)
            else:
                self._log.warning("wave-held-up", why=fault.code)
                await asyncio.sleep(waits.next_s())

    async def _step(self, wave: model.Wave) -> errors.Fault | None:
        """Go one step on with a wave."""
        known = self._waves.get(wave.number)
        if known is None:
            return await self._recall(wave)
        known.wave = wave
        if known.is_complete:
            return await self._show(known)
        fault = await self._show(known)
        fault = await self._look_if_missing(known) or fault
        self._take_back(known)
        for machine_id in list(known.turns):
            fault = await self._empty(known, machine_id) or fault
        for machine_id in known.down:
            if machine_id not in known.ordered_s:
                fault = await self._order(known, machine_id) or fault
        self._choose(known)
        return fault

    # Records

    async def _recall(self, wave: model.Wave) -> errors.Fault | None:
        read = await self._store.read(records.wave_key(wave.number))
        if isinstance(read, result.Failure):
            return read.failure()
        known = _Wave(wave, clock.elapsed_s())
        item = read.unwrap()
        if item is not None:
            known.revision = item.revision
            known.begun, known.finished = records.load_wave(item.value)
        self._waves[wave.number] = known
        return None

    async def _save(self, known: _Wave) -> errors.Fault | None:
        key = records.wave_key(known.wave.number)
        value = records.dump_wave(known.begun, known.finished)
        saved = await self._commit(
            {key: known.revision}, model.Write(key, value)
        )
        if isinstance(saved, result.Success):
            known.revision = saved.unwrap()
            return None
        if isinstance(saved.failure(), errors.Conflict):
            # An own write whose answer was lost; only owners write here.
            item = saved.failure().mismatch.current.get(key)
            known.revision = item.revision if item else 0
        return saved.failure()

    async def _commit(
        self, expected: dict[str, int], write: model.Write
    ) -> result.Result[int, errors.Fault]:
        expected = {records.EPOCH_KEY: self._ownership.revision, **expected}
        return await self._store.commit(model.Commit(expected, (write,)))

    async def _show(self, known: _Wave) -> errors.Fault | None:
        """Tell the operator how the wave is."""
        complete = known.is_complete
        if known.shown == complete:
            return None
        key, value = self._catalogue.wave_status(known.wave.number, complete)
        written = await self._commit({}, model.Write(key, value))
        if isinstance(written, result.Failure):
            return written.failure()
        known.shown = complete
        self._log.info(
            "wave-shown",
            wave=known.wave.number,
            complete=complete,
            finished=len(known.finished),
            machines=len(known.wave.machine_ids),
        )
        return None

    # Machines

    def _session(self, machine_id: str) -> session_module.Session | None:
        return self._registry.of_machine(machine_id)

    async def _look_if_missing(self, known: _Wave) -> errors.Fault | None:
        """Read the list of machines if one is missing or long away."""
        now_s = clock.elapsed_s()
        late_s = now_s - RETURN_SHARE * self._bounds.maintenance_s
        missing = [m for m in known.left if self._session(m) is None]
        missing += [
            m for m in known.down if known.ordered_s.get(m, now_s) < late_s
        ]
        if not missing or now_s - self._looked_s < LOOK_S:
            return None
        self._looked_s = now_s
        listed = await self._machines.list()
        if isinstance(listed, result.Failure):
            return listed.failure()
        self._listed = {m.machine_id: m for m in listed.unwrap()}
        for machine_id in missing:
            self._judge_missing(known, machine_id)
        return None

    def _judge_missing(self, known: _Wave, machine_id: str) -> None:
        machine = self._listed.get(machine_id)
        if machine is None:
            self._finish(known, machine_id, why="has-left")
        elif machine_id in known.begun:
            if machine.state == model.MACHINE_UP:
                self._finish(known, machine_id, why="is-up")
        elif machine.state == model.MACHINE_UP and not machine.executor_id:
            # Its pool is off: nothing runs there.
            known.turns[machine_id] = clock.elapsed_s()

    def _take_back(self, known: _Wave) -> None:
        """Note the machines that have come back with a new life."""
        for machine_id in known.down:
            session = self._session(machine_id)
            before = known.begun[machine_id]
            if session is None or _life(session) == before:
                continue
            if session.executor.state == model.READY:
                self._finish(known, machine_id, why="is-back")

    def _finish(self, known: _Wave, machine_id: str, *, why: str) -> None:
        known.finished.add(machine_id)
        self._log.info(
            "machine-finished",
            wave=known.wave.number,
            machine=machine_id,
            why=why,
        )

    # Turns

    def _choose(self, known: _Wave) -> None:
        """Begin to empty the machines that lose the least work."""
        free = known.wave.most_at_once - len(known.down) - len(known.turns)
        if free <= 0 or clock.elapsed_s() < self._first_order_s:
            return
        present = [
            (self._board.work_at_stake(session.executor_id), machine_id)
            for machine_id in known.left
            if (session := self._session(machine_id)) is not None
        ]
        turn_s = self._turn_s(known)
        for _work, machine_id in sorted(present)[:free]:
            session = self._session(machine_id)
            known.turns[machine_id] = clock.elapsed_s() + turn_s
            self._log.info(
                "machine-emptied",
                wave=known.wave.number,
                machine=machine_id,
                executor=session.executor_id,
                turn_s=round(turn_s, 2),
            )
            self._registry.retire(session)
            self._leave(session, turn_s)

    def _turn_s(self, known: _Wave) -> float:
        """Return how long the next machines may take to be emptied."""
        passed_s = clock.elapsed_s() - known.seen_s
        left_s = known.wave.within_s - passed_s
        rounds = -(-len(known.left) // known.wave.most_at_once)
        turn_s = left_s / max(rounds, 1) - self._bounds.maintenance_s
        return max(0.0, turn_s - TURN_MARGIN_S)

    def _leave(
        self, session: session_module.Session, remaining_s: float
    ) -> None:
        leaving = event.WorkerLeaving(
            session.executor_id, remaining_s, keeps_lasting=True
        )
        self._tell(session.executor.service, leaving)

    async def _empty(
        self, known: _Wave, machine_id: str
    ) -> errors.Fault | None:
        """Empty a machine further; order it down once nothing runs."""
        session = self._session(machine_id)
        if session is None:
            if machine_id not in self._listed:
                del known.turns[machine_id]
                return None
            return await self._begin(known, machine_id, life="")
        if not self._board.is_busy(session.executor_id):
            return await self._begin(known, machine_id, life=_life(session))
        if clock.elapsed_s() >= known.turns[machine_id]:
            self._leave(session, 0.0)
        self._move_lasting(session)
        return None

    def _move_lasting(self, session: session_module.Session) -> None:
        """Move what lasts, as far as its users can do without it."""
        seen: set[str] = set()
        for attempt, _member in self._board.members_on(session.executor_id):
            if attempt.attempt_id in seen or attempt.stopping:
                continue
            seen.add(attempt.attempt_id)
            if not availability.is_lasting(attempt):
                continue
            if availability.may_end(self._board, attempt):
                moved = event.JobMoved(
                    attempt.part.part_id, "Its machine is to be maintained."
                )
                self._tell(session.executor.service, moved)

    async def _begin(
        self, known: _Wave, machine_id: str, *, life: str
    ) -> errors.Fault | None:
        known.begun[machine_id] = life
        del known.turns[machine_id]
        fault = await self._save(known)
        if fault is not None:
            # Nothing was ordered; whether it is stored shows later.
            return fault
        return await self._order(known, machine_id)

    async def _order(
        self, known: _Wave, machine_id: str
    ) -> errors.Fault | None:
        """Order a machine down; repeated until the answer is known."""
        if clock.elapsed_s() < self._first_order_s:
            return None
        ordered = await self._machines.maintain(
            machine_id, known.wave.number, epoch=self._ownership.ordinal
        )
        fault = None
        if isinstance(ordered, result.Success):
            known.ordered_s[machine_id] = clock.elapsed_s()
            self._sender.count(measures.MAINTAINED)
        else:
            fault = ordered.failure()
            self._refused(known, machine_id, fault)
        self._log.info(
            "machine-ordered",
            wave=known.wave.number,
            machine=machine_id,
            life=known.begun.get(machine_id, ""),
            outcome="accepted" if fault is None else fault.why,
        )
        return fault

    def _refused(
        self, known: _Wave, machine_id: str, fault: errors.Fault
    ) -> None:
        if isinstance(fault, errors.Fenced):
            self._election.lose("fenced-by-machines")
        elif isinstance(fault, errors.OrderRefused):
            if fault.reason in (model.NOT_OF_WAVE, model.NO_MACHINE):
                self._finish(known, machine_id, why=fault.reason)


def _life(session: session_module.Session) -> str:
    executor = session.executor
    return f"{executor.executor_id}/{executor.incarnation_ms}"
