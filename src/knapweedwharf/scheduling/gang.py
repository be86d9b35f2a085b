"""Atomic start and stop of a gang on its workers.

A start has four steps: hold the accelerators of every member under a
short lease, write the attempt to the store (the commit point), start
every member provisionally, confirm every member. A member that is not
confirmed ends by itself when its provisional lease lapses, so a crash of
the owner or of a worker leaves no part of a gang running.
docs/explanation/ownership.md describes a failure at each step.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import typing

from returns import result

from knapweedwharf.adapters import worker as worker_module
from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf.scheduling import roster as roster_module
from knapweedwharf import settings as settings_module

_STOP_RETRY_S = 0.5
_MAX_STOP_RETRY_S = 5.0
_ORDER_TRIES = 2

Commit = typing.Callable[
    [], typing.Awaitable[result.Result[None, errors.Fault]]
]


@dataclasses.dataclass(frozen=True)
class Gang:
    """One attempt of a job and the workers assigned to its tasks."""

    attempt_id: str
    assignments: tuple[model.Assignment, ...]
    job_id: str = ""
    descriptor: str = ""

    @property
    def worker_ids(self) -> list[str]:
        """The workers of the gang, sorted."""
        return sorted(
            {assignment.worker_id for assignment in self.assignments}
        )

    def task_slices(
        self, worker_id: str
    ) -> tuple[worker_module.TaskSlice, ...]:
        """Return the resources of each task on one worker."""
        return tuple(
            worker_module.TaskSlice(
                task_index=assignment.task_index,
                accelerators=assignment.accelerators,
                cores=assignment.cores,
                memory_mib=assignment.memory_mib,
            )
            for assignment in self.assignments
            if assignment.worker_id == worker_id
        )


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The failure of an order, or of the commit of an attempt.

    :ivar worker_id: the worker that failed; empty if none did.
    """

    worker_id: str
    fault: errors.Fault


class GangRunner:
    """Sends orders for gangs to workers under one epoch."""

    def __init__(
        self,
        *,
        worker: worker_module.Worker,
        settings: settings_module.Settings,
        epoch: int,
        roster: roster_module.Roster,
    ) -> None:
        self._worker = worker
        self._settings = settings
        self._epoch = epoch
        self._roster = roster
        self._next_number = itertools.count(1)
        self._attempt_numbers: dict[str, int] = {}

    async def start(self, gang: Gang, commit: Commit) -> Refusal | None:
        """Start a gang; after a refusal, stop every member and return it."""
        self._attempt_numbers[gang.attempt_id] = next(self._next_number)
        refusal = await self._start_steps(gang, commit)
        if refusal is not None:
            await self.stop(gang, checkpoint=False)
        return refusal

    async def finish_start(self, gang: Gang) -> Refusal | None:
        """Confirm a gang that a former owner has started provisionally."""
        refusal = await self._confirm(gang)
        if refusal is not None:
            await self.stop(gang, checkpoint=False)
        return refusal

    async def _start_steps(self, gang: Gang, commit: Commit) -> Refusal | None:
        hold_s = self._settings.gang_hold_s
        refusal = await self._order_all(gang, worker_module.HOLD, hold_s)
        if refusal is not None:
            return refusal
        committed = await commit()
        if isinstance(committed, result.Failure):
            return Refusal(worker_id="", fault=committed.failure())
        refusal = await self._order_all(gang, worker_module.START, hold_s)
        if refusal is not None:
            return refusal
        return await self._confirm(gang)

    async def _confirm(self, gang: Gang) -> Refusal | None:
        lease_s = self._settings.worker_lease_s
        return await self._order_all(gang, worker_module.CONFIRM, lease_s)

    async def throttle(self, gang: Gang) -> None:
        """Limit every member to the resources that the job declares."""
        await self._order_all(gang, worker_module.THROTTLE, 0)

    async def stop(self, gang: Gang, *, checkpoint: bool) -> bool:
        """Stop every member and wait until none can still be running.

        :returns: whether every member was checkpointed before the stop.
        """
        checkpointed = False
        if checkpoint:
            checkpointed = await self._checkpoint(gang)
        stops = [self._stop_one(gang, worker) for worker in gang.worker_ids]
        await asyncio.gather(*stops)
        self._attempt_numbers.pop(gang.attempt_id, None)
        return checkpointed

    async def _checkpoint(self, gang: Gang) -> bool:
        try:
            refusal = await asyncio.wait_for(
                self._order_all(gang, worker_module.CHECKPOINT, 0),
                self._settings.checkpoint_timeout_s,
            )
        except asyncio.TimeoutError:
            return False
        return refusal is None

    async def _stop_one(self, gang: Gang, worker_id: str) -> None:
        self._roster.withhold(worker_id, gang.attempt_id)
        await self._stop_until_ended(gang, worker_id)
        self._roster.release(worker_id, gang.attempt_id)

    async def _stop_until_ended(self, gang: Gang, worker_id: str) -> None:
        loop = asyncio.get_running_loop()
        lapses_at_s = loop.time() + self._roster.lapse_s
        pause_s = _STOP_RETRY_S
        while not self._known_ended(worker_id, lapses_at_s):
            refusal = await self._order(gang, worker_id, worker_module.STOP, 0)
            if refusal is None or isinstance(refusal.fault, errors.Fenced):
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, _MAX_STOP_RETRY_S)

    def _known_ended(self, worker_id: str, lapses_at_s: float) -> bool:
        if self._roster.is_lapsed(worker_id):
            return True
        # A former owner may still renew the leases of a worker that this
        # epoch has not sealed; the roster marks it lapsed when that ends.
        sealed = self._roster.settled([worker_id])
        return sealed and asyncio.get_running_loop().time() >= lapses_at_s

    async def _order_all(
        self, gang: Gang, kind: str, lease_s: float
    ) -> Refusal | None:
        orders = [
            self._order(gang, worker_id, kind, lease_s)
            for worker_id in gang.worker_ids
        ]
        refusals = await asyncio.gather(*orders)
        return next((r for r in refusals if r is not None), None)

    async def _order(
        self, gang: Gang, worker_id: str, kind: str, lease_s: float
    ) -> Refusal | None:
        is_hold = kind == worker_module.HOLD
        order = worker_module.Order(
            kind=kind,
            attempt_id=gang.attempt_id,
            tasks=gang.task_slices(worker_id) if is_hold else (),
            lease_s=lease_s,
            descriptor=gang.descriptor if is_hold else "",
            number=self._attempt_numbers.get(gang.attempt_id, 0),
        )
        sent = await self._send(worker_id, order)
        if isinstance(sent, result.Failure):
            return Refusal(worker_id=worker_id, fault=sent.failure())
        answer = sent.unwrap()[0]
        if answer.accepted:
            return None
        fault = errors.Conflict(
            message=f"Worker {worker_id} refused {kind}: {answer.reason}.",
            remedy="The job is queued again.",
        )
        return Refusal(worker_id=worker_id, fault=fault)

    async def _send(
        self, worker_id: str, order: worker_module.Order
    ) -> result.Result[list[worker_module.OrderResult], errors.Fault]:
        # Orders are idempotent, so one with a lost answer is sent again.
        address = self._roster.address(worker_id)
        if not address:
            return result.Failure(_unlisted_fault(worker_id))
        for _try in range(_ORDER_TRIES):
            sent = await self._worker.send(
                address, epoch=self._epoch, orders=[order]
            )
            if isinstance(sent, result.Success):
                return sent
            if not isinstance(sent.failure(), errors.OutcomeUnknown):
                return sent
        return sent


def _unlisted_fault(worker_id: str) -> errors.Unreachable:
    return errors.Unreachable(
        message=f"Worker {worker_id} is not in the VM list.",
        remedy="Its leases lapse; add it to the VM list if it still runs.",
    )
