"""Group commit of job records: one task writes, others wait for it."""

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
class StoreSeen:
    """A flush reached the store, or did not."""

    reachable: bool


@dataclasses.dataclass(frozen=True)
class PagesLost:
    """Another epoch writes the pages now."""


Report = typing.Union[StoreSeen, PagesLost]


@dataclasses.dataclass
class _Waiter:
    """Someone who waits until pages are written."""

    pages: set[int]
    done: asyncio.Future


class Flusher(mailbox.Actor[None]):
    """Writes changed pages; changes made meanwhile share the next write.

    :param records: returns the records as they are now.
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
        """Write from now on."""
        self.spawn(self._write_on_change())

    async def close(self) -> None:
        """Stop; whoever waits learns that nothing more is written."""
        await super().close()
        self._answer(self._waiters, result.Failure(_fenced()))

    @property
    def idle(self) -> bool:
        """Whether everything is written."""
        return not self._dirty and not self._waiters

    def mark(self, job_ids: abc.Iterable[str]) -> None:
        """Have jobs written soon."""
        self._dirty.update(map(pages_module.page_of, job_ids))
        if self._dirty:
            self._wake.set()

    async def flushed(
        self, job_ids: abc.Iterable[str]
    ) -> result.Result[None, errors.Fault]:
        """Wait for a write that began after this call."""
        loop = asyncio.get_running_loop()
        pages = set(map(pages_module.page_of, job_ids))
        waiter = _Waiter(pages=pages, done=loop.create_future())
        self._waiters.append(waiter)
        self._dirty |= pages
        self._wake.set()
        return await waiter.done

    async def _write_on_change(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            pages, self._dirty = self._dirty, set()
            waiters, self._waiters = self._waiters, []
            outcome = await self._pages.write(pages, self._records())
            self._answer(waiters, outcome)
            if isinstance(outcome, result.Success):
                self._report(StoreSeen(reachable=True))
                continue
            self._log.warning("flush-failed", why=str(outcome.failure()))
            if isinstance(outcome.failure(), errors.Fenced):
                self._report(PagesLost())
                return
            self._report(StoreSeen(reachable=False))
            self._dirty |= pages
            await asyncio.sleep(_RETRY_S)
            self._wake.set()

    def _answer(self, waiters: list[_Waiter], outcome: result.Result) -> None:
        for waiter in waiters:
            if not waiter.done.done():
                waiter.done.set_result(outcome)


def _fenced() -> errors.Fenced:
    return errors.Fenced(
        message="This VM is no longer the owner.",
        remedy="The new owner places the job.",
    )
