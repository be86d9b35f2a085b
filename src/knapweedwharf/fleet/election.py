"""Leader election: a key under a lease, and an epoch as fencing token.

Every order carries the epoch, and every write of the owner is
conditional on it. The transaction that takes the key also increments
the epoch, so no two owners share one, even if an answer is lost.
"""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import random
import uuid

from returns import result

from knapweedwharf import errors
from knapweedwharf.fleet import background
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records
from knapweedwharf.fleet import watcher as watcher_module
from knapweedwharf import log

LEASE_SHARE = 0.5
"""Lease time as a share of the allowed take-over time; the rest is for
reading the records and sealing the executors."""

RENEWALS_PER_LEASE = 5
"""Leaves room to lose one renewal without losing the ownership."""

RENEWAL_TIMEOUT_SHARE = 0.33
"""Share of the lease; exceeds the answer time of a store slowed 60 times,
and leaves time for another renewal after a dead connection."""

ANSWER_TIME_FACTOR = 2.0
"""Renewals wait at least this multiple of the last answer's time."""

VALID_SHARE = 0.9
"""Share of the lease after which the owner stops without a renewal."""

MAX_DOUBT_SHARE = 1.0
"""Share of the lease for which the owner then waits for an answer; after
that, runs are about to lapse and the records are better read anew."""

WATCH_WAIT_SHARE = 1 / 3
"""Share of the allowed take-over time that a watch may wait. The removal of
the key ends a wait early; on a dead connection it is seen only once the watch
has timed out, and the records have to be read after that."""

MAX_CANDIDATE_DELAY_S = 0.05
"""Random spread of the candidates; a few times the store's answer time."""

CHECK_INTERVAL_S = 30.0
"""Time after which a VM that waits for the owner's key to go reads it. The
watch tells of the removal at once, unless it has missed it."""

MAX_HANDICAP_SHARE = 0.2
"""Longest additional wait of a VM that is unfit for an owner, as a share of
the take-over time that the lease leaves. A few times the spread, so that
abler candidates have won by then; most of the time is left to take over."""


@dataclasses.dataclass(frozen=True)
class Ownership:
    """A won ownership.

    :ivar epoch: 1 for the first owner ever; sent with its orders.
    :ivar revision: revision of the epoch's key; a condition of its
        writes.
    """

    epoch: int
    revision: int


def _handicap_s(process_config: model.ProcessConfig, lease_s: float) -> float:
    """Return how long a candidate waits for abler ones.

    It grows with the square of the shortfall, as VMs that fall only a
    little short would wait in each take-over of an even deployment.
    """
    left_s = max(0.0, process_config.bounds.owner_lease_s - lease_s)
    shortfall = process_config.capacity.shortfall
    return MAX_HANDICAP_SHARE * left_s * shortfall**2


class Election:
    """Competes for the ownership and renews it.

    :param on_won: called with a new ownership.
    :param on_lost: called with the reason once it may have ended.
    """

    def __init__(
        self,
        *,
        process_config: model.ProcessConfig,
        store,
        on_won: abc.Callable[[Ownership], None],
        on_lost: abc.Callable[[str], None],
    ) -> None:
        self._process_config = process_config
        self._store = store
        self._on_won = on_won
        self._on_lost = on_lost
        self._log = log.get("election")
        self._lease_s = max(
            process_config.min_lease_s,
            LEASE_SHARE * process_config.bounds.owner_lease_s,
        )
        self._random = random.Random(process_config.node_id)
        self._handicap_s = _handicap_s(process_config, self._lease_s)
        self._lease_id = 0
        self._nonce = ""
        self._valid_until_s = 0.0
        self._renewals: set[asyncio.Task] = set()
        self._renewals_sent = 0
        self._answer_s = 0.0
        self._ownership_ended = asyncio.Event()
        self._paused_until_s = 0.0
        self._ending: asyncio.Task | None = None
        self._settled = asyncio.Event()
        self._owner_revision = 0
        self._owner_absent = asyncio.Event()
        self._owner_present = asyncio.Event()
        self._task: asyncio.Task | None = None
        self.ownership: Ownership | None = None
        self.withdrawn = False
        self._watcher = watcher_module.Watcher(
            store,
            records.OWNER_KEY,
            wait_s=WATCH_WAIT_SHARE * process_config.bounds.owner_lease_s,
            on_listing=self._on_listing,
            on_changes=self._on_changes,
        )

    async def start(self) -> None:
        """Start competing."""
        await self._watcher.start()
        self._task = asyncio.create_task(
            background.keep_running(self._run, type(self).__name__)
        )

    async def close(self) -> None:
        """Stop competing and give up the ownership."""
        self.withdrawn = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for renewal in list(self._renewals):
            renewal.cancel()
        await asyncio.gather(*self._renewals, return_exceptions=True)
        await self._watcher.close()
        if self._ending is not None:
            await self._ending
        await self.resign()

    async def resign(self) -> None:
        """End the lease, so that another VM takes over at once."""
        self.withdrawn = True
        if self.ownership is not None:
            self.give_up("resigned")
            await self._end_lease(self._lease_id)

    async def _end_lease(self, lease_id: int) -> None:
        """End a lease; if the call fails, the lease expires by itself."""
        ended = await self._store.end(lease_id)
        if isinstance(ended, result.Failure):
            why = ended.failure().code
            self._log.warning("lease-not-ended", lease=lease_id, why=why)

    @property
    def is_owner(self) -> bool:
        """Whether orders may be sent: the lease can't have ended."""
        return self.ownership is not None and self._doubt_s < 0.0

    @property
    def _doubt_s(self) -> float:
        """Time for which the lease may have ended; negative if it can't."""
        return clock.elapsed_s() - self._valid_until_s

    async def may_order(self) -> bool:
        """Return whether orders may be sent; wait while this is in doubt.

        An answered renewal proves that the lease has never ended. Its key
        was there all the time then, so nobody else was the owner, and
        the ownership goes on under the same epoch.
        """
        ownership = self.ownership
        while ownership is not None and self.ownership is ownership:
            if self.is_owner:
                return True
            self._settled.clear()
            await self._settled.wait()
        return False

    @property
    def renewal_period_s(self) -> float:
        """Time between two renewals of the lease."""
        return self._lease_s / RENEWALS_PER_LEASE

    def give_up(self, why: str) -> None:
        """Give up the ownership; no more orders are sent."""
        if self.ownership is None:
            return
        lost, self.ownership = self.ownership, None
        self._ownership_ended.set()
        self._settled.set()
        self._log.warning("owner-lost", ordinal=lost.epoch, why=why)
        self._on_lost(why)

    def step_down(self, why: str, pause_s: float) -> None:
        """Give up the ownership at once and don't compete for a while.

        Ends the lease, so that another VM needn't await its expiry.
        """
        if self.ownership is None:
            return
        self._paused_until_s = clock.elapsed_s() + pause_s
        lease_id, self._lease_id = self._lease_id, 0
        self.give_up(why)
        self._ending = asyncio.create_task(self._end_lease(lease_id))

    def _on_listing(self, listing: model.Listing) -> None:
        for item in listing.items:
            if item.key == records.OWNER_KEY:
                self._note_owner(True, item.revision)
                return
        self._note_owner(False, listing.revision)

    def _on_changes(self, changes: model.Changes) -> None:
        for change in changes.events:
            if change.key == records.OWNER_KEY:
                present = isinstance(change, model.Item)
                self._note_owner(present, change.revision)

    def _note_owner(self, present: bool, revision: int) -> None:
        """Take note of the owner's key; older news doesn't count."""
        if revision < self._owner_revision:
            return
        self._owner_revision = revision
        if present:
            self._owner_present.set()
            self._owner_absent.clear()
        else:
            self._owner_absent.set()
            self._owner_present.clear()

    async def _run(self) -> None:
        while True:
            if self.ownership is not None:
                await self._ownership_ended.wait()
                continue
            if self._lease_id and not self.withdrawn:
                await self._try_resume()
                continue
            if not await self._await_absence():
                continue
            pause_s = self._paused_until_s - clock.elapsed_s()
            if pause_s > 0.0:
                await asyncio.sleep(pause_s)
                continue
            if await self._stays_absent() and not self.withdrawn:
                await self._try_acquire()
            else:
                await asyncio.sleep(MAX_CANDIDATE_DELAY_S)

    async def _await_absence(self) -> bool:
        """Wait for the owner's key to go; return whether it is gone.

        A missed removal is found by reading the key after a while.
        """
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._owner_absent.wait()
        except TimeoutError:
            listed = await self._store.list_page(records.OWNER_KEY)
            if isinstance(listed, result.Success):
                self._on_listing(listed.unwrap())
            else:
                why = listed.failure().code
                self._log.info("owner-not-checked", why=why)
        return self._owner_absent.is_set()

    async def _stays_absent(self) -> bool:
        """Let abler candidates go first; return whether none has won."""
        spread_s = self._random.uniform(0.0, MAX_CANDIDATE_DELAY_S)
        try:
            async with asyncio.timeout(self._handicap_s + spread_s):
                await self._owner_present.wait()
        except TimeoutError:
            return True
        return False

    def _schedule_renewal(self, due_s: float) -> None:
        renewal = asyncio.create_task(self._renew_lease(due_s))
        self._renewals.add(renewal)
        renewal.add_done_callback(self._renewals.discard)

    async def _renew_lease(self, due_s: float) -> None:
        """Send a renewal when it is due, and take its answer.

        The next one does not wait for the answer. It is a task already
        when it is due, so that a busy event loop sends it in one turn.
        """
        lease_id, ownership = self._lease_id, self.ownership
        await asyncio.sleep(due_s - clock.elapsed_s())
        if self.ownership is not ownership:
            return
        sent_s = clock.elapsed_s()
        self._schedule_renewal(sent_s + self.renewal_period_s)
        renewed = await self._store.renew(
            lease_id, timeout_s=self._next_timeout_s()
        )
        if self.ownership is not ownership:
            return
        if isinstance(renewed, result.Success):
            self._answer_s = clock.elapsed_s() - sent_s
            self._confirm(sent_s)
        elif isinstance(renewed.failure(), errors.NotFound):
            self._lease_id = 0
            self.give_up("lease-ended")
        elif self._doubt_s > MAX_DOUBT_SHARE * self._lease_s:
            self.give_up("lease-not-renewed")

    def _confirm(self, sent_s: float) -> None:
        doubt_s = self._doubt_s
        self._extend(sent_s)
        if doubt_s >= 0.0 and self.is_owner:
            self._log.warning("owner-confirmed", doubt_s=round(doubt_s, 3))
        self._settled.set()

    def _next_timeout_s(self) -> float:
        """Return the timeout of the next renewal.

        Every second one waits as long as its answer is of use; the others
        end soon, which closes connections that are dead.
        """
        useful_s = VALID_SHARE * self._lease_s
        self._renewals_sent += 1
        if self._renewals_sent % 2 == 0:
            return useful_s
        short_s = max(
            RENEWAL_TIMEOUT_SHARE * self._lease_s,
            ANSWER_TIME_FACTOR * self._answer_s,
        )
        return min(useful_s, short_s)

    def _extend(self, sent_s: float) -> None:
        """Count the lease from when its renewal was sent."""
        valid_until_s = sent_s + VALID_SHARE * self._lease_s
        self._valid_until_s = max(self._valid_until_s, valid_until_s)

    async def _try_resume(self) -> None:
        """Take the next epoch under the own lease if it has survived a
        store outage; otherwise compete again.

        The pause bounds the epochs that are taken if each is lost at once.
        """
        await asyncio.sleep(self.renewal_period_s)
        if self.withdrawn:
            return
        sent_s = clock.elapsed_s()
        renewed = await self._store.renew(
            self._lease_id, timeout_s=RENEWAL_TIMEOUT_SHARE * self._lease_s
        )
        if isinstance(renewed, result.Failure):
            if isinstance(renewed.failure(), errors.NotFound):
                self._lease_id = 0
            return
        found = await self._store.read(records.OWNER_KEY)
        item = found.value_or(None)
        if item is None:
            return
        lease_id, self._lease_id = self._lease_id, 0
        if records.load_epoch(item.value)[1] != self._nonce:
            return
        await self._acquire_next_epoch(
            lease_id, sent_s, owner_revision=item.revision
        )

    async def _try_acquire(self) -> None:
        sent_s = clock.elapsed_s()
        granted = await self._store.grant(self._lease_s)
        if isinstance(granted, result.Failure):
            return
        await self._acquire_next_epoch(
            granted.unwrap(), sent_s, owner_revision=0
        )

    async def _acquire_next_epoch(
        self, lease_id: int, sent_s: float, *, owner_revision: int
    ) -> None:
        """Become the next owner under a lease renewed at ``sent_s``."""
        found = await self._store.read(records.EPOCH_KEY)
        if isinstance(found, result.Failure):
            return
        item = found.unwrap()
        epoch = records.load_epoch(item.value)[0] if item else 0
        expected = {
            records.OWNER_KEY: owner_revision,
            records.EPOCH_KEY: item.revision if item else 0,
        }
        won = await self._commit_ownership(lease_id, epoch + 1, expected)
        if won is None:
            await self._end_lease(lease_id)
            return
        self._lease_id = lease_id
        self._extend(sent_s)
        self._note_owner(True, won.revision)
        self.ownership = won
        self._ownership_ended.clear()
        self._schedule_renewal(sent_s + self.renewal_period_s)
        self._log.info(
            "owner-won",
            ordinal=won.epoch,
            revision=won.revision,
            resumed=owner_revision > 0,
        )
        self._on_won(won)

    async def _commit_ownership(
        self, lease_id: int, epoch: int, expected: dict[str, int]
    ) -> Ownership | None:
        self._nonce = uuid.uuid4().hex
        value = records.dump_epoch(
            epoch=epoch,
            node_id=self._process_config.node_id,
            nonce=self._nonce,
        )
        committed = await self._store.commit(
            model.Commit(
                expected=expected,
                writes=(
                    model.Write(records.OWNER_KEY, value, lease_id),
                    model.Write(records.EPOCH_KEY, value),
                ),
            )
        )
        if isinstance(committed, result.Success):
            return Ownership(epoch, committed.unwrap())
        if isinstance(committed.failure(), errors.Unreachable):
            return None
        found = await self._store.read(records.EPOCH_KEY)
        item = found.value_or(None)
        if item is None or records.load_epoch(item.value)[1] != self._nonce:
            return None
        return Ownership(epoch, item.revision)
