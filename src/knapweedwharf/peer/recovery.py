"""How a restarted node learns the configuration without the store.

It has forgotten what it had in force. It takes what its peers have
only once so many have answered that one of them must hold every
revision that half of the others were known to hold, and no peer knows
of a newer one. Until then it has no configuration and is not ready.
"""

from __future__ import annotations

import dataclasses

from knapweedwharf.configuration import snapshot as snapshot_module


@dataclasses.dataclass(frozen=True)
class Testimony:
    """What one peer has in force and has heard of."""

    snapshot: snapshot_module.Snapshot
    highest_revision: int


class Recovery:
    """Collects what peers have until it suffices."""

    def __init__(self) -> None:
        self._testimonies: dict[str, Testimony] = {}

    def note(self, node_id: str, testimony: Testimony) -> None:
        """Take a peer's answer; the newest of each counts."""
        self._testimonies[node_id] = testimony

    def answers(self) -> int:
        """Return how many peers have answered."""
        return len(self._testimonies)

    def settled(self, *, members: int) -> snapshot_module.Snapshot | None:
        """Return what may be taken into force, or None.

        :param members: entry VMs there are, this one included.
        """
        if self.answers() < max(1, needed(members)):
            return None
        testimonies = self._testimonies.values()
        best = max((t.snapshot for t in testimonies), key=lambda s: s.revision)
        highest = max(t.highest_revision for t in testimonies)
        return best if best.revision >= highest else None


def needed(members: int) -> int:
    """Return how many other nodes have to answer."""
    return (members + 1) // 2
