"""The platform's key-value service: interface and registry.

Only single-key operations are used: read, list, compare-and-swap,
leases and watches.
"""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from returns import result

from knapweedwharf import backoff
from knapweedwharf import errors
from knapweedwharf import registry
from knapweedwharf import settings as settings_module

ABSENT_VERSION = 0
MAX_VALUE_BYTES = 1_000_000
_FIRST_REPEAT_S = 0.05
_LONGEST_REPEAT_S = 0.4


@dataclasses.dataclass(frozen=True)
class Entry:
    """One key's value and the store-wide version that wrote it."""

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True)
class Page:
    """Part of a listing; ``version`` is the store's at that moment."""

    entries: list[Entry]
    version: int


WatchCallback = typing.Callable[[list[Entry], list[str], int], None]
"""Called with changed entries, deleted keys and the store's version."""


class Store(typing.Protocol):
    """What the project needs of a store.

    Failures: ``Conflict`` (compare lost), ``Unreachable`` (nothing was
    sent), ``OutcomeUnknown`` (a write may have taken effect).
    """

    async def get(self, key: str) -> result.Result[Entry | None, errors.Fault]:
        """Read one key; None when absent."""

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int = 0
    ) -> result.Result[Page, errors.Fault]:
        """Read the keys under a prefix behind ``after_key``, in order.

        :param limit: read so many keys at most; 0 reads all.
        """

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int,
        lease_id: int = 0,
    ) -> result.Result[Entry, errors.Fault]:
        """Write if the key's version is the expected one."""

    async def delete(
        self, key: str, *, expected_version: int
    ) -> result.Result[None, errors.Fault]:
        """Delete if the key's version is the expected one."""

    async def grant(self, ttl_s: float) -> result.Result[int, errors.Fault]:
        """Grant a lease and return its id."""

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[None, errors.Fault]:
        """Renew a lease; ``Fenced`` when it has lapsed."""

    async def revoke(self, lease_id: int) -> result.Result[None, errors.Fault]:
        """End a lease and delete its keys."""

    async def watch(
        self, prefix: str, *, after_version: int, callback: WatchCallback
    ) -> errors.Fault:
        """Report changes until the stream breaks; return why it did.

        ``NotFound`` says that the changes asked for are compacted: the
        caller lists the keys again.
        """

    def close(self) -> None:
        """Close connections."""


Factory = typing.Callable[[settings_module.Settings], Store]
STORES: registry.Registry[Factory] = registry.Registry(subject="store")


async def write_certain(
    store: Store,
    key: str,
    value: bytes,
    *,
    expected_version: int,
    lease_id: int = 0,
    tries: int = 3,
) -> result.Result[Entry, errors.Fault]:
    """Write and find out what a lost answer did.

    The value must be unique to this attempt. Repeating a
    compare-and-swap at one expected version is safe: a repeat that
    loses reads the key back and recognises its own value.

    ``Conflict`` and ``Unreachable`` say that nothing took effect. A
    key that was expected to be absent must be changed or deleted by
    its creator only; then another's value in it proves that.
    """
    waits = backoff.Backoff(
        first_s=_FIRST_REPEAT_S, longest_s=_LONGEST_REPEAT_S
    )
    unsure = False
    outcome = None
    for attempt in range(tries):
        if attempt:
            await asyncio.sleep(waits.next_s())
        outcome = await store.write(
            key, value, expected_version=expected_version, lease_id=lease_id
        )
        if isinstance(outcome, result.Success):
            return outcome
        fault = outcome.failure()
        if isinstance(fault, errors.Conflict):
            if not unsure:
                return outcome
            certain = expected_version == ABSENT_VERSION
            return await _read_back(store, key, value, outcome, certain)
        if isinstance(fault, errors.InvalidField):
            return outcome
        unsure |= not isinstance(fault, errors.Unreachable)
    return result.Failure(_unknown(key)) if unsure else outcome


async def _read_back(
    store: Store,
    key: str,
    value: bytes,
    conflict: result.Result,
    certain: bool,
) -> result.Result[Entry, errors.Fault]:
    found = await store.get(key)
    if isinstance(found, result.Failure):
        return result.Failure(_unknown(key))
    entry = found.unwrap()
    if entry is not None and entry.value == value:
        return result.Success(entry)
    return conflict if certain else result.Failure(_unknown(key))


def _unknown(key: str) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        message=f"Whether the write of {key} took effect is not known.",
        remedy="Read the key again when the store answers.",
    )
