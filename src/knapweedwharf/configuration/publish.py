"""Makes an operator's change the next revision."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import uuid

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf.configuration import audit
from knapweedwharf.configuration import compaction
from knapweedwharf.configuration import feed as feed_module
from knapweedwharf.configuration import folder
from knapweedwharf.configuration import lockout
from knapweedwharf.configuration import revision as revision_module
from knapweedwharf.configuration import snapshot as snapshot_module
from knapweedwharf.core import model
from knapweedwharf import errors


@dataclasses.dataclass(frozen=True)
class Change:
    """What an operator asks for.

    :ivar base_revision: the revision the operator has seen.
    :ivar changed: file name to new text, or None to delete.
    :ivar force: accept also what locks operators out.
    :ivar dry_run: check only.
    """

    base_revision: int
    changed: dict[str, str | None]
    actor: str
    message: str = ""
    force: bool = False
    dry_run: bool = False


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The answer to a change.

    :ivar revision: in force now; None when nothing was to be done.
    """

    number: int
    revision: revision_module.Revision | None = None


_Prepared = tuple[revision_module.Revision, model.Configuration]
Outcome = result.Result[Accepted, errors.Fault | folder.Faults]


class Publisher:
    """Appends changes to the log, one at a time on each node."""

    def __init__(
        self, *, store: store_module.Store, feed: feed_module.Feed
    ) -> None:
        self._store = store
        self._feed = feed
        self._compaction = compaction.Compaction(store=store)
        self._turn = asyncio.Lock()
        self._compacting: asyncio.Task | None = None

    async def close(self) -> None:
        """Stop compaction; another node repeats what is left."""
        if self._compacting is not None:
            self._compacting.cancel()
            await asyncio.gather(self._compacting, return_exceptions=True)

    async def settled(self) -> None:
        """Wait until compaction has done what is due."""
        if self._compacting is not None:
            await asyncio.wait([self._compacting])

    async def publish(self, change: Change) -> Outcome:
        """Check a change and make it the next revision."""
        async with self._turn:
            if self._must_catch_up(change):
                caught_up = await self._feed.catch_up()
                if isinstance(caught_up, result.Failure):
                    return result.Failure(_not_applied(caught_up.failure()))
            prepared = self._prepare(change)
            if isinstance(prepared, result.Failure):
                return prepared
            revision, checked = prepared.unwrap()
            if change.dry_run or not revision.changed:
                return result.Success(Accepted(self._feed.current.revision))
            return await self._append(revision, checked)

    def _must_catch_up(self, change: Change) -> bool:
        feed = self._feed
        return (
            not feed.confirmed or change.base_revision != feed.current.revision
        )

    def _prepare(
        self, change: Change
    ) -> result.Result[_Prepared, errors.Fault | folder.Faults]:
        feed = self._feed
        changed = {
            name: text
            for name, text in change.changed.items()
            if feed.files.get(name) != text
        }
        if changed and change.base_revision != feed.current.revision:
            return result.Failure(self._raced(change.base_revision))
        number = feed.current.revision + 1
        files = feed_module.changed_files(feed.files, changed)
        checked = folder.load(files, revision=number)
        if isinstance(checked, result.Failure):
            return checked
        if not change.force:
            locked_out = lockout.check(
                feed.current, checked.unwrap(), actor=change.actor
            )
            if locked_out is not None:
                return result.Failure(locked_out)
        revision = revision_module.Revision(
            number=number,
            actor=change.actor,
            at_s=round(time.time(), 3),
            message=change.message,
            changed=changed,
            write_id=uuid.uuid4().hex,
            parent=feed.snapshot.write_id,
        )
        return result.Success((revision, checked.unwrap()))

    async def _append(
        self,
        revision: revision_module.Revision,
        checked: model.Configuration,
    ) -> Outcome:
        appended = await revision_module.append(self._store, revision)
        if isinstance(appended, result.Failure):
            return await self._not_appended(appended.failure(), revision)
        genuine = await self._check_position(revision, appended.unwrap())
        if isinstance(genuine, result.Failure):
            return genuine
        self._feed.apply(revision, checked=checked)
        self._compact(genuine.unwrap())
        return result.Success(Accepted(revision.number, revision))

    async def _not_appended(
        self, fault: errors.Fault, revision: revision_module.Revision
    ) -> Outcome:
        if isinstance(fault, errors.Conflict):
            await self._feed.catch_up()
            return result.Failure(self._raced(revision.number - 1))
        if isinstance(fault, errors.OutcomeUnknown):
            return result.Failure(_unknown(revision))
        if isinstance(fault, errors.InvalidField):
            return result.Failure([fault])
        return result.Failure(_not_applied(fault))

    async def _check_position(
        self, revision: revision_module.Revision, entry: store_module.Entry
    ) -> result.Result[snapshot_module.Head, errors.Fault]:
        """Rule out that a compacted position was taken once more.

        A position is emptied only after the archive holds it, so that
        the head read after the write tells.
        """
        read = await snapshot_module.read_head(self._store)
        if isinstance(read, result.Failure):
            return result.Failure(_unknown(revision))
        head = read.unwrap()
        if revision.number > head.archived_pages * audit.PAGE_REVISIONS:
            return read
        page = (revision.number - 1) // audit.PAGE_REVISIONS
        records = await audit.read_page(self._store, page)
        if isinstance(records, result.Failure):
            return result.Failure(_unknown(revision))
        if any(r.write_id == revision.write_id for r in records.unwrap()):
            return read
        await self._store.delete(entry.key, expected_version=entry.version)
        await self._feed.catch_up()
        return result.Failure(self._raced(revision.number - 1))

    def _compact(self, head: snapshot_module.Head) -> None:
        if self._compacting is None or self._compacting.done():
            self._compacting = asyncio.create_task(
                self._compaction.run(head, self._feed.snapshot)
            )

    def _raced(self, base_revision: int) -> errors.Fault:
        feed = self._feed
        if base_revision > feed.current.revision:
            return errors.Conflict(
                message=f"There is no revision {base_revision}; the newest "
                f"is {feed.current.revision}.",
                remedy="Run 'knapweedwharf config diff FOLDER' and apply "
                "again without --base.",
            )
        return errors.Conflict(
            message=f"The folder has changed since revision "
            f"{base_revision}: {self._since(base_revision)}.",
            remedy="Run 'knapweedwharf config diff FOLDER', take the others' "
            f"changes over, then 'knapweedwharf config apply FOLDER --base "
            f"{feed.current.revision}'.",
        )

    def _since(self, base_revision: int) -> str:
        texts = [
            f"{r.number} by {r.actor} ({', '.join(sorted(r.changed))})"
            for r in self._feed.history
            if r.number > base_revision
        ]
        if len(texts) < self._feed.current.revision - base_revision:
            texts.insert(0, "older ones in 'config history'")
        return "; ".join(texts)


def _unknown(revision: revision_module.Revision) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        message=f"Whether revision {revision.number} was accepted is not "
        f"known; its write_id is {revision.write_id}.",
        remedy="Look for the write_id in 'knapweedwharf config history' once "
        "the store answers; applying the folder again is safe too.",
    )


def _not_applied(fault: errors.Fault) -> errors.Unreachable:
    return errors.Unreachable(
        message=f"Nothing was applied: {fault.message}",
        remedy="Apply again once the store answers; 'knapweedwharf status' "
        "shows it.",
    )
