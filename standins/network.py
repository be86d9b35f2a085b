"""The network between the data centres of a fleet, and its cuts."""

from __future__ import annotations

import json
import pathlib

from standins import loopback
from standins import processes


class Network:
    """Relays between data centres; a worker is local to its own.

    :param data_centres: names of those that are joined.
    """

    def __init__(self, data_centres: list[str]) -> None:
        self._data_centres = data_centres
        self._control_port = loopback.free_port()
        self._ports: dict[tuple[str, int], int] = {}
        self._cut: set[frozenset[str]] = set()

    def start(
        self,
        started: processes.Processes,
        *,
        vms: list[dict],
        scratch: pathlib.Path,
    ) -> None:
        """Start the relay for every way between data centres."""
        routes = [
            {
                "port": self._port(source, vm),
                "target_port": _port_of(vm),
                "source": source,
                "destination": vm["data_centre"],
            }
            for source in self._data_centres
            for vm in vms
            if _is_relayed(source, vm)
        ]
        path = scratch / "routes.json"
        path.write_text(json.dumps(routes))
        started.start(
            "standins.relay",
            f"--port={self._control_port}",
            f"--routes={path}",
            log_name="relay",
        )
        loopback.until(self._tell, what="relay")

    def seen_from(self, source: str, vms: list[dict]) -> list[dict]:
        """Return VMs with the addresses that lead there from a place."""
        return [self._as_seen(source, vm) for vm in vms]

    def _as_seen(self, source: str, vm: dict) -> dict:
        if not _is_relayed(source, vm):
            return vm
        host = vm["address"].rsplit(":", 1)[0]
        return {**vm, "address": f"{host}:{self._port(source, vm)}"}

    def cut(self, one: str, other: str) -> None:
        """Cut two data centres from each other."""
        self._cut.add(frozenset((one, other)))
        self._tell()

    def isolate(self, data_centre: str) -> None:
        """Cut a data centre from all others."""
        for other in self._data_centres:
            if other != data_centre:
                self.cut(data_centre, other)

    def join(self) -> None:
        """Take every cut away."""
        self._cut.clear()
        self._tell()

    def _tell(self) -> bool:
        url = f"http://127.0.0.1:{self._control_port}/control"
        pairs = [sorted(pair) for pair in self._cut]
        answer = loopback.call("POST", url, document={"cut": pairs})
        return answer.status == 200

    def _port(self, source: str, vm: dict) -> int:
        way = (source, _port_of(vm))
        if way not in self._ports:
            self._ports[way] = loopback.free_port()
        return self._ports[way]


def _is_relayed(source: str, vm: dict) -> bool:
    return vm["kind"] != "worker" and vm["data_centre"] != source


def _port_of(vm: dict) -> int:
    return int(vm["address"].rsplit(":", 1)[1])
