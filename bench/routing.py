"""Cost of the way through an entry VM, against a direct call."""

from __future__ import annotations

import asyncio
import statistics
import subprocess
import sys
import time

import bench
from bench import _traffic
from knapweedwharf.adapters import transport
from standins import fleet as fleet_module

ROUNDS = 10
REQUESTS_PER_ROUND = 100
WARM_UP = 50
BODY = b"ladder 12, orchard 7, 2026-12-05"
_RUN_HEADERS = {"X-Attempt-Id": "a", "X-Request-Id": "r"}


class _Way:
    """One way to the executor, measured in turns with the others."""

    def __init__(
        self, url: str, headers: dict[str, str], *, process_id: int = 0
    ) -> None:
        self._url = url
        self._headers = headers
        self._process_id = process_id
        self._client = transport.HttpTransport(
            max_body_bytes=1_000_000, reuse=True
        )
        self.elapsed_s: list[float] = []
        self.used_s = 0.0
        self.wrong = 0

    async def turn(self, requests: int, *, counted: bool = True) -> None:
        """Send requests one after the other."""
        used_s = self._used_s()
        for _request in range(requests):
            started_s = time.perf_counter()
            outcome = await self._client.exchange(
                method="POST",
                url=self._url,
                headers=self._headers,
                body=BODY,
                timeout_s=10.0,
            )
            elapsed_s = time.perf_counter() - started_s
            reply = outcome.value_or(None)
            self.wrong += reply is None or BODY not in reply.body
            if counted:
                self.elapsed_s.append(elapsed_s)
        if counted:
            self.used_s += self._used_s() - used_s

    def _used_s(self) -> float:
        if not self._process_id:
            return 0.0
        return _traffic.processor_s(self._process_id)

    @property
    def median_ms(self) -> float:
        """Median completion time."""
        return statistics.median(self.elapsed_s) * 1000

    @property
    def per_processor_s(self) -> float:
        """Requests per second of the process's processor time."""
        return len(self.elapsed_s) / self.used_s


async def _measure(ways: dict[str, _Way]) -> None:
    for way in ways.values():
        await way.turn(WARM_UP, counted=False)
    for _round in range(ROUNDS):
        for way in ways.values():
            await way.turn(REQUESTS_PER_ROUND)


@bench.BENCHES.register("routing")
def routing() -> list[bench.Figure]:
    """Compare direct, bare pass-through and entry VM in one run."""
    with _traffic.folder() as folder, _traffic.start(folder) as fleet:
        node = fleet.nodes[0]
        fleet.wait_revision(fleet.apply_folder(node))
        direct = next(iter(fleet.executor_urls.values()))
        port = fleet_module.free_port()
        floor = subprocess.Popen(
            [sys.executable, "-m", "bench._floor"]
            + [f"--port={port}", f"--target={direct}"]
        )
        floor_url = f"http://127.0.0.1:{port}"
        token = fleet.workload()["tokens"][_traffic.CHECKER]
        bearer = {"Authorization": f"Bearer {token}"}
        services = node.url + "/v1/services"
        pid = node.process.pid
        ways = {
            "direct": _Way(direct + "/run/check", _RUN_HEADERS),
            "pass-through": _Way(
                floor_url + "/run/check", {}, process_id=floor.pid
            ),
            "entry VM": _Way(
                services + "/booking-check", bearer, process_id=pid
            ),
            "entry VM, claimed": _Way(
                services + "/booking", bearer, process_id=pid
            ),
        }
        try:
            fleet_module.until(
                lambda: fleet_module.http("GET", floor_url).status,
                what="the pass-through",
            )
            asyncio.run(_measure(ways))
        finally:
            floor.terminate()
            floor.wait()
    return list(_figures(ways))


def _figures(ways: dict[str, _Way]):
    base_ms = ways["direct"].median_ms
    for name, way in ways.items():
        yield bench.Figure(f"{name}, median", way.median_ms, "ms")
        if name == "direct":
            continue
        ratio = way.median_ms / base_ms
        yield bench.Figure(f"{name} over direct", ratio, "times")
        yield bench.Figure(
            f"{name}, requests per processor second",
            way.per_processor_s,
            "1/s",
        )
    wrong = sum(way.wrong for way in ways.values())
    yield bench.Figure("wrong answers", wrong, "", "0", wrong == 0)
    entry_ms = ways["entry VM"].median_ms
    floor_ratio = entry_ms / ways["pass-through"].median_ms
    yield bench.Figure(
        "entry VM over pass-through",
        floor_ratio,
        "times",
        "at most 1.3",
        floor_ratio <= 1.3,
    )
