"""Sorts the waiting jobs again, as their ranks change with time."""

from __future__ import annotations

from collections import abc
import math

from knapweedwharf.core import state as state_module

REORDER_S = 1.0
"""Objectives are a few seconds long, and reordering visits every waiting
job."""

REORDERED_AT_ONCE = 50
"""About as much work as one search for room."""


class Reorder:
    """Updates the sort keys of all waiting jobs, in steps."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._reordered_s = -math.inf

    def run(self) -> abc.Iterator[None]:
        """Sort the jobs again if it is time.

        Yields after each ``REORDERED_AT_ONCE`` jobs. Jobs may start or
        end in between.
        """
        state = self._state
        if state.now_s - self._reordered_s < REORDER_S:
            return
        self._reordered_s = state.now_s
        for number, job_id in enumerate(state.waiting.job_ids(), start=1):
            if job_id not in state.waiting:
                continue
            job = state.records[job_id].job
            order = state.order_of(job, state.estimates.run_s(job))
            state.waiting.reorder(job_id, order)
            if number % REORDERED_AT_ONCE == 0:
                yield
