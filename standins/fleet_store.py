"""An in-memory store with network faults that are set per VM."""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses

from returns import result

from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf.platform import store as platform_store

ANSWER_S = 0.004
MAX_PAGE_BYTES = 1_000_000
WATCH_MARGIN_S = 1.0
"""Time beyond the wait after which clients give up an unanswered watch."""

_UNREACHABLE = errors.Unreachable(message="Nothing sent.", remedy="Wait.")
UNKNOWN = errors.OutcomeUnknown(message="No answer.", remedy="Ask again.")
_GONE = errors.NotFound(message="Gone.", remedy="List again.")


class StoreState:
    """Entries, leases and history, shared by all VMs.

    :ivar compacted_revision: newest revision whose history was compacted.
    :ivar leases: lease id to (end, ttl), both in seconds.
    :ivar lease_by_key: key to the id of its lease.
    """

    def __init__(self) -> None:
        self.items: dict[str, model.Item] = {}
        self.revision = 1
        self.history: list[model.Item | model.Removal] = []
        self.compacted_revision = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_by_key: dict[str, int] = {}
        self.changed = asyncio.Condition()
        self.commits = 0
        self._paused_s: float | None = None

    def put(self, key: str, value: bytes, lease_id: int = 0) -> None:
        """Write a key at the current revision."""
        item = model.Item(key, value, self.revision)
        self.items[key] = item
        self.history.append(item)
        if lease_id:
            self.lease_by_key[key] = lease_id

    def remove(self, key: str) -> None:
        """Remove a key, if it exists."""
        if self.items.pop(key, None) is not None:
            self.lease_by_key.pop(key, None)
            self.history.append(model.Removal(key, self.revision))

    async def external_write(self, key: str, value: bytes) -> int:
        """Write a key on behalf of a client outside the fleet."""
        self.revision += 1
        self.put(key, value)
        await self.notify()
        return self.revision

    async def external_remove(self, key: str) -> None:
        """Remove a key on behalf of a client outside the fleet."""
        self.revision += 1
        self.remove(key)
        await self.notify()

    async def notify(self) -> None:
        """Notify watchers."""
        async with self.changed:
            self.changed.notify_all()

    def compact_history(self) -> None:
        """Compact the history; watchers have to list again."""
        self.compacted_revision = self.revision
        self.history.clear()

    def suspend_lease_expiry(self) -> None:
        """Suspend lease expiry, as some stores do while they are down."""
        self._paused_s = asyncio.get_running_loop().time()

    def resume_lease_expiry(self) -> None:
        """Resume lease expiry; each lease keeps its remaining time."""
        passed_s = asyncio.get_running_loop().time() - self._paused_s
        self._paused_s = None
        for lease_id, (ends_s, ttl_s) in self.leases.items():
            self.leases[lease_id] = (ends_s + passed_s, ttl_s)

    async def expire(self) -> None:
        """End expired leases."""
        if self._paused_s is not None:
            return
        now_s = asyncio.get_running_loop().time()
        for lease_id, (ends_s, _ttl_s) in list(self.leases.items()):
            if ends_s <= now_s:
                await self.end_lease(lease_id)

    async def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""
        del self.leases[lease_id]
        keys = [
            k for k, owner in self.lease_by_key.items() if owner == lease_id
        ]
        self.revision += 1
        for key in keys:
            self.remove(key)
        await self.notify()

    def knows_leases_of(self, commit: model.Commit) -> bool:
        """Whether no lease of a transaction has ended."""
        return all(
            not write.lease_id or write.lease_id in self.leases
            for write in commit.writes
        )

    def commit(self, commit: model.Commit) -> int | model.Mismatch:
        """Apply a transaction if its conditions hold."""
        absent = {k: model.Item(k, b"", 0) for k in commit.expected}
        current = {k: self.items.get(k, absent[k]) for k in commit.expected}
        for key, revision in commit.expected.items():
            if current[key].revision != revision:
                return model.Mismatch(current)
        self.revision += 1
        self.commits += 1
        for write in commit.writes:
            self.put(write.key, write.value, write.lease_id)
        for key in commit.removes:
            self.remove(key)
        return self.revision


@dataclasses.dataclass
class StorePath:
    """Network faults between one VM and the store.

    :ivar refused: every call is refused.
    :ivar silent: no call is executed or answered.
    :ivar lose_answers: number of next commits that are applied without
        an answer.
    :ivar late_s: delay after which such commits are applied.
    :ivar bytes_per_s: rate at which listings arrive; 0 is unlimited.
    :ivar cut_pages: number of next pages whose answers are cut.
    :ivar stalled: pages begin to arrive and then stop.
    :ivar mute_watches: watches get no answer; other calls do.
    :ivar mute_prefix: the same for watches of this prefix; empty for none.
    :ivar mutings: how often all open connections fell silent for good.
    """

    refused: bool = False
    silent: bool = False
    lose_answers: int = 0
    late_s: float = 0.0
    bytes_per_s: float = 0.0
    cut_pages: int = 0
    stalled: bool = False
    mute_watches: bool = False
    mute_prefix: str = ""
    mutings: int = 0

    def mute_open_connections(self) -> None:
        """Lose the answers of all calls in progress, without a reset."""
        self.mutings += 1

    def mutes(self, prefix: str) -> bool:
        """Return whether watches of a prefix get no answer."""
        return self.mute_watches or prefix == self.mute_prefix


def _sent_bytes(items: abc.Iterable[model.Item]) -> int:
    """Return the size of entries in a response, with base64 values."""
    return sum(len(i.value) * 4 // 3 + len(i.key) + 80 for i in items)


def _first_page(
    items: list[model.Item], max_items: int
) -> tuple[model.Item, ...]:
    page: list[model.Item] = []
    left = MAX_PAGE_BYTES
    for item in items[:max_items]:
        left -= len(item.value)
        if page and left < 0:
            break
        page.append(item)
    return tuple(page)


class FakeStore:
    """Store client of one VM.

    :ivar page_items: maximum number of items on a page of a listing.
    :ivar pages: (prefix, key before it) of each page requested.
    """

    def __init__(self, state: StoreState, *, timeout_s: float = 1.0) -> None:
        self.state = state
        self.path = StorePath()
        self._timeout_s = timeout_s
        self._late: set[asyncio.Task] = set()
        self.page_items = 500
        self.pages: list[tuple[str, str]] = []

    async def _simulate_path(self, timeout_s: float) -> errors.Fault | None:
        await asyncio.sleep(ANSWER_S)
        await self.state.expire()
        if self.path.refused:
            return _UNREACHABLE
        if self.path.silent:
            await asyncio.sleep(timeout_s or self._timeout_s)
            return UNKNOWN
        return None

    async def read(self, key: str, *, timeout_s: float = 0.0):
        """Read one key."""
        fault = await self._simulate_path(timeout_s)
        if fault is not None:
            return result.Failure(fault)
        return result.Success(self.state.items.get(key))

    async def list(self, prefix: str, *, timeout_s: float = 0.0):
        """Read every entry under a prefix, each page within a time."""
        items: list[model.Item] = []
        revision = 0
        while True:
            listed = await self.list_page(
                prefix,
                after=items[-1].key if items else "",
                timeout_s=timeout_s or self._timeout_s,
            )
            if isinstance(listed, result.Failure):
                return listed
            items.extend(listed.unwrap().items)
            revision = revision or listed.unwrap().revision
            if not listed.unwrap().has_more:
                return result.Success(model.Listing(tuple(items), revision))

    async def list_page(
        self,
        prefix: str,
        *,
        after: str = "",
        timeout_s: float = 0.0,
        silence_factor: float = 1.0,
    ):
        """Read the entries under a prefix that follow a key."""
        silence_s = silence_factor * self._timeout_s
        fault = await self._simulate_path(timeout_s or silence_s)
        if fault is not None:
            return result.Failure(fault)
        left = sorted(
            (i for k, i in self.state.items.items() if k.startswith(prefix)),
            key=lambda item: item.key,
        )
        left = [item for item in left if item.key > after]
        page = _first_page(left, self.page_items)
        revision = self.state.revision
        self.pages.append((prefix, after))
        fault = await self._transfer(page, timeout_s, silence_s)
        if fault is not None:
            return result.Failure(fault)
        has_more = len(page) < len(left)
        return result.Success(model.Listing(page, revision, has_more))

    async def _transfer(
        self,
        page: tuple[model.Item, ...],
        timeout_s: float,
        silence_s: float,
    ) -> errors.Fault | None:
        """Wait while a page arrives; ``timeout_s`` bounds all of it."""
        if self.path.stalled:
            await asyncio.sleep(silence_s)
            return UNKNOWN
        if self.path.bytes_per_s:
            needed_s = _sent_bytes(page) / self.path.bytes_per_s
            if timeout_s and needed_s > timeout_s:
                await asyncio.sleep(timeout_s)
                return UNKNOWN
            await asyncio.sleep(needed_s)
        if self.path.cut_pages:
            self.path.cut_pages -= 1
            return UNKNOWN
        return None

    async def watch(
        self,
        prefix: str,
        *,
        after: int,
        wait_s: float,
        margin_s: float = WATCH_MARGIN_S,
    ):
        """Wait for changes under a prefix."""
        fault = await self._simulate_path(wait_s + margin_s)
        if fault is not None:
            return result.Failure(fault)
        if after < self.state.compacted_revision:
            return result.Failure(_GONE)
        mutings = self.path.mutings
        gives_up_s = asyncio.get_running_loop().time() + wait_s + margin_s
        try:
            async with asyncio.timeout(wait_s):
                while not self._changes(prefix, after):
                    async with self.state.changed:
                        await self.state.changed.wait()
        except TimeoutError:
            await self.state.expire()
        is_muted = self.path.mutes(prefix) or self.path.mutings > mutings
        if is_muted or self.path.silent:
            left_s = gives_up_s - asyncio.get_running_loop().time()
            await asyncio.sleep(left_s)
            return result.Failure(UNKNOWN)
        if self.path.refused:
            return result.Failure(UNKNOWN)
        if after < self.state.compacted_revision:
            return result.Failure(_GONE)
        return result.Success(
            model.Changes(self._changes(prefix, after), self.state.revision)
        )

    def _changes(
        self, prefix: str, after: int
    ) -> tuple[model.Item | model.Removal, ...]:
        return tuple(
            change
            for change in self.state.history
            if change.revision > after and change.key.startswith(prefix)
        )

    async def commit(self, commit: model.Commit, *, timeout_s: float = 0.0):
        """Commit a transaction."""
        if self.path.lose_answers:
            self.path.lose_answers -= 1
            task = asyncio.create_task(self._commit_late(commit))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(timeout_s or self._timeout_s)
            return result.Failure(UNKNOWN)
        fault = await self._simulate_path(timeout_s)
        if fault is not None:
            return result.Failure(fault)
        if not self.state.knows_leases_of(commit):
            return result.Failure(_GONE)
        outcome = self.state.commit(commit)
        if isinstance(outcome, model.Mismatch):
            return result.Failure(
                platform_store.ConditionFailed("Changed.", "Again.", outcome)
            )
        await self.state.notify()
        return result.Success(outcome)

    async def _commit_late(self, commit: model.Commit) -> None:
        await asyncio.sleep(self.path.late_s)
        await self.state.expire()
        if not self.state.knows_leases_of(commit):
            return
        self.state.commit(commit)
        await self.state.notify()

    async def grant(self, ttl_s: float):
        """Grant a lease."""
        fault = await self._simulate_path(0.0)
        if fault is not None:
            return result.Failure(fault)
        lease_id = len(self.state.leases) + 1000 + self.state.revision
        now_s = asyncio.get_running_loop().time()
        self.state.leases[lease_id] = (now_s + ttl_s, ttl_s)
        return result.Success(lease_id)

    async def renew(self, lease_id: int, *, timeout_s: float = 0.0):
        """Renew a lease."""
        fault = await self._simulate_path(timeout_s)
        if fault is not None:
            return result.Failure(fault)
        if lease_id not in self.state.leases:
            return result.Failure(_GONE)
        ttl_s = self.state.leases[lease_id][1]
        now_s = asyncio.get_running_loop().time()
        self.state.leases[lease_id] = (now_s + ttl_s, ttl_s)
        return result.Success(None)

    async def end(self, lease_id: int):
        """End a lease."""
        fault = await self._simulate_path(0.0)
        if fault is not None:
            return result.Failure(fault)
        if lease_id in self.state.leases:
            await self.state.end_lease(lease_id)
        return result.Success(None)

    def close(self) -> None:
        """Do nothing; there are no connections."""
