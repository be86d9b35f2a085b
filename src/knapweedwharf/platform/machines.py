"""HTTP client of the platform's machines; ``call`` lists the failures."""

from __future__ import annotations

from returns import result

from knapweedwharf.adapters import transport as transport_module
from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf import log
from knapweedwharf.platform import call
from knapweedwharf.platform import decode

MAX_ANSWER_BYTES = 1024 * 1024
"""Holds a page of machines of about 200 bytes each several times over."""


class Machines:
    """Lists machines and sends orders for them over HTTP.

    :param address: IP:port; empty if the deployment has no such service.
    :param holder: node id that identifies the sender of orders.
    :param timeout_s: timeout of one call; of a page of the list, only its
        longest silence.
    """

    def __init__(self, address: str, *, holder: str, timeout_s: float) -> None:
        self._address = address
        self._holder = holder
        self._timeout_s = timeout_s
        self._log = log.get("machines")
        self._odd_rows = 0
        self._transport = transport_module.HttpTransport(
            max_body_bytes=MAX_ANSWER_BYTES, reuse=True
        )

    def close(self) -> None:
        """Close all connections."""
        self._transport.close()

    async def list(
        self,
    ) -> result.Result[tuple[model.Machine, ...], errors.Fault]:
        """Return all machines of all pools; odd rows are left out."""
        found: dict[str, model.Machine] = {}
        odd_rows = 0
        query: dict[str, str] = {}
        tokens: set[str] = set()
        while True:
            answer = await self._call(
                "GET", "/machines", query=query, silence_s=self._timeout_s
            )
            if isinstance(answer, result.Failure):
                return answer
            document = answer.unwrap()
            try:
                machines, odd = decode.machines(document)
                token = decode.next_token(document)
            except decode.Malformed as error:
                return _malformed(str(error))
            found.update((m.machine_id, m) for m in machines)
            odd_rows += odd
            if not token:
                break
            if token in tokens:
                return _malformed("a page follows itself")
            tokens.add(token)
            query = {"page_token": token}
        if odd_rows != self._odd_rows:
            self._log.warning("machine-rows-odd", rows=odd_rows)
        self._odd_rows = odd_rows
        return result.Success(tuple(found.values()))

    async def move(
        self, machine_id: str, pool: str, *, epoch: int
    ) -> result.Result[None, errors.Fault]:
        """Move a machine to another pool, which ends all runs on it."""
        document = {"machine": machine_id, "pool": pool}
        answer = await self._call(
            "POST", "/machine-move", document=document, epoch=epoch
        )
        return answer.map(lambda _body: None)

    async def maintain(
        self, machine_id: str, wave: int, *, epoch: int
    ) -> result.Result[None, errors.Fault]:
        """Start a machine's maintenance, which ends all runs on it.

        Also succeeds if the maintenance has already been done.
        """
        document = {"machine": machine_id, "wave": wave}
        answer = await self._call(
            "POST", "/machine-upkeep", document=document, epoch=epoch
        )
        return answer.map(lambda _body: None)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        document: object = None,
        query: dict[str, str] | None = None,
        epoch: int = 0,
        silence_s: float | None = None,
    ) -> call.Answer:
        if not self._address:
            return result.Failure(
                errors.Unreachable(
                    message="No service for machines is configured.",
                    remedy="Set the service's address.",
                )
            )
        headers = {}
        if epoch:
            headers["X-Duty-Holder"] = self._holder
            headers["X-Fencing-Token"] = str(epoch)
        return await call.exchange(
            self._transport,
            method=method,
            url=f"http://{self._address}{path}",
            document=document,
            query=query,
            headers=headers,
            timeout_s=self._timeout_s,
            silence_s=silence_s,
        )


def _malformed(why: str) -> result.Failure:
    return result.Failure(
        errors.OutcomeUnknown(
            message=f"The list of machines is malformed: {why}.",
            remedy="List the machines again.",
        )
    )
