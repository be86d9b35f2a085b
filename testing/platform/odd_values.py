"""Odd values that other writers may send, and sound documents."""

from __future__ import annotations

import math

HUGE = int("9" * 401)
"""Larger than any float."""

NOT_FINITE = [math.nan, math.inf, -math.inf]
NO_NUMBERS = ["7", "", True, [], {}, [1]]
NO_AMOUNTS = [*NOT_FINITE, *NO_NUMBERS, HUGE, 1e300, 10**301, -1, 0.5]
NO_DURATIONS = [*NOT_FINITE, *NO_NUMBERS, HUGE, 1e300]
NO_TEXTS = [7, 1.5, True, ["a"], {}, "x" * 100_000, "\ud800"]
NO_LABELS = [5, True, "a", {"a": 1}, [5], [["a"]], [None], ["x" * 100_000]]
NO_ADDRESSES = [
    "10.0.0.1",
    "10.0.0.1:",
    ":80",
    "10.0.0.1:70000",
    "10.0.0.1:65536",
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.1:+80",
    "10.0.0.1: 80",
    "10.0.0.1:8_0",
    "10.0.0.1:abc",
    "10.0.0.1:٨٠",
    "10.0.0.1:" + "9" * 5_000,
    "10.0.0.256:80",
    "10.0.1:80",
    "host:80",
    "[::1]:80",
    "10.0.0.1:80/path",
    "user@10.0.0.1:80",
    "10.0.0.1\r\nX: y:80",
    "10.0.0.1:80:80",
    "",
]

ENTRY = {
    "service": "pool",
    "address": "10.128.0.9:8080",
    "zone": "antigua",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 4},
    "labels": ["a", "r1-3"],
    "machine": "m-1",
    "born": 1_700_000_000_000,
    "remaining_ms": 1_500,
    "sequence": 4,
}
MACHINE = {
    "machine": "m-1",
    "pool": "pool",
    "state": "up",
    "zone": "antigua",
    "labels": ["a", "r1-3"],
    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 4},
    "id": "e",
}
RUN = ["j.0.0.0", 1, "saved", 40, 7]
END = [3, "j.0.0.1", 1, "done", "saved"]
REPORT = {"clock_ms": 5, "born": 1, "running": [RUN], "finished": [END]}
STEP = {"count": 2, "cpu": 500, "mem_mb": 256, "estimated_runtime_ms": 900}
STATE = {
    "version": 7,
    "routes": [{"name": "r", "host": "h", "prefix": "/q/", "service": "s"}],
    "services": [{"name": "s"}],
    "tenants": [{"name": "t", "api_keys": ["k"], "guaranteed": {"gpu": 1}}],
}
WAVE = {"wave": 1, "machines": ["m-1"], "duration_s": 20, "cap": 2}


def shown(value: object) -> str:
    """Return the start of a value, as the id of a test."""
    return repr(value)[:40]
