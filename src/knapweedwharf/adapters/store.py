"""Interface to the platform's key-value store, and registry of kinds.

Only single-key reads and writes (compare-and-swap) are used, besides
lists, leases and watches.
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
_INITIAL_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 0.4


@dataclasses.dataclass(frozen=True)
class Entry:
    """A key's value and the store-wide version of its last write."""

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True)
class Page:
    """Part of a listing; ``version`` is the store's when it was read."""

    entries: list[Entry]
    version: int


WatchCallback = typing.Callable[[list[Entry], list[str], int], None]
"""Called with changed entries, deleted keys and the store's version."""


class Store(typing.Protocol):
    """Operations that a store must support.

    Failures: ``Conflict`` (the key has another version),
    ``Unreachable`` (nothing was sent), ``OutcomeUnknown`` (a write may
    have taken effect).
    """

    async def get(self, key: str) -> result.Result[Entry | None, errors.Fault]:
        """Read one key; None if it is absent."""

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int = 0
    ) -> result.Result[Page, errors.Fault]:
        """Read the keys of a prefix after ``after_key``, in key order.

        :param limit: maximum number of keys; 0 reads all.
        """

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int,
        lease_id: int = 0,
    ) -> result.Result[Entry, errors.Fault]:
        """Write if the key still has the expected version."""

    async def delete(
        self, key: str, *, expected_version: int
    ) -> result.Result[None, errors.Fault]:
        """Delete if the key still has the expected version."""

    async def grant(self, ttl_s: float) -> result.Result[int, errors.Fault]:
        """Grant a lease and return its id."""

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[None, errors.Fault]:
        """Renew a lease; ``Fenced`` if it has expired."""

    async def revoke(self, lease_id: int) -> result.Result[None, errors.Fault]:
        """Revoke a lease and delete its keys."""

    async def watch(
        self, prefix: str, *, after_version: int, callback: WatchCallback
    ) -> errors.Fault:
        """Report changes until the stream ends; return the reason.

        ``NotFound`` means that the requested changes are compacted: the
        caller must list the keys again.
        """

    def close(self) -> None:
        """Close connections."""


Factory = typing.Callable[[settings_module.Settings], Store]
STORES: registry.Registry[Factory] = registry.Registry(subject="store")


async def write_with_read_back(
    store: Store,
    key: str,
    value: bytes,
    *,
    expected_version: int,
    lease_id: int = 0,
    tries: int = 3,
) -> result.Result[Entry, errors.Fault]:
    """Write, retry on failure, and read back if an answer was lost.

    The value must be unique to this call: if a retry of the
    compare-and-swap conflicts, the key is read back to recognise it.

    ``Conflict`` and ``Unreachable`` mean that nothing took effect. A
    key expected to be absent must be changed or deleted by its creator
    only; then another writer's value proves that this write failed.
    """
    delays = backoff.Backoff(
        initial_s=_INITIAL_RETRY_DELAY_S, max_s=_MAX_RETRY_DELAY_S
    )
    may_have_written = False
    outcome = None
    for attempt in range(tries):
        if attempt:
            await asyncio.sleep(delays.next_s())
        outcome = await store.write(
            key, value, expected_version=expected_version, lease_id=lease_id
        )
        if isinstance(outcome, result.Success):
            return outcome
        fault = outcome.failure()
        if isinstance(fault, errors.Conflict):
            if not may_have_written:
                return outcome
            conflict_is_final = expected_version == ABSENT_VERSION
            return await _read_back(
                store, key, value, outcome, conflict_is_final
            )
        if isinstance(fault, errors.InvalidField):
            return outcome
        may_have_written |= not isinstance(fault, errors.Unreachable)
    return (
        result.Failure(_outcome_unknown(key)) if may_have_written else outcome
    )


async def _read_back(
    store: Store,
    key: str,
    value: bytes,
    conflict: result.Result,
    conflict_is_final: bool,
) -> result.Result[Entry, errors.Fault]:
    found = await store.get(key)
    if isinstance(found, result.Failure):
        return result.Failure(_outcome_unknown(key))
    entry = found.unwrap()
    if entry is not None and entry.value == value:
        return result.Success(entry)
    return (
        conflict
        if conflict_is_final
        else result.Failure(_outcome_unknown(key))
    )


def _outcome_unknown(key: str) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        message=f"It is unknown whether the write of {key} took effect.",
        remedy="Read the key again once the store answers.",
    )
