"""Compaction, which bounds the size of the configuration in the store.

It runs on the node that accepted a revision. Every step can be repeated
or run by two nodes at once: the written values depend on the log alone,
and the snapshot head is updated by compare-and-swap.
"""

from __future__ import annotations

import asyncio
import dataclasses

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf.configuration import audit
from knapweedwharf.configuration import revision as revision_module
from knapweedwharf.configuration import snapshot as snapshot_module
from knapweedwharf import errors
from knapweedwharf import log

SNAPSHOT_REVISIONS = 64
KEPT_REVISIONS = 128
MAX_TRIMMED_ENTRIES = 128
TRIM_DELAY_S = 0.05

_HeadResult = result.Result[snapshot_module.Head, errors.Fault]


class Compaction:
    """Writes snapshots and archive pages, and trims the log."""

    def __init__(self, *, store: store_module.Store) -> None:
        self._store = store
        self._log = log.get("compaction")

    async def run(
        self, head: snapshot_module.Head, snapshot: snapshot_module.Snapshot
    ) -> None:
        """Run the steps due at a revision; a later run retries failed ones."""
        if snapshot.revision - head.revision < SNAPSHOT_REVISIONS:
            return
        outcome = await self._write_snapshot(head, snapshot)
        while isinstance(outcome, result.Success):
            if not self._is_page_due(outcome.unwrap()):
                await self._trim(outcome.unwrap())
                return
            outcome = await self._archive_page(outcome.unwrap())
        self._log.info("compaction-put-off", why=str(outcome.failure()))

    async def _write_snapshot(
        self, head: snapshot_module.Head, snapshot: snapshot_module.Snapshot
    ) -> _HeadResult:
        key = snapshot_module.files_key(snapshot.revision)
        written = await self._create_or_match(key, snapshot.encode())
        if isinstance(written, result.Failure):
            return written
        moved = await snapshot_module.write_head(
            self._store, dataclasses.replace(head, revision=snapshot.revision)
        )
        if isinstance(moved, result.Success) and head.revision:
            await self._delete_key(snapshot_module.files_key(head.revision))
        return moved

    @staticmethod
    def _is_page_due(head: snapshot_module.Head) -> bool:
        end = (head.archived_pages + 1) * audit.PAGE_REVISIONS
        return head.revision >= end + KEPT_REVISIONS

    async def _archive_page(self, head: snapshot_module.Head) -> _HeadResult:
        page = head.archived_pages
        read = await revision_module.read_log(
            self._store,
            after=page * audit.PAGE_REVISIONS,
            limit=audit.PAGE_REVISIONS,
        )
        if isinstance(read, result.Failure):
            return read
        records = [audit.record_of(r) for r in read.unwrap().revisions]
        first = page * audit.PAGE_REVISIONS + 1
        expected = list(range(first, first + audit.PAGE_REVISIONS))
        if [record.revision for record in records] != expected:
            return result.Failure(_missing_revisions(page))
        for number, value in enumerate(audit.encode_parts(records)):
            key = f"{audit.page_prefix(page)}{number:03d}"
            written = await self._create_or_match(key, value)
            if isinstance(written, result.Failure):
                return written
        await self._delete_page(page - audit.MAX_PAGES)
        return await snapshot_module.write_head(
            self._store, dataclasses.replace(head, archived_pages=page + 1)
        )

    async def _create_or_match(
        self, key: str, value: bytes
    ) -> result.Result[None, errors.Fault]:
        written = await self._store.write(
            key, value, expected_version=store_module.ABSENT_VERSION
        )
        if isinstance(written, result.Success):
            return result.Success(None)
        found = await self._store.get(key)
        if isinstance(found, result.Failure):
            return found
        entry = found.unwrap()
        if entry is None or entry.value != value:
            return result.Failure(written.failure())
        return result.Success(None)

    async def _delete_page(self, page: int) -> None:
        if page < 0:
            return
        self._log.warning("audit-page-dropped", page=page)
        listed = await self._store.list(audit.page_prefix(page))
        if isinstance(listed, result.Success):
            for entry in listed.unwrap().entries:
                await self._store.delete(
                    entry.key, expected_version=entry.version
                )

    async def _delete_key(self, key: str) -> None:
        found = await self._store.get(key)
        entry = found.unwrap() if isinstance(found, result.Success) else None
        if entry is not None:
            await self._store.delete(key, expected_version=entry.version)

    async def _trim(self, head: snapshot_module.Head) -> None:
        archived = head.archived_pages * audit.PAGE_REVISIONS
        last_key = revision_module.key_of(archived)
        removed = 0
        while removed < MAX_TRIMMED_ENTRIES:
            listed = await self._store.list(
                revision_module.LOG_PREFIX,
                limit=revision_module.LOG_READ_LIMIT,
            )
            if isinstance(listed, result.Failure):
                return
            old = [e for e in listed.unwrap().entries if e.key <= last_key]
            for entry in old:
                await self._store.delete(
                    entry.key, expected_version=entry.version
                )
                await asyncio.sleep(TRIM_DELAY_S)
            removed += len(old)
            if len(old) < revision_module.LOG_READ_LIMIT:
                return


def _missing_revisions(page: int) -> errors.Conflict:
    return errors.Conflict(
        message=f"The log lacks revisions of audit page {page}.",
        remedy="Search the logs for 'revision-conflict'.",
    )
