"""A small fleet of local processes for demo, tests and benchmarks.

Starts entry VMs and the test doubles around them on loopback ports;
kills, suspends, resumes and restarts each by its process id; partitions
data centres from each other and from the platform.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
import pathlib
import subprocess
import tempfile
import typing

from knapweedwharf.configuration import folder as folder_module
from knapweedwharf.core import model
from standins import loopback
from standins import network
from standins import processes

PEER_KEY = "loopback-only-peer-key"
BOOTSTRAP_TOKEN = "bootstrap-token"

Answer = loopback.Answer
free_port = loopback.free_port
http = loopback.call
until = loopback.until


@dataclasses.dataclass
class NodeProcess:
    """Process of one entry VM."""

    node_id: str
    data_centre: str
    http_port: int
    peer_port: int
    process: subprocess.Popen | None = None

    @property
    def url(self) -> str:
        """Base URL of the node."""
        return f"http://127.0.0.1:{self.http_port}"

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None


class Fleet:
    """Entry VMs and test doubles for one sample folder.

    :param folder: configuration folder that is applied.
    :param data_centres: data centres that get entry VMs and workers.
    :param nodes_per_data_centre: number of entry VMs in each.
    :param node_options: additional command-line options of entry VMs.
    :param node_command: module of an entry VM and its first arguments.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        data_centres: list[str],
        nodes_per_data_centre: int = 1,
        executors_per_data_centre: int = 1,
        node_options: dict[str, str] | None = None,
        node_command: tuple[str, ...] = ("knapweedwharf", "serve"),
    ) -> None:
        self.folder = folder
        self.data_centres = data_centres
        self._executors_per_data_centre = executors_per_data_centre
        self._node_options = node_options or {}
        self._node_command = node_command
        self._scratch = tempfile.TemporaryDirectory(prefix="fleet-")
        self.scratch = pathlib.Path(self._scratch.name)
        self.processes = processes.Processes(self.scratch)
        self.platform_ports = {name: free_port() for name in data_centres}
        self.worker_ports = {name: free_port() for name in data_centres}
        self.worker_processes: dict[str, subprocess.Popen] = {}
        self.executor_urls: dict[str, str] = {}
        self.executor_processes: dict[str, subprocess.Popen] = {}
        self.network = network.Network(data_centres)
        self.workers = self._declared_workers()
        self.nodes = [
            NodeProcess(
                node_id=f"{name}-entry-{number}",
                data_centre=name,
                http_port=free_port(),
                peer_port=free_port(),
            )
            for name in data_centres
            for number in range(1, nodes_per_data_centre + 1)
        ]

    def _declared_workers(self) -> list[dict]:
        files = folder_module.read(self.folder).unwrap()
        loaded = folder_module.load(files, revision=0).unwrap()
        return [
            worker
            for rack in loaded.racks.values()
            if rack.data_centre in self.data_centres
            for worker in workers_of(rack)
        ]

    def start(self) -> None:
        """Start every process and wait until all entry VMs are ready."""
        for data_centre in self.data_centres:
            for number in range(1, self._executors_per_data_centre + 1):
                self._start_executor(f"{data_centre}-executor-{number}")
            self._start_workers(data_centre)
        self.network.start(
            self.processes, vms=self.vms(), scratch=self.scratch
        )
        self._start_platform()
        for node in self.nodes:
            self.start_node(node)
        for node in self.nodes:
            self.wait_ready(node)

    def _start_executor(self, vm_id: str) -> None:
        port = free_port()
        self.executor_urls[vm_id] = f"http://127.0.0.1:{port}"
        self.executor_processes[vm_id] = self.processes.start(
            "standins.executor", f"--port={port}", log_name=vm_id
        )

    def _start_workers(self, data_centre: str) -> None:
        listed = [w for w in self.workers if w["data_centre"] == data_centre]
        path = self._write(f"workers-{data_centre}.json", listed)
        self.worker_processes[data_centre] = self.processes.start(
            "standins.worker",
            f"--port={self.worker_ports[data_centre]}",
            f"--workers={path}",
            log_name=f"workers-{data_centre}",
        )

    def _start_platform(self) -> None:
        vms_file = self._write("vms.json", self.vms_by_data_centre())
        ports = [f"--port={n}={p}" for n, p in self.platform_ports.items()]
        self.processes.start(
            "standins.platform", *ports, f"--vms={vms_file}", log_name="store"
        )
        until(
            lambda: self.platform("GET", "/counts").status == 200,
            what="platform",
        )

    def close(self) -> None:
        """End all processes and delete their files."""
        self.processes.close()
        self._scratch.cleanup()

    def __enter__(self) -> Fleet:
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_error) -> None:
        self.close()

    def _write(self, name: str, document: typing.Any) -> pathlib.Path:
        path = self.scratch / name
        path.write_text(json.dumps(document))
        return path

    def vms(self) -> list[dict]:
        """Return the platform's list of VMs."""
        workers = [
            {
                "vm_id": worker["worker_id"],
                "kind": "worker",
                "data_centre": worker["data_centre"],
                "rack": worker["rack"],
                "address": self.worker_url(worker["worker_id"]),
            }
            for worker in self.workers
        ]
        executors = [
            {
                "vm_id": vm_id,
                "kind": "executor",
                "data_centre": vm_id.rsplit("-executor-", 1)[0],
                "address": url,
            }
            for vm_id, url in self.executor_urls.items()
        ]
        entries = [
            {
                "vm_id": node.node_id,
                "kind": "entry",
                "data_centre": node.data_centre,
                "address": f"127.0.0.1:{node.peer_port}",
            }
            for node in self.nodes
        ]
        return workers + executors + entries

    def vms_by_data_centre(
        self, vms: list[dict] | None = None
    ) -> dict[str, list[dict]]:
        """Return the list of VMs with the addresses for each data centre."""
        listed = self.vms() if vms is None else vms
        return {
            name: self.network.addresses_seen_from(name, listed)
            for name in self.data_centres
        }

    def list_vms(self, vms: list[dict]) -> None:
        """Replace the platform's list of VMs."""
        self.faults(vms=self.vms_by_data_centre(vms))

    def isolate(self, data_centre: str) -> None:
        """Partition a data centre from all others and the platform."""
        self.network.isolate(data_centre)
        self.faults(cut=[data_centre])

    def heal_partitions(self) -> None:
        """Remove all partitions."""
        self.network.heal()
        self.faults(cut=[])

    def worker_url(self, worker_id: str) -> str:
        """Return a worker's base URL."""
        data_centre = next(
            worker["data_centre"]
            for worker in self.workers
            if worker["worker_id"] == worker_id
        )
        port = self.worker_ports[data_centre]
        return f"http://127.0.0.1:{port}/{worker_id}"

    def start_node(self, node: NodeProcess) -> None:
        """Start one entry VM's process."""
        token_hash = hashlib.sha256(BOOTSTRAP_TOKEN.encode()).hexdigest()
        settings = {
            "node-id": node.node_id,
            "data-centre": node.data_centre,
            "http-address": f"127.0.0.1:{node.http_port}",
            "peer-address": f"127.0.0.1:{node.peer_port}",
            "platform-url": self.store_url(node),
            "peer-key": PEER_KEY,
            "operator-token-sha256": token_hash,
            "owner-lease-s": "2",
            "heartbeat-interval-s": "0.5",
            "directory-interval-s": "0.5",
            "drain-wait-s": "0.2",
            **self._node_options,
        }
        flags = [f"--{name}={value}" for name, value in settings.items()]
        node.process = self.processes.start(
            *self._node_command, *flags, log_name=node.node_id
        )

    def wait_ready(self, node: NodeProcess) -> None:
        """Wait until a node answers its readiness check."""
        until(
            lambda: http("GET", node.url + "/readyz").status == 200,
            what=f"{node.node_id} to be ready",
        )

    def signal(self, node: NodeProcess, number: int) -> None:
        """Send a signal to one node."""
        node.process.send_signal(number)

    def kill(self, node: NodeProcess) -> None:
        """Kill a node with SIGKILL."""
        processes.kill(node.process)

    def drain(self, node: NodeProcess) -> None:
        """Terminate a node with SIGTERM and wait until it has ended."""
        node.process.terminate()
        node.process.wait(processes.STOP_TIMEOUT_S * 2)

    def freeze(self, node: NodeProcess) -> None:
        """Suspend a node with SIGSTOP."""
        processes.freeze(node.process)

    def thaw(self, node: NodeProcess) -> None:
        """Resume a suspended node."""
        processes.thaw(node.process)

    def restart(self, node: NodeProcess) -> None:
        """Start an ended node again, under the same identity."""
        if not node.running:
            self.start_node(node)
        self.wait_ready(node)

    def read_log(self, name: str) -> str:
        """Return the output of a process."""
        return (self.scratch / f"{name}.log").read_text("utf-8")

    def store_url(self, node: NodeProcess) -> str:
        """Return the platform's address for a node."""
        return self.platform_url(node.data_centre)

    def platform_url(self, data_centre: str) -> str:
        """Return the platform's address for a data centre."""
        return f"http://127.0.0.1:{self.platform_ports[data_centre]}"

    def platform(
        self, method: str, path: str, document: typing.Any = None
    ) -> Answer:
        """Call the platform's interface for tests."""
        url = self.platform_url(self.data_centres[0]) + path
        return http(method, url, document=document)

    def faults(self, **switches: typing.Any) -> None:
        """Set the platform's fault switches."""
        self.platform("POST", "/control", switches)

    def worker_faults(self, worker_id: str, **switches: typing.Any) -> None:
        """Set one worker's fault switches."""
        url = self.worker_url(worker_id) + "/control"
        http("POST", url, document=switches)

    def worker_state(self, worker_id: str) -> dict:
        """Return a worker's attempts and history."""
        return http("GET", self.worker_url(worker_id) + "/control").json()

    def executor_faults(self, vm_id: str, **switches: typing.Any) -> None:
        """Set one executor's fault switches."""
        url = self.executor_urls[vm_id] + "/control"
        http("POST", url, document=switches)

    def executions(self) -> list[dict]:
        """Return the execution logs of every executor."""
        return [
            entry
            for url in self.executor_urls.values()
            for entry in http("GET", url + "/log").json()["log"]
        ]

    def call(
        self,
        node: NodeProcess,
        method: str,
        path: str,
        *,
        token: str = BOOTSTRAP_TOKEN,
        document: typing.Any = None,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Call a node's HTTP interface with a token."""
        return http(
            method,
            node.url + path,
            document=document,
            body=body,
            headers={"Authorization": f"Bearer {token}", **(headers or {})},
        )

    def apply_folder(self, node: NodeProcess) -> int:
        """Apply the sample folder; return the accepted revision."""
        files = folder_module.read(self.folder).unwrap()
        change = {"base_revision": 0, "changed": files, "message": "sample"}
        answer = self.call(node, "POST", "/v1/config", document=change)
        if answer.status != 200:
            raise RuntimeError(f"folder refused: {answer.body!r}")
        return answer.json()["revision"]

    def wait_revision(self, revision: int) -> None:
        """Wait until a revision is in force on every running node."""
        for node in self.nodes:
            if not node.running:
                continue
            until(
                lambda node=node: self._revision(node) >= revision,
                what=f"revision {revision} on {node.node_id}",
            )

    def _revision(self, node: NodeProcess) -> int:
        for token in (BOOTSTRAP_TOKEN, self.operator_token()):
            answer = self.call(node, "GET", "/v1/status", token=token)
            if answer.status == 200:
                return answer.json()["revision"]
        return -1

    def operator_token(self) -> str:
        """Return the sample folder's operator token."""
        workload = self.workload()
        files = folder_module.read(self.folder).unwrap()
        loaded = folder_module.load(files, revision=0).unwrap()
        operator = next(
            account.name
            for account in loaded.accounts.values()
            if account.role == model.ROLE_OPERATOR
        )
        return workload["tokens"][operator]

    def workload(self) -> dict:
        """Return the sample's tokens, requests and jobs."""
        return json.loads((self.folder.parent / "workload.json").read_text())


def workers_of(rack: model.RackSpec) -> list[dict]:
    """Return the workers of a declared rack."""
    return [
        {
            "worker_id": f"{rack.name}-w{number}",
            "rack": rack.name,
            "data_centre": rack.data_centre,
            "accelerators": rack.accelerators_per_worker,
            "cores": rack.cores_per_worker,
            "memory_mib": rack.memory_mib_per_worker,
        }
        for number in range(1, rack.workers + 1)
    ]
