"""The workers of a data centre, as seen by one owner.

Tracks for each worker whether it accepts this epoch's orders, and when
every lease on it, of this or a former owner, must have lapsed.
"""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import typing

from knapweedwharf.adapters import directory as directory_module
from knapweedwharf.adapters import worker as worker_module
from knapweedwharf.charts import chart
from knapweedwharf.scheduling import session as session_module
from knapweedwharf import settings as settings_module


@dataclasses.dataclass
class Member:
    """One worker, from the VM list or from a job record.

    :ivar vm: None for a worker that is in no VM list yet.
    :ivar state: state of the session chart.
    :ivar lapses_at_s: when its leases have lapsed, while it is silent.
    :ivar leaving: whether the VM list marks it as leaving or lacks it.
    :ivar release: attempts that renewals leave out, each with whether it
        is known to have ended.
    """

    worker_id: str
    state: str
    vm: directory_module.Vm | None = None
    session: session_module.Session | None = None
    lapses_at_s: float = 0.0
    leaving: bool = False
    release: dict[str, bool] = dataclasses.field(default_factory=dict)


class Roster:
    """The owner's sessions with all workers of the data centre.

    :ivar members: by worker id.
    """

    def __init__(
        self,
        *,
        epoch: int,
        worker: worker_module.Worker,
        settings: settings_module.Settings,
        report: typing.Callable[[session_module.Report], None],
    ) -> None:
        self._epoch = epoch
        self._worker = worker
        self._settings = settings
        self._report = report
        self._chart = chart.load("session")
        self._majority_since_s: float | None = None
        self.members: dict[str, Member] = {}

    async def close(self) -> None:
        """End every session."""
        for member in self.members.values():
            self._step(member, "close")
        sessions = [m.session for m in self.members.values() if m.session]
        await asyncio.gather(*(session.close() for session in sessions))

    def add_workers(self, worker_ids: abc.Iterable[str]) -> None:
        """Add workers that job records name."""
        for worker_id in worker_ids:
            self._member(worker_id)

    async def open_sessions(
        self, vms: abc.Iterable[directory_module.Vm]
    ) -> None:
        """Open a session with each listed worker, or a new one if it moved."""
        for vm in vms:
            member = self._member(vm.vm_id)
            if member.vm is not None and member.vm.address == vm.address:
                continue
            if member.session is not None:
                await member.session.close()
            member.vm = vm
            member.session = self._session(vm, member)
            await member.session.start()

    def _session(
        self, vm: directory_module.Vm, member: Member
    ) -> session_module.Session:
        return session_module.Session(
            vm=vm,
            epoch=self._epoch,
            worker=self._worker,
            settings=self._settings,
            report=self._report,
            released=lambda: tuple(member.release),
        )

    def _member(self, worker_id: str) -> Member:
        if worker_id not in self.members:
            self.members[worker_id] = Member(worker_id, self._chart.initial)
        return self.members[worker_id]

    # Reports of sessions

    def mark_sealed(self, worker_id: str) -> None:
        """Mark a worker as sealed: it refuses orders of older epochs."""
        self._step(self.members[worker_id], "sealed")
        if self._majority_since_s is None and self.reaches_majority():
            self._majority_since_s = _now_s()

    def mark_silent(self, worker_id: str) -> bool:
        """Mark a worker as silent; False if it was not sealed before."""
        member = self.members[worker_id]
        if not self._chart.allows(member.state, "silent"):
            return False
        self._step(member, "silent")
        member.lapses_at_s = _now_s() + self.lapse_s
        return True

    def drop_released(self, report: session_module.RenewalAnswered) -> None:
        """Drop the ended attempts that the worker has now forgotten."""
        release = self.members[report.worker_id].release
        for attempt_id in report.released:
            if release.get(attempt_id):
                del release[attempt_id]

    def _step(self, member: Member, chart_event: str) -> None:
        member.state = self._chart.step(member.state, chart_event)

    # Leases

    @property
    def lapse_s(self) -> float:
        """Longest time from the last order to the end of every lease.

        A worker accepts a start at most ``gang_hold_s`` after the hold,
        and a confirmation at most ``gang_hold_s`` after the start; the
        confirmation then begins a lease of ``worker_lease_s``.
        """
        settings = self._settings
        return settings.worker_lease_s + 2 * settings.gang_hold_s

    @property
    def fence_detection_s(self) -> float:
        """Longest time until a former owner is fenced by a sealed worker.

        A former owner renews every worker in this time, with retries.
        """
        settings = self._settings
        attempt_s = settings.worker_timeout_s + session_module.RETRY_S
        retries_s = session_module.SILENT_AFTER_FAILURES * attempt_s
        return settings.worker_renewal_s + retries_s

    def take_lapsed(self) -> list[str]:
        """Return workers whose leases have lapsed since the last call."""
        lapsed = [
            member
            for member in self.members.values()
            if self._chart.allows(member.state, "lapsed")
            and self._lapsed_by_now(member)
        ]
        for member in lapsed:
            self._step(member, "lapsed")
        return [member.worker_id for member in lapsed]

    def _lapsed_by_now(self, member: Member) -> bool:
        if member.state == "silent":
            return _now_s() >= member.lapses_at_s
        if self._majority_since_s is None:
            # A former owner may still renew the leases on this worker.
            return False
        waited_s = _now_s() - self._majority_since_s
        return waited_s >= self.fence_detection_s + self.lapse_s

    def is_lapsed(self, worker_id: str) -> bool:
        """Return whether no attempt of any epoch can run on a worker."""
        member = self.members.get(worker_id)
        return member is not None and member.state == "lapsed"

    def settled(self, worker_ids: abc.Iterable[str] | None = None) -> bool:
        """Return whether each worker has been sealed or has lapsed.

        :param worker_ids: all workers, if None.
        """
        asked = self.members if worker_ids is None else worker_ids
        return all(
            worker_id in self.members
            and self.members[worker_id].state != self._chart.initial
            for worker_id in asked
        )

    def reaches_majority(self) -> bool:
        """Return whether more than half of the workers are sealed."""
        reached = sum(m.state == "sealed" for m in self.members.values())
        return 2 * reached > len(self.members)

    def withhold(self, worker_id: str, attempt_id: str) -> None:
        """Leave an attempt out of renewals while it is being stopped."""
        if worker_id in self.members:
            self.members[worker_id].release[attempt_id] = False

    def release(self, worker_id: str, attempt_id: str) -> None:
        """Let a worker forget an attempt that has ended."""
        if worker_id in self.members:
            self.members[worker_id].release[attempt_id] = True

    def address(self, worker_id: str) -> str:
        """Return a worker's address; empty if it is unknown."""
        member = self.members.get(worker_id)
        return member.vm.address if member and member.vm else ""

    # Workers that leave

    def take_leaving(
        self, vms: abc.Collection[directory_module.Vm]
    ) -> list[str]:
        """Return workers that started to leave or left the VM list."""
        staying = {vm.vm_id for vm in vms if not vm.leaving}
        newly = []
        for member in self.members.values():
            leaving = member.worker_id not in staying
            if leaving and not member.leaving:
                newly.append(member.worker_id)
            member.leaving = leaving
        return newly

    async def drop_gone(
        self, vms: abc.Collection[directory_module.Vm]
    ) -> None:
        """Drop workers that left the VM list and have lapsed."""
        listed = {vm.vm_id for vm in vms}
        for member in list(self.members.values()):
            if member.worker_id in listed or member.state != "lapsed":
                continue
            del self.members[member.worker_id]
            if member.session is not None:
                await member.session.close()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
