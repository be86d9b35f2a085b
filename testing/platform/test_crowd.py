"""Crowds of clients at a process on the users' platform."""

from __future__ import annotations

import asyncio
from collections import abc
import json
import pathlib
import subprocess
import threading

import pytest

from standins import loopback
from standins import processes as processes_module
from standins import users_platform
from testing.platform import test_odd_entry
from testing.web import crowd as crowd_module

MEMORY_MB = 112
FILE_DESCRIPTORS = 360
FILES = 200
"""Descriptors that are reserved for files; sockets and pipes share the
others."""

BOUNDS = crowd_module.Bounds(MEMORY_MB * 1e6, FILE_DESCRIPTORS - FILES)
START = (
    f"POST {test_odd_entry.JOB} HTTP/1.1\r\n"
    "Host: queue.example\r\nX-Key: key\r\n"
)


class _Process:
    """A VM's process with small limits, and the platform beside it."""

    def __init__(self, scratch: pathlib.Path) -> None:
        self.ports = {
            name: loopback.free_port()
            for name in ("frontend", "ready", "metrics")
        }
        self._scratch = scratch
        self._processes = processes_module.Processes(scratch)
        self._platform = users_platform.UsersPlatform()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._jobs = 0

    def start(self) -> subprocess.Popen:
        """Start the platform and the process; wait until it is ready."""
        self._thread.start()
        asyncio.run_coroutine_threadsafe(
            self._start_platform(), self._loop
        ).result()
        process = self._processes.start(
            "knapweedwharf",
            "platform",
            f"--settings={self._settings()}",
            f"--metrics-port={self.ports['metrics']}",
            log_name="vm-1",
        )
        loopback.until(self.is_ready, what="readiness")
        return process

    async def _start_platform(self) -> None:
        await self._platform.start()
        config = json.dumps(test_odd_entry.CONFIG).encode()
        await self._platform.store.state.external_write("op/config", config)

    def _settings(self) -> pathlib.Path:
        host = loopback.HOST
        fields = {
            "node_name": "vm-1",
            "zone": "dc",
            "ip_address": host,
            "listen_addresses.frontend": f"{host}:{self.ports['frontend']}",
            "listen_addresses.ready": f"{host}:{self.ports['ready']}",
            "platform.address": self._platform.address,
            "bounds.grace_period_s": 1,
            "limits.memory_mb": MEMORY_MB,
            "limits.file_descriptors": FILE_DESCRIPTORS,
        }
        path = self._scratch / "node.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
        return path

    def close(self) -> None:
        """End the process and the platform."""
        self._processes.close()
        if self._thread.is_alive():
            asyncio.run_coroutine_threadsafe(
                self._platform.close(), self._loop
            ).result()
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
        self._loop.close()

    def is_ready(self) -> bool:
        """Probe the process as the load balancer does."""
        return self._call("ready", "GET", "/readiness").status == 200

    def shows_metrics(self) -> bool:
        """Read the metrics."""
        return self._call("metrics", "GET", "/metrics").status == 200

    def takes_a_job(self) -> bool:
        """Submit a job of its own, as an ordinary caller does."""
        self._jobs += 1
        answer = self._call(
            "frontend",
            "POST",
            f"/q/{self._jobs:016x}",
            document=test_odd_entry.SUBMISSION,
            headers={
                "Host": "queue.example",
                "X-Key": "key",
                "X-Deadline-Ms": "30000",
            },
        )
        return answer.status == 200

    def _call(self, name: str, method: str, path: str, **options):
        url = f"http://{loopback.HOST}:{self.ports[name]}{path}"
        timeout_s = crowd_module.HANG_S
        return loopback.call(method, url, timeout_s=timeout_s, **options)


@pytest.fixture
def served(tmp_path: pathlib.Path) -> abc.Iterator[_Process]:
    """Give a process that is ended after the test."""
    running = _Process(tmp_path)
    try:
        yield running
    finally:
        running.close()


def _check(served: _Process, watched: crowd_module.Watched, what: str) -> None:
    watched.check(f"job {what}", served.takes_a_job())
    watched.check(f"readiness {what}", served.is_ready())
    watched.check(f"metrics {what}", served.shows_metrics())


@pytest.mark.parametrize("pattern", crowd_module.PATTERNS)
def test_a_crowd_at_the_callers_port_ends_no_process(served, pattern):
    watched = crowd_module.Watched(served.start(), BOUNDS)
    parts = crowd_module.PATTERNS[pattern](START)
    with crowd_module.Crowd(served.ports["frontend"], parts) as crowd:
        _check(served, watched, "beside open connections")
        crowd.send()
        _check(served, watched, "beside the crowd")
    _check(served, watched, "after the crowd")
    assert not watched.broken, "; ".join(watched.broken)


@pytest.mark.parametrize("port", ["ready", "metrics"])
def test_a_silent_crowd_at_a_probed_port_ends_no_process(served, port):
    watched = crowd_module.Watched(served.start(), BOUNDS)
    with crowd_module.Crowd(served.ports[port], []):
        _check(served, watched, "beside the crowd")
    _check(served, watched, "after the crowd")
    assert not watched.broken, "; ".join(watched.broken)
