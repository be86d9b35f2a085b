"""Group commit of job records: one task writes for all callers."""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import typing

from returns import result

from knapweedwharf import errors
from knapweedwharf import mailbox
from knapweedwharf.scheduling import pages as pages_module

_RETRY_S = 0.5


@dataclasses.dataclass(frozen=True)
class StoreReachability:
    """Whether the last call reached the store."""

    reachable: bool


@dataclasses.dataclass(frozen=True)
class PagesFenced:
    """A newer epoch has written the pages; this VM must step down."""


Report = typing.Union[StoreReachability, PagesFenced]


@dataclasses.dataclass
class _Waiter:
    """A caller that waits until its pages are written."""

    pages: set[int]
    future: asyncio.Future


class Flusher(mailbox.Actor[None]):
    """Writes changed pages; changes made during a write share the next one.

    :param records: returns the current records.
    """

    name = "flusher"

    def __init__(
        self,
        *,
        pages: pages_module.Pages,
        records: typing.Callable[[], pages_module.Records],
        report: typing.Callable[[Report], None],
    ) -> None:
        super().__init__()
        self._pages = pages
        self._records = records
        self._report = report
        self._dirty: set[int] = set()
        self._waiters: list[_Waiter] = []
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Start the task that writes changed pages."""
        self.spawn(self._write_on_change())

    async def close(self) -> None:
        """Stop writing; callers that still wait get ``Fenced``."""
        await super().close()
        self._resolve(self._waiters, result.Failure(_not_owner_fault()))

    @property
    def idle(self) -> bool:
        """Whether no page waits to be written."""
        return not self._dirty and not self._waiters

    def mark_dirty(self, job_ids: abc.Iterable[str]) -> None:
        """Schedule a write of the jobs' pages, without waiting for it."""
        self._dirty.update(map(pages_module.page_of, job_ids))
        if self._dirty:
            self._wake.set()

    async def flush(
        self, job_ids: abc.Iterable[str]
    ) -> result.Result[None, errors.Fault]:
        """Write the jobs' pages, in a write that starts after this call."""
        loop = asyncio.get_running_loop()
        pages = set(map(pages_module.page_of, job_ids))
        waiter = _Waiter(pages=pages, future=loop.create_future())
        self._waiters.append(waiter)
        self._dirty |= pages
        self._wake.set()
        return await waiter.future

    async def _write_on_change(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            pages, self._dirty = self._dirty, set()
            waiters, self._waiters = self._waiters, []
            outcome = await self._pages.write(pages, self._records())
            self._resolve(waiters, outcome)
            if isinstance(outcome, result.Success):
                self._report(StoreReachability(reachable=True))
                continue
            self._log.warning("flush-failed", why=str(outcome.failure()))
            if isinstance(outcome.failure(), errors.Fenced):
                self._report(PagesFenced())
                return
            self._report(StoreReachability(reachable=False))
            self._dirty |= pages
            await asyncio.sleep(_RETRY_S)
            self._wake.set()

    def _resolve(self, waiters: list[_Waiter], outcome: result.Result) -> None:
        for waiter in waiters:
            if not waiter.future.done():
                waiter.future.set_result(outcome)


def _not_owner_fault() -> errors.Fenced:
    return errors.Fenced(
        message="This VM is no longer the owner.",
        remedy="The new owner schedules the job.",
    )
