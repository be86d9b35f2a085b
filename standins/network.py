"""The simulated network between data centres, and its partitions."""

from __future__ import annotations

import json
import pathlib

from standins import loopback
from standins import processes


class Network:
    """Relays traffic between data centres and partitions them.

    Workers are not relayed: they are reached only from their own data
    centre.

    :param data_centres: names of the connected data centres.
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
        """Start the relay with a route for each pair of source and VM."""
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
        loopback.until(self._send_cuts, what="relay")

    def addresses_seen_from(self, source: str, vms: list[dict]) -> list[dict]:
        """Return VMs with their addresses as used from a data centre."""
        return [self._with_relay_address(source, vm) for vm in vms]

    def _with_relay_address(self, source: str, vm: dict) -> dict:
        if not _is_relayed(source, vm):
            return vm
        host = vm["address"].rsplit(":", 1)[0]
        return {**vm, "address": f"{host}:{self._port(source, vm)}"}

    def cut(self, one: str, other: str) -> None:
        """Partition two data centres from each other."""
        self._cut.add(frozenset((one, other)))
        self._send_cuts()

    def isolate(self, data_centre: str) -> None:
        """Partition a data centre from all others."""
        for other in self._data_centres:
            if other != data_centre:
                self.cut(data_centre, other)

    def heal(self) -> None:
        """Remove all partitions."""
        self._cut.clear()
        self._send_cuts()

    def _send_cuts(self) -> bool:
        url = f"http://127.0.0.1:{self._control_port}/control"
        pairs = [sorted(pair) for pair in self._cut]
        answer = loopback.call("POST", url, document={"cut": pairs})
        return answer.status == 200

    def _port(self, source: str, vm: dict) -> int:
        route_key = (source, _port_of(vm))
        if route_key not in self._ports:
            self._ports[route_key] = loopback.free_port()
        return self._ports[route_key]


def _is_relayed(source: str, vm: dict) -> bool:
    return vm["kind"] != "worker" and vm["data_centre"] != source


def _port_of(vm: dict) -> int:
    return int(vm["address"].rsplit(":", 1)[1])
