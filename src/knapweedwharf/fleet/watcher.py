"""Follows a prefix of the store: one listing, then watches."""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import math

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


POLL_WAIT_S = 0.05
"""Wait of a watch while the store gives no answers. A longer one would still
hang after the store's return, if it was sent before."""

POLL_MARGIN_S = 0.3
"""Time beyond that wait for every second such watch; the others have the
client's usual margin, which a slow store or link may need."""


FRESH_S = 0.25
"""A watch that has waited longer is answered because of its first change; the
answer takes no longer than this, save on a very slow link."""


ListingCallback = abc.Callable[[model.Listing], abc.Awaitable[None] | None]


@dataclasses.dataclass
class _Reading:
    """Pages of a listing that have been read.

    :ivar after: last key read.
    :ivar revision: that of the first page, so that a watch from there
        misses no change.
    :ivar began_s: when the first page was requested.
    :ivar silence_factor: how long the store may be silent, see
        ``list_page``.
    """

    items: list[model.Item] = dataclasses.field(default_factory=list)
    after: str = ""
    revision: int = 0
    began_s: float = 0.0
    silence_factor: float = 1.0

    def add(self, page: model.Listing, sent_s: float) -> None:
        """Add the next page, which was requested at ``sent_s``."""
        if not self.revision:
            self.revision = page.revision
            self.began_s = sent_s
        self.silence_factor = 1.0
        self.items.extend(page.items)
        if page.items:
            self.after = page.items[-1].key


class Watcher(background.Background):
    """Reports the entries under a prefix and their changes.

    A page of the listing that fails is repeated; earlier pages are kept.

    :param wait_s: longest wait of one watch call; bounds the age of the
        known state while nothing changes.
    :param on_listing: called with all entries, at first and whenever the
        history of changes is no longer available; may be a coroutine
        function.
    :param on_changes: called with each batch of changes.
    :param max_silence_factor: multiple of the store's default timeout up
        to which a page without any answer is given more time at each
        attempt.
    :ivar pages: number of pages read so far.
    :ivar failures: number of failed calls so far.
    :ivar progressed_s: when the last page was read; 0 before the first.
    :ivar max_change_age_s: how long ago the changes of the newest batch
        were made at most.
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
        on_listing: ListingCallback,
        on_changes: abc.Callable[[model.Changes], None],
        max_silence_factor: float = 1.0,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._wait_s = wait_s
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._max_silence_factor = max_silence_factor
        self._reading = _Reading()
        self._log = log.get("watcher").bind(prefix=prefix)
        self._revision = 0
        self._listed_ahead: dict[str, int] = {}
        """Revision of each entry that was listed newer than the listing."""
        self._is_disconnected = False
        self._polls = 0
        """Watches sent since the store has stopped to answer."""
        self._asked_s = 0.0
        self._wait_ended_s: float | None = None
        self._answered_s = -math.inf
        self.max_change_age_s = math.inf
        self.pages = 0
        self.failures = 0
        self.progressed_s = 0.0
        self.confirmed_s: float | None = None

    @property
    def revision(self) -> int:
        """Revision up to which changes were reported; 0 before a listing."""
        return self._revision

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
            begun_s = clock.elapsed_s()
            try:
                fault = await self._step()
            except Exception as error:
                # A callback failed. Continue from a new listing, so that
                # no change is missed.
                self._log.exception("change-not-taken")
                self._revision = 0
                self._reading = _Reading()
                fault = errors.Fault(
                    message=f"A change was not processed: {error!r}.",
                    remedy="See the log line change-not-taken.",
                )
            if fault is None:
                self.confirmed_s = max(
                    self._asked_s, self._wait_ended_s or 0.0
                )
                delays = backoff.Backoff(
                    initial_s=_FIRST_RETRY_S, max_s=_LONGEST_RETRY_S
                )
                if self._is_disconnected:
                    self._log.info("store-regained", revision=self._revision)
                self._is_disconnected = False
                self._polls = 0
                continue
            self.failures += 1
            if not self._is_disconnected:
                self._log.warning(
                    "store-lost", why=fault.code, age_s=round(self.age_s, 3)
                )
            self._is_disconnected = True
            spent_s = clock.elapsed_s() - begun_s
            await asyncio.sleep(max(0.0, delays.next_s() - spent_s))

    async def _step(self) -> errors.Fault | None:
        if not self._revision:
            return await self._list()
        sent_s = self._asked_s = clock.elapsed_s()
        is_poll = self._is_disconnected
        wait_s = POLL_WAIT_S if is_poll else self._wait_s
        changed = await self._watch(wait_s)
        if isinstance(changed, result.Failure):
            fault = changed.failure()
            if not isinstance(fault, errors.NotFound):
                return fault
            self._log.info("history-lost", revision=self._revision)
            self._revision = 0
            return await self._list()
        changes = changed.unwrap()
        self._revision = max(self._revision, changes.revision)
        self._note_answer(sent_s, may_have_waited=not is_poll)
        if changes.events:
            self._on_changes(self._without_listed(changes))
        elif clock.elapsed_s() - sent_s >= wait_s:
            self._wait_ended_s = sent_s + CERTAIN_WAIT_SHARE * wait_s
        return None

    def _watch(self, wait_s: float) -> abc.Awaitable:
        """Send a watch; while the store gives no answers, ask more often."""
        options = {}
        if self._is_disconnected:
            self._polls += 1
            if self._polls % 2:
                options["margin_s"] = POLL_MARGIN_S
        return self._store.watch(
            self._prefix, after=self._revision, wait_s=wait_s, **options
        )

    def _without_listed(self, changes: model.Changes) -> model.Changes:
        """Leave out what a later page of the listing has shown already.

        Pages are read one after the other, and changes follow from the
        revision of the first.
        """
        events = tuple(
            event
            for event in changes.events
            if event.revision > self._listed_ahead.get(event.key, -1)
        )
        return dataclasses.replace(changes, events=events)

    def _note_answer(self, sent_s: float, *, may_have_waited: bool) -> None:
        now_s = clock.elapsed_s()
        has_waited = may_have_waited and now_s - sent_s > FRESH_S
        since_s = now_s - FRESH_S if has_waited else self._answered_s
        self.max_change_age_s = now_s - since_s
        self._answered_s = now_s

    async def _list(self) -> errors.Fault | None:
        """Read the remaining pages and report the listing."""
        reading = self._reading
        while True:
            sent_s = clock.elapsed_s()
            listed = await self._store.list_page(
                self._prefix,
                after=reading.after,
                silence_factor=reading.silence_factor,
            )
            if isinstance(listed, result.Failure):
                fault = listed.failure()
                if isinstance(fault, errors.OutcomeUnknown):
                    reading.silence_factor = min(
                        2 * reading.silence_factor, self._max_silence_factor
                    )
                return fault
            page = listed.unwrap()
            reading.add(page, sent_s)
            self.pages += 1
            self.progressed_s = clock.elapsed_s()
            if not page.has_more:
                break
        self._reading = _Reading()
        self._asked_s = reading.began_s
        self._revision = reading.revision
        self._listed_ahead = {
            item.key: item.revision
            for item in reading.items
            if item.revision > reading.revision
        }
        listing = model.Listing(tuple(reading.items), reading.revision)
        taken = self._on_listing(listing)
        if taken is not None:
            await taken
        return None
