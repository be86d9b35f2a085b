"""Accepted revisions as write-once entries of a log in the store.

Revision N is accepted when its entry was created at position N.
Winning a position by create-if-absent is the commit point (write-once
positions: Noah Watkins, "ZLog: a distributed shared-log on Ceph").
"""

from __future__ import annotations

import dataclasses
import json
import typing
import zlib

from returns import result

from knapweedwharf.adapters import store as store_module
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

    :ivar changed: file name to new text, or None where deleted.
    :ivar actor: the operator account that asked for it.
    :ivar write_id: unique to the write, to recognise it after a lost
        answer.
    :ivar parent: the write_id of the revision before.
    """

    number: int
    actor: str
    at_s: float
    message: str
    changed: dict[str, str | None]
    write_id: str
    parent: str = ""

    def encode(self) -> bytes:
        """Return the entry's value in the store."""
        return pack(dataclasses.asdict(self))


def decode(value: bytes) -> result.Result[Revision, errors.Fault]:
    """Read an entry's value."""
    return unpack(value, lambda document: Revision(**document))


def pack(document: dict[str, typing.Any]) -> bytes:
    """Return a JSON value for the store, compressed when it is long."""
    text = json.dumps(document, sort_keys=True, ensure_ascii=False).encode()
    if len(text) < _COMPRESS_FROM_BYTES:
        return text
    return zlib.compress(text)


def unpack(
    value: bytes, build: typing.Callable[[typing.Any], typing.Any]
) -> result.Result[typing.Any, errors.Fault]:
    """Read a value that :func:`pack` made."""
    try:
        if not value.startswith(b"{"):
            value = zlib.decompressobj().decompress(value, _MAX_DECODED_BYTES)
        return result.Success(build(json.loads(value)))
    except (zlib.error, TypeError, ValueError, KeyError) as error:
        return result.Failure(
            errors.OutcomeUnknown(
                message=f"A configuration value cannot be read: {error!r}.",
                remedy="Check that all entry VMs run the same version.",
            )
        )


def key_of(number: int) -> str:
    """Return the store key of a revision."""
    return f"{LOG_PREFIX}{number:0{_POSITION_DIGITS}d}"


async def append(
    store: store_module.Store, revision: Revision
) -> result.Result[store_module.Entry, errors.Fault]:
    """Claim the revision's position; ``Conflict`` if another has it."""
    value = revision.encode()
    if len(value) > MAX_ENTRY_BYTES:
        return result.Failure(
            errors.InvalidField(
                message=f"One change holds at most {MAX_ENTRY_BYTES} bytes.",
                remedy="Apply the folder in several changes.",
                source="change",
                field="size",
                value=f"{len(value)} bytes",
            )
        )
    return await store_module.write_certain(
        store,
        key_of(revision.number),
        value,
        expected_version=store_module.ABSENT_VERSION,
    )


@dataclasses.dataclass(frozen=True)
class LogPart:
    """Entries of the log in order.

    :ivar version: the store's when the reading began.
    """

    revisions: list[Revision]
    version: int


async def read_log(
    store: store_module.Store, *, after: int, limit: int = 0
) -> result.Result[LogPart, errors.Fault]:
    """Read the entries behind a revision, a bounded part at a time."""
    revisions: list[Revision] = []
    version = 0
    while True:
        left = limit - len(revisions) if limit else LOG_READ_LIMIT
        wanted = min(LOG_READ_LIMIT, left)
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
