"""Overhead of a request through an entry VM, against a direct call."""

from __future__ import annotations

import asyncio
import statistics
import subprocess
import sys
import time

import bench
from bench import _load_generator
from knapweedwharf.adapters import transport
from standins import fleet as fleet_module

ROUNDS = 10
REQUESTS_PER_ROUND = 100
WARM_UP = 50
BODY = b"ladder 12, orchard 7, 2026-12-05"
_RUN_HEADERS = {"X-Attempt-Id": "a", "X-Request-Id": "r"}


class _Route:
    """One route to the executor, measured in turn with the others."""

    def __init__(
        self,
        url: str,
        headers: dict[str, str],
        *,
        process_id: int = 0,
        reuse: bool = True,
    ) -> None:
        self._url = url
        self._headers = headers
        self._process_id = process_id
        self._client = transport.HttpTransport(
            max_body_bytes=1_000_000, reuse=reuse
        )
        self.elapsed_s: list[float] = []
        self.processor_s = 0.0
        self.wrong = 0

    async def send_requests(
        self, requests: int, *, measured: bool = True
    ) -> None:
        """Send requests one by one."""
        processor_s = self._read_processor_s()
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
            if measured:
                self.elapsed_s.append(elapsed_s)
        if measured:
            self.processor_s += self._read_processor_s() - processor_s

    def _read_processor_s(self) -> float:
        if not self._process_id:
            return 0.0
        return _load_generator.processor_s(self._process_id)

    @property
    def median_ms(self) -> float:
        """Median completion time in milliseconds."""
        return statistics.median(self.elapsed_s) * 1000

    @property
    def requests_per_processor_s(self) -> float:
        """Requests per second of processor time of the forwarding process."""
        return len(self.elapsed_s) / self.processor_s


async def _measure(routes: dict[str, _Route]) -> None:
    for route in routes.values():
        await route.send_requests(WARM_UP, measured=False)
    for _round in range(ROUNDS):
        for route in routes.values():
            await route.send_requests(REQUESTS_PER_ROUND)


@bench.BENCHMARKS.register("routing")
def routing() -> list[bench.Figure]:
    """Compare a direct call, a pass-through proxy and an entry VM."""
    with (
        _load_generator.load_test_folder() as folder,
        _load_generator.create_fleet(folder) as fleet,
    ):
        node = fleet.nodes[0]
        fleet.wait_revision(fleet.apply_folder(node))
        direct = next(iter(fleet.executor_urls.values()))
        port = fleet_module.free_port()
        proxy = subprocess.Popen(
            [sys.executable, "-m", "bench._floor"]
            + [f"--port={port}", f"--target={direct}"]
        )
        proxy_url = f"http://127.0.0.1:{port}"
        token = fleet.workload()["tokens"][_load_generator.CHECK_ACCOUNT]
        bearer = {"Authorization": f"Bearer {token}"}
        services = node.url + "/v1/services"
        node_process_id = node.process.pid
        routes = {
            "direct": _Route(direct + "/run/check", _RUN_HEADERS),
            "direct, new connections": _Route(
                direct + "/run/check", _RUN_HEADERS, reuse=False
            ),
            "pass-through": _Route(
                proxy_url + "/run/check", {}, process_id=proxy.pid
            ),
            "entry VM": _Route(
                services + "/booking-check", bearer, process_id=node_process_id
            ),
            "entry VM, claimed": _Route(
                services + "/booking", bearer, process_id=node_process_id
            ),
        }
        try:
            fleet_module.until(
                lambda: fleet_module.http("GET", proxy_url).status,
                what="the pass-through",
            )
            asyncio.run(_measure(routes))
        finally:
            proxy.terminate()
            proxy.wait()
    return list(_figures(routes))


def _figures(routes: dict[str, _Route]):
    direct_ms = routes["direct"].median_ms
    for name, route in routes.items():
        yield bench.Figure(f"{name}, median", route.median_ms, "ms")
        if name == "direct":
            continue
        ratio = route.median_ms / direct_ms
        yield bench.Figure(f"{name} over direct", ratio, "times")
        if not route.processor_s:
            continue
        yield bench.Figure(
            f"{name}, requests per processor second",
            route.requests_per_processor_s,
            "1/s",
        )
    wrong = sum(route.wrong for route in routes.values())
    yield bench.Figure("wrong answers", wrong, "", "0", wrong == 0)
    entry_ms = routes["entry VM"].median_ms
    proxy_ratio = entry_ms / routes["pass-through"].median_ms
    yield bench.Figure(
        "entry VM over pass-through",
        proxy_ratio,
        "times",
        "at most 1.3",
        proxy_ratio <= 1.3,
    )
