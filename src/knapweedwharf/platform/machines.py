"""Client of the platform's machines; see ``call`` for its failures."""

from __future__ import annotations

from returns import result

from knapweedwharf.adapters import transport as transport_module
from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf.platform import call
from knapweedwharf.platform import decode

MAX_ANSWER_BYTES = 1024 * 1024
"""A page of machines of some 200 bytes each, several times over."""


class Machines:
    """Lists machines and gives orders for them over HTTP.

    :param address: IP:port; empty where the deployment has none.
    :param holder: name under which orders are given.
    :param timeout_s: how long one call may take.
    """

    def __init__(self, address: str, *, holder: str, timeout_s: float) -> None:
        self._address = address
        self._holder = holder
        self._timeout_s = timeout_s
        self._transport = transport_module.HttpTransport(
            max_body_bytes=MAX_ANSWER_BYTES, reuse=True
        )

    def close(self) -> None:
        """Close every connection."""
        self._transport.close()

    async def list(
        self,
    ) -> result.Result[tuple[model.Machine, ...], errors.Fault]:
        """Read every machine of every pool."""
        found: list[model.Machine] = []
        query: dict[str, str] = {}
        while True:
            answer = await self._call("GET", "/machines", query=query)
            if isinstance(answer, result.Failure):
                return answer
            document = answer.unwrap()
            try:
                found.extend(decode.machines(document))
            except decode.Malformed as error:
                return result.Failure(
                    errors.OutcomeUnknown(
                        message=f"The list of machines is broken: {error}.",
                        remedy="Read it again.",
                    )
                )
            token = document.get("next_token")
            if not token:
                return result.Success(tuple(found))
            query = {"page_token": str(token)}

    async def move(
        self, machine_id: str, pool: str, *, epoch: int
    ) -> result.Result[None, errors.Fault]:
        """Move a machine to another pool; what runs on it ends."""
        document = {"machine": machine_id, "pool": pool}
        answer = await self._call(
            "POST", "/machine-move", document=document, epoch=epoch
        )
        return answer.map(lambda _body: None)

    async def maintain(
        self, machine_id: str, wave: int, *, epoch: int
    ) -> result.Result[None, errors.Fault]:
        """Begin a machine's maintenance; what runs on it ends.

        It succeeds too where the maintenance was done before.
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
    ) -> call.Answer:
        if not self._address:
            return result.Failure(
                errors.Unreachable(
                    message="The settings name no service for machines.",
                    remedy="Set its address.",
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
        )
