"""An owner's session with one executor: seal, renew, detect its loss.

The first renewal seals the executor: from then on it refuses older
epochs, and it reports what runs. Later renewals extend the lease of all
its runs and return their ends. The runs of an executor that stops
answering end when their lease lapses.
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
from knapweedwharf.fleet import answer_times as answer_times_module
from knapweedwharf.fleet import background
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import executor_loss
from knapweedwharf.fleet import model
from knapweedwharf import log

BUSY_WAIT_S = 1.0
"""Renewal period while something runs: a sixth of the shortest lease."""

IDLE_WAIT_S = 2.0
"""The longest wait that executors allow."""

MAX_CLOCK_DRIFT_SHARE = 0.02
"""Share by which an executor's clock may run slower than the local one."""

LAPSE_MARGIN_S = 0.3
"""Time for an order in flight to arrive and for lapsed runs to end."""

SILENT_AFTER_FAILURES = 2
"""A single lost answer does not make an executor silent."""

RENEWAL_TIMEOUT_S = 0.7
"""Time beyond the requested wait after which a renewal has failed, while
executors answer as usual."""

ORDER_TIMEOUT_S = 0.7
"""The same for an order: a hundred times the usual answer time."""

PROBE_TIMEOUT_S = 0.3
"""The same for calls to a silent executor; short, so that its return is seen
before its lease ends."""

MAX_FORMER_INCARNATIONS = 8
"""Entries that are out of date are seconds old, and executors take longer to
restart so often."""

_FIRST_RETRY_S = 0.03
_LONGEST_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True)
class Hooks:
    """Callbacks from a session to its owner.

    :ivar reported: called with each report and when it was requested.
    :ivar silent: called when an executor stops answering.
    :ivar cordoned: called when an executor must get no new work.
    :ivar leaving: called when an executor drains and will be removed
        with what it runs.
    :ivar gone: called when none of an executor's runs can be alive, with
        how it was lost; see ``executor_loss``.
    :ivar fenced: called when an executor has seen a newer epoch.
    :ivar may_order: returns whether the owner's lease is still valid;
        waits while this is in doubt.
    :ivar is_busy: returns whether any task may run on an executor.
    """

    reported: abc.Callable[[Session, model.Report, float], None]
    silent: abc.Callable[[], None]
    cordoned: abc.Callable[[Session], None]
    leaving: abc.Callable[[Session], None]
    gone: abc.Callable[[Session, str], None]
    fenced: abc.Callable[[], None]
    may_order: abc.Callable[[], abc.Awaitable[bool]]
    is_busy: abc.Callable[[str], bool]


@dataclasses.dataclass(frozen=True)
class FormerIncarnations:
    """The incarnations of an executor before the current one.

    :ivar how_lost: how the last of them was lost; see ``executor_loss``.
    :ivar began_ms: when the newest of them began, in Unix milliseconds;
        an entry of theirs is out of date.
    """

    how_lost: str = executor_loss.REBORN
    began_ms: tuple[int, ...] = ()

    def followed(
        self, known: model.Executor, seen: model.Executor, how_lost: str
    ) -> FormerIncarnations:
        """Return them once ``seen`` has followed ``known``."""
        born_ms = known.incarnation_ms
        if born_ms in (0, seen.incarnation_ms):
            return dataclasses.replace(self, how_lost=how_lost)
        newest = (*self.began_ms, born_ms)[-MAX_FORMER_INCARNATIONS:]
        return FormerIncarnations(how_lost, newest)


def lapse_after_s(bounds: model.TimeLimits) -> float:
    """Return the time after which a lease has surely ended."""
    return bounds.max_lease_s * (1 + MAX_CLOCK_DRIFT_SHARE) + LAPSE_MARGIN_S


@dataclasses.dataclass(slots=True)
class _PendingAcknowledgement:
    """Ends up to a number, to be acknowledged once ``unstored`` is empty."""

    number: int
    unstored: set[str]


WhenStored = abc.Callable[[str, abc.Callable[[], None]], None]
"""(job id, callback once its record is stored)"""


class Session(background.Background):
    """Renews one executor's lease until it is gone.

    :param reborn: called when another incarnation answers, with its start
        in Unix milliseconds; the session then ends.
    :ivar executor: its newest entry.
    :ivar acknowledged_end: number up to which its ends are stored.
    :ivar seen_end: number up to which its ends were processed.
    :ivar listed: whether the entry of this incarnation is in the store.
    :ivar is_silent: whether it does not answer now.
    :ivar needs_announcement: whether the engine considers it lost and
        must be told of its return.
    :ivar leaving_reported: whether the engine was told that it drains.
    :ivar is_dropped: whether the executor is gone or has started again.
    :ivar former: its incarnations that are known to have ended.
    """

    def __init__(
        self,
        *,
        executor: model.Executor,
        former: FormerIncarnations,
        client,
        epoch: int,
        bounds: model.TimeLimits,
        hooks: Hooks,
        answer_times: answer_times_module.AnswerTimes,
        reborn: abc.Callable[[Session, int], None],
    ) -> None:
        self.executor = executor
        self.former = former
        self.acknowledged_end = 0
        self.seen_end = 0
        self.listed = True
        self.sealed = False
        self.is_silent = False
        self.needs_announcement = False
        self.leaving_reported = False
        self.is_dropped = False
        self._client = client
        self._epoch = epoch
        self._bounds = bounds
        self._hooks = hooks
        self._answer_times = answer_times
        self._reborn = reborn
        self._log = log.get("session").bind(executor=executor.executor_id)
        self._pending_acknowledgements: collections.deque[
            _PendingAcknowledgement
        ] = collections.deque()
        self._all_acknowledged = asyncio.Event()
        self._clock_ms = 0
        self._clock_at_s = 0.0
        self._failures = 0
        self._successor_ms = 0
        self._odd_rows = 0
        self._error = ""
        # A former owner may have extended the lease up to now.
        self._lease_sent_s = clock.elapsed_s()

    @property
    def executor_id(self) -> str:
        """The executor's id."""
        return self.executor.executor_id

    @property
    def takes_starts(self) -> bool:
        """Whether starts may be sent to it."""
        return not self.is_dropped and not self.executor.is_draining

    @property
    def seems_to_have_left(self) -> bool:
        """Whether it drained and can't be found; it may be cut off."""
        is_missing = self.is_silent and not self.listed
        return is_missing and self.executor.is_draining

    @property
    def unheard_s(self) -> float | None:
        """Time since it last answered a renewal, if it ever did."""
        if not self._clock_at_s:
            return None
        return clock.elapsed_s() - self._clock_at_s

    def clock_ms(self, ahead_s: float = 0.0) -> int:
        """Return what the executor's clock will show ``ahead_s`` from now."""
        passed_s = clock.elapsed_s() - self._clock_at_s + ahead_s
        return self._clock_ms + int(passed_s * 1000)

    def acknowledge_ends(
        self, job_ids: list[str], when_stored: WhenStored
    ) -> None:
        """Acknowledge the ends seen so far once they are stored.

        :param job_ids: jobs whose records the newest ends changed.
        """
        acknowledgement = _PendingAcknowledgement(self.seen_end, set(job_ids))
        self._pending_acknowledgements.append(acknowledgement)
        for job_id in job_ids:
            when_stored(
                job_id,
                functools.partial(
                    self._record_stored, acknowledgement, job_id
                ),
            )
        self._advance_acknowledgements()

    def _record_stored(
        self, acknowledgement: _PendingAcknowledgement, job_id: str
    ) -> None:
        acknowledgement.unstored.discard(job_id)
        self._advance_acknowledgements()

    def _advance_acknowledgements(self) -> None:
        while (
            self._pending_acknowledgements
            and not self._pending_acknowledgements[0].unstored
        ):
            self.acknowledged_end = (
                self._pending_acknowledgements.popleft().number
            )
        if not self._pending_acknowledgements:
            self._all_acknowledged.set()

    async def start_run(
        self, order: model.StartOrder
    ) -> result.Result[int, errors.Fault]:
        """Order a start, with a limit on how late it may begin.

        The limit is also the run's first lease, until the next renewal.
        """
        self._lease_sent_s = clock.elapsed_s()
        bounded = dataclasses.replace(
            order, not_after_ms=self.clock_ms(self._bounds.max_lease_s)
        )
        sent_s = self._lease_sent_s
        answer = await self._client.start(
            self.executor,
            bounded,
            timeout_s=self._answer_times.timeout_s(ORDER_TIMEOUT_S),
        )
        self._answer_times.add(self.executor_id, clock.elapsed_s() - sent_s)
        return answer

    async def stop_run(
        self, task_id: str, run: int
    ) -> result.Result[int, errors.Fault]:
        """Order a stop."""
        return await self._client.stop(
            self.executor,
            task_id=task_id,
            run=run,
            epoch=self._epoch,
            timeout_s=self._answer_times.timeout_s(ORDER_TIMEOUT_S),
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
            timeout_s=self._answer_times.timeout_s(ORDER_TIMEOUT_S),
        )

    async def _run(self) -> None:
        delays = backoff.Backoff(
            initial_s=_FIRST_RETRY_S, max_s=_LONGEST_RETRY_S
        )
        while True:
            if not await self._hooks.may_order():
                return
            fault = await self._try_to_renew()
            if fault is None:
                delays.reset()
                await self._wait_for_acknowledgements()
                continue
            if isinstance(fault, errors.Fenced):
                self._hooks.fenced()
                return
            if self._successor_ms:
                self._reborn(self, self._successor_ms)
                return
            self._count_failure(fault)
            if self._has_lapsed():
                self._hooks.gone(self, executor_loss.LAPSED)
                return
            await asyncio.sleep(delays.next_s())

    async def _wait_for_acknowledgements(self) -> None:
        """Wait until the ends just processed are stored.

        Until then executors would answer each renewal at once.
        """
        if self._pending_acknowledgements:
            self._all_acknowledged.clear()
            try:
                async with asyncio.timeout(BUSY_WAIT_S):
                    await self._all_acknowledged.wait()
            except TimeoutError:
                # The store is unreachable; the lease must be renewed anyway.
                return

    async def _try_to_renew(self) -> errors.Fault | None:
        """Renew the lease; an unexpected error counts as no answer."""
        try:
            fault = await self._renew()
        except Exception as error:
            if repr(error) != self._error:
                self._log.exception("renewal-broken")
            self._error = repr(error)
            return errors.OutcomeUnknown(
                message=f"The renewal was not processed: {error!r}.",
                remedy="See the log line renewal-broken.",
            )
        self._error = ""
        return fault

    async def _renew(self) -> errors.Fault | None:
        sent_s = clock.elapsed_s()
        until_ms = 0
        wait_s = 0.0
        if self.sealed and not self._failures:
            # After a failure the lease is not extended, so that it ends.
            until_ms = self.clock_ms(self._bounds.max_lease_s)
            busy = self._hooks.is_busy(self.executor_id)
            wait_s = BUSY_WAIT_S if busy else IDLE_WAIT_S
            self._lease_sent_s = sent_s
        answer = await self._client.renew(
            self.executor,
            epoch=self._epoch,
            lease_until_ms=until_ms,
            # Another incarnation may answer, whose ends are numbered anew.
            acknowledged_end=0 if self._failures else self.acknowledged_end,
            wait_s=wait_s,
            timeout_s=self._answer_times.timeout_s(
                PROBE_TIMEOUT_S if self._failures else RENEWAL_TIMEOUT_S
            ),
        )
        late_s = clock.elapsed_s() - sent_s - wait_s
        if late_s >= 0.0:
            self._answer_times.add(self.executor_id, late_s)
        if isinstance(answer, result.Failure):
            return answer.failure()
        report = answer.unwrap()
        born = self.executor.incarnation_ms
        if born and report.incarnation_ms not in (0, born):
            if report.incarnation_ms not in self.former.began_ms:
                self._successor_ms = report.incarnation_ms
            return errors.Unreachable(
                message="Another incarnation answered.",
                remedy="Wait for its new entry.",
            )
        self._clock_ms = report.clock_ms
        self._clock_at_s = clock.elapsed_s()
        self._failures = 0
        if self.is_silent:
            self._log.info("executor-regained")
        self.is_silent = False
        self.sealed = True
        self._take_report(report, sent_s)
        return None

    def _take_report(self, report: model.Report, sent_s: float) -> None:
        if report.odd_rows != self._odd_rows:
            self._log.warning("report-rows-odd", rows=report.odd_rows)
        self._odd_rows = report.odd_rows
        try:
            self._hooks.reported(self, report, sent_s)
        except Exception:
            # Continue, as the runs need their lease.
            self._log.exception("report-not-taken")

    def _count_failure(self, fault: errors.Fault) -> None:
        self._failures += 1
        if self.is_silent or self._failures < SILENT_AFTER_FAILURES:
            return
        self.is_silent = True
        self.needs_announcement = True
        self._log.warning("executor-silent", why=fault.code)
        self._hooks.silent()
        self._hooks.cordoned(self)

    def _has_lapsed(self) -> bool:
        passed_s = clock.elapsed_s() - self._lease_sent_s
        return passed_s > lapse_after_s(self._bounds)
