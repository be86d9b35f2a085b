"""Accepted revisions as write-once entries of a log in the store.

Revision N is accepted once its entry has been created at position N.
Claiming a position by create-if-absent is the commit point (write-once
positions: Noah Watkins, "ZLog: a distributed shared-log on Ceph").
"""

from __future__ import annotations

import dataclasses
import json
import typing
import zlib

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf import codec
from knapweedwharf import errors

LOG_PREFIX = "/knapweedwharf/config/log/"
MAX_ENTRY_BYTES = 262_144
LOG_READ_LIMIT = 32
_COMPRESS_FROM_BYTES = 65_536
_MAX_DECODED_BYTES = 4 * 1024 * 1024
_POSITION_DIGITS = 12


@dataclasses.dataclass(frozen=True)
class Revision:
    """One accepted change.

    :ivar changed: maps a file name to its new text, or None if deleted.
    :ivar actor: the operator account that requested the change.
    :ivar write_id: unique id that identifies the write after its answer
        was lost.
    :ivar parent: the write_id of the previous revision.
    """

    number: int
    actor: str
    at_s: float
    message: str
    changed: dict[str, str | None]
    write_id: str
    parent: str = ""

    def encode(self) -> bytes:
        """Return the value of the log entry."""
        return pack(dataclasses.asdict(self))


def decode(value: bytes) -> result.Result[Revision, errors.Fault]:
    """Decode the value of a log entry."""
    return unpack(value, lambda document: Revision(**document))


def pack(document: dict[str, typing.Any]) -> bytes:
    """Encode a document as JSON, compressed if it is long."""
    text = json.dumps(document, sort_keys=True, ensure_ascii=False).encode()
    if len(text) < _COMPRESS_FROM_BYTES:
        return text
    return zlib.compress(text)


def unpack(
    value: bytes, build: typing.Callable[[typing.Any], typing.Any]
) -> result.Result[typing.Any, errors.Fault]:
    """Decode a value that :func:`pack` encoded."""
    try:
        if not value.startswith(b"{"):
            value = zlib.decompressobj().decompress(value, _MAX_DECODED_BYTES)
        return result.Success(build(json.loads(value)))
    except (zlib.error, *codec.UNDECODABLE) as error:
        return result.Failure(
            errors.OutcomeUnknown(
                message=f"Cannot decode a configuration value: {error!r}.",
                remedy="Check that all entry VMs run the same version.",
            )
        )


def key_of(number: int) -> str:
    """Return the store key of a revision."""
    return f"{LOG_PREFIX}{number:0{_POSITION_DIGITS}d}"


async def append(
    store: store_module.Store, revision: Revision
) -> result.Result[store_module.Entry, errors.Fault]:
    """Append at the revision's position; ``Conflict`` if it is taken."""
    value = revision.encode()
    if len(value) > MAX_ENTRY_BYTES:
        return result.Failure(
            errors.InvalidField(
                message=f"A change may have at most {MAX_ENTRY_BYTES} bytes.",
                remedy="Split the change into several smaller ones.",
                source="change",
                field="size",
                value=f"{len(value)} bytes",
            )
        )
    return await store_module.write_with_read_back(
        store,
        key_of(revision.number),
        value,
        expected_version=store_module.ABSENT_VERSION,
    )


@dataclasses.dataclass(frozen=True)
class LogPart:
    """Part of the log, in order.

    :ivar version: the store's version when the read began.
    """

    revisions: list[Revision]
    version: int


async def read_log(
    store: store_module.Store, *, after: int, limit: int = 0
) -> result.Result[LogPart, errors.Fault]:
    """Read the entries after a revision, in bounded pages."""
    revisions: list[Revision] = []
    version = 0
    while True:
        remaining = limit - len(revisions) if limit else LOG_READ_LIMIT
        wanted = min(LOG_READ_LIMIT, remaining)
        last = revisions[-1].number if revisions else after
        listed = await store.list(
            LOG_PREFIX, after_key=key_of(last), limit=wanted
        )
        if isinstance(listed, result.Failure):
            return listed
        page = listed.unwrap()
        version = version or page.version
        for entry in page.entries:
            decoded = decode(entry.value)
            if isinstance(decoded, result.Failure):
                return decoded
            revisions.append(decoded.unwrap())
        if len(page.entries) < wanted or len(revisions) == limit:
            return result.Success(LogPart(revisions, version))
