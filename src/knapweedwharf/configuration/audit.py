"""The audit trail, which lists each accepted revision exactly once.

Recent revisions are read from the log, which holds the files' texts.
Older ones are read from write-once archive pages, which keep the actor,
the time, the message and the names of the changed files.
"""

from __future__ import annotations

from collections import abc
import dataclasses
import json
import typing
import zlib

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf.configuration import revision as revision_module
from knapweedwharf.configuration import snapshot as snapshot_module
from knapweedwharf import errors

ARCHIVE_PREFIX = "/knapweedwharf/config/archive/"
PAGE_REVISIONS = 500
MAX_PAGES = 4_000
_MAX_PART_BYTES = 400_000


@dataclasses.dataclass(frozen=True)
class Record:
    """Audit record of a revision, without the files' texts."""

    revision: int
    actor: str
    at_s: float
    message: str
    files: list[str]
    write_id: str

    def to_dict(self) -> dict[str, typing.Any]:
        """Return the record as it is shown to operators."""
        shown = dataclasses.asdict(self)
        return {**shown, "revision_before": self.revision - 1}


@dataclasses.dataclass(frozen=True)
class TrailPart:
    """Part of the audit trail, oldest first.

    :ivar next_after: cursor of the next part: read the revisions after
        this one; None at the end.
    :ivar first_kept: the oldest revision that is still archived.
    """

    records: list[Record]
    next_after: int | None
    first_kept: int


def record_of(revision: revision_module.Revision) -> Record:
    """Return the audit record of a revision."""
    return Record(
        revision=revision.number,
        actor=revision.actor,
        at_s=revision.at_s,
        message=revision.message,
        files=sorted(revision.changed),
        write_id=revision.write_id,
    )


def page_prefix(page: int) -> str:
    """Return the key prefix of an archive page's parts."""
    return f"{ARCHIVE_PREFIX}{page:09d}/"


def encode_parts(records: abc.Iterable[Record]) -> list[bytes]:
    """Encode a page as one or more values small enough for the store."""
    parts: list[list[str]] = [[]]
    size_bytes = 0
    for record in records:
        line = json.dumps(dataclasses.asdict(record), ensure_ascii=False)
        if size_bytes and size_bytes + len(line.encode()) > _MAX_PART_BYTES:
            parts.append([])
            size_bytes = 0
        parts[-1].append(line)
        size_bytes += len(line.encode())
    return [zlib.compress("\n".join(lines).encode(), 9) for lines in parts]


def decode_parts(
    entries: abc.Iterable[store_module.Entry],
) -> result.Result[list[Record], errors.Fault]:
    """Decode the parts of a page."""
    try:
        return result.Success(
            [
                Record(**json.loads(line))
                for entry in entries
                for line in zlib.decompress(entry.value).split(b"\n")
            ]
        )
    except (zlib.error, TypeError, ValueError) as error:
        return result.Failure(
            errors.OutcomeUnknown(
                message=f"Cannot decode an archive page: {error!r}.",
                remedy="Check that all entry VMs run the same version.",
            )
        )


async def read_page(
    store: store_module.Store, page: int
) -> result.Result[list[Record], errors.Fault]:
    """Read one archive page; empty if it does not exist."""
    listed = await store.list(page_prefix(page))
    return listed.bind(lambda found: decode_parts(found.entries))


async def read(
    store: store_module.Store, *, after: int, limit: int
) -> result.Result[TrailPart, errors.Fault]:
    """Read the trail after a revision from the archive or the log."""
    head = await snapshot_module.read_head(store)
    if isinstance(head, result.Failure):
        return head
    pages = head.unwrap().archived_pages
    first_kept = max(0, pages - MAX_PAGES) * PAGE_REVISIONS + 1
    after = max(after, first_kept - 1)
    if after < pages * PAGE_REVISIONS:
        found = await read_page(store, after // PAGE_REVISIONS)
    else:
        part = await revision_module.read_log(
            store, after=after, limit=limit + 1
        )
        found = part.map(
            lambda log: [record_of(revision) for revision in log.revisions]
        )
    return found.map(
        lambda records: _build_trail(
            records, after, limit, first_kept, pages * PAGE_REVISIONS
        )
    )


def _build_trail(
    records: list[Record],
    after: int,
    limit: int,
    first_kept: int,
    archived: int,
) -> TrailPart:
    later = [record for record in records if record.revision > after]
    shown = later[:limit]
    has_more = len(later) > limit or after < archived
    return TrailPart(
        records=shown,
        next_after=shown[-1].revision if has_more and shown else None,
        first_kept=first_kept,
    )
