"""Starts wait for room in the window in order of their priority."""

from __future__ import annotations

import asyncio

from knapweedwharf.fleet import start_window
from standins import virtual_time

LINK_BPS = 8 * 100_000.0
"""The window holds 10,000 bytes."""

HALF = 5_000 - start_window.START_OVERHEAD_BYTES


def _run(main) -> None:
    virtual_time.run(main())


async def _pass(window, passed, name, *, priority=0, size=HALF, holds_s=1.0):
    async with window.slot(priority, size):
        passed.append(name)
        await asyncio.sleep(holds_s)


def test_the_window_bounds_the_bytes_in_flight():
    async def main():
        window = start_window.StartWindow(LINK_BPS)
        passed = []
        tasks = [
            asyncio.create_task(_pass(window, passed, n)) for n in range(5)
        ]
        for expected in (2, 4, 5):
            await asyncio.sleep(0.5)
            assert passed == list(range(expected))
            await asyncio.sleep(0.5)
        await asyncio.gather(*tasks)

    _run(main)


def test_a_start_larger_than_the_window_passes_alone():
    async def main():
        window = start_window.StartWindow(LINK_BPS)
        passed = []
        large = asyncio.create_task(_pass(window, passed, "a", size=50_000))
        other = asyncio.create_task(_pass(window, passed, "b"))
        await asyncio.sleep(0.5)
        assert passed == ["a"]
        await asyncio.gather(large, other)
        assert passed == ["a", "b"]

    _run(main)


def test_urgent_starts_pass_first_and_others_in_order():
    async def main():
        window = start_window.StartWindow(LINK_BPS)
        passed = []
        tasks = [
            asyncio.create_task(_pass(window, passed, name, priority=rank))
            for name, rank in (("a", 2), ("b", 2), ("c", 2), ("d", 0))
        ]
        await asyncio.gather(*tasks)
        assert passed == ["a", "b", "d", "c"]

    _run(main)


def test_a_cancelled_wait_leaves_no_gap():
    async def main():
        window = start_window.StartWindow(LINK_BPS)
        passed = []
        tasks = [
            asyncio.create_task(_pass(window, passed, n)) for n in range(6)
        ]
        await asyncio.sleep(0.5)
        tasks[2].cancel()
        tasks[0].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert passed == [0, 1, 3, 4, 5]
        assert not window._waiting
        async with window.slot(0, HALF):
            pass

    _run(main)


def test_many_small_starts_are_bounded_by_their_number():
    async def main():
        window = start_window.StartWindow(1e9)
        passed = []
        tasks = [
            asyncio.create_task(_pass(window, passed, n, size=1))
            for n in range(start_window.MAX_STARTS + 1)
        ]
        await asyncio.sleep(0.5)
        assert len(passed) == start_window.MAX_STARTS
        await asyncio.gather(*tasks)

    _run(main)
