"""Recovery of the configuration from peers while the store is down.

A restarted node has lost the configuration that it had in force. It
adopts a snapshot of its peers only once enough of them have answered
that at least one must hold every revision that was known to be in
force on half of the other nodes, and only if no answer mentions a newer
revision. Until then the node has no configuration and is not ready.
"""

from __future__ import annotations

import dataclasses

from knapweedwharf.configuration import snapshot as snapshot_module


@dataclasses.dataclass(frozen=True)
class PeerConfiguration:
    """One peer's answer.

    :ivar snapshot: the configuration that the peer has in force.
    :ivar highest_revision: the newest revision that the peer knows of.
    """

    snapshot: snapshot_module.Snapshot
    highest_revision: int


class Recovery:
    """Collects the peers' answers until they are enough."""

    def __init__(self) -> None:
        self._configurations: dict[str, PeerConfiguration] = {}

    def record(self, node_id: str, configuration: PeerConfiguration) -> None:
        """Record a peer's answer; it replaces its previous one."""
        self._configurations[node_id] = configuration

    def answers(self) -> int:
        """Return how many peers have answered."""
        return len(self._configurations)

    def recovered_snapshot(
        self, *, node_count: int
    ) -> snapshot_module.Snapshot | None:
        """Return the snapshot that is safe to adopt, or None.

        :param node_count: number of entry VMs, including this one.
        """
        if self.answers() < max(1, required_answers(node_count)):
            return None
        configurations = self._configurations.values()
        newest = max(
            (answer.snapshot for answer in configurations),
            key=lambda s: s.revision,
        )
        highest = max(answer.highest_revision for answer in configurations)
        return newest if newest.revision >= highest else None


def required_answers(node_count: int) -> int:
    """Return how many other nodes have to answer before recovery."""
    return (node_count + 1) // 2
