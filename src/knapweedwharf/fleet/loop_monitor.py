"""Measures how late the event loop wakes a task.

A late loop delays the renewals of the owner's lease, whatever holds it
up: a long computation, a lack of processor time or a suspended VM.
"""

from __future__ import annotations

import asyncio
from collections import abc

from knapweedwharf.fleet import background
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import metric_definitions
from knapweedwharf import log
from knapweedwharf import metrics

OWNER_PERIOD_S = 0.05
"""A fraction of a renewal period; a delay that begins while the monitor
sleeps is seen shorter by at most this."""

PERIOD_S = 0.5
"""The same on a VM that is not the owner, which has no lease to renew."""

LATE_SHARE = 0.5
"""Share of the lease-renewal period from which a delay is logged; a renewal
is delayed as much."""

LOG_INTERVAL_S = 1.0
"""Shortest time between two lines, as a late loop has little time to log."""


class LoopMonitor(background.Background):
    """Sleeps for a known period and measures how late it is woken.

    :param renewal_period_s: time between two renewals of the lease.
    :param is_owner: whether this VM is the owner; must not change that.
    :param sender: receives each delay.
    """

    def __init__(
        self,
        *,
        renewal_period_s: float,
        is_owner: abc.Callable[[], bool],
        sender: metrics.Metrics,
    ) -> None:
        self._late_s = LATE_SHARE * renewal_period_s
        self._is_owner = is_owner
        self._sender = sender
        self._log = log.get("loop-monitor")
        self._worst_s = 0.0
        self._late_wakes = 0
        self._late_as_owner = False
        self._logged_s: float | None = None

    async def _run(self) -> None:
        while True:
            # A late loop may cost the ownership before this task is woken.
            was_owner = self._is_owner()
            period_s = OWNER_PERIOD_S if was_owner else PERIOD_S
            slept_from_s = clock.elapsed_s()
            await asyncio.sleep(period_s)
            delay_s = clock.elapsed_s() - slept_from_s - period_s
            self._add(max(delay_s, 0.0), was_owner or self._is_owner())

    def _add(self, delay_s: float, as_owner: bool) -> None:
        self._sender.timing(metric_definitions.LOOP_DELAY_MS, delay_s * 1000)
        if delay_s >= self._late_s:
            self._late_wakes += 1
            self._worst_s = max(self._worst_s, delay_s)
            self._late_as_owner = self._late_as_owner or as_owner
        if self._late_wakes:
            self._log_if_due()

    def _log_if_due(self) -> None:
        now_s = clock.elapsed_s()
        if (
            self._logged_s is not None
            and now_s - self._logged_s < LOG_INTERVAL_S
        ):
            return
        self._log.warning(
            "loop-late",
            worst_s=round(self._worst_s, 3),
            late_wakes=self._late_wakes,
            threshold_s=round(self._late_s, 3),
            owner=self._late_as_owner,
        )
        self._logged_s = now_s
        self._worst_s = 0.0
        self._late_wakes = 0
        self._late_as_owner = False
