"""Claims that make a non-idempotent request run at most once.

A claim is created in the store before the first byte goes out; a
retry with the same key finds it there, on whichever VM it arrives.
"""

from __future__ import annotations

import base64
import dataclasses
import hashlib
import json

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf import errors

CLAIM_PREFIX = "/knapweedwharf/claims/"
MAX_KEPT_ANSWER_BYTES = 262_144

CLAIMED = "claimed"
RAN = "ran"
DID_NOT_RUN = "did-not-run"


@dataclasses.dataclass(frozen=True)
class Claim:
    """Who may run a request and, later, what it answered.

    :ivar attempt_id: the one attempt that may run it.
    :ivar body_sha256: hash of the request, to refuse a reused key.
    """

    request_id: str
    account: str
    attempt_id: str
    body_sha256: str
    state: str
    status: int = 0
    content_type: str = ""
    answer_base64: str = ""

    def encode(self) -> bytes:
        """Return the claim's value in the store."""
        return json.dumps(dataclasses.asdict(self), sort_keys=True).encode()

    @property
    def answer(self) -> bytes:
        """The kept body of the answer."""
        return base64.b64decode(self.answer_base64)


def key_of(account: str, request_id: str) -> str:
    """Return the store key of a claim."""
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    return f"{CLAIM_PREFIX}{account}/{digest}"


def decode(entry: store_module.Entry) -> Claim:
    """Read a claim from its entry."""
    return Claim(**json.loads(entry.value))


async def take(
    store: store_module.Store, claim: Claim
) -> result.Result[store_module.Entry, errors.Fault]:
    """Create the claim; ``Conflict`` if someone holds it."""
    return await store_module.write_certain(
        store,
        key_of(claim.account, claim.request_id),
        claim.encode(),
        expected_version=store_module.ABSENT_VERSION,
    )


async def settle(
    store: store_module.Store, entry: store_module.Entry, claim: Claim
) -> result.Result[store_module.Entry, errors.Fault]:
    """Write what became of a claimed request."""
    return await store_module.write_certain(
        store, entry.key, claim.encode(), expected_version=entry.version
    )


async def find(
    store: store_module.Store, account: str, request_id: str
) -> result.Result[Claim | None, errors.Fault]:
    """Read a claim back by the request's id."""
    found = await store.get(key_of(account, request_id))
    return found.map(lambda entry: decode(entry) if entry else None)
