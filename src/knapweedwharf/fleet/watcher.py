"""Follows a prefix of the store: one listing, then watches."""

from __future__ import annotations

import asyncio
from collections import abc

from returns import result

from knapweedwharf import backoff
from knapweedwharf import errors
from knapweedwharf.fleet import background
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import model
from knapweedwharf import log

_FIRST_RETRY_S = 0.05
_LONGEST_RETRY_S = 0.4
"""The end of an outage is noticed within half a second."""


CERTAIN_WAIT_SHARE = 0.95
"""Share of an unchanged watch's wait that the store has surely waited; its
clock may run slightly faster than the local one."""


class Watcher(background.Background):
    """Reports the entries under a prefix and their changes.

    :param wait_s: longest wait of one watch call; bounds the age of the
        known state while nothing changes.
    :param on_listing: called with all entries, at first and whenever the
        history of changes is no longer available.
    :param on_changes: called with each batch of changes.
    :ivar confirmed_s: latest time at which the known state was surely
        current: when the last call was sent, or near the end of its
        wait if nothing changed.
    """

    def __init__(
        self,
        store,
        prefix: str,
        *,
        wait_s: float,
        on_listing: abc.Callable[[model.Listing], None],
        on_changes: abc.Callable[[model.Changes], None],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._wait_s = wait_s
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._log = log.get("watcher").bind(prefix=prefix)
        self._revision = 0
        self._is_disconnected = False
        self._wait_ended_s: float | None = None
        self.confirmed_s: float | None = None

    @property
    def age_s(self) -> float:
        """Time since the last confirmation; infinite before the first."""
        if self.confirmed_s is None:
            return float("inf")
        return clock.elapsed_s() - self.confirmed_s

    async def _run(self) -> None:
        delays = backoff.Backoff(
            initial_s=_FIRST_RETRY_S, max_s=_LONGEST_RETRY_S
        )
        while True:
            sent_s = clock.elapsed_s()
            try:
                fault = await self._step()
            except Exception as error:
                # A callback failed. Continue from a new listing, so that
                # no change is missed.
                self._log.exception("change-not-taken")
                self._revision = 0
                fault = errors.Fault(
                    message=f"A change was not processed: {error!r}.",
                    remedy="See the log line change-not-taken.",
                )
            if fault is None:
                self.confirmed_s = max(sent_s, self._wait_ended_s or 0.0)
                delays = backoff.Backoff(
                    initial_s=_FIRST_RETRY_S, max_s=_LONGEST_RETRY_S
                )
                if self._is_disconnected:
                    self._log.info("store-regained", revision=self._revision)
                self._is_disconnected = False
                continue
            if not self._is_disconnected:
                self._log.warning(
                    "store-lost", why=fault.code, age_s=round(self.age_s, 3)
                )
            self._is_disconnected = True
            await asyncio.sleep(delays.next_s())

    async def _step(self) -> errors.Fault | None:
        if not self._revision:
            listed = await self._store.list(self._prefix)
            if isinstance(listed, result.Failure):
                return listed.failure()
            self._revision = listed.unwrap().revision
            self._on_listing(listed.unwrap())
            return None
        sent_s = clock.elapsed_s()
        changed = await self._store.watch(
            self._prefix, after=self._revision, wait_s=self._wait_s
        )
        if isinstance(changed, result.Failure):
            fault = changed.failure()
            if not isinstance(fault, errors.NotFound):
                return fault
            self._log.info("history-lost", revision=self._revision)
            self._revision = 0
            return None
        changes = changed.unwrap()
        self._revision = max(self._revision, changes.revision)
        if changes.items or changes.removed:
            self._on_changes(changes)
        elif clock.elapsed_s() - sent_s >= self._wait_s:
            self._wait_ended_s = sent_s + CERTAIN_WAIT_SHARE * self._wait_s
        return None
