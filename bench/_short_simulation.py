"""Simulates a load of short jobs with steps on the scheduling engine."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
import typing

from bench import _short_load
from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf.core import part_spec
from knapweedwharf.core import workflow
from knapweedwharf.fleet import model as fleet_model
from knapweedwharf.fleet import policy as fleet_policy

TICK_INTERVAL_S = 0.2
REPORT_INTERVAL_S = 1.0
START_DELAY_S = 0.03
REMOTE_RUN_FACTOR = 3.0
DRAIN_S = 40.0
"""How long the simulation continues after the load's last arrival."""

LOST_CORE_S_COST = 0.0022
"""Value that is deducted for a core-second of lost work."""


@dataclasses.dataclass
class _Attempt:
    """An attempt to run a part of a job.

    :ivar run_factor: its run time as a multiple of ``work_s``.
    :ivar saved_share: share that its last checkpoint covers.
    """

    job_id: str
    part_id: str
    assignments: tuple[model.Assignment, ...]
    started_s: float
    work_s: float
    run_factor: float
    saved_share: float
    will_fail: bool
    has_ended: bool = False

    def completed_share(self, now_s: float) -> float:
        """Return the completed share of the work, from 0 to 1."""
        done = (now_s - self.started_s) / (self.work_s * self.run_factor)
        return min(1.0, self.saved_share + max(0.0, done))


@dataclasses.dataclass
class Outcome:
    """Result of one simulation.

    Shares refer to the value of all jobs that were not cancelled.

    :ivar value_share: value earned, less the cost of lost work.
    :ivar value_by_kind: value earned, by kind of job.
    :ivar lost_work_share: cost of lost work.
    :ivar stops: number of stop orders.
    :ivar in_time_share: share of these jobs that met their objective.
    :ivar urgent_missed: number of jobs of priority 0 that earned nothing.
    """

    value_share: float
    value_by_kind: dict[str, float]
    lost_work_share: float
    stops: int
    in_time_share: float
    urgent_missed: int


class Simulation:
    """Simulation of one load under one engine configuration."""

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
        self._arrivals = _short_load.generate_arrivals(load, seed)
        self._by_id = {a.job.job_id: a for a in self._arrivals}
        self._workflows: dict[str, workflow.Workflow] = {}
        self._runs: dict[str, _Attempt] = {}
        self._saved_shares: dict[str, float] = {}
        self._ended_s: dict[str, float] = {}
        self._first_started_s: dict[str, float] = {}
        self._lost_core_s = 0.0
        self._stop_count = 0
        self._scheduled_calls: list[tuple[float, int, typing.Callable]] = []
        self._call_numbers = itertools.count()
        self.now_s = 0.0
        self.bounds = fleet_model.TimeLimits(stop_timeout_s=load.max_stop_s)
        self.engine = engine_module.Engine(
            data_centre="pool", attempt_prefix="t", policy=policy
        )
        self._send_event(
            event.ConfigurationChanged(
                configuration or fleet_policy.configuration()
            )
        )
        self._racks: dict[str, str] = {}
        self._speeds: dict[str, float] = {}
        for number in range(load.workers):
            self._add_worker(number)

    def _add_worker(self, number: int) -> None:
        load = self._load
        name, rack = f"w{number}", f"r{number // load.workers_per_rack}"
        self._racks[name] = rack
        self._speeds[name] = load.speed_of(number)
        spec = model.WorkerSpec(
            name,
            rack,
            "pool",
            load.accelerators,
            load.cores * 1000,
            load.memory_mib,
        )
        self._send_event(event.WorkerSealed(spec))
        at_s = REPORT_INTERVAL_S * number / load.workers
        self._schedule(at_s, lambda: self._report(name))

    # Clock

    def _schedule(self, at_s: float, call: typing.Callable[[], None]) -> None:
        heapq.heappush(
            self._scheduled_calls, (at_s, next(self._call_numbers), call)
        )

    def run(self) -> Outcome:
        """Run the simulation."""
        for arrival in self._arrivals:
            self._schedule(
                arrival.job.submitted_s, lambda a=arrival: self._submit_job(a)
            )
        self._schedule(TICK_INTERVAL_S, self._tick)
        end_s = self._load.duration_s + DRAIN_S
        while self._scheduled_calls and self._scheduled_calls[0][0] <= end_s:
            self.now_s, _number, call = heapq.heappop(self._scheduled_calls)
            call()
        return self._result()

    def _tick(self) -> None:
        self._send_event(event.Tick())
        self._schedule(self.now_s + TICK_INTERVAL_S, self._tick)

    def _report(self, worker_id: str) -> None:
        worker = self.engine.topology.workers[worker_id]
        progress = tuple(
            (a, int(100 * self._runs[a].completed_share(self.now_s)) / 100)
            for a in worker.occupants
            if a in self._runs and not self._runs[a].has_ended
        )
        if progress:
            self._send_event(event.ProgressSeen(worker_id, progress))
        self._schedule(
            self.now_s + REPORT_INTERVAL_S, lambda: self._report(worker_id)
        )

    # Jobs

    def _submit_job(self, arrival: _short_load.Arrival) -> None:
        flow = workflow.Workflow(arrival.job)
        self._workflows[arrival.job.job_id] = flow
        self._submit_ready_parts(flow)
        if arrival.cancel_after_s:
            at_s = self.now_s + arrival.cancel_after_s
            self._schedule(at_s, lambda: self._cancel(flow))

    def _submit_ready_parts(self, flow: workflow.Workflow) -> None:
        for part in flow.release_ready_parts(self.now_s):
            priority = fleet_policy.scheduling_priority(
                flow.job,
                flow.job.steps[part.step],
                guaranteed=self._load.guaranteed_accelerators,
                claimed=self._claimed_accelerators(flow.job.account),
                bounds=self.bounds,
                start_delay_s=0.0,
            )
            spec = part_spec.of_part(
                flow,
                part,
                priority=priority,
                due_s=flow.job.due_s(part.occurrence),
            )
            self._send_event(event.JobSubmitted(spec))

    def _claimed_accelerators(self, account: str) -> int:
        return sum(
            flow.job.accelerators
            for flow in self._workflows.values()
            if flow.job.account == account
            and flow.job.priority == 0
            and not flow.is_final
        )

    def _cancel(self, flow: workflow.Workflow) -> None:
        if flow.is_final:
            return
        flow.cancelled = True
        for part_id in list(flow.parts):
            self._send_event(event.JobCancelled(part_id))

    # Decisions

    def _send_event(self, sent_event: event.Event) -> None:
        for action in self.engine.handle(sent_event, now_s=self.now_s):
            if isinstance(action, decision.StartGang):
                self._schedule(
                    self.now_s + START_DELAY_S,
                    lambda a=action: self._start_run(a),
                )
                self._first_started_s.setdefault(
                    workflow.job_id_of(action.job.job_id), self.now_s
                )
            elif isinstance(action, decision.StopGang):
                self._stop_count += 1
                delay_s = self._load.max_stop_s * self._random_fraction(
                    action.job_id
                )
                self._schedule(
                    self.now_s + START_DELAY_S + delay_s,
                    lambda a=action: self._finish_stop(a.attempt_id),
                )
            elif isinstance(action, decision.JobChanged):
                self._apply_job_change(action)

    def _start_run(self, start: decision.StartGang) -> None:
        part_id = start.job.job_id
        job_id = workflow.job_id_of(part_id)
        arrival = self._by_id[job_id]
        part = self._workflows[job_id].parts[part_id]
        racks = {self._racks[place.worker_id] for place in start.assignments}
        step = arrival.job.steps[part.step]
        slowed_by = max(
            self._task_fraction(part_id, place) for place in start.assignments
        )
        is_remote = (step.wants_one_rack and len(racks) > 1) or (
            step.data_rack and racks != {step.data_rack}
        )
        run = _Attempt(
            job_id,
            part_id,
            start.assignments,
            self.now_s,
            arrival.work_s[part.step] * slowed_by,
            REMOTE_RUN_FACTOR if is_remote else 1.0,
            (
                self._saved_shares.get(part_id, 0.0)
                if step.saves_progress
                else 0.0
            ),
            self._random_fraction(part_id) < arrival.kind.failure_rate,
        )
        self._runs[start.attempt_id] = run
        self._send_event(event.GangStarted(start.attempt_id))
        remaining_s = (1.0 - run.saved_share) * run.work_s * run.run_factor
        attempt_id = start.attempt_id
        self._schedule(
            self.now_s + remaining_s, lambda: self._finish_run(attempt_id)
        )

    def _task_fraction(self, part_id: str, place: model.Assignment) -> float:
        """Return the run time of a task as a multiple of its step's."""
        draw = random.Random(f"{self._seed}/{part_id}/{place.task_index}")
        spread = draw.gauss(0.0, self._load.task_spread)
        return math.exp(spread) / self._speeds[place.worker_id]

    def _random_fraction(self, part_id: str) -> float:
        """Return a random number that doesn't depend on other parts."""
        count = self._run_counts.get(part_id, 0)
        self._run_counts[part_id] = count + 1
        return random.Random(f"{self._seed}/{part_id}/{count}").random()

    def _finish_run(self, attempt_id: str) -> None:
        run = self._runs.get(attempt_id)
        if run is None or run.has_ended:
            return
        run.has_ended = True
        if run.will_fail:
            self._add_lost_work(run)
        for place in run.assignments:
            self._send_event(
                event.TaskEnded(
                    attempt_id,
                    place.task_index,
                    place.worker_id,
                    not run.will_fail,
                    "",
                )
            )
            if run.will_fail:
                break

    def _finish_stop(self, attempt_id: str) -> None:
        run = self._runs.get(attempt_id)
        if run is not None and not run.has_ended:
            run.has_ended = True
            step = int(run.part_id.split(".")[2])
            if self._by_id[run.job_id].job.steps[step].saves_progress:
                self._saved_shares[run.part_id] = run.completed_share(
                    self.now_s
                )
            else:
                self._add_lost_work(run)
        self._send_event(event.GangStopped(attempt_id, False))

    def _add_lost_work(self, run: _Attempt) -> None:
        weight = sum(
            place.cores / 1000
            + _short_load.CORES_PER_ACCELERATOR * len(place.accelerators)
            for place in run.assignments
        )
        self._lost_core_s += weight * (self.now_s - run.started_s)

    def _apply_job_change(self, change: decision.JobChanged) -> None:
        job_id = workflow.job_id_of(change.job_id)
        flow = self._workflows[job_id]
        if change.state == "finished":
            flow.mark_part_done(flow.parts[change.job_id])
            if flow.completed:
                self._ended_s[job_id] = self.now_s
            self._schedule(self.now_s, lambda: self._submit_ready_parts(flow))

    # Result

    def _result(self) -> Outcome:
        possible: dict[str, float] = {}
        earned: dict[str, float] = {}
        core_s: dict[str, list[float]] = {}
        in_time_count = measured = urgent_missed_count = 0
        for arrival in self._arrivals:
            core_s.setdefault(arrival.kind.name, []).append(arrival.core_s)
        for arrival in self._arrivals:
            if self._workflows[arrival.job.job_id].cancelled:
                continue
            kind = arrival.kind
            mean_core_s = sum(core_s[kind.name]) / len(core_s[kind.name])
            size = min(4.0, 0.3 + 0.7 * arrival.core_s / mean_core_s)
            possible[kind.name] = (
                possible.get(kind.name, 0.0) + kind.value * size
            )
            completion_s = (
                self._ended_s.get(arrival.job.job_id, float("inf"))
                - arrival.job.submitted_s
            )
            gain = 0.0
            if completion_s <= arrival.objective_s:
                gain = kind.value
                in_time_count += 1
            elif completion_s <= _short_load.LATE_LIMIT * arrival.objective_s:
                gain = kind.late_value
            earned[kind.name] = earned.get(kind.name, 0.0) + gain * size
            measured += 1
            urgent_missed_count += kind.priority == 0 and not gain
        total_value = sum(possible.values())
        lost_work_cost = LOST_CORE_S_COST * self._lost_core_s / total_value
        return Outcome(
            value_share=sum(earned.values()) / total_value - lost_work_cost,
            value_by_kind={
                k: earned.get(k, 0.0) / possible[k] for k in possible
            },
            lost_work_share=lost_work_cost,
            stops=self._stop_count,
            in_time_share=in_time_count / max(measured, 1),
            urgent_missed=urgent_missed_count,
        )
