"""The backlog as the owner publishes it, and as each VM reads it."""

from __future__ import annotations

import asyncio
import collections

from returns import result

from knapweedwharf import codec
from knapweedwharf.fleet import background
from knapweedwharf.fleet import backlog as backlog_module
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import election as election_module
from knapweedwharf.fleet import records
from knapweedwharf.fleet import scheduling_state as scheduling_state_module
from knapweedwharf.fleet import versioned_value
from knapweedwharf import log

PUBLISH_INTERVAL_S = 0.5

CHANGED_SHARE = 0.01
"""Of the limit; a smaller change of an account's bytes isn't published."""

FREED_WINDOW_S = 30.0
"""Time over which the rate is averaged at which jobs free memory."""

READ_TIMEOUT_S = 0.3
"""Thirty times the store's usual answer time; the caller waits for it."""

NOTABLE_AGE_S = 0.5
USUAL_AGE_S = 5.0
"""Age up to which what was read serves; the first once the backlog is notable
or a submission is large."""

RETRY_AFTER_S = 0.5
"""Time between two tries to read; callers don't wait for each of them while
the store doesn't answer."""

LARGE_BYTES = 64_000

COUNTED_AFTER_S = 2.0
"""Time after which the owner has surely published a job that was stored."""

MAX_UNPUBLISHED_BYTES = backlog_module.LIMIT_BYTES // 8
"""Of one account's jobs, which other VMs don't know yet."""

REREAD_BYTES = backlog_module.LIMIT_BYTES // 32
"""What a VM may store before it reads again."""


class BacklogRecord(background.Background):
    """Publishes the backlog while this VM is the owner."""

    def __init__(
        self,
        *,
        store,
        ownership: election_module.Ownership,
        scheduling_state: scheduling_state_module.SchedulingState,
    ) -> None:
        self._scheduling_state = scheduling_state
        self._value = versioned_value.VersionedValue(
            store, records.BACKLOG_KEY, epoch_revision=ownership.revision
        )
        self._published: backlog_module.Backlog | None = None
        self._freed: collections.deque[tuple[float, int]] = collections.deque()
        self._log = log.get("backlog").bind(epoch=ownership.epoch)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_S)
            current = self._current()
            if not current.is_notable:
                current = backlog_module.Backlog()
            if self._published is None or _differs(self._published, current):
                await self._publish(current)

    def _current(self) -> backlog_module.Backlog:
        now_s = clock.elapsed_s()
        freed = self._scheduling_state.freed_bytes
        self._freed.append((now_s, freed))
        while now_s - self._freed[0][0] > FREED_WINDOW_S:
            self._freed.popleft()
        since_s, freed_before = self._freed[0]
        spent_s = max(PUBLISH_INTERVAL_S, now_s - since_s)
        return backlog_module.Backlog(
            self._scheduling_state.bytes_by_account(),
            (freed - freed_before) / spent_s,
        )

    async def _publish(self, current: backlog_module.Backlog) -> None:
        written = await self._value.write(records.dump_backlog(current))
        if isinstance(written, result.Failure):
            why = written.failure().code
            self._log.info("backlog-not-published", why=why)
            return
        self._published = current
        self._log.info(
            "backlog-published",
            total_bytes=current.total,
            accounts=len(current.by_account),
            freed_bytes_per_s=round(current.freed_bytes_per_s),
        )


def _differs(
    known: backlog_module.Backlog, current: backlog_module.Backlog
) -> bool:
    least = CHANGED_SHARE * backlog_module.LIMIT_BYTES
    return any(
        abs(known.by_account.get(account, 0) - held) >= least
        for account, held in current.by_account.items()
    ) or (known.is_notable != current.is_notable)


class BacklogView:
    """What one VM knows of the backlog."""

    def __init__(self, store) -> None:
        self._store = store
        self._known = backlog_module.Backlog()
        self._read_s = float("-inf")
        self._tried_s = float("-inf")
        self._stored_since = 0
        self._unpublished: collections.deque[tuple[float, str, int]] = (
            collections.deque()
        )
        self._log = log.get("backlog")

    async def refresh(self, needed: int) -> None:
        """Read what the owner has published, unless it was read lately."""
        is_pressing = (
            self._known.is_notable
            or needed >= LARGE_BYTES
            or self._stored_since >= REREAD_BYTES
        )
        max_age_s = NOTABLE_AGE_S if is_pressing else USUAL_AGE_S
        sent_s = clock.elapsed_s()
        if sent_s - self._read_s <= max_age_s:
            return
        if sent_s - self._tried_s <= RETRY_AFTER_S:
            return
        self._tried_s = sent_s
        read = await self._store.read(
            records.BACKLOG_KEY, timeout_s=READ_TIMEOUT_S
        )
        if isinstance(read, result.Failure):
            self._log.info("backlog-not-read", why=read.failure().code)
            return
        item = read.unwrap()
        self._read_s = sent_s
        self._stored_since = 0
        try:
            self._known = (
                records.load_backlog(item.value)
                if item
                else backlog_module.Backlog()
            )
        except codec.UNDECODABLE as error:
            self._log.error("backlog-malformed", why=str(error))

    def note_stored(self, account: str, needed: int) -> None:
        """Count a job that this VM has stored."""
        self._unpublished.append((clock.elapsed_s(), account, needed))
        self._stored_since += needed

    def wait_s(self, account: str, needed: int, *, accounts: int) -> float:
        """Return when a submission of an account may be tried again.

        :returns: 0 if there is room for it now.
        """
        oldest_s = clock.elapsed_s() - COUNTED_AFTER_S
        while self._unpublished and self._unpublished[0][0] < oldest_s:
            self._unpublished.popleft()
        unpublished = sum(
            size for _at_s, of, size in self._unpublished if of == account
        )
        if unpublished and unpublished + needed > MAX_UNPUBLISHED_BYTES:
            return COUNTED_AFTER_S
        known = self._known.with_added(account, unpublished)
        excess = known.excess(account, needed, accounts=accounts)
        return known.wait_s(excess) if excess else 0.0
