"""Responses that arrive slowly are read in full; silent ones are not.

Orders, and calls within a caller's time, are bounded in full.
"""

from __future__ import annotations

from returns import result

from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf.platform import executors
from knapweedwharf.platform import machines
from testing.platform import test_adapter

_executor = test_adapter._executor
_order = test_adapter._order
_run_with_platform = test_adapter._run_with_platform
_with_store = test_adapter._with_store


def test_a_listing_that_progresses_takes_longer_than_the_time_out():
    async def work(platform, store):
        write = model.Write("p/a", b"a" * 1000)
        await store.commit(model.Commit({}, (write,)))
        platform.parts, platform.part_interval_s = 5, 0.6
        listed = await store.list("p/")
        assert [item.key for item in listed.unwrap().items] == ["p/a"]

    _with_store(work)


def test_a_listing_within_a_callers_time_is_bounded_in_full():
    async def work(platform, store):
        write = model.Write("p/a", b"a" * 1000)
        await store.commit(model.Commit({}, (write,)))
        platform.parts, platform.part_interval_s = 5, 0.2
        listed = await store.list("p/", timeout_s=0.5)
        assert isinstance(listed.failure(), errors.OutcomeUnknown)

    _with_store(work)


def test_changes_that_arrive_slowly_are_read_in_full():
    async def work(platform, store):
        at = platform.store.state.revision
        await store.commit(model.Commit({}, (model.Write("w/a", b"1"),)))
        platform.parts, platform.part_interval_s = 5, 0.4
        seen = await store.watch("w/", after=at, wait_s=0.1)
        assert [item.key for item in seen.unwrap().items] == ["w/a"]

    _with_store(work)


def test_a_report_that_progresses_takes_longer_than_the_time_out():
    async def main(platform):
        client = executors.Executors()
        spec = _executor(platform)
        platform.parts, platform.part_interval_s = 4, 0.4
        fields = {"epoch": 3, "lease_until_ms": 10**9, "acknowledged_end": 0}
        seen = await client.renew(spec, wait_s=0.0, timeout_s=0.7, **fields)
        assert isinstance(seen, result.Success)
        client.close()

    _run_with_platform(main)


def test_an_order_is_bounded_in_full():
    async def main(platform):
        client = executors.Executors()
        spec = _executor(platform)
        platform.parts, platform.part_interval_s = 4, 0.3
        started = await client.start(spec, _order(), timeout_s=0.5)
        assert isinstance(started.failure(), errors.OutcomeUnknown)
        client.close()

    _run_with_platform(main)


def test_a_list_of_machines_that_progresses_is_read_in_full():
    async def main(platform):
        client = machines.Machines(
            platform.address, holder="vm-1", timeout_s=0.5
        )
        platform.parts, platform.part_interval_s = 4, 0.3
        assert isinstance(await client.list(), result.Success)
        client.close()

    _run_with_platform(main)
