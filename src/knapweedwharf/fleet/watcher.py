"""Following of a prefix of the store: list once, then watch."""

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
"""An outage ends within half a second of being noticed."""


WAITED_SHARE = 0.95
"""Share of a wait without changes that has surely passed at the store;
its clock may run a little faster than ours."""


class Watcher(background.Background):
    """Tells an owner what lies under a prefix and what changes there.

    :param wait_s: how long one watch waits; bounds the age of what is
        known while nothing changes.
    :param on_listing: called with everything, at first and whenever the
        changes in between are lost.
    :param on_changes: called with each batch of changes.
    :ivar confirmed_s: a moment at which what is known was surely the
        newest: the question was sent then, or its wait was about over.
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
        self._lost = False
        self._answered_s: float | None = None
        self.confirmed_s: float | None = None

    @property
    def age_s(self) -> float:
        """How old the last confirmation is; infinite before the first."""
        if self.confirmed_s is None:
            return float("inf")
        return clock.elapsed_s() - self.confirmed_s

    async def _run(self) -> None:
        waits = backoff.Backoff(
            first_s=_FIRST_RETRY_S, longest_s=_LONGEST_RETRY_S
        )
        while True:
            sent_s = clock.elapsed_s()
            try:
                fault = await self._step()
            except Exception as error:
                # Whoever was told of the change failed; following goes
                # on, from a new listing.
                self._log.exception("change-not-taken")
                self._revision = 0
                fault = errors.Fault(
                    message=f"A change was not taken: {error!r}.",
                    remedy="See the line change-not-taken.",
                )
            if fault is None:
                self.confirmed_s = max(sent_s, self._answered_s or 0.0)
                waits = backoff.Backoff(
                    first_s=_FIRST_RETRY_S, longest_s=_LONGEST_RETRY_S
                )
                if self._lost:
                    self._log.info("store-regained", revision=self._revision)
                self._lost = False
                continue
            if not self._lost:
                self._log.warning(
                    "store-lost", why=fault.code, age_s=round(self.age_s, 3)
                )
            self._lost = True
            await asyncio.sleep(waits.next_s())

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
            self._answered_s = sent_s + WAITED_SHARE * self._wait_s
        return None
