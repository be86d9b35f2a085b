"""Client of the platform's executors; see ``call`` for its failures."""

from __future__ import annotations

from returns import result

from knapweedwharf.adapters import transport as transport_module
from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf.platform import call
from knapweedwharf.platform import decode

MAX_ANSWER_BYTES = 1024 * 1024
"""500 ends and as many runs of under 200 bytes, several times over."""

_WAIT_SLACK_S = 0.7
"""How much later than its wait a renewal is taken for unanswered."""


class Executors:
    """Orders to executors over HTTP, on kept connections.

    :param timeout_s: how long one order may take.
    """

    def __init__(self, *, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._transport = transport_module.HttpTransport(
            max_body_bytes=MAX_ANSWER_BYTES, reuse=True
        )

    def close(self) -> None:
        """Close every connection."""
        self._transport.close()

    async def renew(
        self,
        executor: model.Executor,
        *,
        epoch: int,
        lease_until_ms: int,
        noted_end: int,
        wait_s: float,
        timeout_s: float = 0.0,
    ) -> result.Result[model.Report, errors.Fault]:
        """Extend the lease of all runs and read what runs and ended.

        :param lease_until_ms: on the executor's clock; 0 leaves it.
        :param noted_end: number up to which ends are stored.
        :param wait_s: answer at once where 0, else at the next end.
        :param timeout_s: beside the wait; 0 takes the usual one.
        """
        document = {"fencing_token": epoch, "ack_cursor": noted_end}
        if lease_until_ms:
            document["deadline_ms"] = lease_until_ms
        if wait_s:
            document["wait_ms"] = int(wait_s * 1000)
        answer = await self._call(
            executor, "/hold", document, wait_s + (timeout_s or _WAIT_SLACK_S)
        )
        return answer.bind(_report)

    async def start(
        self, executor: model.Executor, order: model.Order
    ) -> result.Result[int, errors.Fault]:
        """Start a run; returns the executor's clock."""
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
        answer = await self._call(executor, "/run-start", document)
        return answer.map(_clock_ms)

    async def stop(
        self,
        executor: model.Executor,
        *,
        task_id: str,
        run: int,
        epoch: int,
    ) -> result.Result[int, errors.Fault]:
        """Stop a run, or keep it from ever starting."""
        document = {"task": task_id, "run": run, "fencing_token": epoch}
        answer = await self._call(executor, "/run-stop", document)
        return answer.map(_clock_ms)

    async def pace(
        self,
        executor: model.Executor,
        *,
        task_id: str,
        run: int,
        percent: int,
        epoch: int,
    ) -> result.Result[int, errors.Fault]:
        """Let a run work at a share of its speed, from 0 to 100."""
        document = {
            "task": task_id,
            "run": run,
            "percentage": percent,
            "fencing_token": epoch,
        }
        answer = await self._call(executor, "/pace", document)
        return answer.map(_clock_ms)

    async def _call(
        self,
        executor: model.Executor,
        path: str,
        document: object,
        timeout_s: float = 0.0,
    ) -> call.Answer:
        return await call.exchange(
            self._transport,
            method="POST",
            url=f"http://{executor.address}{path}",
            document=document,
            headers={"X-Expected-Instance": executor.executor_id},
            timeout_s=timeout_s or self._timeout_s,
        )


def _clock_ms(document: dict) -> int:
    return document.get("clock_ms", 0)


def _report(document: dict) -> result.Result[model.Report, errors.Fault]:
    try:
        return result.Success(decode.report(document))
    except decode.Malformed as error:
        return result.Failure(
            errors.OutcomeUnknown(
                message=f"An executor's report is broken: {error}.",
                remedy="Ask it again.",
            )
        )
