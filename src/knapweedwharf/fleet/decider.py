"""Runs the scheduling engines and carries out their decisions."""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib
import functools
import typing

from knapweedwharf.core import amount
from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import record as record_module
from knapweedwharf.core import workflow
from knapweedwharf.fleet import advice as advice_module
from knapweedwharf.fleet import advice_candidates
from knapweedwharf.fleet import attempt as attempt_module
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import engines as engines_module
from knapweedwharf.fleet import event_times as event_times_module
from knapweedwharf.fleet import executor_standing
from knapweedwharf.fleet import job_specs as job_specs_module
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import model
from knapweedwharf.fleet import open_parts as open_parts_module
from knapweedwharf.fleet import passes as passes_module
from knapweedwharf.fleet import placed_parts
from knapweedwharf.fleet import policy
from knapweedwharf.fleet import progress_writer as progress_writer_module
from knapweedwharf.fleet import scheduling_state as scheduling_state_module
from knapweedwharf import log
from knapweedwharf import metrics

AttemptCallback = abc.Callable[[attempt_module.Attempt], None]


_NOT_PLACED_STATES = (record_module.QUEUED, workflow.CANCELLED)
"""States of a part none of whose runs is left."""


class Decider:
    """Keeps one engine per service; turns jobs into attempts.

    :param epoch: the owner's epoch; makes run numbers unique to it.
    :param engine_factory: creates the engine of a service.
    :param start: sends an attempt's starts once its placements are
        stored.
    :param advance: called once the engine wants an attempt stopped.
    :param advice: asks the advisor about steps that need its approval.
    :param job_specs: describes parts to the engines.
    :param executors: returns a service's executors that may get work now.
    :param incarnation_of: returns an executor's incarnation, by its id.
    :param may_decide: see ``passes.Passes``.
    :ivar event_times: time that the engines take, by kind of event.
    """

    def __init__(
        self,
        *,
        scheduling_state: scheduling_state_module.SchedulingState,
        progress_writer: progress_writer_module.ProgressWriter,
        desired,
        job_specs: job_specs_module.JobSpecs,
        epoch: int,
        engine_factory: engines_module.EngineFactory,
        sender: metrics.Metrics,
        start: AttemptCallback,
        advance: AttemptCallback,
        advice: advice_module.Advice,
        executors: abc.Callable[[str], list[model.Executor]],
        incarnation_of: abc.Callable[[str], int],
        may_decide: abc.Callable[[], abc.Awaitable[bool]],
    ) -> None:
        self._scheduling_state = scheduling_state
        self._progress_writer = progress_writer
        self._desired = desired
        self._job_specs = job_specs
        self._epoch = epoch
        self._sender = sender
        self._start = start
        self._advance_attempt = advance
        self._advice = advice
        self._executors = executors
        self._incarnation_of = incarnation_of
        self._log = log.get("decider").bind(epoch=epoch)
        self._placed = placed_parts.PlacedParts(epoch=epoch, sender=sender)
        self._open_parts = open_parts_module.OpenParts(
            scheduling_state=scheduling_state, desired=desired
        )
        self._standings = executor_standing.Standings(epoch, sender)
        self._engine_factory = engine_factory
        self._engines: dict[str, engine_module.Engine] = {}
        self.event_times = event_times_module.EventTimes(
            epoch=epoch, sender=sender, load=self._load
        )
        self._passes = passes_module.Passes(
            run_step=self._run_pass_step, may_decide=may_decide
        )

    async def start(self) -> None:
        """Start running scheduling passes."""
        await self._passes.start()

    async def close(self) -> None:
        """Stop running scheduling passes."""
        await self._passes.close()

    def _engine(self, service: str) -> engine_module.Engine:
        engine = self._engines.get(service)
        if engine is None:
            engine = self._engine_factory.create(service)
            self._engines[service] = engine
        return engine

    @property
    def engines(self) -> abc.Mapping[str, engine_module.Engine]:
        """The engines by service, to be read only."""
        return self._engines

    def tell(self, service: str, happened: event.Event) -> None:
        """Apply an event to a service's engine and request a pass.

        What follows from the event alone is carried out at once. An error
        ends only this event, as callers pass several in a row.
        """
        engine = self._engine(service)
        kind = type(happened).__name__
        try:
            with self._carrying_out(kind, service):
                engine.apply(happened, now_s=clock.steady_s())
        except Exception:
            self._log.exception(
                "event-not-applied", kind=kind, service=service
            )
        if engine.needs_pass:
            self._passes.request()

    def _run_pass_step(self) -> bool:
        """Run one step of a pass; return False if no pass is due."""
        for service, engine in self._engines.items():
            if engine.needs_pass:
                break
        else:
            return False
        # The services take turns.
        self._engines[service] = self._engines.pop(service)
        with self._carrying_out(event_times_module.PASS_STEP, service):
            engine.schedule(now_s=clock.steady_s(), tries=1)
        return True

    @contextlib.contextmanager
    def _carrying_out(self, kind: str, service: str) -> abc.Iterator[None]:
        """Carry out what an engine decides in the block.

        Its state counts on that, also if the block or a decision fails.

        :param kind: kind of the block in the event times.
        """
        try:
            with self.event_times.measure(kind):
                yield
        finally:
            for decided in self._engine(service).take_decisions():
                try:
                    self._carry_out(decided, service)
                except Exception:
                    self._log.exception(
                        "decision-not-carried-out",
                        kind=type(decided).__name__,
                    )

    def tick(self) -> None:
        """Pass the time to the engines and submit what may start by now.

        Repetitions may be due, and other parts may have made room.
        """
        for service in list(self._engines):
            self.tell(service, event.Tick())
        for flow in list(self._scheduling_state.workflows.values()):
            if flow.has_unreleased_parts or flow.job.is_timed:
                self.submit_ready_parts(flow)

    def _load(self) -> event_times_module.Load:
        queues = [engine.state.waiting for engine in self._engines.values()]
        return event_times_module.Load(
            waiting_parts=sum(len(queue) for queue in queues),
            waiting_classes=sum(queue.class_count for queue in queues),
            running_attempts=len(self._scheduling_state.attempts),
            unstored_jobs=self._progress_writer.unstored_jobs,
        )

    # Jobs

    def restore(self, flow: workflow.Workflow) -> None:
        """Restore a job's attempts that may still run in the engine."""
        engine = self._engine(flow.job.service)
        placed = [
            p for p in flow.parts.values() if p.placements and not p.done
        ]
        for part, spec in self._job_specs.of_parts(flow, placed):
            attempt = self._scheduling_state.add(
                f"{part.part_id}/{part.run}",
                flow,
                part,
                phase=attempt_module.ORDERED,
            )
            attempt.start_reported = True
            if not flow.is_final:
                self._request_advice(flow, part)
            engine.restore(
                record_module.JobRecord(
                    job=spec,
                    state=record_module.RUNNING,
                    attempt_id=attempt.attempt_id,
                    assignments=part.placements,
                    failures=part.failures,
                    has_failed=part.failed_run == part.run,
                    started_s=clock.steady_at(part.placed_s),
                )
            )

    def stop_remaining(self, flow: workflow.Workflow) -> None:
        """Stop what may still run of a job that an earlier owner ended."""
        self.restore(flow)
        if self._scheduling_state.parts_with_attempts(flow.job.job_id):
            self._end_job(flow)

    def submit_ready_parts(self, flow: workflow.Workflow) -> None:
        """Submit the parts of a job that may start now."""
        if flow.is_final:
            return
        released = flow.release_ready_parts(
            clock.unix_s(), self._open_parts.most_tasks(flow)
        )
        self._open_parts.update(flow)
        if flow.completed:
            self._job_completed(flow)
        if not released:
            return
        held = self._scheduling_state.parts_with_attempts(flow.job.job_id)
        opened = [part for part in released if part.part_id not in held]
        for part, spec in self._job_specs.of_parts(flow, opened):
            submitted = event.JobSubmitted(spec, part.failures)
            self.tell(flow.job.service, submitted)
            self._request_advice(flow, part)

    def used_on(self, executor: model.Executor) -> amount.Amount:
        """Return what attempts take on an executor."""
        topology = self._engine(executor.service).topology
        return topology.used_on(executor.executor_id)

    def waiting_need(self, service: str) -> amount.Amount:
        """Return the needs of work that has waited for ``GROW_AFTER_S``."""
        engine = self._engines.get(service)
        need = amount.NOTHING
        if engine is None:
            return need
        oldest_s = clock.steady_s() - policy.GROW_AFTER_S
        for part_id in engine.state.waiting.job_ids():
            job = engine.records[part_id].job
            if job.submitted_s <= oldest_s:
                need = need + amount.of_task(job).times(job.tasks)
        return need

    # Advice

    def _request_advice(
        self, flow: workflow.Workflow, part: workflow.Part
    ) -> None:
        job = flow.job
        if job.is_advised:
            step_id = part.step_id(job.job_id)
            terms = self._desired.advisor_terms(job.route)
            self._advice.enqueue_step(step_id, job.service, terms)

    def candidates(self, service: str, step_id: str) -> list[model.Executor]:
        """Return the executors that a waiting step could use now."""
        return advice_candidates.of_step(
            step_id,
            flow=self._scheduling_state.workflows.get(
                workflow.job_id_of(step_id)
            ),
            engine=self._engine(service),
            executors=self._executors(service),
        )

    def approved(
        self,
        service: str,
        step_id: str,
        approved: tuple[str, ...],
        denied: tuple[str, ...],
    ) -> None:
        """Pass the advisor's answer to the engine."""
        known = event.WorkersApproved(step_id, approved, denied)
        self.tell(service, known)

    def _forget_advice(self, flow: workflow.Workflow) -> None:
        if flow.job.is_advised:
            for part in flow.parts.values():
                self._advice.forget_step(part.step_id(flow.job.job_id))

    def cancel(self, flow: workflow.Workflow, age_s: float | None) -> None:
        """Cancel a job.

        :param age_s: time since the cancellation was accepted, if known.
        """
        flow.cancelled = True
        self._log.info(
            "job-cancelled",
            job_id=flow.job.job_id,
            age_s=None if age_s is None else round(age_s, 3),
        )
        self._end_job(flow)

    def drop(self, flow: workflow.Workflow) -> None:
        """Remove what the engine holds of a job that is over."""
        engine = self._engine(flow.job.service)
        for part_id in flow.parts:
            engine.drop(part_id)

    def _end_job(self, flow: workflow.Workflow) -> None:
        self._scheduling_state.mark_ended(flow.job.job_id)
        self._open_parts.update(flow)
        self._forget_advice(flow)
        self._progress_writer.mark_dirty(flow.job.job_id)
        for part_id in list(flow.parts):
            self.tell(flow.job.service, event.JobCancelled(part_id))

    # Decisions

    @functools.singledispatchmethod
    def _carry_out(self, decided: typing.Any, service: str) -> None:
        self._log.info("decision-ignored", kind=type(decided).__name__)

    @_carry_out.register
    def _(self, decided: decision.WorkerChanged, service: str) -> None:
        self._standings.changed(decided)

    @_carry_out.register
    def _(self, decided: decision.WorkerSpeedChanged, service: str) -> None:
        self._standings.speed_changed(decided, self._engines)

    @_carry_out.register
    def _(self, decided: decision.JobChanged, service: str) -> None:
        held = self._scheduling_state.find_part(decided.job_id)
        if held is None:
            return
        flow, part = held
        self._log.debug(
            "part-changed",
            job_id=flow.job.job_id,
            part=decided.job_id,
            state=decided.state,
            reason=decided.reason.code,
        )
        record = self._engine(service).records.get(decided.job_id)
        if record is not None:
            part.failures = record.failures
            if record.has_failed:
                part.failed_run = part.run
        if decided.state == "finished":
            if not part.done:
                self.part_done(flow, part)
        elif decided.state == "failed":
            self._part_failed(flow, part)
        elif decided.state in _NOT_PLACED_STATES and part.placements:
            part.placements = ()
            self._progress_writer.mark_dirty(flow.job.job_id)

    def part_done(self, flow: workflow.Workflow, part: workflow.Part) -> None:
        """Mark a part as done; submit the parts that waited for it."""
        flow.mark_part_done(part)
        self._open_parts.update(flow)
        self._progress_writer.mark_dirty(flow.job.job_id)
        if flow.completed:
            self._job_completed(flow)
        # Deferred, as the engine is still handling an event.
        forget = self._engine(flow.job.service).forget_ended
        asyncio.get_running_loop().call_soon(forget, part.part_id)
        asyncio.get_running_loop().call_soon(self.submit_ready_parts, flow)

    def _job_completed(self, flow: workflow.Workflow) -> None:
        self._progress_writer.mark_dirty(flow.job.job_id)
        self._scheduling_state.mark_ended(flow.job.job_id)
        self._forget_advice(flow)
        after_s = clock.steady_s() - flow.job.submitted_s
        self._sender.timing(metric_definitions.JOB_MS, after_s * 1000)
        self._log.info(
            "job-completed",
            job_id=flow.job.job_id,
            after_s=round(after_s, 3),
            declared_s=round(flow.job.declared_s, 3),
        )

    def _part_failed(
        self, flow: workflow.Workflow, part: workflow.Part
    ) -> None:
        part.placements = ()
        if flow.is_final:
            return
        flow.failed = True
        self._log.info(
            "job-failed",
            job_id=flow.job.job_id,
            part=part.part_id,
            failures=part.failures,
            max_attempts=flow.job.max_attempts,
        )
        asyncio.get_running_loop().call_soon(self._end_job, flow)

    @_carry_out.register
    def _(self, decided: decision.StartGang, service: str) -> None:
        flow, part = self._scheduling_state.find_part(decided.job.job_id)
        flow.next_run(part, self._epoch)
        part.placements = decided.assignments
        part.incarnations = {
            place.worker_id: self._incarnation_of(place.worker_id)
            for place in decided.assignments
        }
        part.placed_s = clock.unix_s()
        attempt = self._scheduling_state.add(
            decided.attempt_id, flow, part, phase=attempt_module.INTENDED
        )
        record = self._engine(service).records[decided.job.job_id]
        self._placed.report(part, record, decided.reason)
        self._progress_writer.mark_dirty(
            flow.job.job_id, functools.partial(self._start, attempt)
        )

    @_carry_out.register
    def _(self, decided: decision.StopGang, service: str) -> None:
        attempt = self._scheduling_state.attempts.get(decided.attempt_id)
        if attempt is None:
            return
        attempt.stopping = True
        self._log.info(
            "part-stopping",
            job_id=attempt.job.job_id,
            part=attempt.part.part_id,
            run=attempt.run,
            reason=decided.reason.code,
            why=decided.reason.text,
        )
        asyncio.get_running_loop().call_soon(self._advance_attempt, attempt)
