"""HTTP client of the platform's executors; ``call`` lists the failures."""

from __future__ import annotations

from returns import result

from knapweedwharf.adapters import transport as transport_module
from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf.platform import call
from knapweedwharf.platform import decode

MAX_ANSWER_BYTES = 1024 * 1024
"""Holds 500 ended and 500 current runs, each under 200 bytes, several times
over."""

REPORT_SILENCE_S = 0.7
"""Longest silence within a report. After a take-over, the reports of all
executors share the owner's link."""


class Executors:
    """Sends orders to executors over persistent HTTP connections."""

    def __init__(self) -> None:
        self._transport = transport_module.HttpTransport(
            max_body_bytes=MAX_ANSWER_BYTES, reuse=True
        )

    def close(self) -> None:
        """Close all connections."""
        self._transport.close()

    async def renew(
        self,
        executor: model.Executor,
        *,
        epoch: int,
        lease_until_ms: int,
        acknowledged_end: int,
        wait_s: float,
        timeout_s: float,
    ) -> result.Result[model.Report, errors.Fault]:
        """Extend the lease of all runs and read current and ended runs.

        :param lease_until_ms: expiry on the executor's clock; 0 leaves the
            lease unchanged.
        :param acknowledged_end: number of the last end that has been stored.
        :param wait_s: how long the executor may wait for the next end; 0
            makes it answer at once.
        :param timeout_s: time in addition to ``wait_s`` until the report
            begins.
        """
        document = {"fencing_token": epoch, "ack_cursor": acknowledged_end}
        if lease_until_ms:
            document["deadline_ms"] = lease_until_ms
        if wait_s:
            document["wait_ms"] = int(wait_s * 1000)
        answer = await self._call(
            executor,
            "/hold",
            document,
            wait_s + timeout_s,
            silence_s=max(timeout_s, REPORT_SILENCE_S),
        )
        return answer.bind(_decode_report)

    async def start(
        self,
        executor: model.Executor,
        order: model.StartOrder,
        *,
        timeout_s: float,
    ) -> result.Result[int, errors.Fault]:
        """Start a run; return the executor's clock in milliseconds."""
        document = {
            "task": order.task_id,
            "run": order.run,
            "specification": order.specification,
            "deadline_ms": order.not_after_ms,
            "fencing_token": order.epoch,
        }
        if order.checkpoint:
            document["checkpoint"] = order.checkpoint
        if order.ticket:
            document["ticket"] = order.ticket
        answer = await self._call(executor, "/run-start", document, timeout_s)
        return answer.map(_clock_ms)

    async def stop(
        self,
        executor: model.Executor,
        *,
        task_id: str,
        run: int,
        epoch: int,
        timeout_s: float,
    ) -> result.Result[int, errors.Fault]:
        """Stop a run, or prevent a later start of it."""
        document = {"task": task_id, "run": run, "fencing_token": epoch}
        answer = await self._call(executor, "/run-stop", document, timeout_s)
        return answer.map(_clock_ms)

    async def pace(
        self,
        executor: model.Executor,
        *,
        task_id: str,
        run: int,
        percent: int,
        epoch: int,
        timeout_s: float,
    ) -> result.Result[int, errors.Fault]:
        """Throttle a run to a percentage of its full speed, 0 to 100."""
        document = {
            "task": task_id,
            "run": run,
            "percentage": percent,
            "fencing_token": epoch,
        }
        answer = await self._call(executor, "/pace", document, timeout_s)
        return answer.map(_clock_ms)

    async def _call(
        self,
        executor: model.Executor,
        path: str,
        document: object,
        timeout_s: float,
        silence_s: float | None = None,
    ) -> call.Answer:
        return await call.exchange(
            self._transport,
            method="POST",
            url=f"http://{executor.address}{path}",
            document=document,
            headers={"X-Expected-Instance": executor.executor_id},
            timeout_s=timeout_s,
            silence_s=silence_s,
        )


def _clock_ms(document: dict) -> int:
    return document.get("clock_ms", 0)


def _decode_report(
    document: dict,
) -> result.Result[model.Report, errors.Fault]:
    try:
        return result.Success(decode.report(document))
    except decode.Malformed as error:
        return result.Failure(
            errors.OutcomeUnknown(
                message=f"The executor's report is malformed: {error}.",
                remedy="Repeat the request.",
            )
        )
