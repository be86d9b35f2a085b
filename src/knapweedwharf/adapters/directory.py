"""The platform's lagging list of VMs: interface, registry, HTTP kind."""

from __future__ import annotations

import dataclasses
import typing

from returns import result

from knapweedwharf.adapters import transport
from knapweedwharf import errors
from knapweedwharf import registry
from knapweedwharf import settings as settings_module

_MAX_LIST_BYTES = 4 * 1024 * 1024

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
    """Reads ``GET /vms``: a JSON list of objects like :class:`Vm`."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self._url = settings.platform_url.rstrip("/") + "/vms"
        self._timeout_s = settings.store_timeout_s
        self._transport = transport.HttpTransport(
            max_body_bytes=_MAX_LIST_BYTES
        )

    def close(self) -> None:
        """Close connections."""
        self._transport.close()

    async def list_vms(self) -> result.Result[list[Vm], errors.Fault]:
        """Return every VM the platform knows of."""
        answer = await self._transport.get_json(
            self._url, timeout_s=self._timeout_s
        )
        return answer.bind(_parse)


def _parse(document: typing.Any) -> result.Result[list[Vm], errors.Fault]:
    try:
        return result.Success([_vm(item) for item in document])
    except (KeyError, TypeError):
        return result.Failure(
            errors.OutcomeUnknown(
                message="The list of VMs cannot be read.",
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
