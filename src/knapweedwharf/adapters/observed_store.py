"""Store wrapper that counts calls by kind and tracks reachability."""

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

_CALL_COUNTERS = {
    kind: metrics.define(
        f"store.calls.{kind}",
        kind=metrics.COUNTER,
        unit="calls",
        text=f"Store calls of kind {kind}; a watch counts as one call.",
    )
    for kind in (READ, WRITE, LEASE, WATCH)
}


class ObservedStore:
    """Forwards calls to a store; implements :class:`store.Store`.

    :ivar counts: calls by kind since the start; a watch is one call.
    :ivar reachable: whether the last completed call was answered.
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
        """Read one key; None if it is absent."""
        return await self._observe(READ, self._store.get(key))

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int = 0
    ) -> result.Result[store_module.Page, errors.Fault]:
        """Read the keys of a prefix after ``after_key``, in key order."""
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
        """Write if the key still has the expected version."""
        call = self._store.write(
            key, value, expected_version=expected_version, lease_id=lease_id
        )
        return await self._observe(WRITE, call)

    async def delete(
        self, key: str, *, expected_version: int
    ) -> result.Result[None, errors.Fault]:
        """Delete if the key still has the expected version."""
        call = self._store.delete(key, expected_version=expected_version)
        return await self._observe(WRITE, call)

    async def grant(self, ttl_s: float) -> result.Result[int, errors.Fault]:
        """Grant a lease and return its id."""
        return await self._observe(LEASE, self._store.grant(ttl_s))

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[None, errors.Fault]:
        """Renew a lease; ``Fenced`` if it has expired."""
        return await self._observe(LEASE, self._store.keep_alive(lease_id))

    async def revoke(self, lease_id: int) -> result.Result[None, errors.Fault]:
        """Revoke a lease and delete its keys."""
        return await self._observe(LEASE, self._store.revoke(lease_id))

    async def watch(
        self,
        prefix: str,
        *,
        after_version: int,
        callback: store_module.WatchCallback,
    ) -> errors.Fault:
        """Report changes until the stream ends; return the reason."""
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
        self._sender.count(_CALL_COUNTERS[kind])


def create(
    settings: settings_module.Settings, *, sender: metrics.Metrics
) -> ObservedStore:
    """Build the store of the configured kind and wrap it."""
    store = store_module.STORES.get(settings.store_kind)(settings)
    return ObservedStore(store, sender=sender)


def _answered(outcome: result.Result) -> bool:
    if isinstance(outcome, result.Success):
        return True
    unanswered = (errors.Unreachable, errors.OutcomeUnknown)
    return not isinstance(outcome.failure(), unanswered)
