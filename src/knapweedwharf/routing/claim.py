"""Claims that make a non-idempotent request run at most once.

A claim is written to the store before any byte is sent to an executor.
A retry with the same key finds the claim, whichever entry VM it reaches.
Claims expire with their lease; an entry VM attaches all claims of an
hour to one lease.
"""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import hashlib
import json
import time

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf import errors

CLAIM_PREFIX = "/knapweedwharf/claims/"
LEASE_BUCKET_S = 3600.0

CLAIMED = "claimed"
RAN = "ran"
DID_NOT_RUN = "did-not-run"


@dataclasses.dataclass(frozen=True)
class Claim:
    """The attempt that may run a request and, later, its outcome.

    :ivar attempt_id: the only attempt that may run the request.
    :ivar fingerprint: hash of the request; detects a key that is reused
        for a different request.
    :ivar state: ``claimed``, ``ran`` or ``did-not-run``.
    :ivar status: HTTP status of the answer.
    :ivar answer: body of the answer.
    """

    request_id: str
    account: str
    attempt_id: str
    fingerprint: str
    state: str
    status: int = 0
    content_type: str = ""
    answer: bytes = b""

    def encode(self) -> bytes:
        """Return the stored value: a line of JSON, then the answer."""
        head = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
            if field.name != "answer"
        }
        return json.dumps(head, sort_keys=True).encode() + b"\n" + self.answer


def decode(entry: store_module.Entry) -> Claim:
    """Decode the claim of a store entry."""
    head, answer = entry.value.split(b"\n", 1)
    return Claim(**json.loads(head), answer=answer)


def key_of(account: str, request_id: str) -> str:
    """Return the store key of a claim."""
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    return f"{CLAIM_PREFIX}{account}/{digest}"


class Claims:
    """Reads and writes claims in the store.

    :param retention_s: minimum time for which an outcome is kept.
    """

    def __init__(
        self,
        *,
        store: store_module.Store,
        retention_s: float,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._retention_s = retention_s
        self._clock = clock
        self._lease_id = 0
        self._lease_reused_until_s = float("-inf")
        self._lease_lock = asyncio.Lock()

    async def acquire(
        self, claim: Claim
    ) -> result.Result[store_module.Entry, errors.Fault]:
        """Create the claim, or replace one whose request did not run.

        Fails with ``Conflict`` if another attempt holds the claim.
        """
        taken = await self._write(claim, store_module.ABSENT_VERSION)
        if isinstance(taken, result.Success):
            return taken
        if not isinstance(taken.failure(), errors.Conflict):
            return taken
        found = await self.find_entry(claim.account, claim.request_id)
        if isinstance(found, result.Failure) or found.unwrap() is None:
            return taken
        entry = found.unwrap()
        other = decode(entry)
        if other.state != DID_NOT_RUN:
            return taken
        if other.fingerprint != claim.fingerprint:
            return taken
        return await self._write(claim, entry.version)

    async def settle(
        self, entry: store_module.Entry, claim: Claim
    ) -> result.Result[store_module.Entry, errors.Fault]:
        """Write the outcome of a claimed request."""
        return await self._write(claim, entry.version)

    async def withdraw(
        self, claim: Claim
    ) -> result.Result[store_module.Entry | None, errors.Fault]:
        """Record that the request of a claim did not run.

        For a claim whose write has an unknown outcome. Nothing is
        written if another attempt holds the key.
        """
        withdrawn = dataclasses.replace(claim, state=DID_NOT_RUN)
        written = await self._write(withdrawn, store_module.ABSENT_VERSION)
        if isinstance(written, result.Success):
            return written
        if not isinstance(written.failure(), errors.Conflict):
            return written
        found = await self.find_entry(claim.account, claim.request_id)
        if isinstance(found, result.Failure):
            return found
        entry = found.unwrap()
        if entry is None:
            return written
        other = decode(entry)
        if other.attempt_id != claim.attempt_id or other.state != CLAIMED:
            return result.Success(None)
        return await self._write(withdrawn, entry.version)

    async def find_entry(
        self, account: str, request_id: str
    ) -> result.Result[store_module.Entry | None, errors.Fault]:
        """Read the store entry of a request's claim; None if absent."""
        return await self._store.get(key_of(account, request_id))

    async def find(
        self, account: str, request_id: str
    ) -> result.Result[Claim | None, errors.Fault]:
        """Read the claim of a request; None if absent."""
        found = await self.find_entry(account, request_id)
        return found.map(lambda entry: decode(entry) if entry else None)

    async def _write(
        self, claim: Claim, expected_version: int
    ) -> result.Result[store_module.Entry, errors.Fault]:
        leased = await self._current_lease()
        if isinstance(leased, result.Failure):
            return leased
        written = await store_module.write_with_read_back(
            self._store,
            key_of(claim.account, claim.request_id),
            claim.encode(),
            expected_version=expected_version,
            lease_id=leased.unwrap(),
        )
        if isinstance(written, result.Failure):
            if isinstance(written.failure(), errors.OutcomeUnknown):
                self._lease_reused_until_s = float("-inf")
        return written

    async def _grant_lease(self) -> result.Result[int, errors.Fault]:
        """Request a lease, twice at most.

        A lease whose grant was not answered expires unused.
        """
        ttl_s = self._retention_s + LEASE_BUCKET_S
        granted = await self._store.grant(ttl_s)
        if isinstance(granted, result.Failure):
            granted = await self._store.grant(ttl_s)
        return granted

    async def _current_lease(self) -> result.Result[int, errors.Fault]:
        """Return the lease of this hour; request it on its first use."""
        async with self._lease_lock:
            if self._clock() < self._lease_reused_until_s:
                return result.Success(self._lease_id)
            granted = await self._grant_lease()
            if isinstance(granted, result.Failure):
                return result.Failure(
                    errors.Unreachable(
                        message="The store granted no lease for claims.",
                        remedy="Check the platform's store.",
                    )
                )
            self._lease_id = granted.unwrap()
            self._lease_reused_until_s = self._clock() + LEASE_BUCKET_S
            return granted
