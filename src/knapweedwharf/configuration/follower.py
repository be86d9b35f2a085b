"""Follows the log of revisions in the store.

A node learns of a new revision in three ways: from the store's watch,
from a read of the log at long random intervals and after each loss of
the watch, and from its peers. Each covers what the others miss.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf import backoff
from knapweedwharf.configuration import revision as revision_module
from knapweedwharf.configuration import snapshot as snapshot_module
from knapweedwharf import errors
from knapweedwharf import log

READ_INTERVAL_S = 60.0
_INITIAL_RETRY_DELAY_S = 0.5
_MAX_RETRY_DELAY_S = 4.0


@dataclasses.dataclass(frozen=True)
class LoadedRevisions:
    """Revisions read from the store after a given one.

    :ivar snapshot: set if the log alone does not reach back far enough,
        or if it was requested.
    :ivar version: store version after which to watch for changes.
    """

    snapshot: snapshot_module.Snapshot | None
    revisions: tuple[revision_module.Revision, ...]
    version: int

    @property
    def last_revision(self) -> int:
        """The newest loaded revision, or 0."""
        if self.revisions:
            return self.revisions[-1].number
        return self.snapshot.revision if self.snapshot else 0


async def load(
    store: store_module.Store, *, after: int, with_snapshot: bool
) -> result.Result[LoadedRevisions, errors.Fault]:
    """Read what is new after a revision.

    :param with_snapshot: read the snapshot even if the log suffices.
    """
    if not with_snapshot:
        tail = await revision_module.read_log(store, after=after)
        if isinstance(tail, result.Failure):
            return tail
        part = tail.unwrap()
        if not part.revisions or part.revisions[0].number == after + 1:
            return result.Success(
                LoadedRevisions(None, tuple(part.revisions), part.version)
            )
    snapshot = await snapshot_module.read(store)
    if isinstance(snapshot, result.Failure):
        return snapshot
    start = snapshot.unwrap()
    tail = await revision_module.read_log(store, after=start.revision)
    return tail.map(
        lambda part: LoadedRevisions(
            start, tuple(part.revisions), part.version
        )
    )


class Follower:
    """Runs the watch and the reads of the log.

    :param load_new: reads and applies new revisions; returns the
        store's version or a fault.
    :param on_entries: called with the changed entries that the watch
        reports.
    """

    def __init__(
        self,
        *,
        store: store_module.Store,
        load_new: typing.Callable[
            [], typing.Awaitable[result.Result[int, errors.Fault]]
        ],
        on_entries: typing.Callable[[list[store_module.Entry]], None],
        seed: int | None = None,
    ) -> None:
        self._store = store
        self._load_new = load_new
        self._on_entries = on_entries
        self._random = random.Random(seed)
        self._retry_delays = backoff.Backoff(
            initial_s=_INITIAL_RETRY_DELAY_S,
            max_s=_MAX_RETRY_DELAY_S,
            seed=seed,
        )
        self._read_requested = asyncio.Event()
        self._log = log.get("configuration-follower")
        self.read_interval_s = READ_INTERVAL_S

    def request_read(self) -> None:
        """Have the log read soon, since a revision is missing."""
        self._read_requested.set()

    async def follow_watch(self) -> None:
        """Load new revisions and watch for more, until cancelled."""
        while True:
            loaded = await self._load_new()
            if isinstance(loaded, result.Success):
                self._retry_delays.reset()
                fault = await self._store.watch(
                    revision_module.LOG_PREFIX,
                    after_version=loaded.unwrap(),
                    callback=self._on_watch,
                )
                self._log.info("watch-ended", why=str(fault))
            await asyncio.sleep(self._retry_delays.next_s())

    async def read_periodically(self) -> None:
        """Read the log at random intervals and when a read is requested."""
        while True:
            wait_s = backoff.jittered_s(self.read_interval_s, self._random)
            try:
                await asyncio.wait_for(self._read_requested.wait(), wait_s)
                await asyncio.sleep(backoff.jittered_s(0.2, self._random))
            except asyncio.TimeoutError:
                pass
            self._read_requested.clear()
            await self._load_new()

    def _on_watch(
        self,
        entries: list[store_module.Entry],
        _deleted: list[str],
        _version: int,
    ) -> None:
        if entries:
            self._on_entries(entries)
