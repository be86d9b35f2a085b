"""A store that counts its calls by kind and knows if it answers."""

from __future__ import annotations

import time
import typing

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf import errors
from knapweedwharf import metrics
from knapweedwharf import settings as settings_module

READ = "read"
WRITE = "write"
LEASE = "lease"
WATCH = "watch"

_CALLS = {
    kind: metrics.define(
        f"store.calls.{kind}",
        kind=metrics.COUNTER,
        unit="calls",
        text=f"Calls to the store of the kind {kind}; a watch is one.",
    )
    for kind in (READ, WRITE, LEASE, WATCH)
}


class ObservedStore:
    """Passes calls on; see :class:`store.Store`.

    :ivar counts: calls by kind since the start; a watch is one call.
    :ivar reachable: whether the last call that ended was answered.
    :ivar answered_at_s: monotonic time of the last answer, or 0.
    """

    def __init__(
        self, store: store_module.Store, *, sender: metrics.Metrics
    ) -> None:
        self._store = store
        self._sender = sender
        self.counts: dict[str, int] = {}
        self.reachable = False
        self.answered_at_s = 0.0

    async def get(
        self, key: str
    ) -> result.Result[store_module.Entry | None, errors.Fault]:
        """Read one key; None when absent."""
        return await self._observe(READ, self._store.get(key))

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int = 0
    ) -> result.Result[store_module.Page, errors.Fault]:
        """Read the keys under a prefix behind ``after_key``, in order."""
        return await self._observe(
            READ,
            self._store.list(prefix, after_key=after_key, limit=limit),
        )

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int,
        lease_id: int = 0,
    ) -> result.Result[store_module.Entry, errors.Fault]:
        """Write if the key's version is the expected one."""
        call = self._store.write(
            key, value, expected_version=expected_version, lease_id=lease_id
        )
        return await self._observe(WRITE, call)

    async def delete(
        self, key: str, *, expected_version: int
    ) -> result.Result[None, errors.Fault]:
        """Delete if the key's version is the expected one."""
        call = self._store.delete(key, expected_version=expected_version)
        return await self._observe(WRITE, call)

    async def grant(self, ttl_s: float) -> result.Result[int, errors.Fault]:
        """Grant a lease and return its id."""
        return await self._observe(LEASE, self._store.grant(ttl_s))

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[None, errors.Fault]:
        """Renew a lease; ``Fenced`` when it has lapsed."""
        return await self._observe(LEASE, self._store.keep_alive(lease_id))

    async def revoke(self, lease_id: int) -> result.Result[None, errors.Fault]:
        """End a lease and delete its keys."""
        return await self._observe(LEASE, self._store.revoke(lease_id))

    async def watch(
        self,
        prefix: str,
        *,
        after_version: int,
        callback: store_module.WatchCallback,
    ) -> errors.Fault:
        """Report changes until the stream breaks; return why it did."""
        self._count(WATCH)
        return await self._store.watch(
            prefix, after_version=after_version, callback=callback
        )

    def close(self) -> None:
        """Close connections."""
        self._store.close()

    async def _observe(
        self, kind: str, call: typing.Awaitable[result.Result]
    ) -> result.Result:
        self._count(kind)
        outcome = await call
        self.reachable = _answered(outcome)
        if self.reachable:
            self.answered_at_s = time.monotonic()
        return outcome

    def _count(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1
        self._sender.count(_CALLS[kind])


def create(
    settings: settings_module.Settings, *, sender: metrics.Metrics
) -> ObservedStore:
    """Build the store that the settings name and observe it."""
    store = store_module.STORES.get(settings.store_kind)(settings)
    return ObservedStore(store, sender=sender)


def _answered(outcome: result.Result) -> bool:
    if isinstance(outcome, result.Success):
        return True
    silent = (errors.Unreachable, errors.OutcomeUnknown)
    return not isinstance(outcome.failure(), silent)
