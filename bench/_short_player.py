"""Plays a load of short step jobs through the decision core."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import typing

from bench import _short_load
from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf.core import workflow
from knapweedwharf.fleet import model as fleet_model
from knapweedwharf.fleet import policy as fleet_policy

TICK_S = 0.2
REPORT_S = 1.0
START_S = 0.03
DISTANT = 3.0
AFTER_S = 40.0
"""How long the player goes on after the last arrival."""

WASTE_PRICE = 0.0022
"""Worth that a core-second of work thrown away costs."""


@dataclasses.dataclass
class _Run:
    """An attempt at work.

    :ivar slower: multiple of its work that it takes.
    :ivar saved: share that was done before.
    """

    job_id: str
    part_id: str
    places: tuple[model.Assignment, ...]
    began_s: float
    work_s: float
    slower: float
    saved: float
    fails: bool
    over: bool = False

    def share(self, now_s: float) -> float:
        """Return how much is done, from 0 to 1."""
        done = (now_s - self.began_s) / (self.work_s * self.slower)
        return min(1.0, self.saved + max(0.0, done))


@dataclasses.dataclass
class Outcome:
    """What a day came to.

    :ivar worth: earned less the price of thrown-away work, as a share
        of what was owed.
    :ivar by_kind: share earned of what was owed, by kind.
    :ivar waste_share: price of thrown-away work, as the same share.
    """

    worth: float
    by_kind: dict[str, float]
    waste_share: float
    stops: int
    in_time: float
    urgent_missed: int


class Player:
    """One day of a load under one configuration of the core."""

    def __init__(
        self,
        load: _short_load.Load,
        seed: int,
        *,
        policy: str = fleet_policy.ENGINE_POLICY,
        configuration: model.Configuration | None = None,
    ) -> None:
        self._load = load
        self._seed = f"{load.name}/{seed}"
        self._run_counts: dict[str, int] = {}
        self._arrivals = _short_load.draw(load, seed)
        self._by_id = {a.job.job_id: a for a in self._arrivals}
        self._flows: dict[str, workflow.Workflow] = {}
        self._runs: dict[str, _Run] = {}
        self._saved: dict[str, float] = {}
        self._ended_s: dict[str, float] = {}
        self._begun_s: dict[str, float] = {}
        self._waste_core_s = 0.0
        self._stops = 0
        self._queue: list[tuple[float, int, typing.Callable]] = []
        self._order = itertools.count()
        self.now_s = 0.0
        self.bounds = fleet_model.Bounds(stop_timeout_s=load.stop_s)
        self.engine = engine_module.Engine(
            data_centre="pool", attempt_prefix="t", policy=policy
        )
        self._tell(
            event.ConfigurationChanged(
                configuration or fleet_policy.configuration()
            )
        )
        self._racks: dict[str, str] = {}
        for number in range(load.workers):
            self._add_worker(number)

    def _add_worker(self, number: int) -> None:
        load = self._load
        name, rack = f"w{number}", f"r{number // load.per_rack}"
        self._racks[name] = rack
        spec = model.WorkerSpec(
            name,
            rack,
            "pool",
            load.accelerators,
            load.cores * 1000,
            load.memory_mib,
        )
        self._tell(event.WorkerSealed(spec))
        at_s = REPORT_S * number / load.workers
        self._at(at_s, lambda: self._report(name))

    # Time

    def _at(self, at_s: float, call: typing.Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_s, next(self._order), call))

    def play(self) -> Outcome:
        """Play the day."""
        for arrival in self._arrivals:
            self._at(
                arrival.job.submitted_s, lambda a=arrival: self._arrive(a)
            )
        self._at(TICK_S, self._tick)
        until_s = self._load.length_s + AFTER_S
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _number, call = heapq.heappop(self._queue)
            call()
        return self._outcome()

    def _tick(self) -> None:
        self._tell(event.Tick())
        self._at(self.now_s + TICK_S, self._tick)

    def _report(self, worker_id: str) -> None:
        room = self.engine.topology.workers[worker_id]
        shares = tuple(
            (a, int(100 * self._runs[a].share(self.now_s)) / 100)
            for a in room.occupants
            if a in self._runs and not self._runs[a].over
        )
        if shares:
            self._tell(event.ProgressSeen(worker_id, shares))
        self._at(self.now_s + REPORT_S, lambda: self._report(worker_id))

    # Jobs

    def _arrive(self, arrival: _short_load.Arrival) -> None:
        flow = workflow.Workflow(arrival.job)
        self._flows[arrival.job.job_id] = flow
        self._open(flow)
        if arrival.cancel_after_s:
            at_s = self.now_s + arrival.cancel_after_s
            self._at(at_s, lambda: self._cancel(flow))

    def _open(self, flow: workflow.Workflow) -> None:
        for part in flow.open_parts(self.now_s):
            standing = fleet_policy.standing(
                flow.job,
                flow.job.steps[part.step],
                guaranteed=self._load.guaranteed,
                claimed=self._claimed(flow.job.account),
                bounds=self.bounds,
            )
            spec = workflow.spec_of(flow, part, standing=standing)
            self._tell(event.JobSubmitted(spec))

    def _claimed(self, account: str) -> int:
        return sum(
            flow.job.accelerators
            for flow in self._flows.values()
            if flow.job.account == account
            and flow.job.priority == 0
            and not flow.is_final
        )

    def _cancel(self, flow: workflow.Workflow) -> None:
        if flow.is_final:
            return
        flow.cancelled = True
        for part_id in list(flow.parts):
            self._tell(event.JobCancelled(part_id))

    # Decisions

    def _tell(self, happened: event.Event) -> None:
        for taken in self.engine.handle(happened, now_s=self.now_s):
            if isinstance(taken, decision.StartGang):
                self._at(self.now_s + START_S, lambda t=taken: self._start(t))
                self._begun_s.setdefault(
                    workflow.job_id_of(taken.job.job_id), self.now_s
                )
            elif isinstance(taken, decision.StopGang):
                self._stops += 1
                delay_s = self._load.stop_s * self._draw(taken.job_id)
                self._at(
                    self.now_s + START_S + delay_s,
                    lambda t=taken: self._stopped(t.attempt_id),
                )
            elif isinstance(taken, decision.JobChanged):
                self._changed(taken)

    def _start(self, taken: decision.StartGang) -> None:
        part_id = taken.job.job_id
        job_id = workflow.job_id_of(part_id)
        arrival = self._by_id[job_id]
        part = self._flows[job_id].parts[part_id]
        racks = {self._racks[p.worker_id] for p in taken.assignments}
        step = arrival.job.steps[part.step]
        distant = (step.wants_one_rack and len(racks) > 1) or (
            step.data_rack and racks != {step.data_rack}
        )
        run = _Run(
            job_id,
            part_id,
            taken.assignments,
            self.now_s,
            arrival.work_s[part.step],
            DISTANT if distant else 1.0,
            self._saved.get(part_id, 0.0) if step.saves_progress else 0.0,
            self._draw(part_id) < arrival.kind.failing,
        )
        self._runs[taken.attempt_id] = run
        self._tell(event.GangStarted(taken.attempt_id))
        left_s = (1.0 - run.saved) * run.work_s * run.slower
        attempt_id = taken.attempt_id
        self._at(self.now_s + left_s, lambda: self._end(attempt_id))

    def _draw(self, part_id: str) -> float:
        """Return a number that does not depend on what others do."""
        count = self._run_counts.get(part_id, 0)
        self._run_counts[part_id] = count + 1
        return random.Random(f"{self._seed}/{part_id}/{count}").random()

    def _end(self, attempt_id: str) -> None:
        run = self._runs.get(attempt_id)
        if run is None or run.over:
            return
        run.over = True
        if run.fails:
            self._waste(run)
        for place in run.places:
            self._tell(
                event.TaskEnded(
                    attempt_id,
                    place.task_index,
                    place.worker_id,
                    not run.fails,
                    "",
                )
            )
            if run.fails:
                break

    def _stopped(self, attempt_id: str) -> None:
        run = self._runs.get(attempt_id)
        if run is not None and not run.over:
            run.over = True
            step = int(run.part_id.split(".")[2])
            if self._by_id[run.job_id].job.steps[step].saves_progress:
                self._saved[run.part_id] = run.share(self.now_s)
            else:
                self._waste(run)
        self._tell(event.GangStopped(attempt_id, False))

    def _waste(self, run: _Run) -> None:
        weight = sum(
            place.cores / 1000
            + _short_load.WORK_CORES * len(place.accelerators)
            for place in run.places
        )
        self._waste_core_s += weight * (self.now_s - run.began_s)

    def _changed(self, taken: decision.JobChanged) -> None:
        job_id = workflow.job_id_of(taken.job_id)
        flow = self._flows[job_id]
        if taken.state == "finished":
            flow.part_done(flow.parts[taken.job_id])
            if flow.completed:
                self._ended_s[job_id] = self.now_s
            self._at(self.now_s, lambda: self._open(flow))

    # The day

    def _outcome(self) -> Outcome:
        owed: dict[str, float] = {}
        earned: dict[str, float] = {}
        mean: dict[str, list[float]] = {}
        in_time = counted = missed = 0
        for arrival in self._arrivals:
            mean.setdefault(arrival.kind.name, []).append(arrival.core_s)
        for arrival in self._arrivals:
            if self._flows[arrival.job.job_id].cancelled:
                continue
            kind = arrival.kind
            typical = sum(mean[kind.name]) / len(mean[kind.name])
            size = min(4.0, 0.3 + 0.7 * arrival.core_s / typical)
            owed[kind.name] = owed.get(kind.name, 0.0) + kind.worth * size
            took_s = (
                self._ended_s.get(arrival.job.job_id, float("inf"))
                - arrival.job.submitted_s
            )
            gain = 0.0
            if took_s <= arrival.objective_s:
                gain = kind.worth
                in_time += 1
            elif took_s <= _short_load.LONG_S * arrival.objective_s:
                gain = kind.late_worth
            earned[kind.name] = earned.get(kind.name, 0.0) + gain * size
            counted += 1
            missed += kind.priority == 0 and not gain
        total = sum(owed.values())
        waste = WASTE_PRICE * self._waste_core_s / total
        return Outcome(
            worth=sum(earned.values()) / total - waste,
            by_kind={k: earned.get(k, 0.0) / owed[k] for k in owed},
            waste_share=waste,
            stops=self._stops,
            in_time=in_time / max(counted, 1),
            urgent_missed=missed,
        )
