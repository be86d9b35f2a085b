"""One ownership: jobs in, decisions of the core, orders out.

The tenure reads every record, seals every executor, and from then on
tells the engine what happens and carries out what it decides. Nothing
is ordered before the intent is stored, and no end is noted at an
executor before its effect is stored.
"""

from __future__ import annotations

import asyncio
from collections import abc
import functools
import typing

from returns import result

from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import model as core_model
from knapweedwharf.core import record as record_module
from knapweedwharf.core import workflow
from knapweedwharf import errors
from knapweedwharf.fleet import attempt as attempt_module
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import election as election_module
from knapweedwharf.fleet import ledger as ledger_module
from knapweedwharf.fleet import model
from knapweedwharf.fleet import policy
from knapweedwharf.fleet import records
from knapweedwharf.fleet import registry
from knapweedwharf.fleet import session as session_module
from knapweedwharf.fleet import watcher as watcher_module
from knapweedwharf import log

TICK_S = 0.2
"""Period of what time alone changes; a tenth of the shortest bound."""

JOBS_WATCH_WAIT_S = 5.0
"""A silent connection hides a submission or a cancel no longer."""

START_TRIES = 2
STOP_RETRY_S = 0.15
MAX_STOP_RETRY_S = 0.6
PENDING_INTERVAL_S = 0.5
"""A quarter of the age that the count of waiting jobs may have."""

RETENTION_INTERVAL_S = 5.0
RETENTION_MARGIN_S = 30.0


class Tenure:
    """The scheduling of every service while this VM is the owner.

    :param desired: the operator's desired state on this VM.
    :param election: tells whether orders may still be given.
    """

    def __init__(
        self,
        *,
        site: model.Site,
        store,
        client,
        catalogue: model.Catalogue,
        desired,
        election: election_module.Election,
        ownership: election_module.Ownership,
    ) -> None:
        self._site = site
        self._store = store
        self._client = client
        self._desired = desired
        self._election = election
        self._ownership = ownership
        self._log = log.get("tenure").bind(epoch=ownership.ordinal)
        self._engines: dict[str, engine_module.Engine] = {}
        self._attempts: dict[str, attempt_module.Attempt] = {}
        self._members: dict[
            tuple[str, str, int], tuple[attempt_module.Attempt, int]
        ] = {}
        self._ended_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()
        self._published: dict[str, int] | None = None
        self._pruned_s = clock.elapsed_s()
        self._restored = asyncio.Event()
        self.workflows: dict[str, workflow.Workflow] = {}
        self._ledger = ledger_module.Ledger(
            store=store,
            epoch_revision=ownership.revision,
            dump=self._dump,
            on_fenced=lambda: election.lose("fenced-by-store"),
        )
        self.registry = registry.Registry(
            site=site,
            store=store,
            client=client,
            catalogue=catalogue,
            epoch=ownership.ordinal,
            hooks=session_module.Hooks(
                reported=self._reported,
                silent=self._silent,
                gone=self._gone,
                fenced=lambda: election.lose("fenced-by-executor"),
                may_order=lambda: election.is_owner,
                is_busy=self._is_busy,
            ),
            on_draining=self._draining,
        )
        self._jobs = watcher_module.Watcher(
            store,
            records.JOBS,
            wait_s=JOBS_WATCH_WAIT_S,
            on_listing=self._jobs_listed,
            on_changes=self._jobs_changed,
        )

    async def start(self) -> None:
        """Take over: read the records, seal the executors, go on."""
        await self._ledger.start()
        await self._jobs.start()
        self._spawn(self._begin())

    async def _begin(self) -> None:
        await self._restored.wait()
        await self.registry.start()
        self._spawn(self._tick_forever())
        self._spawn(self._publish_forever())

    async def close(self) -> None:
        """Give no more orders and forget everything."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._jobs.close()
        await self.registry.close()
        await self._ledger.close()

    def _spawn(self, work: abc.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("task-broken", exc_info=task.exception())

    # Records

    def _dump(self, job_id: str) -> bytes | None:
        progress = self.workflows.get(job_id)
        return records.dump_progress(progress) if progress else None

    def _jobs_listed(self, listing: model.Listing) -> None:
        found: dict[str, dict[str, model.Item]] = {}
        for item in listing.items:
            split = records.split_key(item.key)
            if split is not None:
                found.setdefault(split[0], {})[split[1]] = item
        for job_id, kinds in found.items():
            self._take_records(job_id, kinds)
        if not self._restored.is_set():
            self._restored.set()
            self._log.info("records-read", jobs=len(self.workflows))
            self._expect_places()

    def _jobs_changed(self, changes: model.Changes) -> None:
        for item in changes.items:
            split = records.split_key(item.key)
            if split is not None:
                self._take_records(split[0], {split[1]: item})

    def _take_records(self, job_id: str, kinds: dict[str, model.Item]) -> None:
        spec = kinds.get(records.SPEC)
        if spec is not None and job_id not in self.workflows:
            self._take_job(job_id, spec, kinds.get(records.PROGRESS))
        progress = self.workflows.get(job_id)
        cancelled = records.CANCEL in kinds
        if cancelled and progress is not None and not progress.is_final:
            self._cancel(progress)

    def _take_job(
        self, job_id: str, spec: model.Item, progress: model.Item | None
    ) -> None:
        try:
            job = records.load_job(spec.value)
        except (ValueError, TypeError, KeyError) as error:
            self._log.error("job-malformed", job_id=job_id, why=str(error))
            return
        if progress is None:
            found = workflow.Workflow(job)
        else:
            found = records.load_progress(job, progress.value)
            self._ledger.known(job_id, progress.revision)
        self.workflows[job_id] = found
        if found.is_final:
            self._ended_s[job_id] = clock.elapsed_s()
            return
        self._log.info(
            "job-taken",
            job_id=job_id,
            state=found.state,
            revision=spec.revision,
            parts=len(found.parts),
        )
        self._restore(found)
        self._open(found)

    def _restore(self, found: workflow.Workflow) -> None:
        """Hand the engine the attempts that may still run."""
        engine = self._engine(found.job.service)
        for part in found.parts.values():
            if part.done or not part.places:
                continue
            attempt = self._new_attempt(found, part, attempt_module.ORDERED)
            record = record_module.JobRecord(
                job=self._spec(found, part),
                state=record_module.RUNNING,
                attempt_id=attempt.attempt_id,
                assignments=part.places,
                failures=part.failures,
                started_s=clock.unix_s(),
            )
            attempt.told_started = True
            engine.restore(record)

    def _new_attempt(
        self, found: workflow.Workflow, part: workflow.Part, phase: str
    ) -> attempt_module.Attempt:
        attempt = attempt_module.Attempt(
            attempt_id=f"{part.part_id}/{part.run}",
            part=part,
            job=found.job,
            run=part.run,
            members={
                place.task_index: attempt_module.Member(
                    index=place.task_index,
                    task_id=part.task_id(found.job.job_id, place.task_index),
                    executor_id=place.worker_id,
                    phase=phase,
                    is_inherited=phase == attempt_module.ORDERED,
                )
                for place in part.places
            },
        )
        self._track(attempt)
        return attempt

    def _track(self, attempt: attempt_module.Attempt) -> None:
        self._attempts[attempt.attempt_id] = attempt
        for member in attempt.members.values():
            key = (member.executor_id, member.task_id, attempt.run)
            self._members[key] = (attempt, member.index)

    def _expect_places(self) -> None:
        for attempt in self._attempts.values():
            for member in attempt.members.values():
                self.registry.expect(member.executor_id)

    # The engine

    def _engine(self, service: str) -> engine_module.Engine:
        engine = self._engines.get(service)
        if engine is None:
            engine = engine_module.Engine(
                data_centre=service,
                attempt_prefix=f"{service}-{self._ownership.ordinal}",
                policy=policy.ENGINE_POLICY,
            )
            self._engines[service] = engine
            configured = event.ConfigurationChanged(policy.configuration())
            engine.handle(configured, now_s=clock.unix_s())
        return engine

    def _tell(self, service: str, happened: event.Event) -> None:
        engine = self._engine(service)
        for taken in engine.handle(happened, now_s=clock.unix_s()):
            self._carry_out(taken, service)

    def _spec(
        self, found: workflow.Workflow, part: workflow.Part
    ) -> core_model.JobSpec:
        return workflow.spec_of(
            found, part, standing=self._standing(found.job)
        )

    def _standing(self, job: workflow.Job) -> workflow.Standing:
        desired = self._desired.current
        account = desired.accounts.get(job.account) if desired else None
        owed = account.guaranteed_accelerators if account else 0
        claimed = sum(
            other.job.accelerators
            for other in self.workflows.values()
            if other.job.account == job.account
            and other.job.priority == 0
            and not other.is_final
        )
        return policy.standing(
            job,
            guaranteed=owed,
            claimed=claimed,
            bounds=self._site.bounds,
        )

    def _open(self, found: workflow.Workflow) -> None:
        held = {
            attempt.part.part_id
            for attempt in self._attempts.values()
            if attempt.job.job_id == found.job.job_id
        }
        for part in found.open_parts(clock.unix_s()):
            if part.part_id not in held:
                submitted = event.JobSubmitted(self._spec(found, part))
                self._tell(found.job.service, submitted)

    def _cancel(self, found: workflow.Workflow) -> None:
        found.cancelled = True
        self._log.info("job-cancelled", job_id=found.job.job_id)
        self._end_job(found)

    def _end_job(self, found: workflow.Workflow) -> None:
        self._ended_s[found.job.job_id] = clock.elapsed_s()
        self._ledger.mark(found.job.job_id)
        for part_id in list(found.parts):
            cancelled = event.JobCancelled(part_id)
            self._tell(found.job.service, cancelled)

    @functools.singledispatchmethod
    def _carry_out(self, taken: typing.Any, service: str) -> None:
        self._log.info("decision-ignored", kind=type(taken).__name__)

    @_carry_out.register
    def _(self, taken: decision.WorkerChanged, service: str) -> None:
        self._log.warning(
            "executor-standing",
            executor=taken.worker_id,
            standing=taken.standing,
            reason=taken.reason.text,
        )

    @_carry_out.register
    def _(self, taken: decision.JobChanged, service: str) -> None:
        found = self.workflows.get(workflow.job_id_of(taken.job_id))
        part = found.parts.get(taken.job_id) if found else None
        if part is None:
            return
        self._log.info(
            "part-changed",
            job_id=found.job.job_id,
            part=taken.job_id,
            state=taken.state,
            reason=taken.reason.code,
        )
        record = self._engine(service).records.get(taken.job_id)
        if record is not None:
            part.failures = record.failures
        if taken.state == "finished":
            self._part_done(found, part)
        elif taken.state == "failed":
            self._part_failed(found, part)
        elif taken.state == record_module.QUEUED and part.places:
            part.places = ()
            self._ledger.mark(found.job.job_id)

    def _part_done(
        self, found: workflow.Workflow, part: workflow.Part
    ) -> None:
        found.part_done(part)
        self._ledger.mark(found.job.job_id)
        if found.completed:
            self._ended_s[found.job.job_id] = clock.elapsed_s()
            self._log.info(
                "job-completed",
                job_id=found.job.job_id,
                after_s=round(clock.unix_s() - found.job.submitted_s, 3),
            )
        # Not from inside the engine's own event.
        asyncio.get_running_loop().call_soon(self._open, found)

    def _part_failed(
        self, found: workflow.Workflow, part: workflow.Part
    ) -> None:
        part.places = ()
        if found.is_final:
            return
        found.failed = True
        self._log.info(
            "job-failed",
            job_id=found.job.job_id,
            part=part.part_id,
            failures=part.failures,
        )
        asyncio.get_running_loop().call_soon(self._end_job, found)

    @_carry_out.register
    def _(self, taken: decision.StartGang, service: str) -> None:
        found = self.workflows[workflow.job_id_of(taken.job.job_id)]
        part = found.parts[taken.job.job_id]
        found.next_run(part, self._ownership.ordinal)
        part.places = taken.assignments
        attempt = self._new_attempt(found, part, attempt_module.INTENDED)
        # The engine's id goes with it; the run number names the members.
        del self._attempts[attempt.attempt_id]
        attempt.attempt_id = taken.attempt_id
        self._attempts[taken.attempt_id] = attempt
        self._log.info(
            "part-placed",
            job_id=found.job.job_id,
            part=part.part_id,
            run=part.run,
            executors=sorted({p.worker_id for p in taken.assignments}),
            reason=taken.reason.code,
            waited_s=round(clock.unix_s() - taken.job.submitted_s, 3),
        )
        self._ledger.mark(
            found.job.job_id, functools.partial(self._send_starts, attempt)
        )

    @_carry_out.register
    def _(self, taken: decision.StopGang, service: str) -> None:
        attempt = self._attempts.get(taken.attempt_id)
        if attempt is None:
            return
        attempt.stopping = True
        self._log.info(
            "part-stopping",
            job_id=attempt.job.job_id,
            part=attempt.part.part_id,
            reason=taken.reason.code,
            why=taken.reason.text,
        )
        asyncio.get_running_loop().call_soon(self._settle, attempt)

    # Orders

    def _send_starts(self, attempt: attempt_module.Attempt) -> None:
        for member in list(attempt.members.values()):
            if member.phase != attempt_module.INTENDED:
                continue
            session = self.registry.sessions.get(member.executor_id)
            if attempt.must_stop or session is None:
                self._end(attempt, member, model.REFUSED, "")
                continue
            member.phase = attempt_module.ORDERED
            self._spawn(self._start(attempt, member, session))
        self._settle(attempt)

    async def _start(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        session: session_module.Session,
    ) -> None:
        order = model.Order(
            task_id=member.task_id,
            run=attempt.run,
            specification=attempt.job.specification,
            not_after_ms=0,
            epoch=self._ownership.ordinal,
            checkpoint=attempt.part.checkpoint,
        )
        maybe_sent = False
        for _try in range(START_TRIES):
            if not self._election.is_owner:
                return
            answer = await session.start_run(order)
            if isinstance(answer, result.Success):
                self._started(attempt, member)
                return
            fault = answer.failure()
            self._log.info(
                "start-not-confirmed",
                job_id=attempt.job.job_id,
                task=member.task_id,
                run=attempt.run,
                executor=member.executor_id,
                why=getattr(fault, "reason", fault.code),
            )
            if isinstance(fault, errors.Fenced):
                self._election.lose("fenced-by-executor")
                return
            maybe_sent |= isinstance(fault, errors.OutcomeUnknown)
            if not isinstance(
                fault, (errors.OutcomeUnknown, errors.Unreachable)
            ):
                break
        if member.phase != attempt_module.ORDERED:
            return
        attempt.blamed = member.executor_id
        if maybe_sent:
            await self._stop(attempt, member)
        else:
            self._end(attempt, member, model.REFUSED, "")
            self._settle(attempt)

    def _started(
        self, attempt: attempt_module.Attempt, member: attempt_module.Member
    ) -> None:
        if member.phase != attempt_module.ORDERED:
            return
        member.phase = attempt_module.RUNNING
        member.since_s = clock.elapsed_s()
        found = self.workflows[attempt.job.job_id]
        if not found.begun:
            found.begun = True
            self._ledger.mark(attempt.job.job_id)
        self._settle(attempt)

    async def _stop(
        self, attempt: attempt_module.Attempt, member: attempt_module.Member
    ) -> None:
        """Stop a run until the executor has answered or is gone."""
        if member.stop_sent:
            return
        member.stop_sent = True
        wait_s = STOP_RETRY_S
        while member.phase != attempt_module.ENDED:
            session = self.registry.sessions.get(member.executor_id)
            if session is None or not self._election.is_owner:
                return
            answer = await session.stop_run(member.task_id, attempt.run)
            if isinstance(answer, result.Success):
                member.stopped_s = clock.elapsed_s()
                return
            if isinstance(answer.failure(), errors.Fenced):
                self._election.lose("fenced-by-executor")
                return
            await asyncio.sleep(wait_s)
            wait_s = min(2 * wait_s, MAX_STOP_RETRY_S)

    # What becomes of members

    def _end(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        how: str,
        checkpoint: str,
    ) -> None:
        if member.phase == attempt_module.ENDED:
            return
        member.phase = attempt_module.ENDED
        member.how = how
        if checkpoint:
            attempt.part.checkpoint = checkpoint
        self._log.info(
            "run-ended",
            job_id=attempt.job.job_id,
            task=member.task_id,
            run=attempt.run,
            executor=member.executor_id,
            how=how,
        )

    def _settle(self, attempt: attempt_module.Attempt) -> None:
        """Tell the engine what is now certain of an attempt."""
        if attempt.must_stop and not attempt.is_done:
            for member in attempt.members.values():
                if member.phase == attempt_module.RUNNING:
                    self._spawn(self._stop(attempt, member))
        if attempt.over:
            if attempt.all_ended:
                self._forget(attempt)
            return
        service = attempt.job.service
        if not attempt.told_started and not attempt.start_failed:
            if attempt.pending():
                return
            attempt.told_started = True
            started = event.GangStarted(attempt.attempt_id)
            self._tell(service, started)
        if attempt.start_failed:
            if attempt.all_ended:
                self._over(attempt)
                self._tell_failures(attempt)
                self._tell(
                    service,
                    event.GangRefused(
                        attempt.attempt_id,
                        attempt.blamed,
                        "A member did not start.",
                    ),
                )
            return
        self._tell_ends(attempt)
        if not attempt.all_ended:
            return
        self._over(attempt)
        if attempt.stopping:
            stopped = event.GangStopped(
                attempt.attempt_id, bool(attempt.part.checkpoint)
            )
            self._tell(service, stopped)

    def _tell_failures(self, attempt: attempt_module.Attempt) -> None:
        """Let failures count that came while a start was given up."""
        for member in attempt.untold_ends():
            if member.how == model.FAILED:
                self._tell_end(attempt, member, succeeded=False)

    def _tell_ends(self, attempt: attempt_module.Attempt) -> None:
        done = attempt.is_done
        if done:
            # The members of a gang end together; one end tells of all.
            for member in attempt.running():
                self._end(attempt, member, model.DONE, "")
        for member in attempt.untold_ends():
            self._tell_end(attempt, member, succeeded=done)

    def _tell_end(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        *,
        succeeded: bool,
    ) -> None:
        member.told = True
        self._tell(
            attempt.job.service,
            event.TaskEnded(
                attempt_id=attempt.attempt_id,
                task_index=member.index,
                worker_id=member.executor_id,
                succeeded=succeeded,
                detail=member.how,
                lapsed=member.how != model.FAILED,
            ),
        )

    def _over(self, attempt: attempt_module.Attempt) -> None:
        attempt.over = True
        self._forget(attempt)

    def _forget(self, attempt: attempt_module.Attempt) -> None:
        self._attempts.pop(attempt.attempt_id, None)
        for member in attempt.members.values():
            key = (member.executor_id, member.task_id, attempt.run)
            self._members.pop(key, None)

    # Executors

    def _is_busy(self, executor_id: str) -> bool:
        return any(key[0] == executor_id for key in self._members)

    def _reported(
        self,
        session: session_module.Session,
        report: model.Report,
        sent_s: float,
    ) -> None:
        executor_id = session.executor_id
        touched: dict[str, attempt_module.Attempt] = {}
        self._take_ends(session, report, touched)
        present = {(run.task_id, run.run): run for run in report.runs}
        for (task_id, run), row in present.items():
            self._take_run(session, task_id, run, row, touched)
        for key, (attempt, index) in list(self._members.items()):
            if key[0] != executor_id or (key[1], key[2]) in present:
                continue
            member = attempt.members[index]
            if member.is_absent(sent_s):
                how = model.LAPSED if attempt.told_started else model.REFUSED
                self._end(attempt, member, how, "")
                touched[attempt.attempt_id] = attempt
        for attempt in touched.values():
            self._settle(attempt)
        self.registry.seal(session, self._tell)

    def _take_ends(
        self,
        session: session_module.Session,
        report: model.Report,
        touched: dict[str, attempt_module.Attempt],
    ) -> None:
        jobs: dict[str, None] = {}
        for end in report.ends:
            if end.number <= session.seen_end:
                continue
            session.seen_end = end.number
            key = (session.executor_id, end.task_id, end.run)
            jobs[workflow.job_id_of(end.task_id)] = None
            held = self._members.get(key)
            if held is None:
                # A gang's other members may have told of its end.
                continue
            attempt, index = held
            self._end(attempt, attempt.members[index], end.how, end.checkpoint)
            touched[attempt.attempt_id] = attempt
        for attempt in touched.values():
            self._settle(attempt)
        for attempt in touched.values():
            self._ledger.mark(attempt.job.job_id)
        session.note(list(jobs), self._ledger.when_stored)

    def _take_run(
        self,
        session: session_module.Session,
        task_id: str,
        run: int,
        row: model.Run,
        touched: dict[str, attempt_module.Attempt],
    ) -> None:
        held = self._members.get((session.executor_id, task_id, run))
        if held is None:
            if self._has_ended(task_id):
                # The rest of a gang that is done ends by itself.
                return
            self._log.warning(
                "stray-run",
                job_id=workflow.job_id_of(task_id),
                task=task_id,
                run=run,
                executor=session.executor_id,
            )
            self._spawn(session.stop_run(task_id, run))
            return
        attempt, index = held
        member = attempt.members[index]
        if row.checkpoint:
            attempt.part.checkpoint = row.checkpoint
        if member.phase == attempt_module.ORDERED and not member.stop_sent:
            self._started(attempt, member)
            touched[attempt.attempt_id] = attempt

    def _has_ended(self, task_id: str) -> bool:
        found = self.workflows.get(workflow.job_id_of(task_id))
        if found is None or found.cancelled or found.failed:
            return False
        part_id = workflow.part_id_of(found.job, task_id)
        part = found.parts.get(part_id or "")
        return part is not None and part.done

    def _silent(self, session: session_module.Session) -> None:
        self.registry.silent(session)
        self._draining(session)

    def _draining(self, session: session_module.Session) -> None:
        self._tell(
            session.executor.service, event.WorkerLost(session.executor_id)
        )

    def _gone(self, session: session_module.Session) -> None:
        if self.registry.sessions.get(session.executor_id) is session:
            del self.registry.sessions[session.executor_id]
        self._executor_over(session.executor_id)
        self._tell(
            session.executor.service, event.WorkerGone(session.executor_id)
        )

    def _executor_over(self, executor_id: str) -> None:
        """Take note that nothing runs on an executor any more."""
        self._log.warning("executor-gone", executor=executor_id)
        touched: dict[str, attempt_module.Attempt] = {}
        for key, (attempt, index) in list(self._members.items()):
            if key[0] == executor_id:
                member = attempt.members[index]
                how = model.LAPSED if attempt.told_started else model.REFUSED
                self._end(attempt, member, how, "")
                touched[attempt.attempt_id] = attempt
        for attempt in touched.values():
            self._settle(attempt)

    # Time

    async def _tick_forever(self) -> None:
        while self._election.is_owner:
            await asyncio.sleep(TICK_S)
            for service in list(self._engines):
                self._tell(service, event.Tick())
            self.registry.tick()
            for executor_id in self.registry.lapsed():
                self._executor_over(executor_id)
            for found in list(self.workflows.values()):
                if found.job.is_timed and not found.is_final:
                    self._open(found)
            if clock.elapsed_s() - self._pruned_s > RETENTION_INTERVAL_S:
                self._pruned_s = clock.elapsed_s()
                self._prune()

    def _prune(self) -> None:
        kept_s = self._site.bounds.status_retention_s + RETENTION_MARGIN_S
        oldest_s = clock.elapsed_s() - kept_s
        for job_id, ended_s in list(self._ended_s.items()):
            if ended_s < oldest_s:
                del self._ended_s[job_id]
                found = self.workflows.pop(job_id)
                engine = self._engine(found.job.service)
                for part_id in found.parts:
                    engine.records.pop(part_id, None)
                self._ledger.mark(job_id)

    async def _publish_forever(self) -> None:
        while self._election.is_owner:
            await asyncio.sleep(PENDING_INTERVAL_S)
            pending = self._pending()
            if pending == self._published:
                continue
            committed = await self._store.commit(
                model.Commit(
                    {records.EPOCH_KEY: self._ownership.revision},
                    (
                        model.Write(
                            records.PENDING_KEY, records.dump_pending(pending)
                        ),
                    ),
                )
            )
            if isinstance(committed, result.Success):
                self._published = pending
            else:
                self._log.info(
                    "pending-not-published", why=committed.failure().code
                )

    def _pending(self) -> dict[str, int]:
        pending: dict[str, int] = {}
        for found in self.workflows.values():
            if not found.begun and not found.is_final:
                route = found.job.route
                pending[route] = pending.get(route, 0) + 1
        return pending
