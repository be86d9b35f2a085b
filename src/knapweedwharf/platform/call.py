"""One call to a service of the platform other than its store.

Failures: ``Unreachable`` (nothing was sent or done), ``OutcomeUnknown``
(the call may take effect, also seconds later), ``Fenced`` (a newer
owner's epoch was seen), ``OrderRefused`` (nothing was done), ``Reborn``
(another incarnation answers at the address).
"""

from __future__ import annotations

import dataclasses
import json
import urllib.parse

from returns import result

from knapweedwharf.adapters import transport as transport_module
from knapweedwharf import errors
from knapweedwharf.platform import decode

Answer = result.Result[dict, errors.Fault]

_REFUSED_STATUSES = frozenset({400, 404, 409, 429, 503})


@dataclasses.dataclass(frozen=True)
class Reborn(errors.Fault):
    """Another incarnation answers at the address."""

    code = "executor-reborn"
    http_status = 421


async def exchange(
    transport: transport_module.HttpTransport,
    *,
    method: str,
    url: str,
    timeout_s: float,
    document: object = None,
    query: dict[str, str] | None = None,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one call and read its answer's document."""
    if query:
        url += "?" + urllib.parse.urlencode(query)
    answer = await transport.exchange(
        method=method,
        url=url,
        headers={"Content-Type": "application/json", **(headers or {})},
        body=b"" if document is None else json.dumps(document).encode(),
        timeout_s=timeout_s,
    )
    if isinstance(answer, result.Failure):
        # A silent connection may have silent neighbours.
        transport.discard(url)
        return answer
    return _outcome(answer.unwrap())


def _outcome(reply: transport_module.Reply) -> Answer:
    try:
        document = decode.parse(reply.body or b"{}")
    except decode.Malformed as error:
        if reply.status == 200:
            return _unknown(f"The answer is broken: {error}.")
        document = {}
    if reply.status == 200:
        return result.Success(document)
    if reply.status == 421:
        return result.Failure(
            Reborn(
                message="Another incarnation answers at the address.",
                remedy="Wait for its new entry.",
            )
        )
    reason = str(document.get("reason", ""))
    if reply.status == 409 and reason == "fence":
        return result.Failure(
            errors.Fenced(
                message="A newer epoch was seen.",
                remedy="Stop giving orders; another VM is the owner.",
            )
        )
    if reply.status in _REFUSED_STATUSES:
        return result.Failure(
            errors.OrderRefused(
                message=f"The order was refused ({reply.status}).",
                remedy="Choose another place or try again.",
                reason=reason or ("busy" if reply.status >= 429 else "bad"),
            )
        )
    return _unknown(f"The answer has status {reply.status}.")


def _unknown(message: str) -> Answer:
    return result.Failure(
        errors.OutcomeUnknown(
            message=message,
            remedy="Find out what was done before repeating it.",
        )
    )
