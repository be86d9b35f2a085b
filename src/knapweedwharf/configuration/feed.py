"""The configuration in force on a node, which never goes back."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf.configuration import folder
from knapweedwharf.configuration import revision as revision_module
from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf import mailbox

_RETRY_S = 0.5

Listener = typing.Callable[[model.Configuration], None]


@dataclasses.dataclass(frozen=True)
class EntriesSeen:
    """Revisions from the store or from a peer, in any order."""

    revisions: tuple[revision_module.Revision, ...]


class Feed(mailbox.Actor[EntriesSeen]):
    """Follows the log of revisions and applies each in turn.

    :ivar current: the configuration in force.
    :ivar files: the folder's files at that revision.
    """

    name = "configuration-feed"

    def __init__(self, *, store: store_module.Store) -> None:
        super().__init__()
        self._store = store
        self._listeners: list[Listener] = []
        self._ahead: dict[int, revision_module.Revision] = {}
        self.current = model.Configuration()
        self.files: folder.Files = {}
        self.history: list[revision_module.Revision] = []
        self.confirmed_at_s = 0.0

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each new configuration."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Start to follow the store."""
        await super().start()
        self.spawn(self._follow())

    async def handle(self, message: EntriesSeen) -> None:
        """Apply revisions that are next in turn; keep those ahead."""
        for revision in message.revisions:
            self.apply(revision)

    def apply(self, revision: revision_module.Revision) -> None:
        """Take one revision into force once its turn has come."""
        if revision.number <= self.current.revision:
            return
        self._ahead[revision.number] = revision
        while self.current.revision + 1 in self._ahead:
            self._apply_next(self._ahead.pop(self.current.revision + 1))

    def _apply_next(self, revision: revision_module.Revision) -> None:
        files = changed_files(self.files, revision.changed)
        loaded = folder.load(files, revision=revision.number)
        self.files = files
        self.history.append(revision)
        if isinstance(loaded, result.Failure):
            faults = [str(fault) for fault in loaded.failure()]
            self._log.error("revision-unreadable", faults=faults)
            self.current = dataclasses.replace(
                self.current, revision=revision.number
            )
            return
        self.current = loaded.unwrap()
        self._log.info("revision-in-force", revision=revision.number)
        for listener in self._listeners:
            listener(self.current)

    async def publish(
        self,
        *,
        base_revision: int,
        changed: dict[str, str | None],
        actor: str,
        message: str,
    ) -> result.Result[revision_module.Revision, errors.Fault | folder.Faults]:
        """Check a change and make it the next revision."""
        if base_revision != self.current.revision:
            return result.Failure(self._raced(base_revision))
        number = base_revision + 1
        files = changed_files(self.files, changed)
        checked = folder.load(files, revision=number)
        if isinstance(checked, result.Failure):
            return checked
        appended = await revision_module.append(
            self._store,
            number=number,
            actor=actor,
            at_s=time.time(),
            message=message,
            changed=changed,
        )
        if isinstance(appended, result.Failure):
            if isinstance(appended.failure(), errors.Conflict):
                return result.Failure(self._raced(base_revision))
            return appended
        self.apply(appended.unwrap())
        return appended

    def _raced(self, base_revision: int) -> errors.Conflict:
        since = [r for r in self.history if r.number > base_revision]
        names = sorted({name for r in since for name in r.changed})
        text = ", ".join(names) or "files not seen here yet"
        return errors.Conflict(
            message=f"Others changed the folder since revision "
            f"{base_revision}: {text}.",
            remedy="Run 'knapweedwharf config diff' and apply again.",
        )

    async def _follow(self) -> None:
        while True:
            page = await self._store.list(revision_module.LOG_PREFIX)
            if isinstance(page, result.Success):
                listing = page.unwrap()
                self._seen(listing.entries, [], listing.version)
                await self._store.watch(
                    revision_module.LOG_PREFIX,
                    after_version=listing.version,
                    callback=self._seen,
                )
            await asyncio.sleep(_RETRY_S)

    def _seen(
        self,
        entries: list[store_module.Entry],
        _deleted: list[str],
        _version: int,
    ) -> None:
        self.confirmed_at_s = time.monotonic()
        revisions = tuple(
            revision_module.decode(entry.value) for entry in entries
        )
        self.post(EntriesSeen(revisions=revisions))


def changed_files(
    files: folder.Files, changed: dict[str, str | None]
) -> folder.Files:
    """Return the files after a change."""
    merged = {**files, **changed}
    return {name: text for name, text in merged.items() if text is not None}
