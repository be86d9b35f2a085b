"""HTTP client of the advisor, which approves executors for a step."""

from __future__ import annotations

from returns import result

from knapweedwharf.adapters import transport as transport_module
from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf.platform import call
from knapweedwharf.platform import decode

MAX_ANSWER_BYTES = 64 * 1024
"""Holds 100 rows of two short strings several times over."""


class Advisor:
    """Client of the advisor, which handles one call at a time.

    :param address: IP:port; empty if the deployment has no advisor.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._transport = transport_module.HttpTransport(
            max_body_bytes=MAX_ANSWER_BYTES, reuse=True
        )

    def close(self) -> None:
        """Close all connections."""
        self._transport.close()

    async def approve(
        self, step_id: str, executor_ids: list[str], *, timeout_s: float
    ) -> result.Result[model.Approval, errors.Fault]:
        """Return which of up to 100 executors may run a step."""
        if not self._address:
            return result.Failure(
                errors.Unreachable(
                    message="No advisor is configured.",
                    remedy="Set the advisor's address.",
                )
            )
        answer = await call.exchange(
            self._transport,
            method="POST",
            url=f"http://{self._address}/advise",
            document={"phase": step_id, "workers": executor_ids},
            timeout_s=timeout_s,
        )
        return answer.bind(_decode_approval)


def _decode_approval(
    document: dict,
) -> result.Result[model.Approval, errors.Fault]:
    try:
        return result.Success(decode.approval(document))
    except decode.Malformed as error:
        return result.Failure(
            errors.OutcomeUnknown(
                message=f"The advisor's response is malformed: {error}.",
                remedy="Repeat the request.",
            )
        )
