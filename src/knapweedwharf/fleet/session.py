"""One executor under one owner: seal, renew, and notice its silence.

The first renewal seals the executor: it refuses older epochs from then
on and tells what runs. Later ones extend the lease of all that runs and
bring the ends. A silent executor's runs end when their lease lapses.
"""

from __future__ import annotations

import asyncio
import collections
from collections import abc
import dataclasses
import functools

from returns import result

from knapweedwharf import backoff
from knapweedwharf import errors
from knapweedwharf.fleet import background
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import model
from knapweedwharf import log

BUSY_WAIT_S = 1.0
"""Renewal period while something runs: a sixth of the shortest lease."""

IDLE_WAIT_S = 2.0
"""The longest wait that executors allow."""

SLOW_CLOCK_SHARE = 0.02
"""How much slower an executor's clock may run than ours."""

LAPSE_MARGIN_S = 0.3
"""Time for an order under way to arrive and lapsed runs to end."""

SILENT_AFTER_FAILURES = 2
"""One lost answer is no silence."""

PROBE_TIMEOUT_S = 0.3
"""Of calls to a silent executor: its return is seen this soon, which
counts where its lease is about to end."""

_FIRST_RETRY_S = 0.03
_LONGEST_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True)
class Hooks:
    """What a session tells its owner.

    :ivar reported: an executor's report, and when it was asked for.
    :ivar silent: an executor stopped answering.
    :ivar barred: it is to get no new work.
    :ivar leaving: it is about to be taken away with what it runs.
    :ivar gone: nothing of it can run any more.
    :ivar fenced: it has seen a newer epoch.
    :ivar may_order: whether the owner's lease still holds.
    :ivar is_busy: whether something may run there.
    """

    reported: abc.Callable[[Session, model.Report, float], None]
    silent: abc.Callable[[], None]
    barred: abc.Callable[[Session], None]
    leaving: abc.Callable[[Session], None]
    gone: abc.Callable[[Session], None]
    fenced: abc.Callable[[], None]
    may_order: abc.Callable[[], bool]
    is_busy: abc.Callable[[str], bool]


def lapse_after_s(bounds: model.Bounds) -> float:
    """Return after which time a lease has surely ended."""
    return bounds.max_lease_s * (1 + SLOW_CLOCK_SHARE) + LAPSE_MARGIN_S


@dataclasses.dataclass(slots=True)
class _Note:
    """Ends up to a number, and the records still to be written first."""

    number: int
    left: set[str]


WhenStored = abc.Callable[[str, abc.Callable[[], None]], None]
"""(job id, what to call once its record is stored)"""


class Session(background.Background):
    """Renews one executor's lease until it is gone.

    :ivar executor: its newest entry.
    :ivar noted_end: number up to which its ends are stored.
    :ivar seen_end: number up to which its ends were taken.
    :ivar listed: whether its entry is in the store.
    :ivar is_silent: it does not answer now.
    :ivar was_silent: the engine took it for lost and is to hear of its
        return.
    :ivar told_leaving: its work was told to leave.
    """

    def __init__(
        self,
        *,
        executor: model.Executor,
        client,
        epoch: int,
        bounds: model.Bounds,
        hooks: Hooks,
    ) -> None:
        self.executor = executor
        self.noted_end = 0
        self.seen_end = 0
        self.listed = True
        self.sealed = False
        self.is_silent = False
        self.was_silent = False
        self.told_leaving = False
        self._client = client
        self._epoch = epoch
        self._bounds = bounds
        self._hooks = hooks
        self._log = log.get("session").bind(executor=executor.executor_id)
        self._notes: collections.deque[_Note] = collections.deque()
        self._noted = asyncio.Event()
        self._clock_ms = 0
        self._clock_at_s = 0.0
        self._failures = 0
        # A former owner may have extended the lease up to now.
        self._lease_sent_s = clock.elapsed_s()

    @property
    def executor_id(self) -> str:
        """The executor's id."""
        return self.executor.executor_id

    def clock_ms(self, ahead_s: float = 0.0) -> int:
        """Return the executor's clock ``ahead_s`` from now."""
        passed_s = clock.elapsed_s() - self._clock_at_s + ahead_s
        return self._clock_ms + int(passed_s * 1000)

    def note(self, job_ids: list[str], when_stored: WhenStored) -> None:
        """Let the executor forget the ends seen, once they are stored.

        :param job_ids: jobs whose records the newest ends changed.
        """
        taken = _Note(self.seen_end, set(job_ids))
        self._notes.append(taken)
        for job_id in job_ids:
            when_stored(job_id, functools.partial(self._stored, taken, job_id))
        self._advance()

    def _stored(self, taken: _Note, job_id: str) -> None:
        taken.left.discard(job_id)
        self._advance()

    def _advance(self) -> None:
        while self._notes and not self._notes[0].left:
            self.noted_end = self._notes.popleft().number
        if not self._notes:
            self._noted.set()

    async def start_run(
        self, order: model.Order
    ) -> result.Result[int, errors.Fault]:
        """Order a start; the order itself bounds how late it begins.

        The bound is the run's first lease too, until the next renewal.
        """
        self._lease_sent_s = clock.elapsed_s()
        bounded = dataclasses.replace(
            order, not_after_ms=self.clock_ms(self._bounds.max_lease_s)
        )
        return await self._client.start(self.executor, bounded)

    async def stop_run(
        self, task_id: str, run: int
    ) -> result.Result[int, errors.Fault]:
        """Order a stop."""
        return await self._client.stop(
            self.executor, task_id=task_id, run=run, epoch=self._epoch
        )

    async def pace_run(
        self, task_id: str, run: int, percent: int
    ) -> result.Result[int, errors.Fault]:
        """Order a run's speed."""
        return await self._client.pace(
            self.executor,
            task_id=task_id,
            run=run,
            percent=percent,
            epoch=self._epoch,
        )

    async def _run(self) -> None:
        waits = backoff.Backoff(
            first_s=_FIRST_RETRY_S, longest_s=_LONGEST_RETRY_S
        )
        while True:
            if not self._hooks.may_order():
                return
            fault = await self._renew()
            if fault is None:
                waits.reset()
                await self._until_noted()
                continue
            if isinstance(fault, errors.Fenced):
                self._hooks.fenced()
                return
            self._failed(fault)
            if self._has_lapsed():
                self._hooks.gone(self)
                return
            await asyncio.sleep(waits.next_s())

    async def _until_noted(self) -> None:
        """Wait for the ends just taken to be stored.

        Executors answer at once while there are ends to be noted.
        """
        if self._notes:
            self._noted.clear()
            try:
                async with asyncio.timeout(BUSY_WAIT_S):
                    await self._noted.wait()
            except TimeoutError:
                # The store is away; the lease needs its renewal.
                return

    async def _renew(self) -> errors.Fault | None:
        sent_s = clock.elapsed_s()
        until_ms = 0
        wait_s = 0.0
        if self.sealed and not self._failures:
            # After a failure the lease is left, so that it surely ends.
            until_ms = self.clock_ms(self._bounds.max_lease_s)
            busy = self._hooks.is_busy(self.executor_id)
            wait_s = BUSY_WAIT_S if busy else IDLE_WAIT_S
            self._lease_sent_s = sent_s
        answer = await self._client.renew(
            self.executor,
            epoch=self._epoch,
            lease_until_ms=until_ms,
            noted_end=self.noted_end,
            wait_s=wait_s,
            timeout_s=PROBE_TIMEOUT_S if self._failures else 0.0,
        )
        if isinstance(answer, result.Failure):
            return answer.failure()
        report = answer.unwrap()
        self._clock_ms = report.clock_ms
        self._clock_at_s = clock.elapsed_s()
        self._failures = 0
        born = self.executor.incarnation_ms
        if born and report.incarnation_ms not in (0, born):
            return errors.Unreachable(
                message="Another incarnation answered.",
                remedy="Wait for its new entry.",
            )
        if self.is_silent:
            self._log.info("executor-regained")
        self.is_silent = False
        self.sealed = True
        try:
            self._hooks.reported(self, report, sent_s)
        except Exception:
            # The session goes on: the runs need their lease.
            self._log.exception("report-not-taken")
        return None

    def _failed(self, fault: errors.Fault) -> None:
        self._failures += 1
        if self.is_silent or self._failures < SILENT_AFTER_FAILURES:
            return
        self.is_silent = True
        self.was_silent = True
        self._log.warning("executor-silent", why=fault.code)
        self._hooks.silent()
        self._hooks.barred(self)

    def _has_lapsed(self) -> bool:
        passed_s = clock.elapsed_s() - self._lease_sent_s
        return passed_s > lapse_after_s(self._bounds)
