"""The platform's list of VMs: interface, registry and HTTP client.

The list lags behind the VMs' real state.
"""

from __future__ import annotations

import dataclasses
import json
import typing

from returns import result

from knapweedwharf.adapters import transport
from knapweedwharf import codec
from knapweedwharf import errors
from knapweedwharf import registry
from knapweedwharf import settings as settings_module

_MAX_LIST_BYTES = 4 * 1024 * 1024
_OK = 200
_NOT_MODIFIED = 304

ENTRY_KIND = "entry"
WORKER_KIND = "worker"
EXECUTOR_KIND = "executor"


@dataclasses.dataclass(frozen=True)
class Vm:
    """One VM as the platform lists it; the list is some seconds old.

    :ivar kind: ``entry``, ``worker`` or ``executor``.
    :ivar address: base URL, or IP:port for entry VMs.
    :ivar leaving: the platform is about to remove the VM.
    :ivar service_names: services that an executor can run.
    """

    vm_id: str
    kind: str
    data_centre: str
    address: str
    rack: str = ""
    leaving: bool = False
    service_names: tuple[str, ...] = ()


class Directory(typing.Protocol):
    """Reads the list of VMs."""

    async def list_vms(self) -> result.Result[list[Vm], errors.Fault]:
        """Return every VM that the platform lists."""

    def close(self) -> None:
        """Close connections."""


Factory = typing.Callable[[settings_module.Settings], Directory]
DIRECTORIES: registry.Registry[Factory] = registry.Registry(
    subject="directory"
)


@DIRECTORIES.register("http-json")
class HttpDirectory:
    """Reads ``GET /vms``: a JSON list of objects like :class:`Vm`.

    The list is transferred only if its entity tag has changed.
    """

    def __init__(self, settings: settings_module.Settings) -> None:
        self._url = settings.platform_url.rstrip("/") + "/vms"
        self._timeout_s = settings.store_timeout_s
        self._transport = transport.HttpTransport(
            max_body_bytes=_MAX_LIST_BYTES
        )
        self._entity_tag = ""
        self._vms: list[Vm] = []

    def close(self) -> None:
        """Close connections."""
        self._transport.close()

    async def list_vms(self) -> result.Result[list[Vm], errors.Fault]:
        """Return every VM that the platform lists."""
        conditional = {"If-None-Match": self._entity_tag}
        outcome = await self._transport.exchange(
            method="GET",
            url=self._url,
            headers=conditional if self._entity_tag else None,
            timeout_s=self._timeout_s,
        )
        if isinstance(outcome, result.Failure):
            return outcome
        reply = outcome.unwrap()
        if reply.status == _NOT_MODIFIED:
            return result.Success(self._vms)
        parsed = _parse(reply)
        if isinstance(parsed, result.Success):
            self._entity_tag = reply.headers.get("etag", "")
            self._vms = parsed.unwrap()
        return parsed


def _parse(reply: transport.Reply) -> result.Result[list[Vm], errors.Fault]:
    try:
        if reply.status != _OK:
            raise ValueError(f"status {reply.status}")
        return result.Success(
            [_build_vm(item) for item in json.loads(reply.body)]
        )
    except codec.UNDECODABLE as error:
        return result.Failure(
            errors.OutcomeUnknown(
                message=f"Cannot parse the list of VMs: {error!r}.",
                remedy="Check the document that the platform serves at /vms.",
            )
        )


def _build_vm(item: dict) -> Vm:
    return Vm(
        vm_id=item["vm_id"],
        kind=item["kind"],
        data_centre=item["data_centre"],
        address=item["address"],
        rack=item.get("rack", ""),
        leaving=bool(item.get("leaving", False)),
        service_names=tuple(item.get("service_names", ())),
    )
