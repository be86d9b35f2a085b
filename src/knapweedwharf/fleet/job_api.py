"""Operations of callers: submit, state, cancel, pending. Any VM answers.

Submissions and cancellations are stored on condition that the desired
state that allowed them is unchanged. A call is refused only if nothing
can have been stored; otherwise the answer says that the outcome is
unknown.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import typing

from returns import result

from knapweedwharf import codec
from knapweedwharf.core import workflow
from knapweedwharf import errors
from knapweedwharf.fleet import backlog
from knapweedwharf.fleet import backlog_record
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import desired as desired_module
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records
from knapweedwharf.fleet import retry_after
from knapweedwharf import log
from knapweedwharf import metrics

TRY_TIMEOUT_S = 0.8
"""Eighty times the store's usual answer time; leaves time for two tries."""

MIN_TRY_S = 0.05
"""A few times the store's usual answer time; a shorter try is pointless."""

RETRY_PAUSE_S = 0.05
"""Between tries of a call that may be stored; avoids a busy loop."""

STORE_SUSPECT_S = 2.7
"""A whole watch and its slack without an answer from the store."""

MAX_SPECIFICATION_BYTES = 4_000
PENDING_AGE_S = 0.5
FINAL_STATES_KEPT = 4_096


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request and its deadline.

    :ivar deadline_s: deadline on the elapsed clock.
    """

    host: str
    path: str
    key: str
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class Allowed:
    """A call that the desired state allows."""

    desired: model.DesiredSnapshot
    route: model.Route
    account: str
    job_id: str


@dataclasses.dataclass(frozen=True)
class Gone(errors.NotFound):
    """No such job was accepted."""

    code = "no-such-job"
    http_status = 410


class JobApi:
    """Answers callers by the store and the desired state."""

    def __init__(
        self,
        *,
        store,
        desired: desired_module.DesiredState,
        store_schema: model.StoreSchema,
        sender: metrics.Metrics,
    ) -> None:
        self._store = store
        self._desired = desired
        self._sender = sender
        self._config_key = store_schema.config_key
        self._log = log.get("door")
        self._final: collections.OrderedDict[str, tuple[str, str]] = (
            collections.OrderedDict()
        )
        self._backlog = backlog_record.BacklogView(store)
        self._pending: dict[str, int] = {}
        self._pending_s = float("-inf")

    # Authorization

    def allow(self, call: Call) -> result.Result[Allowed, errors.Fault]:
        """Return the route and the account of a call if it is allowed."""
        desired = self._desired.current
        if desired is None or not self._desired.is_fresh:
            return self._refuse("desired-state-not-confirmed", call)
        route = desired.route_for(call.host, call.path)
        if route is None:
            return result.Failure(
                errors.NotFound(
                    message="There is no such queue.",
                    remedy="Check host and path.",
                )
            )
        account = desired.account_by_key.get(call.key, "")
        if not account and not route.is_public:
            return result.Failure(
                errors.Unauthenticated(
                    message="The key is not known.",
                    remedy="Use a key of the account in force.",
                )
            )
        job_id = call.path[len(route.prefix) :]
        return result.Success(Allowed(desired, route, account, job_id))

    def _refuse(self, why: str, call: Call) -> result.Failure:
        self._sender.count(metric_definitions.CALLS_REFUSED)
        return result.Failure(
            errors.DidNotRun(
                message=f"Nothing was done: {why}.",
                remedy="Ask again, any VM will do.",
                retry_after_s=self._retry_after_s(call),
            )
        )

    def _retry_after_s(self, call: Call) -> float:
        """Return when to come back; other VMs have a desired state."""
        is_known = self._desired.current is not None
        return retry_after.retry_after_s(
            call.path,
            away_s=self._desired.age_s if is_known else 0.0,
            left_s=call.deadline_s - clock.elapsed_s(),
        )

    # Submission

    async def submit(
        self,
        call: Call,
        *,
        specification: str,
        steps: tuple[workflow.Step, ...],
        repetitions: int = 0,
        first_run_s: float = 0.0,
        interval_s: float = 0.0,
    ) -> result.Result[str, errors.Fault]:
        """Store a job and return its id."""

        fields = {
            "specification": specification,
            "steps": steps,
            "repetitions": repetitions,
            "first_run_s": first_run_s,
            "interval_s": interval_s,
        }

        def commit(allowed: Allowed) -> model.Commit:
            key = records.key(allowed.job_id, records.SPEC)
            value = records.dump_job(_job_of(allowed, **fields))
            return model.Commit(
                {self._config_key: allowed.desired.revision, key: 0},
                (model.Write(key, value),),
            )

        permitted = self.allow(call)
        if isinstance(permitted, result.Failure):
            return permitted
        allowed = permitted.unwrap()
        needed = backlog.footprint(_job_of(allowed, **fields))
        refused = await self._refuse_beyond_backlog(call, allowed, needed)
        if refused is not None:
            return refused
        stored = await self._commit_call(call, commit, event="submission")
        if not isinstance(stored, result.Failure) or isinstance(
            stored.failure(), errors.OutcomeUnknown
        ):
            self._backlog.note_stored(allowed.account, needed)
        return stored

    async def _refuse_beyond_backlog(
        self, call: Call, allowed: Allowed, needed: int
    ) -> result.Result[str, errors.Fault] | None:
        """Return the answer to a submission for which there is no room.

        A job that is stored already, by a call whose answer was lost, is
        not refused.
        """
        if self._desired.age_s <= STORE_SUSPECT_S:
            await self._backlog.refresh(needed)
        wait_s = self._backlog.wait_s(
            allowed.account, needed, accounts=len(allowed.desired.accounts)
        )
        if not wait_s:
            return None
        read = await self._store.read(
            records.key(allowed.job_id, records.SPEC),
            timeout_s=TRY_TIMEOUT_S,
        )
        if isinstance(read, result.Failure):
            return self._refuse("store-not-reached", call)
        if read.unwrap() is not None:
            return result.Success(allowed.job_id)
        self._sender.count(metric_definitions.CALLS_REFUSED)
        return result.Failure(
            errors.BacklogFull(
                message="The jobs of this account leave no room for another.",
                remedy="Submit the job again later, or cancel others.",
                retry_after_s=retry_after.freed_room_s(call.path, wait_s),
            )
        )

    async def _commit_call(
        self, call: Call, commit_for, *, event: str
    ) -> result.Result[str, errors.Fault]:
        """Commit on condition of the desired state that allows the call."""
        maybe_stored = False
        tries = 0
        while True:
            permitted = self.allow(call)
            if isinstance(permitted, result.Failure):
                return self._outcome_unknown() if maybe_stored else permitted
            left_s = call.deadline_s - clock.elapsed_s()
            if left_s < MIN_TRY_S:
                if maybe_stored:
                    return self._outcome_unknown()
                return self._refuse("deadline-passed", call)
            if self._desired.age_s > STORE_SUSPECT_S and not maybe_stored:
                return self._refuse("store-silent", call)
            tries += 1
            allowed = permitted.unwrap()
            sent_s = clock.elapsed_s()
            stored = await self._store.commit(
                commit_for(allowed), timeout_s=min(TRY_TIMEOUT_S, left_s)
            )
            if isinstance(stored, result.Success):
                self._desired.mark_confirmed(sent_s)
                self._note_stored(allowed, event, stored.unwrap(), tries)
                return result.Success(allowed.job_id)
            fault = stored.failure()
            if isinstance(fault, errors.Conflict):
                if self._is_stored(fault.mismatch, allowed):
                    return result.Success(allowed.job_id)
                continue
            maybe_stored |= not isinstance(fault, errors.Unreachable)
            if not maybe_stored:
                return self._refuse("store-not-reached", call)
            await asyncio.sleep(RETRY_PAUSE_S)

    def _note_stored(
        self, allowed: Allowed, event: str, revision: int, tries: int
    ) -> None:
        self._sender.count(metric_definitions.CALLS_STORED)
        self._log.info(
            "call-stored",
            call=event,
            job_id=allowed.job_id,
            route=allowed.route.name,
            account=allowed.account,
            desired_revision=allowed.desired.revision,
            revision=revision,
            tries=tries,
        )

    def _is_stored(self, mismatch: model.Mismatch, allowed: Allowed) -> bool:
        config = mismatch.current.get(self._config_key)
        if config is not None and config.revision:
            self._desired.apply_item(config)
        spec = mismatch.current.get(records.key(allowed.job_id, records.SPEC))
        return spec is not None and spec.revision > 0

    def _outcome_unknown(self) -> result.Failure:
        self._sender.count(metric_definitions.CALLS_UNKNOWN)
        return result.Failure(
            errors.OutcomeUnknown(
                message="Whether the call was stored is not known.",
                remedy="Ask again with the same id.",
            )
        )

    # State and cancellation

    async def state(self, call: Call) -> result.Result[str, errors.Fault]:
        """Return the state of a job."""
        permitted = self.allow(call)
        if isinstance(permitted, result.Failure):
            return permitted
        allowed = permitted.unwrap()
        known = self._final.get(allowed.job_id)
        if known is not None and _same_account(known[1], allowed.account):
            return result.Success(known[0])
        read = await self._read_records(call, allowed)
        if isinstance(read, result.Failure):
            return read
        kinds = read.unwrap()
        again = self.allow(call)
        if isinstance(again, result.Failure):
            return again
        state = _state_of(kinds)
        if state in workflow.FINAL_STATES:
            self._remember(allowed, state)
        self._log.info("state-shown", job_id=allowed.job_id, state=state)
        return result.Success(state)

    def _remember(self, allowed: Allowed, state: str) -> None:
        self._final[allowed.job_id] = (state, allowed.account)
        if len(self._final) > FINAL_STATES_KEPT:
            self._final.popitem(last=False)

    async def _read_records(
        self, call: Call, allowed: Allowed
    ) -> result.Result[dict[str, model.Item], errors.Fault]:
        if self._desired.age_s > STORE_SUSPECT_S:
            return self._refuse("store-silent", call)
        prefix = records.job_prefix(allowed.job_id)
        while True:
            left_s = call.deadline_s - clock.elapsed_s()
            if left_s < MIN_TRY_S:
                return self._refuse("store-too-slow", call)
            listed = await self._store.list(
                prefix, timeout_s=min(TRY_TIMEOUT_S, left_s)
            )
            if isinstance(listed, result.Success):
                break
            if isinstance(listed.failure(), errors.Unreachable):
                return self._refuse("store-not-reached", call)
        kinds = {
            records.split_key(item.key)[1]: item
            for item in listed.unwrap().items
        }
        spec = kinds.get(records.SPEC)
        try:
            is_there = spec is not None and _same_account(
                records.load_job(spec.value).account, allowed.account
            )
            _state_of(kinds)
        except codec.UNDECODABLE as error:
            self._log.error(
                "job-malformed", job_id=allowed.job_id, why=str(error)
            )
            return self._refuse("record-malformed", call)
        if not is_there:
            return result.Failure(
                Gone(
                    message="There is no such job.",
                    remedy="Check its id; ended jobs are kept for a while.",
                )
            )
        return result.Success(kinds)

    async def cancel(self, call: Call) -> result.Result[str, errors.Fault]:
        """Store the cancellation of a job."""
        permitted = self.allow(call)
        if isinstance(permitted, result.Failure):
            return permitted
        read = await self._read_records(call, permitted.unwrap())
        if isinstance(read, result.Failure):
            return read
        kinds = read.unwrap()
        if _state_of(kinds) in workflow.FINAL_STATES:
            return result.Success(permitted.unwrap().job_id)

        value = records.dump_cancellation(round(clock.unix_s(), 3))

        def commit(allowed: Allowed) -> model.Commit:
            key = records.key(allowed.job_id, records.CANCEL)
            return model.Commit(
                {self._config_key: allowed.desired.revision},
                (model.Write(key, value),),
            )

        return await self._commit_call(call, commit, event="cancellation")

    async def pending(self, call: Call) -> result.Result[int, errors.Fault]:
        """Return how many jobs of a queue have not started."""
        permitted = self.allow(call)
        if isinstance(permitted, result.Failure):
            return permitted
        if clock.elapsed_s() - self._pending_s > PENDING_AGE_S:
            sent_s = clock.elapsed_s()
            read = await self._store.read(
                records.PENDING_KEY, timeout_s=TRY_TIMEOUT_S
            )
            if isinstance(read, result.Failure):
                return self._refuse("store-not-reached", call)
            item = read.unwrap()
            self._pending = records.load_pending(item.value) if item else {}
            self._pending_s = sent_s
        again = self.allow(call)
        return again.map(
            lambda allowed: self._pending.get(allowed.route.name, 0)
        )


def _job_of(allowed: Allowed, **fields: typing.Any) -> workflow.Job:
    """Return a submitted job under the terms of its route."""
    route = allowed.route
    return workflow.Job(
        job_id=allowed.job_id,
        route=route.name,
        service=route.service,
        account=allowed.account,
        submitted_s=round(clock.unix_s(), 3),
        priority=route.priority,
        max_attempts=route.max_attempts,
        is_advised=route.advice is not None,
        slowdown=route.slowdown,
        target_s=route.target_s,
        **fields,
    )


def _same_account(owner: str, account: str) -> bool:
    """Return whether a caller may see a job; public queues have no owner."""
    return not owner or not account or owner == account


def _state_of(kinds: dict[str, model.Item]) -> str:
    progress = kinds.get(records.PROGRESS)
    state = workflow.QUEUED
    if progress is not None:
        state = records.load_state(progress.value)
    if state not in workflow.FINAL_STATES and records.CANCEL in kinds:
        return workflow.CANCELLED
    return state
