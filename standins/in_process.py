"""In-process store and worker adapters that use no sockets.

Each adapter object belongs to one node, so that a test can pause or
partition a single node: its calls then wait, are dropped, are delivered
late, or take effect without their answers arriving.
"""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import enum
import json

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf.adapters import worker as worker_module
from knapweedwharf import codec
from knapweedwharf import errors
from standins import worker_state

CALL_TIMEOUT_S = 2.0
TICK_S = 0.25


class DeliveryOutcome(enum.Enum):
    """How the simulated network treats a call."""

    DELIVERED = "delivered"
    DROPPED = "dropped"
    ANSWER_LOST = "answer lost"
    LATE = "late"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True)
class Call:
    """A call that a node makes.

    :ivar target: worker id, or key of the store.
    """

    node_id: str
    target: str
    kind: str


Plan = abc.Callable[[Call], DeliveryOutcome]


def _deliver(_call: Call) -> DeliveryOutcome:
    return DeliveryOutcome.DELIVERED


def _unknown() -> result.Result:
    return result.Failure(
        errors.OutcomeUnknown(message="No answer.", remedy="Ask again.")
    )


def _unreachable() -> result.Result:
    return result.Failure(
        errors.Unreachable(message="Not connected.", remedy="Wait.")
    )


def _fenced() -> result.Result:
    return result.Failure(errors.Fenced(message="Old.", remedy="Stop."))


def _conflict() -> result.Result:
    return result.Failure(errors.Conflict(message="Lost.", remedy="Read."))


class SimulatedNetwork:
    """The simulated network between one node and its peers.

    :ivar decide_outcome: decides how each call is treated.
    :ivar unpaused: cleared while the node is paused.
    :ivar calls: number of calls by kind.
    """

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        self.decide_outcome: Plan = _deliver
        self.unpaused = asyncio.Event()
        self.unpaused.set()
        self.calls: dict[str, int] = {}

    async def call(
        self, target: str, kind: str, effect: abc.Callable[[], result.Result]
    ) -> result.Result:
        """Make one call; blocks while the node is paused."""
        await self.unpaused.wait()
        self.calls[kind] = self.calls.get(kind, 0) + 1
        fate = self.decide_outcome(Call(self.node_id, target, kind))
        loop = asyncio.get_running_loop()
        outcome = _unknown()
        if fate is DeliveryOutcome.REFUSED:
            outcome = _unreachable()
        elif fate is DeliveryOutcome.DELIVERED:
            outcome = effect()
        else:
            if fate is DeliveryOutcome.ANSWER_LOST:
                effect()
            elif fate is DeliveryOutcome.LATE:
                loop.call_later(2 * CALL_TIMEOUT_S, effect)
            await asyncio.sleep(CALL_TIMEOUT_S)
        await asyncio.sleep(0)
        await self.unpaused.wait()
        return outcome


class StoreState:
    """State of the store, shared by the adapters of all nodes."""

    def __init__(self) -> None:
        self.entries: dict[str, store_module.Entry] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_by_key: dict[str, int] = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.bytes_read = 0
        self.bytes_written = 0

    def expire(self) -> None:
        """Delete keys whose lease has expired."""
        now_s = asyncio.get_running_loop().time()
        for lease_id, (_ttl_s, expires_at_s) in list(self.leases.items()):
            if expires_at_s < now_s:
                self.end(lease_id)

    def end(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease_id, None)
        for key, owner in list(self.lease_by_key.items()):
            if owner == lease_id:
                del self.lease_by_key[key]
                self.entries.pop(key, None)

    def put(self, key: str, value: bytes, lease_id: int) -> result.Result:
        """Write a key, optionally attached to a lease."""
        if lease_id and lease_id not in self.leases:
            return _unknown()
        self.version += 1
        self.bytes_written += len(value)
        entry = store_module.Entry(key, value, self.version)
        self.entries[key] = entry
        if lease_id:
            self.lease_by_key[key] = lease_id
        return result.Success(entry)


class InProcessStore:
    """Store adapter of one node."""

    def __init__(self, keys: StoreState, link: SimulatedNetwork) -> None:
        self._keys = keys
        self._link = link

    async def _call(
        self, key: str, kind: str, effect: abc.Callable[[], result.Result]
    ) -> result.Result:
        def expired_first() -> result.Result:
            self._keys.expire()
            return effect()

        return await self._link.call(key, kind, expired_first)

    async def get(self, key: str) -> result.Result:
        """Read one key."""

        def read() -> result.Result:
            entry = self._keys.entries.get(key)
            self._keys.bytes_read += len(entry.value) if entry else 0
            return result.Success(entry)

        return await self._call(key, "read", read)

    async def list(self, prefix: str, **_options) -> result.Result:
        """Read the keys under a prefix, in key order."""

        def read() -> result.Result:
            found = [
                entry
                for key, entry in sorted(self._keys.entries.items())
                if key.startswith(prefix)
            ]
            self._keys.bytes_read += sum(len(e.value) for e in found)
            return result.Success(store_module.Page(found, self._keys.version))

        return await self._call(prefix, "read", read)

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int,
        lease_id: int = 0,
    ) -> result.Result:
        """Write a key if it is at the expected version."""

        def swap() -> result.Result:
            held = self._keys.entries.get(key)
            if (held.version if held else 0) != expected_version:
                return _conflict()
            return self._keys.put(key, value, lease_id)

        return await self._call(key, "write", swap)

    async def delete(self, key: str, *, expected_version: int):
        """Delete a key if it is at the expected version."""

        def remove() -> result.Result:
            held = self._keys.entries.get(key)
            if held is None or held.version != expected_version:
                return _conflict()
            self._keys.version += 1
            del self._keys.entries[key]
            return result.Success(None)

        return await self._call(key, "write", remove)

    async def grant(self, ttl_s: float) -> result.Result:
        """Grant a lease."""

        def grant() -> result.Result:
            self._keys.version += 1
            lease_id = self._keys.version
            now_s = asyncio.get_running_loop().time()
            self._keys.leases[lease_id] = (ttl_s, now_s + ttl_s)
            return result.Success(lease_id)

        return await self._call("", "lease", grant)

    async def keep_alive(self, lease_id: int) -> result.Result:
        """Renew a lease."""

        def renew() -> result.Result:
            if lease_id not in self._keys.leases:
                return _fenced()
            ttl_s, _lapses = self._keys.leases[lease_id]
            now_s = asyncio.get_running_loop().time()
            self._keys.leases[lease_id] = (ttl_s, now_s + ttl_s)
            return result.Success(None)

        return await self._call("", "lease", renew)

    async def revoke(self, lease_id: int) -> result.Result:
        """End a lease."""

        def end() -> result.Result:
            self._keys.end(lease_id)
            return result.Success(None)

        return await self._call("", "lease", end)

    async def watch(self, prefix, *, after_version, callback):
        """Call back with changed entries and deleted keys."""
        present = self._present(prefix)
        while True:
            await asyncio.sleep(TICK_S)
            await self._link.unpaused.wait()
            call = Call(self._link.node_id, prefix, "watch")
            if (
                self._link.decide_outcome(call)
                is not DeliveryOutcome.DELIVERED
            ):
                return _unreachable().failure()
            changed = [
                entry
                for key, entry in sorted(self._keys.entries.items())
                if key.startswith(prefix) and entry.version > after_version
            ]
            after_version = self._keys.version
            deleted = sorted(present - self._present(prefix))
            present = self._present(prefix)
            if changed or deleted:
                callback(changed, deleted, after_version)

    def _present(self, prefix: str) -> set[str]:
        return {key for key in self._keys.entries if key.startswith(prefix)}

    def close(self) -> None:
        """Do nothing; there are no connections."""


class InProcessWorkers:
    """Worker adapter of one node.

    :param workers: simulated workers by address.
    """

    def __init__(
        self, workers: dict[str, worker_state.Worker], link: SimulatedNetwork
    ) -> None:
        self._workers = workers
        self._link = link

    async def _call(
        self, address: str, kind: str, act: abc.Callable[[], dict], form: type
    ) -> result.Result:
        worker = self._workers[address]

        def effect() -> result.Result:
            if worker.faults.frozen:
                return _unknown()
            try:
                # A JSON round trip keeps the two sides from sharing objects.
                answer = json.loads(json.dumps(act()))
            except worker_state.Fenced:
                return _fenced()
            return result.Success(codec.decode(form, answer))

        return await self._link.call(address, kind, effect)

    async def seal(self, address: str, *, epoch: int) -> result.Result:
        """Seal a worker."""
        worker = self._workers[address]
        return await self._call(
            address,
            "seal",
            lambda: worker.seal(epoch),
            worker_module.WorkerState,
        )

    async def send(self, address: str, *, epoch: int, orders) -> result.Result:
        """Send a batch of orders."""
        worker = self._workers[address]
        document = json.loads(json.dumps(codec.encode(list(orders))))
        outcome = await self._call(
            address,
            orders[0].kind,
            lambda: worker.send(epoch, document),
            _Results,
        )
        return outcome.map(lambda answer: list(answer.results))

    async def renew(self, address: str, *, epoch: int, order) -> result.Result:
        """Renew leases and wait for events."""
        worker = self._workers[address]

        def extend() -> dict:
            worker.renew_leases(epoch, codec.encode(order))
            return worker.events_after(epoch, order.after_sequence)

        kind = worker_module.Renewal
        renewed = await self._call(address, "renew", extend, kind)
        if isinstance(renewed, result.Failure) or renewed.unwrap().events:
            return renewed
        ends_s = asyncio.get_running_loop().time() + order.wait_s
        while asyncio.get_running_loop().time() < ends_s:
            await asyncio.sleep(min(1.0, order.wait_s))
            if worker.sequence > order.after_sequence or epoch < worker.epoch:
                break
        return await self._call(
            address,
            "news",
            lambda: worker.events_after(epoch, order.after_sequence),
            kind,
        )

    def close(self) -> None:
        """Do nothing; there are no connections."""


@dataclasses.dataclass(frozen=True)
class _Results:
    """Answer to a batch of orders."""

    results: tuple[worker_module.OrderResult, ...]
