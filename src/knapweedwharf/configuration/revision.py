"""Accepted revisions as write-once entries of a log in the store.

Revision N is accepted when its entry was created at position N; the
log is the audit trail. Winning a position by create-if-absent is the
commit point (write-once positions: Noah Watkins, "ZLog: a distributed
shared-log on Ceph").
"""

from __future__ import annotations

import dataclasses
import json
import uuid

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf import errors

LOG_PREFIX = "/knapweedwharf/config/log/"
_POSITION_DIGITS = 12


@dataclasses.dataclass(frozen=True)
class Revision:
    """One accepted change.

    :ivar changed: file name to new text, or None where deleted.
    :ivar actor: the operator account that asked for it.
    :ivar write_id: unique to the write, to recognise it after a lost
        answer.
    """

    number: int
    actor: str
    at_s: float
    message: str
    changed: dict[str, str | None]
    write_id: str

    def encode(self) -> bytes:
        """Return the entry's value in the store."""
        return json.dumps(dataclasses.asdict(self), sort_keys=True).encode()


def decode(value: bytes) -> Revision:
    """Read an entry's value."""
    return Revision(**json.loads(value))


def key_of(number: int) -> str:
    """Return the store key of a revision."""
    return f"{LOG_PREFIX}{number:0{_POSITION_DIGITS}d}"


async def append(
    store: store_module.Store,
    *,
    number: int,
    actor: str,
    at_s: float,
    message: str,
    changed: dict[str, str | None],
) -> result.Result[Revision, errors.Fault]:
    """Claim position ``number``; ``Conflict`` if another has it."""
    revision = Revision(
        number=number,
        actor=actor,
        at_s=at_s,
        message=message,
        changed=changed,
        write_id=uuid.uuid4().hex,
    )
    written = await store_module.write_certain(
        store,
        key_of(number),
        revision.encode(),
        expected_version=store_module.ABSENT_VERSION,
    )
    return written.map(lambda _entry: revision)
