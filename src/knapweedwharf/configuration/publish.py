"""Publishes an operator's change as the next revision."""

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
    """A change that an operator requests.

    :ivar base_revision: the revision that the change is based on.
    :ivar changed: maps a file name to its new text, or None to delete.
    :ivar force: accept the change even if it locks operators out.
    :ivar dry_run: check the change without applying it.
    """

    base_revision: int
    changed: dict[str, str | None]
    actor: str
    message: str = ""
    force: bool = False
    dry_run: bool = False


@dataclasses.dataclass(frozen=True)
class PublishResult:
    """Result of a change that was not refused.

    :ivar number: the revision in force.
    :ivar revision: the new revision; None if the change had no effect or
        was a dry run.
    """

    number: int
    revision: revision_module.Revision | None = None


_Prepared = tuple[revision_module.Revision, model.Configuration]
Outcome = result.Result[PublishResult, errors.Fault | folder.Faults]


class Publisher:
    """Appends changes to the log, one at a time per node."""

    def __init__(
        self, *, store: store_module.Store, feed: feed_module.Feed
    ) -> None:
        self._store = store
        self._feed = feed
        self._compaction = compaction.Compaction(store=store)
        self._publish_lock = asyncio.Lock()
        self._compacting: asyncio.Task | None = None

    async def close(self) -> None:
        """Stop compaction; a later run on any node does the rest."""
        if self._compacting is not None:
            self._compacting.cancel()
            await asyncio.gather(self._compacting, return_exceptions=True)

    async def wait_compacted(self) -> None:
        """Wait until the running compaction has ended."""
        if self._compacting is not None:
            await asyncio.wait([self._compacting])

    async def publish(self, change: Change) -> Outcome:
        """Check a change and publish it as the next revision."""
        async with self._publish_lock:
            if self._must_catch_up(change):
                caught_up = await self._feed.catch_up()
                if isinstance(caught_up, result.Failure):
                    return result.Failure(_not_applied(caught_up.failure()))
            prepared = self._prepare(change)
            if isinstance(prepared, result.Failure):
                return prepared
            revision, checked = prepared.unwrap()
            if change.dry_run or not revision.changed:
                return result.Success(
                    PublishResult(self._feed.current.revision)
                )
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
            return result.Failure(self._base_conflict(change.base_revision))
        number = feed.current.revision + 1
        files = feed_module.apply_changes(feed.files, changed)
        checked = folder.load(files, revision=number, before=feed.current)
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
        verified = await self._check_position(revision, appended.unwrap())
        if isinstance(verified, result.Failure):
            return verified
        self._feed.apply(revision, checked=checked)
        self._start_compaction(verified.unwrap())
        return result.Success(PublishResult(revision.number, revision))

    async def _not_appended(
        self, fault: errors.Fault, revision: revision_module.Revision
    ) -> Outcome:
        if isinstance(fault, errors.Conflict):
            await self._feed.catch_up()
            return result.Failure(self._base_conflict(revision.number - 1))
        if isinstance(fault, errors.OutcomeUnknown):
            return result.Failure(_outcome_unknown(revision))
        if isinstance(fault, errors.InvalidField):
            return result.Failure([fault])
        return result.Failure(_not_applied(fault))

    async def _check_position(
        self, revision: revision_module.Revision, entry: store_module.Entry
    ) -> result.Result[snapshot_module.Head, errors.Fault]:
        """Undo the append if its log position was already compacted.

        A position is deleted only after its revision is archived, so the
        head, read after the write, shows whether it was compacted.
        """
        read = await snapshot_module.read_head(self._store)
        if isinstance(read, result.Failure):
            return result.Failure(_outcome_unknown(revision))
        head = read.unwrap()
        if revision.number > head.archived_pages * audit.PAGE_REVISIONS:
            return read
        page = (revision.number - 1) // audit.PAGE_REVISIONS
        records = await audit.read_page(self._store, page)
        if isinstance(records, result.Failure):
            return result.Failure(_outcome_unknown(revision))
        if any(r.write_id == revision.write_id for r in records.unwrap()):
            return read
        await self._store.delete(entry.key, expected_version=entry.version)
        await self._feed.catch_up()
        return result.Failure(self._base_conflict(revision.number - 1))

    def _start_compaction(self, head: snapshot_module.Head) -> None:
        if self._compacting is None or self._compacting.done():
            self._compacting = asyncio.create_task(
                self._compaction.run(head, self._feed.snapshot)
            )

    def _base_conflict(self, base_revision: int) -> errors.Fault:
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
            f"{base_revision}: {self._changes_since(base_revision)}.",
            remedy="Run 'knapweedwharf config diff FOLDER', merge the others' "
            f"changes, then run 'knapweedwharf config apply FOLDER --base "
            f"{feed.current.revision}'.",
        )

    def _changes_since(self, base_revision: int) -> str:
        texts = [
            f"{r.number} by {r.actor} ({', '.join(sorted(r.changed))})"
            for r in self._feed.history
            if r.number > base_revision
        ]
        if len(texts) < self._feed.current.revision - base_revision:
            texts.insert(0, "older ones are in 'config history'")
        return "; ".join(texts)


def _outcome_unknown(
    revision: revision_module.Revision,
) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        message=f"It is unknown whether revision {revision.number} was "
        f"accepted; its write_id is {revision.write_id}.",
        remedy="Look for the write_id in 'knapweedwharf config history' once "
        "the store answers; it is also safe to apply the folder again.",
    )


def _not_applied(fault: errors.Fault) -> errors.Unreachable:
    return errors.Unreachable(
        message=f"Nothing was applied: {fault.message}",
        remedy="Apply again once the store answers; 'knapweedwharf status' "
        "shows whether it does.",
    )
