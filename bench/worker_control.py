"""Bytes and processor time of one worker renewal.

The stand-in worker runs in a process of its own. Bytes are counted by
a relay, with those of TCP and IP added for each segment that a
connection of its own needs.
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
SEGMENTS = 10
_CLOSING_S = 0.2
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
    """Passes connections on and counts the bytes both ways."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self.count = 0

    async def serve(self) -> asyncio.Server:
        """Listen on a free port."""
        return await asyncio.start_server(self._pass, "127.0.0.1", 0)

    async def _pass(self, reader, writer) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            "127.0.0.1", self._target_port
        )
        await asyncio.gather(
            self._copy(reader, far_writer), self._copy(far_reader, writer)
        )

    async def _copy(self, reader, writer) -> None:
        while data := await reader.read(65_536):
            self.count += len(data)
            writer.write(data)
        writer.close()


async def _renew(address: str, times: int) -> float:
    """Make renewals; return the processor time of one."""
    worker = worker_module.HttpWorker(SETTINGS)
    state = (await worker.seal(address, epoch=1)).unwrap()
    order = worker_module.RenewalOrder(
        lease_s=SETTINGS.worker_lease_s,
        as_of_s=state.clock_s,
        after_sequence=0,
        wait_s=0.001,
    )
    began_s = time.process_time()
    for _number in range(times):
        (await worker.renew(address, epoch=1, order=order)).unwrap()
    used_s = time.process_time() - began_s
    worker.close()
    return used_s / times


async def _measure(port: int) -> tuple[float, float]:
    used_s = await _renew(f"http://127.0.0.1:{port}/w1", RENEWALS)
    relay = Relay(port)
    server = await relay.serve()
    relayed_port = server.sockets[0].getsockname()[1]
    address = f"http://127.0.0.1:{relayed_port}/w1"
    await _renew(address, 1)
    before = relay.count
    await _renew(address, 2)
    await asyncio.sleep(_CLOSING_S)
    server.close()
    # Both runs contain one seal; they differ by one renewal.
    return used_s, relay.count - 2 * before


def _start_worker(port: int, folder: str) -> subprocess.Popen:
    listed = pathlib.Path(folder) / "workers.json"
    listed.write_text(json.dumps([_WORKER]))
    command = [sys.executable, "-m", "standins.worker"]
    process = subprocess.Popen(
        [*command, f"--port={port}", f"--workers={listed}"],
        env=dict(os.environ),
    )
    url = f"http://127.0.0.1:{port}/w1/control"
    fleet_module.until(
        lambda: fleet_module.http("GET", url).status == 200, what="worker"
    )
    return process


@bench.BENCHES.register("worker-control")
def worker_control() -> list[bench.Figure]:
    """Work a data centre's renewals out from one exchange."""
    port = fleet_module.free_port()
    with tempfile.TemporaryDirectory() as folder:
        process = _start_worker(port, folder)
        try:
            used_s, difference = asyncio.run(_measure(port))
        finally:
            process.terminate()
            process.wait()
    return _figures(used_s, difference)


def _figures(used_s: float, payload_bytes: float) -> list[bench.Figure]:
    wire_bytes = payload_bytes + SEGMENTS * SEGMENT_HEADER_BYTES
    per_s = WORKERS_PER_DATA_CENTRE / SETTINGS.worker_renewal_s
    wire_per_s = wire_bytes * per_s
    share = used_s * per_s
    return [
        bench.Figure("renewal, HTTP bytes both ways", payload_bytes, "B"),
        bench.Figure("renewal, with TCP and IP", wire_bytes, "B"),
        bench.Figure("renewal, processor time", used_s * 1e3, "ms"),
        bench.Figure(
            name=f"{WORKERS_PER_DATA_CENTRE} workers on one node",
            value=wire_per_s,
            unit="B/s",
            target=f"at most {TARGET_BYTES_PER_S:.0f}",
            met=wire_per_s <= TARGET_BYTES_PER_S,
        ),
        bench.Figure(
            name="share of a core",
            value=share * 100,
            unit="%",
            target=f"at most {TARGET_CORE_SHARE * 100:.1f}",
            met=share <= TARGET_CORE_SHARE,
        ),
    ]
