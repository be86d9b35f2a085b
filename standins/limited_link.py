"""A VM's link with a limited bandwidth, shared by all of its calls.

Wraps the in-memory executors and store. A call that the caller has given
up still occupies the link, and an order arrives all the same.
"""

from __future__ import annotations

import asyncio
from collections import abc
import typing

from returns import result

from knapweedwharf import errors
from knapweedwharf.fleet import model
from standins import fleet_executors
from standins import fleet_store

CALL_BYTES = 400
"""Headers and packets of a request or a response."""

RUN_BYTES = 80
"""A row of a report."""

_UNKNOWN = errors.OutcomeUnknown(message="No answer.", remedy="Ask again.")


class _Direction:
    """Sends one message after the other."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0

    async def send(self, size: int) -> None:
        """Wait until a message has been sent."""
        now_s = asyncio.get_running_loop().time()
        self._free_s = max(self._free_s, now_s) + size / self._bytes_per_s
        await asyncio.sleep(self._free_s - now_s)


class Link:
    """Both directions of a VM's link."""

    def __init__(self, bytes_per_s: float) -> None:
        self._out = _Direction(bytes_per_s)
        self._in = _Direction(bytes_per_s)
        self._tasks: set[asyncio.Task] = set()

    async def call(
        self,
        work: abc.Callable[[], abc.Awaitable],
        *,
        sent: int,
        received: abc.Callable[[typing.Any], int],
        timeout_s: float,
    ) -> typing.Any:
        """Carry a request and its response, each at its size in bytes."""
        task = asyncio.create_task(self._carry(work, sent, received))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        done, _pending = await asyncio.wait({task}, timeout=timeout_s)
        return task.result() if done else result.Failure(_UNKNOWN)

    async def _carry(
        self,
        work: abc.Callable[[], abc.Awaitable],
        sent: int,
        received: abc.Callable[[typing.Any], int],
    ) -> typing.Any:
        await self._out.send(CALL_BYTES + sent)
        answer = await work()
        await self._in.send(CALL_BYTES + received(answer))
        return answer


def _nothing(_answer: typing.Any) -> int:
    return 0


def _report_bytes(answer: result.Result) -> int:
    report = answer.value_or(None)
    if report is None:
        return 0
    return RUN_BYTES * (len(report.runs) + len(report.ends))


class LimitedExecutors:
    """The executors' client over a limited link.

    :ivar answer_delay_s: additional time that every answer takes.
    """

    def __init__(
        self, pool: fleet_executors.FakeExecutorPool, link: Link
    ) -> None:
        self._pool = pool
        self._link = link
        self.answer_delay_s = 0.0

    async def _call(
        self,
        work: abc.Callable[[], abc.Awaitable],
        *,
        timeout_s: float,
        sent: int = 0,
        received: abc.Callable[[typing.Any], int] = _nothing,
    ) -> typing.Any:
        async def delayed() -> typing.Any:
            answer = await work()
            await asyncio.sleep(self.answer_delay_s)
            return answer

        return await self._link.call(
            delayed, sent=sent, received=received, timeout_s=timeout_s
        )

    async def renew(self, executor, *, wait_s, timeout_s, **fields):
        """Renew over the link."""
        return await self._call(
            lambda: self._pool.renew(
                executor, wait_s=wait_s, timeout_s=timeout_s, **fields
            ),
            received=_report_bytes,
            timeout_s=wait_s + timeout_s,
        )

    async def start(self, executor, order, *, timeout_s):
        """Start over the link; the order carries its specification."""
        return await self._call(
            lambda: self._pool.start(executor, order),
            sent=len(order.specification),
            timeout_s=timeout_s,
        )

    async def stop(self, executor, *, timeout_s, **fields):
        """Stop over the link."""
        return await self._call(
            lambda: self._pool.stop(executor, **fields), timeout_s=timeout_s
        )

    def close(self) -> None:
        """Do nothing; there are no connections."""


def _base64_bytes(size: int) -> int:
    return size * 4 // 3


def _changes_bytes(answer: result.Result) -> int:
    changes = answer.value_or(None)
    if changes is None:
        return 0
    return _base64_bytes(sum(len(item.value) for item in changes.items))


class LimitedStore(fleet_store.FakeStore):
    """The store's client over a limited link."""

    def __init__(self, state: fleet_store.StoreState, link: Link) -> None:
        super().__init__(state)
        self._link = link

    async def commit(self, commit: model.Commit, *, timeout_s: float = 0.0):
        """Commit over the link."""
        size = sum(len(write.value) for write in commit.writes)
        commit_now = super().commit
        return await self._link.call(
            lambda: commit_now(commit),
            sent=_base64_bytes(size),
            received=_nothing,
            timeout_s=timeout_s or 1.0,
        )

    async def watch(self, prefix: str, *, wait_s: float, **options):
        """Watch over the link, which carries the changed entries."""
        watch_now = super().watch
        return await self._link.call(
            lambda: watch_now(prefix, wait_s=wait_s, **options),
            sent=0,
            received=_changes_bytes,
            timeout_s=wait_s + 10.0,
        )
