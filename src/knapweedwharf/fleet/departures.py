"""Which executors have left in order, also before this ownership.

An executor reports that it drains before it leaves, and one that crashes
reports nothing. An owner sees the difference only if it followed the
executors' entries all the time. So each owner stores which executors are
leaving and up to which revision it has followed the entries, and the next
one reads the changes since then from the store's history. Where that is
no longer kept, it isn't known how an executor was lost.
"""

from __future__ import annotations

import asyncio
from collections import abc

from returns import result

from knapweedwharf import backoff
from knapweedwharf import codec
from knapweedwharf import errors
from knapweedwharf.fleet import background
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import election as election_module
from knapweedwharf.fleet import executor_loss
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records
from knapweedwharf.fleet import versioned_value
from knapweedwharf.fleet import watcher as watcher_module
from knapweedwharf import log

MAX_AGE_S = 2.0
"""Age of the known entries up to which a departure can't have been missed; an
executor drains for at least as long before it leaves."""

STORE_INTERVAL_S = 5.0
"""A quarter of the time for which the store keeps its history."""

WRITE_PAUSE_S = 0.2
"""Executors that drain together are stored together."""

KEPT_S = 60.0
"""Time for which a departure is remembered; several times as long as it
takes until the runs on a lost executor have lapsed."""

READ_TIMEOUT_S = 0.5
"""Fifty times the store's usual answer time; the take-over waits for it."""

READ_TRIES = 3

CATCH_UP_WAIT_S = 0.05
"""Wait of a watch that is only to return what has changed already."""

_FIRST_RETRY_S = 0.05
_LONGEST_RETRY_S = 0.4

Incarnation = tuple[str, int]
"""(executor id, incarnation in Unix milliseconds)"""


class Departures(background.Background):
    """Tells how incarnations of executors were lost.

    :param watcher: follows the executors' entries.
    """

    def __init__(
        self,
        *,
        store,
        store_schema: model.StoreSchema,
        ownership: election_module.Ownership,
        watcher: watcher_module.Watcher,
    ) -> None:
        self._store = store
        self._store_schema = store_schema
        self._watcher = watcher
        self._log = log.get("departures").bind(epoch=ownership.epoch)
        self._value = versioned_value.VersionedValue(
            store, records.DEPARTURES_KEY, epoch_revision=ownership.revision
        )
        self._leaving: dict[Incarnation, float] = {}
        """When each was last known to leave, or to have left."""
        self._known: set[Incarnation] | None = None
        """Incarnations whose entries were followed; None for all."""
        self._followed_revision = 0
        """Revision up to which all entries were noted."""
        self._has_read = False
        self._is_behind = True
        self._changed = asyncio.Event()

    # Evidence

    @property
    def is_current(self) -> bool:
        """Whether the entry of every executor that has left was seen."""
        return not self._is_behind and self._watcher.age_s <= MAX_AGE_S

    def explain(self, executor_id: str, incarnation_ms: int, how: str) -> str:
        """Return how an incarnation was lost; see ``executor_loss``.

        :param incarnation_ms: 0 if it isn't known.
        :param how: what its absence or its successor suggests.
        """
        if _contains(self._leaving, executor_id, incarnation_ms):
            return executor_loss.LEFT
        known = self._known
        if known is not None and not _contains(
            known, executor_id, incarnation_ms
        ):
            return executor_loss.UNEXPLAINED
        return how

    def note_entry(self, executor: model.Executor) -> None:
        """Note an entry, perhaps of an incarnation that has ended."""
        incarnation = (executor.executor_id, executor.incarnation_ms)
        if self._known is not None:
            self._known.add(incarnation)
        if executor.is_draining:
            self._note_leaving(incarnation)

    def note_retired(self, executor: model.Executor) -> None:
        """Note that the owner is about to order a machine down."""
        self._note_leaving((executor.executor_id, executor.incarnation_ms))

    def withdraw(self, executor: model.Executor) -> None:
        """Note that an executor stays after all."""
        incarnation = (executor.executor_id, executor.incarnation_ms)
        if self._leaving.pop(incarnation, None) is not None:
            self._changed.set()

    def _note_leaving(self, incarnation: Incarnation) -> None:
        if incarnation not in self._leaving:
            self._changed.set()
        self._leaving[incarnation] = clock.elapsed_s()

    # The time before this ownership, and gaps in it

    async def catch_up(self, listing: model.Listing) -> None:
        """Read what changed between the last known entries and a listing.

        Without it, whatever the listing doesn't name was lost unseen.
        """
        self._is_behind = True
        if not self._has_read:
            await self._read()
        after = self._followed_revision
        fault = await self._replay(after, listing.revision)
        if fault is not None:
            self._known = set()
            self._log.warning(
                "departures-not-known",
                after=after,
                revision=listing.revision,
                why=fault.code,
            )
        self._followed_revision = listing.revision
        self._is_behind = False
        self._changed.set()

    async def _read(self) -> None:
        """Read what the former owner has stored."""
        answer = await self._retry(
            lambda: self._store.read(
                records.DEPARTURES_KEY, timeout_s=READ_TIMEOUT_S
            )
        )
        self._has_read = True
        item = answer.value_or(None)
        if item is None:
            return
        try:
            leaving, revision = records.load_departures(item.value)
        except codec.UNDECODABLE as error:
            self._log.error("departures-malformed", why=str(error))
            return
        self._followed_revision = revision
        for incarnation in leaving:
            self._note_leaving(incarnation)

    async def _replay(self, after: int, until: int) -> errors.Fault | None:
        """Note the entries of the store's history between two revisions."""
        if not after:
            return errors.NotFound(
                message="No earlier owner has stored what it followed.",
                remedy="Wait until this owner has stored it.",
            )
        while after < until:
            answer = await self._retry(self._watch_after(after))
            if isinstance(answer, result.Failure):
                return answer.failure()
            changes = answer.unwrap()
            for item in changes.items:
                self._note_item(item)
            if changes.revision <= after:
                break
            after = changes.revision
        return None

    def _watch_after(self, after: int) -> abc.Callable[[], abc.Awaitable]:
        return lambda: self._store.watch(
            self._store_schema.executor_prefix,
            after=after,
            wait_s=CATCH_UP_WAIT_S,
        )

    async def _retry(
        self, call: abc.Callable[[], abc.Awaitable]
    ) -> result.Result:
        """Repeat a call that fails; what is gone stays so."""
        delays = backoff.Backoff(
            initial_s=_FIRST_RETRY_S, max_s=_LONGEST_RETRY_S
        )
        for _try in range(READ_TRIES):
            answer = await call()
            if isinstance(answer, result.Success):
                break
            if isinstance(answer.failure(), errors.NotFound):
                break
            await asyncio.sleep(delays.next_s())
        return answer

    def _note_item(self, item: model.Item) -> None:
        executor_id = item.key[len(self._store_schema.executor_prefix) :]
        try:
            executor = self._store_schema.decode_executor(
                executor_id, item.value
            )
        except ValueError as error:
            self._log.info(
                "executor-entry-malformed",
                executor=executor_id,
                revision=item.revision,
                why=str(error),
            )
            return
        self.note_entry(executor)

    # The record

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(STORE_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                # The history reaches back to the record only for so long.
                pass
            self._changed.clear()
            await self._save()
            await asyncio.sleep(WRITE_PAUSE_S)

    async def _save(self) -> None:
        oldest_s = clock.elapsed_s() - KEPT_S
        self._leaving = {
            incarnation: at_s
            for incarnation, at_s in self._leaving.items()
            if at_s >= oldest_s
        }
        if self._is_behind:
            return
        self._followed_revision = max(
            self._followed_revision, self._watcher.revision
        )
        written = await self._value.write(
            records.dump_departures(self._leaving, self._followed_revision)
        )
        if isinstance(written, result.Failure):
            why = written.failure().code
            self._log.info("departures-not-stored", why=why)
            self._changed.set()


def _contains(
    incarnations: abc.Collection[Incarnation],
    executor_id: str,
    incarnation_ms: int,
) -> bool:
    """Return whether an incarnation is there; any of its id if unknown."""
    if incarnation_ms:
        return (executor_id, incarnation_ms) in incarnations or (
            executor_id,
            0,
        ) in incarnations
    return any(known == executor_id for known, _ms in incarnations)
