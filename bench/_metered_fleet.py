"""Configuration folders of any size, and a fleet with metered links.

Links to the store and to the workers pass through a relay that counts
bytes; nodes count the bytes of their own messages to peers.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
import os
import pathlib
import time

from standins import fleet as fleet_module
from standins import loopback

WORKERS_PER_RACK = 17
DATA_CENTRE = "east"
TOKEN = "plan-token"
OPERATOR_TOKEN = "plan-operator-token"
NODE_OPTIONS = {
    "owner-lease-s": "10",
    "heartbeat-interval-s": "2",
    "directory-interval-s": "1",
}
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def write_folder(
    parent: pathlib.Path, *, workers: int, teams: int = 15
) -> pathlib.Path:
    """Write a configuration folder with one data centre; return its path.

    :param teams: number of client accounts beside the operator's.
    """
    folder = parent / "folder"
    folder.mkdir()
    lines = [f'[data_centre.{DATA_CENTRE}]\nregion = "one"\n']
    racks = -(-workers // WORKERS_PER_RACK)
    for number in range(racks):
        remaining = workers - number * WORKERS_PER_RACK
        lines.append(_rack(number, min(WORKERS_PER_RACK, remaining)))
    (folder / "10-hardware.toml").write_text("\n".join(lines))
    for number in range(teams):
        text = _account(f"team-{number}", TOKEN + str(number))
        (folder / f"30-team-{number:02d}.toml").write_text(text)
    operator = _account("operator", OPERATOR_TOKEN) + 'role = "operator"\n'
    (folder / "20-operator.toml").write_text(operator)
    tokens = {f"team-{n}": TOKEN + str(n) for n in range(teams)}
    tokens["operator"] = OPERATOR_TOKEN
    (parent / "workload.json").write_text(json.dumps({"tokens": tokens}))
    return folder


def _rack(number: int, workers: int) -> str:
    return (
        f"[rack.r{number:02d}]\n"
        f'data_centre = "{DATA_CENTRE}"\n'
        f"workers = {workers}\n"
        "accelerators_per_worker = 1\n"
        "cores_per_worker = 64\n"
        "memory_mib_per_worker = 262144\n"
    )


def _account(name: str, token: str) -> str:
    digest = hashlib.sha256(token.encode()).hexdigest()
    return (
        f"[account.{name}]\n"
        f'token_sha256 = "{digest}"\n'
        "quota_accelerators = 200\n"
    )


class MeteredFleet(fleet_module.Fleet):
    """A fleet of one data centre with a byte counter on each link."""

    def __init__(self, folder: pathlib.Path, *, nodes: int) -> None:
        self._store_ports: dict[str, int] = {}
        self._workers_port = loopback.free_port()
        self._relay_port = loopback.free_port()
        super().__init__(
            folder=folder,
            data_centres=[DATA_CENTRE],
            nodes_per_data_centre=nodes,
            node_options=NODE_OPTIONS,
        )
        for node in self.nodes:
            self._store_ports[node.node_id] = loopback.free_port()

    def start(self) -> None:
        """Start the metering relay before all other processes."""
        routes = [self._route(self._workers_port, self._worker_port())]
        routes[0]["destination"] = "workers"
        for node in self.nodes:
            port = self._store_ports[node.node_id]
            target_port = self.platform_ports[DATA_CENTRE]
            routes.append(
                {
                    **self._route(port, target_port),
                    "source": node.node_id,
                    "destination": "store",
                }
            )
        path = self.scratch / "meter.json"
        path.write_text(json.dumps(routes))
        self.processes.start(
            "standins.relay",
            f"--port={self._relay_port}",
            f"--routes={path}",
            log_name="meter",
        )
        super().start()

    def _worker_port(self) -> int:
        return self.worker_ports[DATA_CENTRE]

    def _route(self, port: int, target_port: int) -> dict:
        return {"port": port, "target_port": target_port, "source": "nodes"}

    def store_url(self, node: fleet_module.NodeProcess) -> str:
        """Return the platform's URL that leads through the relay."""
        return f"http://127.0.0.1:{self._store_ports[node.node_id]}"

    def vms(self) -> list[dict]:
        """Return the VMs; addresses of workers lead through the relay."""
        return [self._with_relay_address(vm) for vm in super().vms()]

    def _with_relay_address(self, vm: dict) -> dict:
        if vm["kind"] == "worker":
            url = f"http://127.0.0.1:{self._workers_port}/{vm['vm_id']}"
            return {**vm, "address": url}
        return vm

    def link_bytes(self) -> dict[str, int]:
        """Return the bytes counted on each link so far."""
        url = f"http://127.0.0.1:{self._relay_port}/control"
        return loopback.call("GET", url).json()

    def store_calls(self) -> dict[str, int]:
        """Return the number of calls to the platform so far, by kind."""
        return self.platform("GET", "/counts").json()

    def status(self, node: fleet_module.NodeProcess) -> dict:
        """Return a node's status, or an empty dict if it doesn't answer."""
        answer = self.call(node, "GET", "/v1/status", token=OPERATOR_TOKEN)
        return answer.json() if answer.status == 200 else {}

    def owner(self) -> fleet_module.NodeProcess:
        """Wait for the node that schedules and has sealed every worker."""
        return loopback.until(
            lambda: next(
                (
                    n
                    for n in self.nodes
                    if n.running and self._is_ready_owner(n)
                ),
                None,
            ),
            what="an owner that knows all workers",
            timeout_s=120.0,
        )

    def _is_ready_owner(self, node: fleet_module.NodeProcess) -> bool:
        status = self.status(node)
        return status.get("owner_state") == "active" and (
            status.get("free_accelerators") is not None
        )


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Counters of one node and of the fleet's links at one time."""

    at_s: float
    processor_s: float
    resident_mb: float
    link_bytes: dict[str, int]
    store_calls: dict[str, int]


def snapshot(fleet: MeteredFleet, node: fleet_module.NodeProcess) -> Snapshot:
    """Return the current counters of one node and of the links."""
    process_id = node.process.pid
    stat = pathlib.Path(f"/proc/{process_id}/stat").read_text("ascii")
    fields = stat.rsplit(")", 1)[1].split()
    status = pathlib.Path(f"/proc/{process_id}/status").read_text("ascii")
    resident_line = next(
        line for line in status.splitlines() if line.startswith("VmRSS")
    )
    node_status = fleet.status(node)
    peer_bytes = (
        node_status["control_sent_bytes"]
        + node_status["control_received_bytes"]
    )
    return Snapshot(
        at_s=time.monotonic(),
        processor_s=(int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S,
        resident_mb=int(resident_line.split()[1]) / 1024,
        link_bytes={**fleet.link_bytes(), "peers": peer_bytes},
        store_calls=fleet.store_calls(),
    )
