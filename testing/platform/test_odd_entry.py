"""A whole process beside odd entries, and with odd calls of clients."""

from __future__ import annotations

import asyncio
from collections import abc
import json

import pytest
import structlog
from tornado import httpclient

from knapweedwharf.fleet import model
from knapweedwharf.platform import program
from standins import loopback
from standins import users_platform

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "queue.example",
            "prefix": "/q/",
            "service": "pool",
            "max_attempts": 2,
        }
    ],
    "services": [{"name": "pool", "enforces_capacity": True}],
    "tenants": [{"name": "acme", "api_keys": ["key"]}],
}
ENTRY = {
    "service": "pool",
    "zone": "dc",
    "state": "ready",
    "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 8},
    "labels": ["a", "r1"],
    "born": 1,
}
JOB = "/q/5c0e7a21d94b36f8"
STEP = {"count": 2, "cpu": 500, "mem_mb": 256, "gpu": 1}
SUBMISSION = {"specification": '{"run_s": 0.2}', "phases": [STEP]}

Work = abc.Callable[
    [program.Program, users_platform.UsersPlatform], abc.Awaitable[None]
]


async def _write(platform, key: str, value: bytes) -> None:
    await platform.store.state.external_write(key, value)


async def _add_executor(platform, executor_id: str) -> None:
    spec = model.Executor(
        executor_id,
        platform.address,
        "pool",
        "dc",
        model.READY,
        8000,
        8000,
        8,
        incarnation_ms=1,
    )
    platform.pool.add(spec)
    entry = {**ENTRY, "address": platform.address}
    await _write(
        platform, f"servers/{executor_id}", json.dumps(entry).encode()
    )


def _run(work: Work, *, before: abc.Callable) -> None:
    """Run a process and work with it.

    :param before: prepares the platform before the process starts.
    """

    async def scenario() -> None:
        platform = users_platform.UsersPlatform()
        await platform.start()
        pool_task = asyncio.create_task(platform.pool.run_forever())
        await _write(platform, "op/config", json.dumps(CONFIG).encode())
        await before(platform)
        host = loopback.HOST
        running = program.Program(
            model.ProcessConfig(
                node_id="vm-1",
                data_centre="dc",
                ip_address=host,
                frontend_address=f"{host}:{loopback.free_port()}",
                readiness_address=f"{host}:{loopback.free_port()}",
                store_address=platform.address,
            )
        )
        await running.start()
        try:
            async with asyncio.timeout(60):
                while not running.is_ready or running.node.tenure is None:
                    await asyncio.sleep(0.02)
                await work(running, platform)
        finally:
            await running.close()
            pool_task.cancel()
            await platform.close()

    asyncio.run(scenario())


async def _call(running, path: str, *, method="GET", body=None, headers=()):
    request = httpclient.HTTPRequest(
        f"http://{running.process_config.frontend_address}{path}",
        method=method,
        headers={"Host": "queue.example", "X-Key": "key", **dict(headers)},
        body=body,
        allow_nonstandard_methods=True,
    )
    client = httpclient.AsyncHTTPClient()
    return await client.fetch(request, raise_error=False)


async def _until_completed(running, path: str) -> None:
    while True:
        shown = await _call(running, path)
        if json.loads(shown.body) == {"state": "completed"}:
            return
        await asyncio.sleep(0.05)


ODD_ENTRIES = {
    "a-deep": b'{"a":' * 100_000,
    "b-long": {"remaining_ms": int("9" * 401)},
    "c-infinite": {"remaining_ms": float("inf"), "state": "draining"},
    "d-labels": {"labels": 5},
    "e-port": {"address": "127.0.0.1:70000"},
    "f-port": {"address": "127.0.0.1:-1"},
    "g-port": {"address": "127.0.0.1:abc"},
    "h-header": {"address": "127.0.0.1\r\nX: y:80"},
    "i-large": {"capacity": {"cpu": 10**300, "gpu": 10**300}},
    "j k": {},
    "l\r\nX: y": {},
    "m-text": b"\xff{",
}


def test_odd_entries_keep_no_work_from_the_good_executors():
    async def before(platform):
        for name, odd in ODD_ENTRIES.items():
            value = odd
            if isinstance(odd, dict):
                entry = {**ENTRY, "address": "127.0.0.1:9", **odd}
                value = json.dumps(entry).encode()
            await _write(platform, f"servers/{name}", value)
        await _add_executor(platform, "z-good")

    async def work(running, platform):
        body = json.dumps(SUBMISSION)
        posted = await _call(running, JOB, method="POST", body=body)
        assert posted.code == 200
        await _until_completed(running, JOB)
        sessions = running.node.tenure.registry.sessions
        assert list(sessions) == ["z-good"]
        await _add_executor(platform, "y-later")
        while "y-later" not in sessions:
            await asyncio.sleep(0.02)

    with structlog.testing.capture_logs() as lines:
        _run(work, before=before)
    events = [line["event"] for line in lines]
    assert events.count("executor-entry-malformed") == len(ODD_ENTRIES)
    assert "change-not-taken" not in events
    assert "task-broken" not in events


@pytest.mark.parametrize("value", [b"{}", b"\xff{"])
def test_an_evacuation_holds_whatever_its_value(value):
    key = "op/evacuate/dc"

    async def before(platform):
        await _add_executor(platform, "z-good")
        await _write(platform, key, value)

    async def work(running, platform):
        body = json.dumps(SUBMISSION)
        posted = await _call(running, JOB, method="POST", body=body)
        assert posted.code == 200
        sessions = running.node.tenure.registry.sessions
        while not any(session.sealed for session in sessions.values()):
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        assert not platform.pool.starts
        await platform.store.state.external_remove(key)
        await _until_completed(running, JOB)

    _run(work, before=before)


ODD_BODIES = {
    "no-text": b"\xff",
    "deep": b'{"phases":' + b"[" * 50_000 + b"]" * 50_000 + b"}",
    "long": b'{"phases":[{"count":' + b"9" * 5_000 + b"}]}",
    "count": json.dumps({"phases": [{"count": 10**400}]}).encode(),
    "tasks": json.dumps({"phases": [{"count": 10**9}]}).encode(),
    "repetitions": json.dumps(
        {"phases": [STEP], "repetitions": 10**9}
    ).encode(),
    "due": json.dumps({"phases": [STEP], "first_run_ms": 10**400}).encode(),
    "nan": b'{"phases":[{"estimated_runtime_ms":NaN}]}',
    "infinite": b'{"phases":[{"estimated_runtime_ms":1e999}]}',
    "cpu": json.dumps({"phases": [{"cpu": 10**300}]}).encode(),
    "after": json.dumps({"phases": [STEP, {"after": 5}]}).encode(),
    "half": b'{"phases":[{}],"specification":"\\ud800"}',
}


@pytest.mark.parametrize("name", ODD_BODIES)
def test_an_odd_submission_is_answered_with_400(name):
    async def before(platform):
        await _add_executor(platform, "z-good")

    async def work(running, _platform):
        odd = await _call(running, JOB, method="POST", body=ODD_BODIES[name])
        assert odd.code == 400
        for deadline in ("9" * 5_000, "1e999", "-1", "NaN", "\xb2"):
            posted = await _call(
                running,
                JOB,
                method="POST",
                body=json.dumps(SUBMISSION),
                headers={"X-Deadline-Ms": deadline}.items(),
            )
            assert posted.code in (200, 400)
        await _until_completed(running, JOB)

    _run(work, before=before)
