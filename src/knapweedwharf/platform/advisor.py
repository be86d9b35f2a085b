"""Client of the service that knows which executors may run a step."""

from __future__ import annotations

from returns import result

from knapweedwharf.adapters import transport as transport_module
from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf.platform import call
from knapweedwharf.platform import decode

MAX_ANSWER_BYTES = 64 * 1024
"""100 rows of two short texts, several times over."""


class Advisor:
    """Asks the advisor over HTTP; it takes one call at a time.

    :param address: IP:port; empty where the deployment has none.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._transport = transport_module.HttpTransport(
            max_body_bytes=MAX_ANSWER_BYTES, reuse=True
        )

    def close(self) -> None:
        """Close every connection."""
        self._transport.close()

    async def approve(
        self, step_id: str, executor_ids: list[str], *, timeout_s: float
    ) -> result.Result[model.Approval, errors.Fault]:
        """Ask which of up to 100 executors may run a step."""
        if not self._address:
            return result.Failure(
                errors.Unreachable(
                    message="The settings name no advisor.",
                    remedy="Set its address.",
                )
            )
        answer = await call.exchange(
            self._transport,
            method="POST",
            url=f"http://{self._address}/advise",
            document={"phase": step_id, "workers": executor_ids},
            timeout_s=timeout_s,
        )
        return answer.bind(_approval)


def _approval(document: dict) -> result.Result[model.Approval, errors.Fault]:
    try:
        return result.Success(decode.approval(document))
    except decode.Malformed as error:
        return result.Failure(
            errors.OutcomeUnknown(
                message=f"The advisor's answer is broken: {error}.",
                remedy="Ask it again.",
            )
        )
