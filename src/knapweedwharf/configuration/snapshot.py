"""Snapshots of the whole folder, which allow the log to be trimmed.

A small head entry points to the newest snapshot, whose files are stored
under a separate write-once key. The head's revision never decreases.
"""

from __future__ import annotations

import dataclasses
import typing

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf.configuration import revision as revision_module
from knapweedwharf import errors

HEAD_KEY = "/knapweedwharf/config/snapshot"
FILES_PREFIX = "/knapweedwharf/config/snapshot-files/"
_READ_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The folder at one revision.

    :ivar write_id: write_id of the last revision in it.
    """

    revision: int = 0
    write_id: str = ""
    files: dict[str, str] = dataclasses.field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the encoded value, for the store and for peers."""
        return revision_module.pack(dataclasses.asdict(self))


@dataclasses.dataclass(frozen=True)
class Head:
    """Points to the newest snapshot and counts the archive's pages.

    :ivar revision: revision of the newest snapshot, or 0.
    :ivar archived_pages: number of complete pages in the audit archive.
    :ivar version: the store's version of the head, or 0 if it is absent.
    """

    revision: int = 0
    archived_pages: int = 0
    version: int = store_module.ABSENT_VERSION


def decode(value: bytes) -> result.Result[Snapshot, errors.Fault]:
    """Decode a snapshot."""
    return revision_module.unpack(value, lambda fields: Snapshot(**fields))


async def read_head(
    store: store_module.Store,
) -> result.Result[Head, errors.Fault]:
    """Read the head; its fields are 0 if there is no snapshot yet."""
    found = await store.get(HEAD_KEY)
    return found.bind(_decode_head)


def _decode_head(
    entry: store_module.Entry | None,
) -> result.Result[Head, errors.Fault]:
    if entry is None:
        return result.Success(Head())

    def build(document: dict[str, typing.Any]) -> Head:
        return Head(
            revision=int(document["revision"]),
            archived_pages=int(document["archived_pages"]),
            version=entry.version,
        )

    return revision_module.unpack(entry.value, build)


async def write_head(
    store: store_module.Store, head: Head
) -> result.Result[Head, errors.Fault]:
    """Write the head if its stored version is ``head.version``."""
    document = {
        "revision": head.revision,
        "archived_pages": head.archived_pages,
    }
    written = await store.write(
        HEAD_KEY,
        revision_module.pack(document),
        expected_version=head.version,
    )
    return written.map(
        lambda entry: dataclasses.replace(head, version=entry.version)
    )


def files_key(revision: int) -> str:
    """Return the key of a snapshot's files."""
    return f"{FILES_PREFIX}{revision:012d}"


async def read(
    store: store_module.Store,
) -> result.Result[Snapshot, errors.Fault]:
    """Read the newest snapshot; revision 0 and empty if there is none."""
    for _try in range(_READ_ATTEMPTS):
        head = await read_head(store)
        if isinstance(head, result.Failure):
            return head
        revision = head.unwrap().revision
        if not revision:
            return result.Success(Snapshot())
        found = await store.get(files_key(revision))
        if isinstance(found, result.Failure):
            return found
        if found.unwrap() is not None:
            return decode(found.unwrap().value)
    return result.Failure(
        errors.OutcomeUnknown(
            message="The configuration snapshot changed during the read.",
            remedy="Read it again.",
        )
    )
