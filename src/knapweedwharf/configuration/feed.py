"""The configuration in force on a node; its revision never decreases."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time
import typing

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf.configuration import folder
from knapweedwharf.configuration import follower
from knapweedwharf.configuration import revision as revision_module
from knapweedwharf.configuration import snapshot as snapshot_module
from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf import mailbox

HISTORY_REVISIONS = 256
MAX_PENDING_REVISIONS = 512
STORE = "store"

Listener = typing.Callable[[model.Configuration], None]


@dataclasses.dataclass(frozen=True)
class RevisionsReceived:
    """Revisions from the store or from a peer, in any order."""

    revisions: tuple[revision_module.Revision, ...]
    source: str = STORE


@dataclasses.dataclass(frozen=True)
class SnapshotReceived:
    """The whole folder at a revision, from the store or from peers."""

    snapshot: snapshot_module.Snapshot
    source: str = STORE


@dataclasses.dataclass(frozen=True)
class Barrier:
    """Resolves a future once all earlier messages are handled."""

    reached: asyncio.Future


Message = RevisionsReceived | SnapshotReceived | Barrier


class Feed(mailbox.Actor[Message]):
    """Follows the log of revisions and applies them in order.

    :ivar current: the configuration in force.
    :ivar files: the folder's files at that revision.
    :ivar history: the newest revisions, without gaps.
    :ivar known: a configuration has been read; it may be empty.
    :ivar confirmed: the store has been read since the node started.
    :ivar confirmed_at_s: monotonic time of the last read or watch event of
        the store, or 0.
    """

    name = "configuration-feed"

    def __init__(
        self, *, store: store_module.Store, seed: int | None = None
    ) -> None:
        super().__init__()
        self._store = store
        self._listeners: list[Listener] = []
        self._pending: dict[int, revision_module.Revision] = {}
        self._write_id = ""
        self._conflict_seen = False
        self._follower = follower.Follower(
            store=store,
            load_new=self.catch_up,
            on_entries=self._on_entries,
            seed=seed,
        )
        self.current = model.Configuration()
        self.files: folder.Files = {}
        self.history: collections.deque[revision_module.Revision] = (
            collections.deque(maxlen=HISTORY_REVISIONS)
        )
        self.known = False
        self.confirmed = False
        self.confirmed_at_s = 0.0

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with each new configuration."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Start following the store."""
        await super().start()
        self.spawn(self._follower.follow_watch())
        self.spawn(self._follower.read_periodically())

    @property
    def snapshot(self) -> snapshot_module.Snapshot:
        """The files in force as a snapshot, for peers and the store."""
        return snapshot_module.Snapshot(
            revision=self.current.revision,
            write_id=self._write_id,
            files=dict(self.files),
        )

    def revisions_after(
        self, number: int
    ) -> list[revision_module.Revision] | None:
        """Return the revisions after one, or None if some are not kept."""
        if number == self.current.revision:
            return []
        if not self.history or self.history[0].number > number + 1:
            return None
        return [r for r in self.history if r.number > number]

    async def handle(self, message: Message) -> None:
        """Apply revisions in order; keep those that arrive too early."""
        if isinstance(message, Barrier):
            message.reached.set_result(None)
        elif isinstance(message, SnapshotReceived):
            self._apply_snapshot(message.snapshot)
        elif self.known:
            self.apply(*message.revisions, source=message.source)

    async def wait_handled(self) -> None:
        """Wait until all messages posted so far are handled."""
        reached = asyncio.get_running_loop().create_future()
        self.post(Barrier(reached))
        await reached

    async def catch_up(self) -> result.Result[int, errors.Fault]:
        """Read and apply new revisions; return the store's version."""
        loaded = await follower.load(
            self._store,
            after=self.current.revision,
            with_snapshot=not self.confirmed or self._conflict_seen,
        )
        if isinstance(loaded, result.Failure):
            return loaded
        self._apply_loaded(loaded.unwrap())
        return result.Success(loaded.unwrap().version)

    def _apply_loaded(self, loaded: follower.LoadedRevisions) -> None:
        self.known = True
        self.confirmed = True
        self.confirmed_at_s = time.monotonic()
        if loaded.snapshot is not None:
            store_is_behind = loaded.last_revision < self.current.revision
            if store_is_behind:
                self._log.error(
                    "store-behind-node",
                    store=loaded.last_revision,
                    node=self.current.revision,
                )
                return
            self._apply_snapshot(loaded.snapshot)
            if self._conflict_seen:
                self._replace_from_store(loaded)
        self.apply(*loaded.revisions)

    def _replace_from_store(self, loaded: follower.LoadedRevisions) -> None:
        """Replace revisions in force by those in the store."""
        files = loaded.snapshot.files
        write_id = loaded.snapshot.write_id
        for revision in loaded.revisions:
            files = apply_changes(files, revision.changed)
            write_id = revision.write_id
        self._conflict_seen = False
        self.history.clear()
        self._pending.clear()
        self._set_in_force(loaded.last_revision, files, write_id)

    def apply(
        self,
        *revisions: revision_module.Revision,
        source: str = STORE,
        checked: model.Configuration | None = None,
    ) -> None:
        """Put revisions in force, each after its predecessor.

        If several can be applied at once, only the configuration of the
        last one is built.

        :param checked: configuration at the last revision, if known.
        """
        for revision in revisions:
            if revision.number <= self.current.revision:
                self._compare_write_ids(revision, source)
                continue
            pending = self._pending.get(revision.number)
            if pending is None and len(self._pending) >= MAX_PENDING_REVISIONS:
                continue
            if pending is None or source == STORE:
                self._pending[revision.number] = revision
        self._apply_next(checked)
        if self._pending:
            self._follower.request_read()

    def _apply_next(self, checked: model.Configuration | None) -> None:
        number = self.current.revision
        files = self.files
        write_id = self._write_id
        while number + 1 in self._pending:
            number += 1
            revision = self._pending.pop(number)
            if revision.parent != write_id:
                self._report_conflict(number, "parent")
            self.history.append(revision)
            files = apply_changes(files, revision.changed)
            write_id = revision.write_id
        if number > self.current.revision:
            self._set_in_force(number, files, write_id, checked)

    def _apply_snapshot(self, snapshot: snapshot_module.Snapshot) -> None:
        self.known = True
        if snapshot.revision <= self.current.revision:
            return
        self.history.clear()
        for number in [n for n in self._pending if n <= snapshot.revision]:
            del self._pending[number]
        self._set_in_force(
            snapshot.revision, snapshot.files, snapshot.write_id
        )

    def _set_in_force(
        self,
        number: int,
        files: folder.Files,
        write_id: str,
        checked: model.Configuration | None = None,
    ) -> None:
        self.files = files
        self._write_id = write_id
        if checked is not None and checked.revision == number:
            loaded = result.Success(checked)
        else:
            loaded = folder.load(files, revision=number, accepted=True)
        if isinstance(loaded, result.Failure):
            faults = [str(fault) for fault in loaded.failure()]
            self._log.error("revision-unreadable", faults=faults)
            self.current = dataclasses.replace(self.current, revision=number)
            return
        self.current = loaded.unwrap()
        self._log.info("revision-in-force", revision=number)
        for listener in self._listeners:
            listener(self.current)

    def _compare_write_ids(
        self, revision: revision_module.Revision, source: str
    ) -> None:
        for recorded in self.history:
            if recorded.number == revision.number:
                if recorded.write_id != revision.write_id:
                    self._report_conflict(revision.number, source)
                return

    def _report_conflict(self, number: int, source: str) -> None:
        self._log.error("revision-conflict", revision=number, source=source)
        self._conflict_seen = True
        self._follower.request_read()

    def _on_entries(self, entries: list[store_module.Entry]) -> None:
        self.confirmed_at_s = time.monotonic()
        revisions = []
        for entry in entries:
            decoded = revision_module.decode(entry.value)
            if isinstance(decoded, result.Failure):
                self._log.error("entry-unreadable", key=entry.key)
            else:
                revisions.append(decoded.unwrap())
        self.post(RevisionsReceived(revisions=tuple(revisions)))


def apply_changes(
    files: folder.Files, changed: dict[str, str | None]
) -> folder.Files:
    """Return the files with a change applied."""
    merged = {**files, **changed}
    return {name: text for name, text in merged.items() if text is not None}
