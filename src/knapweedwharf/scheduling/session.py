"""The owner's session with one worker: seal it, renew its leases.

To seal a worker is to fence older owners: from then on it refuses orders
of older epochs. The answer holds the worker's capacity and attempts.
"""

from __future__ import annotations

import asyncio
import dataclasses
import typing
import zlib

from returns import result

from knapweedwharf.adapters import directory as directory_module
from knapweedwharf.adapters import worker as worker_module
from knapweedwharf import errors
from knapweedwharf import mailbox
from knapweedwharf import settings as settings_module

RETRY_S = 0.5
MAX_RETRY_S = 5.0
SILENT_AFTER_FAILURES = 3
_SPREAD_STEPS = 1_000


@dataclasses.dataclass(frozen=True)
class Sealed:
    """The worker accepts this epoch's orders and returned its state."""

    worker_id: str
    state: worker_module.WorkerState


@dataclasses.dataclass(frozen=True)
class RenewalAnswered:
    """The worker answered a renewal.

    :ivar released: attempts that the renewal left out; the worker has
        forgotten those that had ended.
    """

    worker_id: str
    events: tuple[worker_module.WorkerEvent, ...]
    released: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Silent:
    """The worker does not answer; its leases may still be running."""

    worker_id: str


@dataclasses.dataclass(frozen=True)
class Deposed:
    """The worker refused a call: it has seen a newer epoch."""

    worker_id: str


Report = typing.Union[Sealed, RenewalAnswered, Silent, Deposed]


class Session(mailbox.Actor[None]):
    """Renews the leases on one worker and reports its events.

    :param released: returns the attempts that renewals leave out.
    """

    name = "worker-session"

    def __init__(
        self,
        *,
        vm: directory_module.Vm,
        epoch: int,
        worker: worker_module.Worker,
        settings: settings_module.Settings,
        report: typing.Callable[[Report], None],
        released: typing.Callable[[], tuple[str, ...]],
    ) -> None:
        super().__init__()
        self.vm = vm
        self._epoch = epoch
        self._worker = worker
        self._settings = settings
        self._report = report
        self._released = released
        self._sequence = 0
        self._clock_s = 0.0

    async def start(self) -> None:
        """Start the task that seals the worker, then renews its leases."""
        self.spawn(self._run_session())

    async def _run_session(self) -> None:
        while await self._seal() and await self._renew_until_silent():
            pass

    async def _seal(self) -> bool:
        pause_s = RETRY_S
        while True:
            sealed = await self._worker.seal(
                self.vm.address, epoch=self._epoch
            )
            if isinstance(sealed, result.Success):
                state = sealed.unwrap()
                self._sequence = state.sequence
                self._clock_s = state.clock_s
                self._report(Sealed(self.vm.vm_id, state))
                return True
            if isinstance(sealed.failure(), errors.Fenced):
                self._report(Deposed(self.vm.vm_id))
                return False
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_S)

    async def _renew_until_silent(self) -> bool:
        failures = 0
        wait_s = self._first_wait_s()
        while failures < SILENT_AFTER_FAILURES:
            released = self._released()
            renewed = await self._renew(wait_s, released)
            if isinstance(renewed, result.Success):
                failures = 0
                wait_s = self._settings.worker_renewal_s
                if not self._report_events(renewed.unwrap(), released):
                    return True
                continue
            if isinstance(renewed.failure(), errors.Fenced):
                self._report(Deposed(self.vm.vm_id))
                return False
            failures += 1
            wait_s = 0.0
            await asyncio.sleep(RETRY_S)
        self._report(Silent(self.vm.vm_id))
        return True

    def _first_wait_s(self) -> float:
        # Spreads the renewals of all workers over the renewal interval.
        step = zlib.crc32(self.vm.vm_id.encode()) % _SPREAD_STEPS
        return self._settings.worker_renewal_s * step / _SPREAD_STEPS

    async def _renew(
        self, wait_s: float, released: tuple[str, ...]
    ) -> result.Result[worker_module.Renewal, errors.Fault]:
        order = worker_module.RenewalRequest(
            lease_s=self._settings.worker_lease_s,
            as_of_s=self._clock_s,
            after_sequence=self._sequence,
            wait_s=wait_s,
            release=released,
        )
        return await self._worker.renew(
            self.vm.address, epoch=self._epoch, order=order
        )

    def _report_events(
        self, renewal: worker_module.Renewal, released: tuple[str, ...]
    ) -> bool:
        expected = self._sequence + len(renewal.events)
        if renewal.sequence != expected:
            # Events were dropped, or the worker restarted. The session
            # seals it again; the answer holds the outcome of each task.
            return False
        self._sequence = renewal.sequence
        self._clock_s = renewal.clock_s
        self._report(RenewalAnswered(self.vm.vm_id, renewal.events, released))
        return True
