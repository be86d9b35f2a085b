"""The platform's lagging list of VMs: interface, registry, HTTP kind."""

from __future__ import annotations

import dataclasses
import json
import typing

from returns import result

from knapweedwharf.adapters import transport
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
    """One VM as the platform lists it, some seconds late.

    :ivar kind: ``entry``, ``worker`` or ``executor``.
    :ivar address: base URL, or IP:port for entry VMs.
    :ivar leaving: the platform is about to take the VM away.
    :ivar service_names: what an executor can run.
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
        """Return every VM the platform knows of."""

    def close(self) -> None:
        """Close connections."""


Factory = typing.Callable[[settings_module.Settings], Directory]
DIRECTORIES: registry.Registry[Factory] = registry.Registry(
    subject="directory"
)


@DIRECTORIES.register("http-json")
class HttpDirectory:
    """Reads ``GET /vms``: a JSON list of objects like :class:`Vm`.

    The list travels only when its entity tag has changed.
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
        """Return every VM the platform knows of."""
        known = {"If-None-Match": self._entity_tag}
        outcome = await self._transport.exchange(
            method="GET",
            url=self._url,
            headers=known if self._entity_tag else None,
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
        return result.Success([_vm(item) for item in json.loads(reply.body)])
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return result.Failure(
            errors.OutcomeUnknown(
                message=f"The list of VMs cannot be read: {error!r}.",
                remedy="Check the platform's /vms document.",
            )
        )


def _vm(item: dict) -> Vm:
    return Vm(
        vm_id=item["vm_id"],
        kind=item["kind"],
        data_centre=item["data_centre"],
        address=item["address"],
        rack=item.get("rack", ""),
        leaving=bool(item.get("leaving", False)),
        service_names=tuple(item.get("service_names", ())),
    )
