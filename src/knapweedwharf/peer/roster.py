"""Which entry VMs a node talks to, from the list and from themselves.

The platform's list lags, goes out and can be wrong. A peer that is
heard stays although the list lacks it; a peer that is neither listed
nor heard goes after a while. A node that the list lacks introduces
itself by its authenticated first frame.
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
FORGET_S = 60.0
HEARD_S = 10.0

ClientFactory = typing.Callable[[str, str], link.PeerClient]
"""(node id, address) to a client."""


@dataclasses.dataclass
class Peer:
    """Another entry VM.

    :ivar listed: the platform's last list that was believed names it.
    :ivar seen_at_s: monotonic time when it was listed or heard last.
    :ivar heard_at_s: monotonic time of its last heartbeat, or 0.
    :ivar asked_at_s: monotonic time when it last began an exchange.
    :ivar shares: requests it runs by executor.
    """

    node_id: str
    data_centre: str
    address: str
    client: link.PeerClient
    listed: bool = False
    seen_at_s: float = 0.0
    heard_at_s: float = 0.0
    asked_at_s: float = 0.0
    revision: int = 0
    known: bool = False
    draining: bool = False
    store_reachable: bool = False
    room: ttypes.RoomSummary | None = None
    shares: dict[str, int] = dataclasses.field(default_factory=dict)
    state_sequence: int = 0


class Roster:
    """The peers by node id.

    :param own_id: never a peer of itself.
    """

    def __init__(self, *, own_id: str, new_client: ClientFactory) -> None:
        self._own_id = own_id
        self._new_client = new_client
        self.peers: dict[str, Peer] = {}

    def close(self) -> None:
        """Drop every connection."""
        for peer in self.peers.values():
            peer.client.close()

    def set_listed(self, vms: abc.Iterable[directory_module.Vm]) -> None:
        """Take the platform's list of entry VMs.

        An empty list is not believed: this node runs. Its address does
        not replace that of a peer that is heard: the list lags.
        """
        entries = [vm for vm in vms if vm.kind == directory_module.ENTRY_KIND]
        if not entries:
            return
        now_s = time.monotonic()
        for peer in self.peers.values():
            peer.listed = False
        for vm in entries:
            peer = self.introduce(
                vm.vm_id,
                vm.data_centre,
                vm.address,
                moves=not self._heard(vm.vm_id, now_s),
            )
            if peer is not None:
                peer.listed = True
                peer.seen_at_s = now_s

    def introduce(
        self, node_id: str, data_centre: str, address: str, *, moves: bool
    ) -> Peer | None:
        """Return the peer, added if need be.

        :param moves: the address replaces one that is known.
        """
        if node_id == self._own_id:
            return None
        known = self.peers.get(node_id)
        if known is not None and (known.address == address or not moves):
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
            seen_at_s=time.monotonic(),
        )
        return self.peers[node_id]

    def _heard(self, node_id: str, now_s: float) -> bool:
        peer = self.peers.get(node_id)
        return (
            peer is not None
            and peer.heard_at_s > 0
            and now_s - peer.heard_at_s < HEARD_S
        )

    def forget_silent(self) -> None:
        """Remove peers that are neither listed nor heard any more."""
        oldest_s = time.monotonic() - FORGET_S
        for node_id, peer in list(self.peers.items()):
            if peer.listed or max(peer.seen_at_s, peer.heard_at_s) > oldest_s:
                continue
            self.peers.pop(node_id).client.close()

    def addresses(self) -> list[ttypes.PeerAddress]:
        """Return where the peers are, for a node that has no list."""
        return [
            ttypes.PeerAddress(
                node_id=peer.node_id,
                data_centre=peer.data_centre,
                address=peer.address,
            )
            for peer in self.peers.values()
        ]
