"""Delta encoding of a node's state in heartbeats."""

from __future__ import annotations

from collections import abc
import dataclasses

from knapweedwharf.peer.messages import ttypes
from knapweedwharf.peer import roster

FULL_STATE_EVERY_MESSAGES = 15


@dataclasses.dataclass(frozen=True)
class OwnState:
    """Snapshot of this node's state.

    :ivar known: the node has a configuration.
    :ivar room: free capacity of the data centre, if this node schedules it.
    :ivar shares: running requests by executor.
    """

    revision: int
    highest_revision: int
    known: bool
    draining: bool
    store_reachable: bool
    room: ttypes.RoomSummary | None = None
    shares: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)


class HeartbeatEncoder:
    """Encodes heartbeats to one peer as changes since the last one.

    :param data_centre: data centre of this node, named when its room is
        withdrawn.
    """

    def __init__(self, *, data_centre: str) -> None:
        self._data_centre = data_centre
        self._last_sent: OwnState | None = None
        self._message_count = 0

    def reset(self) -> None:
        """Send the full state in the next heartbeat."""
        self._last_sent = None

    def message(self, state: OwnState, sequence: int) -> ttypes.Heartbeat:
        """Return a heartbeat with the fields that have changed.

        Every ``FULL_STATE_EVERY_MESSAGES`` messages it has the full state.
        """
        if self._message_count % FULL_STATE_EVERY_MESSAGES == 0:
            self._last_sent = None
        self._message_count += 1
        last_sent = self._last_sent
        self._last_sent = state
        heartbeat = ttypes.Heartbeat(
            revision=state.revision, state_sequence=sequence
        )
        for name in ("highest_revision", "known", "draining"):
            self._set_changed(heartbeat, name, state, last_sent)
        self._set_changed(heartbeat, "store_reachable", state, last_sent)
        if last_sent is None or last_sent.room != state.room:
            heartbeat.room = state.room or self._withdrawn_room()
        heartbeat.executors = changed_shares(
            last_sent.shares if last_sent else {}, state.shares
        )
        return heartbeat

    @staticmethod
    def _set_changed(
        heartbeat: ttypes.Heartbeat,
        name: str,
        state: OwnState,
        last_sent: OwnState | None,
    ) -> None:
        value = getattr(state, name)
        if last_sent is None or getattr(last_sent, name) != value:
            setattr(heartbeat, name, value)

    def _withdrawn_room(self) -> ttypes.RoomSummary:
        return ttypes.RoomSummary(
            data_centre=self._data_centre,
            free_accelerators=0,
            queued_jobs=0,
            epoch=0,
        )


def changed_shares(
    last_sent: abc.Mapping[str, int], current: abc.Mapping[str, int]
) -> list[ttypes.ExecutorShare] | None:
    """Return the shares that differ; removed ones become 0."""
    changed = {
        name: n for name, n in current.items() if last_sent.get(name) != n
    }
    changed.update({name: 0 for name in last_sent if name not in current})
    if not changed:
        return None
    return [
        ttypes.ExecutorShare(executor_id=name, running=running)
        for name, running in sorted(changed.items())
    ]


def apply_heartbeat(peer: roster.Peer, heartbeat: ttypes.Heartbeat) -> bool:
    """Update a peer from its heartbeat.

    Returns False if the heartbeat is not newer than the last one.
    """
    sequence = heartbeat.state_sequence or 0
    if sequence <= peer.state_sequence:
        return False
    peer.state_sequence = sequence
    for name in ("revision", "known", "draining", "store_reachable"):
        value = getattr(heartbeat, name)
        if value is not None:
            setattr(peer, name, value)
    if heartbeat.room is not None:
        peer.room = heartbeat.room if heartbeat.room.epoch else None
    for share in heartbeat.executors or ():
        if share.running:
            peer.shares[share.executor_id] = share.running
        else:
            peer.shares.pop(share.executor_id, None)
    return True
