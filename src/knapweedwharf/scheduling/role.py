"""The scheduling role of a VM: schedules its data centre while it is owner.

The role takes part in elections. While it is the owner, it passes every
event to its tenure, which lasts from the election to the step-down.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import random
import time
import typing

from returns import result

from knapweedwharf.adapters import directory as directory_module
from knapweedwharf.adapters import store as store_module
from knapweedwharf.adapters import worker as worker_module
from knapweedwharf import backoff
from knapweedwharf.charts import chart
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf import mailbox
from knapweedwharf.scheduling import election as election_module
from knapweedwharf.scheduling import flusher as flusher_module
from knapweedwharf.scheduling import gang_orders as gang_orders_module
from knapweedwharf.scheduling import inbox as inbox_module
from knapweedwharf.scheduling import pages as pages_module
from knapweedwharf.scheduling import session as session_module
from knapweedwharf.scheduling import tenure as tenure_module
from knapweedwharf import settings as settings_module

_RETRY_S = 1.0
_TICK_S = 1.0
_MIN_LISTED_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Elected:
    """This VM has won the election and rewritten the pages.

    :ivar unrecorded_starts_possible: see :meth:`tenure.Tenure.begin`.
    """

    ownership: election_module.Ownership
    pages: pages_module.Pages
    records: pages_module.Records
    unrecorded_starts_possible: bool


@dataclasses.dataclass(frozen=True)
class OwnershipLost:
    """Another VM has been elected."""

    epoch: int


@dataclasses.dataclass(frozen=True)
class InboxRead:
    """Entries of the inbox, from a list or a watch; some may be repeated."""

    items: tuple[inbox_module.Item, ...]


@dataclasses.dataclass(frozen=True)
class ConfigurationInForce:
    """A new configuration is in force."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True)
class VmsListed:
    """The VM list has been read."""

    vms: tuple[directory_module.Vm, ...]


@dataclasses.dataclass(frozen=True)
class TimerTick:
    """The timer of the regular checks has fired."""


@dataclasses.dataclass(frozen=True)
class TenureReport:
    """A report from a tenure's task; ignored once that tenure has ended."""

    epoch: int
    report: typing.Any


Message = typing.Union[
    Elected,
    OwnershipLost,
    InboxRead,
    ConfigurationInForce,
    VmsListed,
    TimerTick,
    TenureReport,
    flusher_module.StoreReachability,
]


def _no_peer_reaches_store() -> bool:
    return False


class Role(mailbox.Actor[Message]):
    """Takes part in elections and runs the tenure while this VM is owner.

    :param peers_reach_store: returns whether another VM of the data
        centre can reach the store, or might.
    :ivar tenure: None while this VM is not the owner.
    :ivar state: state of the owner chart.
    """

    name = "scheduling-role"

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        store: store_module.Store,
        worker: worker_module.Worker,
        peers_reach_store: typing.Callable[[], bool] = _no_peer_reaches_store,
        clock: tenure_module.Clock = time.time,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._store = store
        self._worker = worker
        self._peers_reach_store = peers_reach_store
        self._clock = clock
        self._election = election_module.Election(
            store=store, settings=settings
        )
        self._chart = chart.load("owner")
        self._listed_workers: tuple[directory_module.Vm, ...] = ()
        self._configuration = model.Configuration()
        self._vacant = asyncio.Event()
        self._random = random.Random(settings.node_id)
        self._inbox_watch: asyncio.Task | None = None
        self._store_reached_since_s: float | None = None
        self.tenure: tenure_module.Tenure | None = None
        self.state = self._chart.initial
        self.ownership: election_module.Ownership | None = None

    async def start(self) -> None:
        """Start to take part in elections."""
        await super().start()
        self.spawn(self._watch_owner())
        self.spawn(self._run_elections())
        self.spawn(self._tick())

    async def close(self) -> None:
        """Resign and stop."""
        ownership = self.ownership
        await super().close()
        await self._end_tenure()
        if self._chart.allows(self.state, "close"):
            self.state = self._chart.step(self.state, "close")
        if ownership is not None:
            await self._election.resign(ownership)

    @property
    def data_centre(self) -> str:
        """The data centre this node belongs to."""
        return self._settings.data_centre

    @property
    def active(self) -> bool:
        """Whether this node schedules its data centre now."""
        return self.tenure is not None

    @property
    def engine(self) -> engine_module.Engine | None:
        """The decision engine; None while this node is not the owner."""
        return self.tenure.engine if self.tenure else None

    # Election, in a task of its own

    async def _run_elections(self) -> None:
        pause_s = self._settings.owner_lease_s / 3
        while True:
            if self.ownership is None:
                await self._try_election()
            else:
                await self._renew(self.ownership)
            if self.ownership is None:
                await self._wait_until_vacant(pause_s)
            else:
                await asyncio.sleep(pause_s)

    async def _wait_until_vacant(self, limit_s: float) -> None:
        """Wait until there is no owner, or until the limit.

        The limit covers a vacancy that the watch misses.
        """
        try:
            async with asyncio.timeout(limit_s):
                await self._vacant.wait()
        except TimeoutError:
            pass
        self._vacant.clear()

    async def _watch_owner(self) -> None:
        while True:
            await self._election.watch(self._vacant.set)
            await asyncio.sleep(backoff.jittered_s(_RETRY_S, self._random))

    async def _try_election(self) -> None:
        won = await self._election.try_acquire()
        if isinstance(won, result.Failure):
            self._note_store_reached(reached=_is_conflict(won))
            return
        ownership = won.unwrap()
        self._log.info("elected", epoch=ownership.epoch)
        self.state = self._chart.step(self.state, "elected")
        pages = pages_module.Pages(
            store=self._store,
            data_centre=self._settings.data_centre,
            epoch=ownership.epoch,
        )
        taken = await pages.take_over()
        if isinstance(taken, result.Failure):
            self._log.warning("take-over-failed", why=str(taken.failure()))
            self.state = self._chart.step(self.state, "deposed")
            await self._election.resign(ownership)
            return
        self.ownership = ownership
        unrecorded_starts_possible = self._unrecorded_starts_possible()
        self.post(
            Elected(
                ownership, pages, taken.unwrap(), unrecorded_starts_possible
            )
        )

    def _note_store_reached(self, *, reached: bool) -> None:
        if not reached:
            self._store_reached_since_s = None
        elif self._store_reached_since_s is None:
            self._store_reached_since_s = _now_s()

    def _unrecorded_starts_possible(self) -> bool:
        """Return whether a former owner may have started jobs unrecorded.

        An owner starts jobs without the store only while no other VM of
        its data centre reaches the store. If this VM has reached it for
        two owner leases, it did so at all times since the former owner's
        last renewal.
        """
        if self._store_reached_since_s is None:
            return True
        reached_s = _now_s() - self._store_reached_since_s
        return reached_s < 2 * self._settings.owner_lease_s

    async def _renew(self, ownership: election_module.Ownership) -> None:
        renewed = await self._election.renew(ownership)
        if isinstance(renewed, result.Failure):
            if isinstance(renewed.failure(), errors.Fenced):
                await self._reclaim(ownership)
                return
        reachable = isinstance(renewed, result.Success)
        self._note_store_reached(reached=reachable)
        self.post(flusher_module.StoreReachability(reachable=reachable))

    async def _reclaim(self, ownership: election_module.Ownership) -> None:
        reclaimed = await self._election.reclaim(ownership)
        if isinstance(reclaimed, result.Success):
            if self.ownership is ownership:
                self.ownership = reclaimed.unwrap()
                self._log.info("lease-reclaimed", epoch=ownership.epoch)
            self.post(flusher_module.StoreReachability(reachable=True))
        elif _is_conflict(reclaimed):
            self.post(OwnershipLost(ownership.epoch))
        else:
            self.post(flusher_module.StoreReachability(reachable=False))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self.post(TimerTick())

    async def _watch_inbox(self, epoch: int) -> None:
        prefix = inbox_module.prefix_of(self._settings.data_centre)
        while True:
            listed = await self._store.list(prefix)
            if isinstance(listed, result.Success):
                page = listed.unwrap()
                self._post_inbox(epoch, page.entries)
                await self._store.watch(
                    prefix,
                    after_version=page.version,
                    callback=lambda changed, _deleted, _version: (
                        self._post_inbox(epoch, changed)
                    ),
                )
            await asyncio.sleep(backoff.jittered_s(_RETRY_S, self._random))

    def _post_inbox(
        self, epoch: int, entries: list[store_module.Entry]
    ) -> None:
        items = map(inbox_module.decode, entries)
        seen = InboxRead(tuple(item for item in items if item is not None))
        self.post(TenureReport(epoch, seen))

    # Messages

    async def handle(self, message: Message) -> None:
        """Handle one message without waiting for the store or workers."""
        await self._dispatch(message)

    @functools.singledispatchmethod
    async def _dispatch(self, message: Message) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_dispatch.register
    async def _(self, message: Elected) -> None:
        epoch = message.ownership.epoch
        if self.ownership is None or self.ownership.epoch != epoch:
            return
        self.tenure = tenure_module.Tenure(
            settings=self._settings,
            store=self._store,
            worker=self._worker,
            ownership=message.ownership,
            pages=message.pages,
            post=lambda report: self.post(TenureReport(epoch, report)),
            may_start_without_store=lambda: not self._peers_reach_store(),
            clock=self._clock,
        )
        self.state = self._chart.step(self.state, "sealed")
        await self.tenure.begin(
            records=message.records,
            unrecorded_starts_possible=message.unrecorded_starts_possible,
            configuration=self._configuration,
            vms=self._listed_workers,
        )
        self._inbox_watch = self.spawn(self._watch_inbox(epoch))

    @_dispatch.register
    async def _(self, message: OwnershipLost) -> None:
        if self.ownership and self.ownership.epoch == message.epoch:
            await self._step_down("another VM was elected")

    @_dispatch.register
    async def _(self, message: TenureReport) -> None:
        if self.tenure is not None and self.tenure.epoch == message.epoch:
            await self._dispatch(message.report)

    @_dispatch.register
    async def _(self, message: flusher_module.PagesFenced) -> None:
        await self._step_down("pages written by another epoch")

    @_dispatch.register
    async def _(self, message: session_module.Deposed) -> None:
        await self._step_down(f"worker {message.worker_id} is fenced")

    @_dispatch.register
    async def _(self, message: flusher_module.StoreReachability) -> None:
        if self.tenure is None:
            return
        chart_event = "store_back" if message.reachable else "store_lost"
        self.tenure.isolated = not message.reachable
        if self._chart.allows(self.state, chart_event):
            self.state = self._chart.step(self.state, chart_event)
            self._log.info(chart_event)

    @_dispatch.register
    async def _(self, message: ConfigurationInForce) -> None:
        self._configuration = message.configuration
        if self.tenure is not None:
            self.tenure.update_configuration(message.configuration)

    @_dispatch.register
    async def _(self, message: VmsListed) -> None:
        workers = tuple(
            vm
            for vm in message.vms
            if vm.kind == directory_module.WORKER_KIND
            and vm.data_centre == self._settings.data_centre
        )
        if len(workers) < _MIN_LISTED_SHARE * len(self._listed_workers):
            # Ignores a list that lost too many workers at once.
            self._log.warning("list-not-believed", workers=len(workers))
            return
        self._listed_workers = workers
        if self.tenure is not None:
            await self.tenure.update_worker_list(workers)

    @_dispatch.register
    async def _(self, message: InboxRead) -> None:
        self.tenure.process_inbox(message.items)

    @_dispatch.register
    async def _(self, message: TimerTick) -> None:
        if self.tenure is None:
            return
        self.tenure.tick()
        if self.tenure.is_cut_off():
            await self._step_down("cut off from the store and most workers")

    @_dispatch.register
    async def _(self, message: gang_orders_module.GangEvent) -> None:
        self.tenure.gang_event(message.engine_event)

    @_dispatch.register
    async def _(self, message: gang_orders_module.StrayStopped) -> None:
        self.tenure.stray_stopped(message)

    @_dispatch.register
    async def _(self, message: session_module.Sealed) -> None:
        self.tenure.worker_sealed(message)

    @_dispatch.register
    async def _(self, message: session_module.RenewalAnswered) -> None:
        self.tenure.renewal_answered(message)

    @_dispatch.register
    async def _(self, message: session_module.Silent) -> None:
        self.tenure.worker_silent(message)

    async def _step_down(self, why: str) -> None:
        if self.tenure is None:
            return
        self._log.info("step-down", why=why)
        self.state = self._chart.step(self.state, "deposed")
        ownership, self.ownership = self.ownership, None
        await self._end_tenure()
        if ownership is not None:
            self.spawn(self._election.resign(ownership))

    async def _end_tenure(self) -> None:
        if self._inbox_watch is not None:
            self._inbox_watch.cancel()
            self._inbox_watch = None
        tenure, self.tenure = self.tenure, None
        if tenure is not None:
            await tenure.close()


def _is_conflict(outcome: result.Result) -> bool:
    lost = (errors.Conflict, errors.Fenced)
    return isinstance(outcome.failure(), lost)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
