"""HTTP calls to the platform's services other than its store.

Failures: ``Unreachable`` (nothing was sent or done), ``OutcomeUnknown``
(the call may take effect, even seconds later), ``Fenced`` (the service
has seen a newer owner's epoch), ``OrderRefused`` (nothing was done),
``IncarnationMismatch`` (another incarnation answered at the address).
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
class IncarnationMismatch(errors.Fault):
    """Another incarnation of the executor answered at the address."""

    code = "executor-reborn"
    http_status = 421


async def exchange(
    transport: transport_module.HttpTransport,
    *,
    method: str,
    url: str,
    timeout_s: float,
    silence_s: float | None = None,
    document: object = None,
    query: dict[str, str] | None = None,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send a request and return the JSON document of the response.

    :param silence_s: see ``HttpTransport.exchange``.
    """
    if query:
        url += "?" + urllib.parse.urlencode(query)
    answer = await transport.exchange(
        method=method,
        url=url,
        headers={"Content-Type": "application/json", **(headers or {})},
        body=b"" if document is None else json.dumps(document).encode(),
        timeout_s=timeout_s,
        silence_s=silence_s,
    )
    if isinstance(answer, result.Failure):
        # Other idle connections to this host may be dead as well.
        transport.close_idle(url)
        return answer
    return _interpret(answer.unwrap())


def _interpret(reply: transport_module.Reply) -> Answer:
    try:
        document = decode.parse(reply.body or b"{}")
    except decode.Malformed as error:
        if reply.status == 200:
            return _outcome_unknown(f"The response is malformed: {error}.")
        document = {}
    if reply.status == 200:
        return result.Success(document)
    if reply.status == 421:
        return result.Failure(
            IncarnationMismatch(
                message="Another incarnation answered at the address.",
                remedy="Wait until its entry is in the store.",
            )
        )
    reason = str(document.get("reason", ""))
    if reply.status == 409 and reason == "fence":
        return result.Failure(
            errors.Fenced(
                message="The service has seen a newer epoch.",
                remedy="Stop sending orders; another VM is the owner.",
            )
        )
    if reply.status in _REFUSED_STATUSES:
        return result.Failure(
            errors.OrderRefused(
                message=f"The service refused the order ({reply.status}).",
                remedy="Choose another target or try again.",
                reason=reason or ("busy" if reply.status >= 429 else "bad"),
            )
        )
    return _outcome_unknown(
        f"The response has the unexpected status {reply.status}."
    )


def _outcome_unknown(message: str) -> Answer:
    return result.Failure(
        errors.OutcomeUnknown(
            message=message,
            remedy="Check what was done before repeating the call.",
        )
    )
