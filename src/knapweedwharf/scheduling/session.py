"""One worker under the owner's epoch: seal, renew, report events."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing

from returns import result

from knapweedwharf.adapters import directory as directory_module
from knapweedwharf.adapters import worker as worker_module
from knapweedwharf import errors
from knapweedwharf import mailbox
from knapweedwharf import settings as settings_module

_RETRY_S = 0.5
_LOST_AFTER_FAILURES = 3


@dataclasses.dataclass(frozen=True)
class Sealed:
    """The worker takes this epoch's orders; its state is attached."""

    worker_id: str
    state: worker_module.WorkerState


@dataclasses.dataclass(frozen=True)
class Happened:
    """Events the worker reported."""

    worker_id: str
    events: tuple[worker_module.WorkerEvent, ...]


@dataclasses.dataclass(frozen=True)
class Silent:
    """The worker does not answer; its leases run on."""

    worker_id: str


@dataclasses.dataclass(frozen=True)
class Lapsed:
    """Every lease on the silent worker has lapsed."""

    worker_id: str


@dataclasses.dataclass(frozen=True)
class Deposed:
    """The worker has seen a newer epoch."""

    worker_id: str


Report = typing.Union[Sealed, Happened, Silent, Lapsed, Deposed]


class Session(mailbox.Actor[None]):
    """Keeps one worker's leases alive and passes its events on."""

    name = "worker-session"

    def __init__(
        self,
        *,
        vm: directory_module.Vm,
        epoch: int,
        worker: worker_module.Worker,
        settings: settings_module.Settings,
        report: typing.Callable[[Report], None],
    ) -> None:
        super().__init__()
        self.vm = vm
        self._epoch = epoch
        self._worker = worker
        self._settings = settings
        self._report = report
        self._sequence = 0
        self._renewed_at_s = time.monotonic()

    async def start(self) -> None:
        """Begin with a seal."""
        self.spawn(self._live())

    async def _live(self) -> None:
        while True:
            if not await self._seal():
                return
            if not await self._renew_until_silent():
                return

    async def _seal(self) -> bool:
        while True:
            sealed = await self._worker.seal(
                self.vm.address, epoch=self._epoch
            )
            if isinstance(sealed, result.Success):
                state = sealed.unwrap()
                self._sequence = state.sequence
                self._renewed_at_s = time.monotonic()
                self._report(Sealed(self.vm.vm_id, state))
                return True
            if isinstance(sealed.failure(), errors.Fenced):
                self._report(Deposed(self.vm.vm_id))
                return False
            self._check_lapse()
            await asyncio.sleep(_RETRY_S)

    async def _renew_until_silent(self) -> bool:
        failures = 0
        while failures < _LOST_AFTER_FAILURES:
            sent_at_s = time.monotonic()
            renewed = await self._worker.renew(
                self.vm.address,
                epoch=self._epoch,
                lease_s=self._settings.worker_lease_s,
                after_sequence=self._sequence,
                wait_s=self._settings.worker_renewal_s,
            )
            if isinstance(renewed, result.Success):
                failures = 0
                self._renewed_at_s = sent_at_s
                self._pass_on(renewed.unwrap())
                continue
            if isinstance(renewed.failure(), errors.Fenced):
                self._report(Deposed(self.vm.vm_id))
                return False
            failures += 1
            await asyncio.sleep(_RETRY_S)
        self._report(Silent(self.vm.vm_id))
        return True

    def _pass_on(self, renewal: worker_module.Renewal) -> None:
        self._sequence = renewal.sequence
        if renewal.events:
            self._report(Happened(self.vm.vm_id, renewal.events))

    def _check_lapse(self) -> None:
        held_until_s = (
            self._renewed_at_s
            + self._settings.worker_renewal_s
            + self._settings.worker_lease_s
        )
        if time.monotonic() > held_until_s:
            self._renewed_at_s = time.monotonic()
            self._report(Lapsed(self.vm.vm_id))
