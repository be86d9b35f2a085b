"""Traffic and processor time of renewing a worker's lease.

The simulated worker runs in a separate process. A relay counts the
bytes of the payload; TCP and IP headers are added for each segment of a
connection that carries a single renewal.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import bench
from knapweedwharf.adapters import worker as worker_module
from knapweedwharf import settings as settings_module
from standins import fleet as fleet_module

RENEWALS = 400
WORKERS_PER_DATA_CENTRE = 136
SEGMENTS_PER_RENEWAL = 10
_CLOSE_WAIT_S = 0.2
SEGMENT_HEADER_BYTES = 52
TARGET_BYTES_PER_S = 3_000.0
TARGET_CORE_SHARE = 0.012
SETTINGS = settings_module.Settings(
    node_id="vm",
    data_centre="dc",
    http_address="127.0.0.1:1",
    peer_address="127.0.0.1:2",
    platform_url="http://127.0.0.1:3",
    peer_key="a-key-for-benches-only",
)
_WORKER = {
    "worker_id": "w1",
    "rack": "r",
    "data_centre": "dc",
    "accelerators": 8,
    "cores": 32,
    "memory_mib": 131_072,
}


class Relay:
    """Forwards connections and counts the bytes in both directions."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self.byte_count = 0

    async def serve(self) -> asyncio.Server:
        """Listen on a free port and return the server."""
        return await asyncio.start_server(self._forward, "127.0.0.1", 0)

    async def _forward(self, reader, writer) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self._target_port
        )
        await asyncio.gather(
            self._copy(reader, target_writer),
            self._copy(target_reader, writer),
        )

    async def _copy(self, reader, writer) -> None:
        while data := await reader.read(65_536):
            self.byte_count += len(data)
            writer.write(data)
        writer.close()


async def _renew(address: str, count: int) -> float:
    """Renew the lease several times; return the processor time of one."""
    worker = worker_module.HttpWorker(SETTINGS)
    state = (await worker.seal(address, epoch=1)).unwrap()
    order = worker_module.RenewalRequest(
        lease_s=SETTINGS.worker_lease_s,
        as_of_s=state.clock_s,
        after_sequence=0,
        wait_s=0.001,
    )
    started_s = time.process_time()
    for _number in range(count):
        (await worker.renew(address, epoch=1, order=order)).unwrap()
    processor_s = time.process_time() - started_s
    worker.close()
    return processor_s / count


async def _measure(port: int) -> tuple[float, float]:
    processor_s = await _renew(f"http://127.0.0.1:{port}/w1", RENEWALS)
    relay = Relay(port)
    server = await relay.serve()
    relayed_port = server.sockets[0].getsockname()[1]
    address = f"http://127.0.0.1:{relayed_port}/w1"
    await _renew(address, 1)
    single_bytes = relay.byte_count
    await _renew(address, 2)
    await asyncio.sleep(_CLOSE_WAIT_S)
    server.close()
    # Both runs seal the worker once, so they differ by one renewal.
    return processor_s, relay.byte_count - 2 * single_bytes


def _start_worker(port: int, folder: str) -> subprocess.Popen:
    workers_file = pathlib.Path(folder) / "workers.json"
    workers_file.write_text(json.dumps([_WORKER]))
    command = [sys.executable, "-m", "standins.worker"]
    process = subprocess.Popen(
        [*command, f"--port={port}", f"--workers={workers_file}"],
        env=dict(os.environ),
    )
    url = f"http://127.0.0.1:{port}/w1/control"
    fleet_module.until(
        lambda: fleet_module.http("GET", url).status == 200, what="worker"
    )
    return process


@bench.BENCHMARKS.register("worker-control")
def worker_control() -> list[bench.Figure]:
    """Calculate the cost of a data centre's renewals from that of one."""
    port = fleet_module.free_port()
    with tempfile.TemporaryDirectory() as folder:
        process = _start_worker(port, folder)
        try:
            processor_s, renewal_bytes = asyncio.run(_measure(port))
        finally:
            process.terminate()
            process.wait()
    return _figures(processor_s, renewal_bytes)


def _figures(processor_s: float, payload_bytes: float) -> list[bench.Figure]:
    wire_bytes = payload_bytes + SEGMENTS_PER_RENEWAL * SEGMENT_HEADER_BYTES
    renewals_per_s = WORKERS_PER_DATA_CENTRE / SETTINGS.worker_renewal_s
    wire_per_s = wire_bytes * renewals_per_s
    core_share = processor_s * renewals_per_s
    return [
        bench.Figure("renewal, HTTP bytes both ways", payload_bytes, "B"),
        bench.Figure("renewal, with TCP and IP", wire_bytes, "B"),
        bench.Figure("renewal, processor time", processor_s * 1e3, "ms"),
        bench.Figure(
            name=f"{WORKERS_PER_DATA_CENTRE} workers on one node",
            value=wire_per_s,
            unit="B/s",
            target=f"at most {TARGET_BYTES_PER_S:.0f}",
            met=wire_per_s <= TARGET_BYTES_PER_S,
        ),
        bench.Figure(
            name="share of a core",
            value=core_share * 100,
            unit="%",
            target=f"at most {TARGET_CORE_SHARE * 100:.1f}",
            met=core_share <= TARGET_CORE_SHARE,
        ),
    ]
