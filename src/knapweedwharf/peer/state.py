"""What a node says of itself, cut down to what has changed."""

from __future__ import annotations

from collections import abc
import dataclasses

from knapweedwharf.peer.messages import ttypes
from knapweedwharf.peer import roster

WHOLE_EVERY = 15


@dataclasses.dataclass(frozen=True)
class OwnState:
    """The node's state at one moment.

    :ivar known: a configuration is known.
    :ivar shares: requests this node runs by executor.
    """

    revision: int
    highest_revision: int
    known: bool
    draining: bool
    store_reachable: bool
    room: ttypes.RoomSummary | None = None
    shares: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)


class Teller:
    """Remembers what one peer was told last.

    :param data_centre: of this node, to withdraw its room by.
    """

    def __init__(self, *, data_centre: str) -> None:
        self._data_centre = data_centre
        self._told: OwnState | None = None
        self._messages = 0

    def reset(self) -> None:
        """Tell everything next time."""
        self._told = None

    def message(self, state: OwnState, sequence: int) -> ttypes.Heartbeat:
        """Return what the peer does not know yet."""
        if self._messages % WHOLE_EVERY == 0:
            self._told = None
        self._messages += 1
        told = self._told
        self._told = state
        heartbeat = ttypes.Heartbeat(
            revision=state.revision, state_sequence=sequence
        )
        for name in ("highest_revision", "known", "draining"):
            self._set_changed(heartbeat, name, state, told)
        self._set_changed(heartbeat, "store_reachable", state, told)
        if told is None or told.room != state.room:
            heartbeat.room = state.room or self._no_room()
        heartbeat.executors = changed_shares(
            told.shares if told else {}, state.shares
        )
        return heartbeat

    @staticmethod
    def _set_changed(
        heartbeat: ttypes.Heartbeat,
        name: str,
        state: OwnState,
        told: OwnState | None,
    ) -> None:
        value = getattr(state, name)
        if told is None or getattr(told, name) != value:
            setattr(heartbeat, name, value)

    def _no_room(self) -> ttypes.RoomSummary:
        return ttypes.RoomSummary(
            data_centre=self._data_centre,
            free_accelerators=0,
            queued_jobs=0,
            epoch=0,
        )


def changed_shares(
    told: abc.Mapping[str, int], now: abc.Mapping[str, int]
) -> list[ttypes.ExecutorShare] | None:
    """Return the shares that differ; 0 for those that went."""
    changed = {name: n for name, n in now.items() if told.get(name) != n}
    changed.update({name: 0 for name in told if name not in now})
    if not changed:
        return None
    return [
        ttypes.ExecutorShare(executor_id=name, running=running)
        for name, running in sorted(changed.items())
    ]


def take(peer: roster.Peer, heartbeat: ttypes.Heartbeat) -> bool:
    """Note what a peer says; False if something newer came before."""
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
