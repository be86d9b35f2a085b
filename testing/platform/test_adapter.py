"""The platform clients and the process against a simulated platform."""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import json

import pytest
from returns import result
from tornado import httpclient

from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf.platform import advisor
from knapweedwharf.platform import call
from knapweedwharf.platform import decode
from knapweedwharf.platform import executors
from knapweedwharf.platform import machines
from knapweedwharf.platform import program
from knapweedwharf.platform import store as store_module
from standins import loopback
from standins import users_platform

Work = abc.Callable[[users_platform.UsersPlatform], abc.Awaitable[None]]
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "queue.example",
            "prefix": "/q/",
            "service": "pool",
            "priority": 1,
            "max_attempts": 2,
            "unknown_field": [],
        }
    ],
    "services": [{"name": "pool", "enforces_capacity": True}],
    "tenants": [{"name": "acme", "api_keys": ["key"], "guaranteed": {}}],
}


def _run_with_platform(work: Work) -> None:
    async def scenario() -> None:
        platform = users_platform.UsersPlatform()
        await platform.start()
        pool_task = asyncio.create_task(platform.pool.run_forever())
        try:
            await work(platform)
        finally:
            pool_task.cancel()
            await platform.close()

    asyncio.run(scenario())


def _with_store(work: abc.Callable) -> None:
    async def main(platform: users_platform.UsersPlatform) -> None:
        store = store_module.Store(platform.address, timeout_s=2.0)
        try:
            await work(platform, store)
        finally:
            store.close()

    _run_with_platform(main)


def test_a_condition_that_fails_brings_the_present_entries():
    async def work(_platform, store):
        first = model.Commit({"a": 0}, (model.Write("a", b"one"),))
        revision = (await store.commit(first)).unwrap()
        failed = (await store.commit(first)).failure()
        assert isinstance(failed, errors.Conflict)
        assert failed.mismatch.current["a"] == model.Item(
            "a", b"one", revision
        )

    _with_store(work)


def test_a_listing_of_several_pages_is_whole():
    async def work(platform, store):
        platform.page_items = 2
        for name in "abcde":
            write = model.Write(f"p/{name}", name.encode())
            await store.commit(model.Commit({}, (write,)))
        listing = (await store.list("p/")).unwrap()
        assert [item.value for item in listing.items] == [
            b"a",
            b"b",
            b"c",
            b"d",
            b"e",
        ]

    _with_store(work)


def test_a_watch_tells_of_writes_and_removals():
    async def work(platform, store):
        at = platform.store.state.revision
        await store.commit(model.Commit({}, (model.Write("w/a", b"1"),)))
        changes = (await store.watch("w/", after=at, wait_s=1.0)).unwrap()
        assert changes.events == (model.Item("w/a", b"1", changes.revision),)
        await store.commit(model.Commit({}, (), ("w/a",)))
        watched = await store.watch("w/", after=changes.revision, wait_s=1.0)
        later = watched.unwrap()
        assert later.events == (model.Removal("w/a", later.revision),)

    _with_store(work)


def test_a_lost_history_is_said_so():
    async def work(platform, store):
        await store.commit(model.Commit({}, (model.Write("w/a", b"1"),)))
        platform.store.state.compact_history()
        seen = await store.watch("w/", after=1, wait_s=0.1)
        assert isinstance(seen.failure(), errors.NotFound)

    _with_store(work)


def test_a_refusal_says_that_nothing_was_done():
    async def work(platform, store):
        platform.store.path.refused = True
        write = model.Commit({}, (model.Write("a", b"1"),))
        refused = (await store.commit(write)).failure()
        assert isinstance(refused, errors.Unreachable)

    _with_store(work)


def test_a_lease_ends_with_its_keys():
    async def work(platform, store):
        lease_id = (await store.grant(30.0)).unwrap()
        write = model.Write("a", b"1", lease_id)
        await store.commit(model.Commit({}, (write,)))
        assert isinstance(await store.renew(lease_id), result.Success)
        await store.end(lease_id)
        assert (await store.read("a")).unwrap() is None
        ended = await store.renew(lease_id)
        assert isinstance(ended.failure(), errors.NotFound)

    _with_store(work)


def _executor(platform: users_platform.UsersPlatform) -> model.Executor:
    spec = model.Executor(
        executor_id="i-1",
        address=platform.address,
        service="pool",
        data_centre="dc",
        state=model.READY,
        cores_milli=8000,
        memory_mib=8000,
        accelerators=8,
        incarnation_ms=1,
    )
    platform.pool.add(spec)
    return spec


def _order(*, epoch: int = 3) -> model.StartOrder:
    return model.StartOrder("j.0.0.0", 1, '{"run_s": 60}', 10**9, epoch)


def test_orders_of_an_older_epoch_are_fenced():
    async def main(platform):
        client = executors.Executors()
        spec = _executor(platform)
        started = await client.start(spec, _order(epoch=3), timeout_s=2.0)
        assert isinstance(started, result.Success)
        late = await client.start(spec, _order(epoch=2), timeout_s=2.0)
        assert isinstance(late.failure(), errors.Fenced)
        client.close()

    _run_with_platform(main)


def test_a_renewal_brings_runs_and_ends():
    async def main(platform):
        client = executors.Executors()
        spec = _executor(platform)
        await client.start(spec, _order(), timeout_s=2.0)
        fields = {"epoch": 3, "lease_until_ms": 10**9, "acknowledged_end": 0}
        seen = (
            await client.renew(spec, wait_s=0.0, timeout_s=2.0, **fields)
        ).unwrap()
        assert [run.task_id for run in seen.runs] == ["j.0.0.0"]
        await client.stop(
            spec, task_id="j.0.0.0", run=1, epoch=3, timeout_s=2.0
        )
        seen = (
            await client.renew(spec, wait_s=0.0, timeout_s=2.0, **fields)
        ).unwrap()
        assert [(e.task_id, e.outcome) for e in seen.ends] == [
            ("j.0.0.0", model.STOPPED)
        ]
        client.close()

    _run_with_platform(main)


def test_another_incarnation_is_told_apart():
    async def main(platform):
        client = executors.Executors()
        spec = _executor(platform)
        platform.pool.executors.clear()
        answer = await client.start(spec, _order(), timeout_s=2.0)
        assert isinstance(answer.failure(), call.IncarnationMismatch)
        client.close()

    _run_with_platform(main)


def test_a_speed_is_set_and_a_tail_is_read():
    async def main(platform):
        client = executors.Executors()
        spec = _executor(platform)
        order = model.StartOrder("j.0.0.0", 1, '{"serves": 1}', 10**9, 3)
        await client.start(spec, order, timeout_s=2.0)
        paced = await client.pace(
            spec,
            task_id="j.0.0.0",
            run=1,
            percent=40,
            epoch=3,
            timeout_s=2.0,
        )
        assert isinstance(paced, result.Success)
        (state,) = platform.pool.executors["i-1"].runs.values()
        assert state.percent == 40
        fields = {"epoch": 3, "lease_until_ms": 0, "acknowledged_end": 0}
        seen = (
            await client.renew(spec, wait_s=0.0, timeout_s=2.0, **fields)
        ).unwrap()
        assert [run.load for run in seen.runs] == [50]
        client.close()

    _run_with_platform(main)


def test_the_advisor_names_executors_and_tickets():
    async def main(platform):
        client = advisor.Advisor(platform.address)
        platform.pool.advisor.approved = {"i-1"}
        answer = await client.approve("j.0.0", ["i-1", "i-2"], timeout_s=2.0)
        assert answer.unwrap() == model.Approval({"i-1": "t0"}, 3.0)
        platform.pool.advisor.refuses = True
        refused = await client.approve("j.0.0", ["i-1"], timeout_s=2.0)
        assert isinstance(refused.failure(), errors.OrderRefused)
        client.close()

    _run_with_platform(main)


def test_a_start_carries_its_ticket():
    async def main(platform):
        client = executors.Executors()
        spec = _executor(platform)
        order = model.StartOrder("j.0.0.0", 1, '{"advised": true}', 10**9, 3)
        refused = (await client.start(spec, order, timeout_s=2.0)).failure()
        assert refused.reason == model.NO_TICKET
        answer = await platform.pool.advisor.approve(
            "j.0.0", ["i-1"], timeout_s=1.0
        )
        ticket = answer.unwrap().tickets["i-1"]
        started = await client.start(
            spec, dataclasses.replace(order, ticket=ticket), timeout_s=2.0
        )
        assert isinstance(started, result.Success)
        client.close()

    _run_with_platform(main)


def _machine(number: int) -> model.Machine:
    return model.Machine(
        machine_id=f"m-{number}",
        pool="pool",
        state=model.MACHINE_UP,
        cores_milli=8000,
        memory_mib=8000,
        accelerators=8,
        labels=("a", "r1"),
        data_centre="dc",
    )


def test_machines_are_listed_whole_and_maintained_under_the_epoch():
    async def main(platform):
        client = machines.Machines(
            platform.address, holder="vm-1", timeout_s=2.0
        )
        platform.page_items = 2
        for number in range(5):
            machine = _machine(number)
            platform.machines.machines[machine.machine_id] = machine
        listed = (await client.list()).unwrap()
        assert listed == tuple(_machine(n) for n in range(5))
        done = await client.maintain("m-0", 3, epoch=7)
        assert isinstance(done, result.Success)
        assert platform.holders == {"vm-1"}
        fenced = await client.move("m-0", "other", epoch=6)
        assert isinstance(fenced.failure(), errors.Fenced)
        busy = (await client.move("m-0", "other", epoch=7)).failure()
        assert busy.reason == "busy"
        unknown = (await client.maintain("m-9", 3, epoch=7)).failure()
        assert unknown.reason == model.NO_MACHINE
        listed = (await client.list()).unwrap()
        assert listed[0].state == model.MACHINE_MAINTAINED
        client.close()

    _run_with_platform(main)


@pytest.mark.parametrize(
    ("value", "reads"),
    [
        (b'{"wave":1,"machines":["m-1"],"duration_s":20,"cap":2}', True),
        (b'{"wave":1}', False),
        (b"\xff{", False),
        (b'{"wave":"x","machines":[]}', False),
    ],
)
def test_a_wave_is_read_or_refused(value, reads):
    if reads:
        assert decode.wave(value) == model.MaintenanceWave(
            1, ("m-1",), 20.0, 2
        )
    else:
        with pytest.raises(ValueError):
            decode.wave(value)


# The whole process


async def _call(
    address: str, path: str, *, method: str = "GET", body=None, key="key"
):
    request = httpclient.HTTPRequest(
        f"http://{address}{path}",
        method=method,
        headers={"Host": "queue.example", "X-Key": key},
        body=None if body is None else json.dumps(body),
        allow_nonstandard_methods=True,
    )
    client = httpclient.AsyncHTTPClient()
    return await client.fetch(request, raise_error=False)


def _with_program(work: abc.Callable) -> None:
    async def main(platform: users_platform.UsersPlatform) -> None:
        await platform.store.state.external_write(
            "op/config", json.dumps(CONFIG).encode()
        )
        spec = _executor(platform)
        entry = {
            "service": "pool",
            "address": spec.address,
            "zone": "dc",
            "state": "ready",
            "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 8},
            "labels": ["a", "r1"],
            "born": 1,
            "sequence": 4,
        }
        await platform.store.state.external_write(
            "servers/i-1", json.dumps(entry).encode()
        )
        await platform.store.state.external_write("servers/i-2", b"\xff{")
        host = loopback.HOST
        process_config = model.ProcessConfig(
            node_id="vm-1",
            data_centre="dc",
            ip_address=host,
            frontend_address=f"{host}:{loopback.free_port()}",
            readiness_address=f"{host}:{loopback.free_port()}",
            store_address=platform.address,
        )
        running = program.Program(process_config)
        await running.start()
        try:
            async with asyncio.timeout(20):
                while not running.is_ready or running.node.tenure is None:
                    await asyncio.sleep(0.02)
            await work(running)
        finally:
            await running.close()

    _run_with_platform(main)


def test_a_store_that_is_away_does_not_delay_the_end(monkeypatch):
    async def work(running):
        never_set = asyncio.Event()
        monkeypatch.setattr(running.node, "resign", never_set.wait)
        monkeypatch.setattr(program, "EXIT_MARGIN_S", 5.9)
        running.terminate()
        assert not running.is_ready
        async with asyncio.timeout(20):
            await running.stopped.wait()

    _with_program(work)


JOB = "/q/5c0e7a21d94b36f8"
SUBMISSION = {
    "specification": '{"run_s": 0.2}',
    "phases": [{"count": 2, "cpu": 500, "mem_mb": 256, "gpu": 1}],
}


def test_a_job_goes_the_whole_way_over_http():
    async def work(running):
        address = running.process_config.frontend_address
        posted = await _call(address, JOB, method="POST", body=SUBMISSION)
        assert posted.code == 200
        async with asyncio.timeout(20):
            while True:
                shown = await _call(address, JOB)
                if json.loads(shown.body) == {"state": "completed"}:
                    break
                await asyncio.sleep(0.05)
        assert b"fleet_calls_stored_total 1.0" in running.metrics_text()

    _with_program(work)


@pytest.mark.parametrize(
    ("path", "key", "body", "status"),
    [
        ("/none/5c0e7a21d94b36f8", "key", SUBMISSION, 404),
        (JOB, "other", SUBMISSION, 401),
        ("/q/short", "key", SUBMISSION, 400),
        (JOB, "key", {"phases": []}, 400),
        (JOB, "key", {"phases": [{"count": -1}]}, 400),
        (JOB, "key", {"phases": [{"after": [3]}]}, 400),
        (JOB, "key", {**SUBMISSION, "specification": "x" * 4001}, 400),
    ],
)
def test_bad_calls_get_a_clear_answer(path, key, body, status):
    async def work(running):
        answer = await _call(
            running.process_config.frontend_address,
            path,
            method="POST",
            body=body,
            key=key,
        )
        assert answer.code == status
        assert json.loads(answer.body)["remedy"]

    _with_program(work)


def test_an_unknown_job_is_answered_410_and_a_queue_is_counted():
    async def work(running):
        address = running.process_config.frontend_address
        assert (await _call(address, JOB)).code == 410
        assert (await _call(address, JOB, method="DELETE")).code == 410
        counted = await _call(address, "/q/")
        assert json.loads(counted.body) == {"pending": 0}

    _with_program(work)
