"""Progress of one maintenance wave, and its record in the store."""

from __future__ import annotations

from collections import abc
import dataclasses
import math

from returns import result

from knapweedwharf import errors
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records
from knapweedwharf.fleet import versioned_value


@dataclasses.dataclass(slots=True)
class Drain:
    """A machine that gets no new work until its order is accepted.

    :ivar turn_s: how long what an incarnation runs may take to end.
    :ivar deadline_s: time on the elapsed clock at which what still runs
        is stopped.
    :ivar incarnation: executor incarnation that gets no new work; empty
        until one is seen.
    :ivar is_idle: nothing runs on it, though no executor of it is known.
    """

    turn_s: float
    deadline_s: float = math.inf
    incarnation: str = ""
    is_idle: bool = False


@dataclasses.dataclass(slots=True)
class WaveProgress:
    """Progress of a wave under this owner and earlier ones.

    :ivar record: its record, which owners read back.
    :ivar status: what the operator reads of it.
    :ivar begun: machines for which an order is intended, and the executor
        incarnation that each had.
    :ivar accepted_s: when this owner learned that the order of a machine
        was accepted. Without that its maintenance may not have begun.
    :ivar finished: machines that are back or have left for good.
    :ivar drains: draining machines.
    :ivar is_saved: whether the record has all of the above.
    :ivar published: the completion last published, or None.
    """

    wave: model.MaintenanceWave
    seen_s: float
    record: versioned_value.VersionedValue
    status: versioned_value.VersionedValue
    begun: dict[str, str] = dataclasses.field(default_factory=dict)
    accepted_s: dict[str, float] = dataclasses.field(default_factory=dict)
    finished: set[str] = dataclasses.field(default_factory=set)
    drains: dict[str, Drain] = dataclasses.field(default_factory=dict)
    is_saved: bool = True
    published: bool | None = None

    @property
    def not_begun(self) -> list[str]:
        """Machines that are neither draining nor ordered down yet."""
        done = self.begun.keys() | self.finished | self.drains.keys()
        return [m for m in self.wave.machine_ids if m not in done]

    @property
    def down(self) -> list[str]:
        """Machines that may be down and are not back."""
        return [m for m in self.begun if m not in self.finished]

    @property
    def unconfirmed(self) -> list[str]:
        """Machines whose order isn't known to be accepted."""
        return [m for m in self.down if m not in self.accepted_s]

    @property
    def away(self) -> set[str]:
        """Machines that are draining or may be down."""
        return {*self.drains, *self.down}

    @property
    def is_complete(self) -> bool:
        """Whether every machine is finished."""
        return self.finished.issuperset(self.wave.machine_ids)

    def load(self, value: bytes) -> None:
        """Decode the record of an earlier owner."""
        self.begun, accepted, self.finished = records.load_wave(value)
        self.accepted_s = dict.fromkeys(accepted, clock.elapsed_s())

    async def save_begun(
        self, machine_id: str, incarnation: str
    ) -> errors.Fault | None:
        """Write that an order for a machine is intended, unless written."""
        if self.begun.get(machine_id) != incarnation:
            self.begun[machine_id] = incarnation
            self.is_saved = False
        return None if self.is_saved else await self.save()

    async def save(self) -> errors.Fault | None:
        """Write the record."""
        value = records.dump_wave(
            self.begun, self.accepted_s.keys(), self.finished
        )
        saved = await self.record.write(value)
        self.is_saved = isinstance(saved, result.Success)
        return None if self.is_saved else saved.failure()


def has_room(
    progress: WaveProgress, waves: abc.Iterable[WaveProgress]
) -> bool:
    """Return whether a wave allows one more of its machines to be away.

    :param waves: all waves, as machines that are away for others count.
    """
    away = {machine_id for other in waves for machine_id in other.away}
    own = away.intersection(progress.wave.machine_ids)
    return len(own) < progress.wave.most_at_once
