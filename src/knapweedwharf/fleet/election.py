"""Which VM schedules: a key under a lease and a count of owners.

The count is the epoch that every order carries and the condition of
every write of the owner. It rises in the transaction that takes the
key, so no two owners share an epoch, whatever became of a lost answer.
"""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import random
import uuid

from returns import result

from knapweedwharf import errors
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records
from knapweedwharf.fleet import watcher as watcher_module
from knapweedwharf import log

LEASE_SHARE = 0.5
"""Lease time as a share of the time that a take-over may take; the rest
is for the records and the executors."""

RENEWALS_PER_LEASE = 5
"""One renewal may be lost without losing the ownership."""

RENEWAL_TIMEOUT_SHARE = 0.33
"""Of the lease; over the answer time of a store that is 60 times slow."""

VALID_SHARE = 0.9
"""Share of the lease after which the owner stops by itself."""

WATCH_WAIT_S = 5.0
"""The key's removal ends the wait; this bounds a silent connection."""

MAX_CANDIDATE_DELAY_S = 0.05
"""Spread of candidates, a few times the store's answer time."""


@dataclasses.dataclass(frozen=True)
class Ownership:
    """An ownership won.

    :ivar ordinal: 1 for the first owner ever; the epoch of its orders.
    :ivar revision: of the epoch's key; the condition of its writes.
    """

    ordinal: int
    revision: int


class Election:
    """Competes for the ownership and keeps it.

    :param on_won: called with a new ownership.
    :param on_lost: called once it may have ended.
    """

    def __init__(
        self,
        *,
        site: model.Site,
        store,
        on_won: abc.Callable[[Ownership], None],
        on_lost: abc.Callable[[str], None],
    ) -> None:
        self._site = site
        self._store = store
        self._on_won = on_won
        self._on_lost = on_lost
        self._log = log.get("election")
        self._lease_s = max(
            site.min_lease_s, LEASE_SHARE * site.bounds.owner_lease_s
        )
        self._random = random.Random(site.node_id)
        self._lease_id = 0
        self._nonce = ""
        self._valid_until_s = 0.0
        self._absent = asyncio.Event()
        self._task: asyncio.Task | None = None
        self.ownership: Ownership | None = None
        self.withdrawn = False
        self._watcher = watcher_module.Watcher(
            store,
            records.OWNER_KEY,
            wait_s=WATCH_WAIT_S,
            on_listing=self._listed,
            on_changes=self._changed,
        )

    async def start(self) -> None:
        """Begin to compete."""
        await self._watcher.start()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop competing, and hand an ownership over."""
        self.withdrawn = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._watcher.close()
        await self.resign()

    async def resign(self) -> None:
        """End the lease, so that another VM takes over at once."""
        self.withdrawn = True
        if self.ownership is not None:
            self.lose("resigned")
            await self._end_lease(self._lease_id)

    async def _end_lease(self, lease_id: int) -> None:
        """End a lease; without an answer it ends by itself."""
        ended = await self._store.end(lease_id)
        if isinstance(ended, result.Failure):
            why = ended.failure().code
            self._log.warning("lease-not-ended", lease=lease_id, why=why)

    @property
    def is_owner(self) -> bool:
        """Whether orders may be given; the lease may have lapsed since."""
        if self.ownership is None:
            return False
        if clock.elapsed_s() < self._valid_until_s:
            return True
        self.lose("lease-not-renewed")
        return False

    def lose(self, why: str) -> None:
        """Give the ownership up; its orders are refused from now on."""
        if self.ownership is None:
            return
        lost, self.ownership = self.ownership, None
        self._log.warning("owner-lost", ordinal=lost.ordinal, why=why)
        self._on_lost(why)

    def _listed(self, listing: model.Listing) -> None:
        if any(item.key == records.OWNER_KEY for item in listing.items):
            self._absent.clear()
        else:
            self._absent.set()

    def _changed(self, changes: model.Changes) -> None:
        if records.OWNER_KEY in changes.removed:
            self._absent.set()
        if any(item.key == records.OWNER_KEY for item in changes.items):
            self._absent.clear()

    async def _run(self) -> None:
        while True:
            if self.is_owner:
                await self._keep()
                continue
            if self._lease_id and not self.withdrawn:
                await self._resume()
                continue
            await self._absent.wait()
            delay_s = self._random.uniform(0.0, MAX_CANDIDATE_DELAY_S)
            await asyncio.sleep(delay_s)
            if self._absent.is_set() and not self.withdrawn:
                await self._compete()
            else:
                await asyncio.sleep(MAX_CANDIDATE_DELAY_S)

    async def _keep(self) -> None:
        await asyncio.sleep(self._lease_s / RENEWALS_PER_LEASE)
        sent_s = clock.elapsed_s()
        renewed = await self._store.renew(
            self._lease_id, timeout_s=RENEWAL_TIMEOUT_SHARE * self._lease_s
        )
        if isinstance(renewed, result.Success):
            self._valid_until_s = sent_s + VALID_SHARE * self._lease_s
        elif isinstance(renewed.failure(), errors.NotFound):
            self.lose("lease-ended")

    async def _resume(self) -> None:
        """Take the next epoch by the own lease, if that has outlived a
        stretch without the store; else compete again.
        """
        sent_s = clock.elapsed_s()
        renewed = await self._store.renew(
            self._lease_id, timeout_s=RENEWAL_TIMEOUT_SHARE * self._lease_s
        )
        if isinstance(renewed, result.Failure):
            if isinstance(renewed.failure(), errors.NotFound):
                self._lease_id = 0
            else:
                await asyncio.sleep(self._lease_s / RENEWALS_PER_LEASE)
            return
        found = await self._store.read(records.OWNER_KEY)
        item = found.value_or(None)
        if item is None:
            return
        lease_id, self._lease_id = self._lease_id, 0
        if records.load_epoch(item.value)[1] != self._nonce:
            return
        await self._take_next(lease_id, sent_s, owner_revision=item.revision)

    async def _compete(self) -> None:
        sent_s = clock.elapsed_s()
        granted = await self._store.grant(self._lease_s)
        if isinstance(granted, result.Failure):
            return
        await self._take_next(granted.unwrap(), sent_s, owner_revision=0)

    async def _take_next(
        self, lease_id: int, sent_s: float, *, owner_revision: int
    ) -> None:
        """Become the next owner under a lease renewed at ``sent_s``."""
        found = await self._store.read(records.EPOCH_KEY)
        if isinstance(found, result.Failure):
            return
        item = found.unwrap()
        ordinal = records.load_epoch(item.value)[0] if item else 0
        expected = {
            records.OWNER_KEY: owner_revision,
            records.EPOCH_KEY: item.revision if item else 0,
        }
        won = await self._take(lease_id, ordinal + 1, expected)
        if won is None:
            await self._end_lease(lease_id)
            return
        self._lease_id = lease_id
        self._valid_until_s = sent_s + VALID_SHARE * self._lease_s
        self._absent.clear()
        self.ownership = won
        self._log.info(
            "owner-won",
            ordinal=won.ordinal,
            revision=won.revision,
            resumed=owner_revision > 0,
        )
        self._on_won(won)

    async def _take(
        self, lease_id: int, ordinal: int, expected: dict[str, int]
    ) -> Ownership | None:
        self._nonce = uuid.uuid4().hex
        value = records.dump_epoch(
            ordinal=ordinal, node_id=self._site.node_id, nonce=self._nonce
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
            return Ownership(ordinal, committed.unwrap())
        if isinstance(committed.failure(), errors.Unreachable):
            return None
        found = await self._store.read(records.EPOCH_KEY)
        item = found.value_or(None)
        if item is None or records.load_epoch(item.value)[1] != self._nonce:
            return None
        return Ownership(ordinal, item.revision)
