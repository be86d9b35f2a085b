"""The peers of a node, from the platform's list and from their hellos.

The platform's list of VMs may be stale, unavailable or wrong. A peer
that sends heartbeats is kept even if the list lacks it; a peer that is
neither listed nor heard from expires. An unlisted node is added when
its authenticated hello arrives.
"""

from __future__ import annotations

from collections import abc
import dataclasses
import time
import typing

from knapweedwharf.adapters import directory as directory_module
from knapweedwharf.peer import link
from knapweedwharf.peer.messages import ttypes

MAX_PEERS = 64
PEER_EXPIRY_S = 60.0
RECENT_HEARTBEAT_S = 10.0

ClientFactory = typing.Callable[[str, str], link.PeerClient]
"""Creates a client for (node id, address)."""


@dataclasses.dataclass
class Peer:
    """Another entry VM.

    :ivar listed: the last accepted list of the platform contains it.
    :ivar last_seen_at_s: monotonic time when it was added, last listed or
        last said hello.
    :ivar last_heartbeat_at_s: monotonic time of its last heartbeat, or 0.
    :ivar last_request_at_s: monotonic time of the last heartbeat that it
        sent by itself, not as a reply.
    :ivar known: it has a configuration.
    :ivar room: free capacity of the data centre that it schedules.
    :ivar shares: running requests by executor.
    """

    node_id: str
    data_centre: str
    address: str
    client: link.PeerClient
    listed: bool = False
    last_seen_at_s: float = 0.0
    last_heartbeat_at_s: float = 0.0
    last_request_at_s: float = 0.0
    revision: int = 0
    known: bool = False
    draining: bool = False
    store_reachable: bool = False
    room: ttypes.RoomSummary | None = None
    shares: dict[str, int] = dataclasses.field(default_factory=dict)
    state_sequence: int = 0


class Roster:
    """The peers by node id.

    :param own_id: this node's id, which is never added as a peer.
    """

    def __init__(self, *, own_id: str, new_client: ClientFactory) -> None:
        self._own_id = own_id
        self._new_client = new_client
        self.peers: dict[str, Peer] = {}

    def close(self) -> None:
        """Close every connection."""
        for peer in self.peers.values():
            peer.client.close()

    def set_listed(self, vms: abc.Iterable[directory_module.Vm]) -> None:
        """Update the peers from the platform's list of VMs.

        A list without entry VMs is wrong, because this node is running;
        it is ignored. The list may be stale: its address does not
        replace that of a peer with a recent heartbeat.
        """
        entries = [vm for vm in vms if vm.kind == directory_module.ENTRY_KIND]
        if not entries:
            return
        now_s = time.monotonic()
        for peer in self.peers.values():
            peer.listed = False
        for vm in entries:
            peer = self.add_or_update(
                vm.vm_id,
                vm.data_centre,
                vm.address,
                replace_address=not self._recently_heard(vm.vm_id, now_s),
            )
            if peer is not None:
                peer.listed = True
                peer.last_seen_at_s = now_s

    def add_or_update(
        self,
        node_id: str,
        data_centre: str,
        address: str,
        *,
        replace_address: bool,
    ) -> Peer | None:
        """Return the peer; add it if it is unknown.

        Returns None for this node's own id, and for an unknown one when
        there are ``MAX_PEERS`` already.

        :param replace_address: a different address replaces the known one.
        """
        if node_id == self._own_id:
            return None
        known = self.peers.get(node_id)
        if known is not None and (
            known.address == address or not replace_address
        ):
            return known
        if known is None and len(self.peers) >= MAX_PEERS:
            return None
        if known is not None:
            known.client.close()
        self.peers[node_id] = Peer(
            node_id=node_id,
            data_centre=data_centre,
            address=address,
            client=self._new_client(node_id, address),
            last_seen_at_s=time.monotonic(),
        )
        return self.peers[node_id]

    def _recently_heard(self, node_id: str, now_s: float) -> bool:
        peer = self.peers.get(node_id)
        return (
            peer is not None
            and peer.last_heartbeat_at_s > 0
            and now_s - peer.last_heartbeat_at_s < RECENT_HEARTBEAT_S
        )

    def remove_expired(self) -> None:
        """Remove unlisted peers that were not heard from lately."""
        oldest_s = time.monotonic() - PEER_EXPIRY_S
        for node_id, peer in list(self.peers.items()):
            if (
                peer.listed
                or max(peer.last_seen_at_s, peer.last_heartbeat_at_s)
                > oldest_s
            ):
                continue
            self.peers.pop(node_id).client.close()

    def addresses(self) -> list[ttypes.PeerAddress]:
        """Return the peers' addresses, for a node without a list."""
        return [
            ttypes.PeerAddress(
                node_id=peer.node_id,
                data_centre=peer.data_centre,
                address=peer.address,
            )
            for peer in self.peers.values()
        ]
