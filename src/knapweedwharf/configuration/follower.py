"""Follows the log of revisions in the store.

Three ways lead to a new revision: the store's watch, a read of the
log at long random intervals and after each loss of the watch, and
the peers. Each of them makes good what the others miss.
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

RELIST_S = 60.0
_FIRST_WAIT_S = 0.5
_LONGEST_WAIT_S = 4.0


@dataclasses.dataclass(frozen=True)
class Loaded:
    """What the store holds behind a revision.

    :ivar snapshot: set when the log alone does not reach back.
    :ivar version: watch for changes after this one.
    """

    snapshot: snapshot_module.Snapshot | None
    revisions: tuple[revision_module.Revision, ...]
    version: int

    @property
    def last_revision(self) -> int:
        """The newest revision in it, or 0."""
        if self.revisions:
            return self.revisions[-1].number
        return self.snapshot.revision if self.snapshot else 0


async def load(
    store: store_module.Store, *, after: int, whole: bool
) -> result.Result[Loaded, errors.Fault]:
    """Read what is new behind a revision.

    :param whole: read the snapshot in any case.
    """
    if not whole:
        tail = await revision_module.read_log(store, after=after)
        if isinstance(tail, result.Failure):
            return tail
        part = tail.unwrap()
        if not part.revisions or part.revisions[0].number == after + 1:
            return result.Success(
                Loaded(None, tuple(part.revisions), part.version)
            )
    snapshot = await snapshot_module.read(store)
    if isinstance(snapshot, result.Failure):
        return snapshot
    start = snapshot.unwrap()
    tail = await revision_module.read_log(store, after=start.revision)
    return tail.map(
        lambda part: Loaded(start, tuple(part.revisions), part.version)
    )


class Follower:
    """Runs the reads and the watch; hands over what they find.

    :param load_new: reads and applies what is new; returns the store's
        version, or a fault.
    """

    def __init__(
        self,
        *,
        store: store_module.Store,
        load_new: typing.Callable[
            [], typing.Awaitable[result.Result[int, errors.Fault]]
        ],
        seen: typing.Callable[[list[store_module.Entry]], None],
        seed: int | None = None,
    ) -> None:
        self._store = store
        self._load_new = load_new
        self._seen = seen
        self._random = random.Random(seed)
        self._waits = backoff.Backoff(
            first_s=_FIRST_WAIT_S, longest_s=_LONGEST_WAIT_S, seed=seed
        )
        self._gap = asyncio.Event()
        self._log = log.get("configuration-follower")
        self.relist_s = RELIST_S

    def gap_seen(self) -> None:
        """Read the log at once: a revision is missing."""
        self._gap.set()

    async def follow(self) -> None:
        """Read and watch until cancelled."""
        while True:
            loaded = await self._load_new()
            if isinstance(loaded, result.Success):
                self._waits.reset()
                fault = await self._store.watch(
                    revision_module.LOG_PREFIX,
                    after_version=loaded.unwrap(),
                    callback=self._on_watch,
                )
                self._log.info("watch-ended", why=str(fault))
            await asyncio.sleep(self._waits.next_s())

    async def relist(self) -> None:
        """Read the log at random intervals and when one is missing."""
        while True:
            wait_s = backoff.spread_s(self.relist_s, self._random)
            try:
                await asyncio.wait_for(self._gap.wait(), wait_s)
                await asyncio.sleep(backoff.spread_s(0.2, self._random))
            except asyncio.TimeoutError:
                pass
            self._gap.clear()
            await self._load_new()

    def _on_watch(
        self,
        entries: list[store_module.Entry],
        _deleted: list[str],
        _version: int,
    ) -> None:
        if entries:
            self._seen(entries)
