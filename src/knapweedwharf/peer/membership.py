"""Which entry VMs there are and what they last said."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time
import typing

from returns import result

from knapweedwharf.adapters import directory as directory_module
from knapweedwharf.configuration import feed as feed_module
from knapweedwharf.configuration import revision as revision_module
from knapweedwharf import log
from knapweedwharf.peer import link
from knapweedwharf.peer.messages import ttypes
from knapweedwharf import settings as settings_module

CALL_TIMEOUT_S = 1.0
SILENCE_FACTOR = 4

JobHandler = typing.Callable[[str, dict], typing.Awaitable[dict | None]]


@dataclasses.dataclass
class Peer:
    """Another entry VM.

    :ivar heard_at_s: monotonic time of its last heartbeat, or 0.
    """

    node_id: str
    data_centre: str
    address: str
    client: link.PeerClient
    heard_at_s: float = 0.0
    revision: int = 0
    draining: bool = False
    room: ttypes.RoomSummary | None = None


class Membership:
    """Peers from the VM list, kept current by heartbeats."""

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        feed: feed_module.Feed,
        own_room: typing.Callable[[], ttypes.RoomSummary | None],
        job_handler: JobHandler,
    ) -> None:
        self._settings = settings
        self._key = settings.peer_key.encode()
        self._feed = feed
        self._own_room = own_room
        self._job_handler = job_handler
        self._log = log.get("membership")
        self._tasks: list[asyncio.Task] = []
        self._server = link.PeerServer(
            node_id=settings.node_id, key=self._key, handler=self._handle
        )
        self.peers: dict[str, Peer] = {}
        self.draining = False

    async def start(self) -> None:
        """Listen for peers and begin to send heartbeats."""
        host, port = self._settings.peer_address.rsplit(":", 1)
        self._server.listen(int(port), host)
        self._tasks.append(asyncio.create_task(self._beat()))

    async def close(self) -> None:
        """Stop heartbeats and drop connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for peer in self.peers.values():
            peer.client.close()
        self._server.close()

    def set_listed(self, vms: list[directory_module.Vm]) -> None:
        """Take the platform's list of entry VMs."""
        listed = {
            vm.vm_id: vm
            for vm in vms
            if vm.kind == directory_module.ENTRY_KIND
            and vm.vm_id != self._settings.node_id
        }
        for node_id in self.peers.keys() - listed.keys():
            self.peers.pop(node_id).client.close()
        for node_id, vm in listed.items():
            known = self.peers.get(node_id)
            if known is None or known.address != vm.address:
                self._add(vm)

    def _add(self, vm: directory_module.Vm) -> None:
        known = self.peers.get(vm.vm_id)
        if known is not None:
            known.client.close()
        self.peers[vm.vm_id] = Peer(
            node_id=vm.vm_id,
            data_centre=vm.data_centre,
            address=vm.address,
            client=link.PeerClient(
                node_id=self._settings.node_id,
                address=vm.address,
                key=self._key,
            ),
        )

    def live_peers(self) -> list[Peer]:
        """Return peers heard from lately."""
        silence_s = SILENCE_FACTOR * self._settings.heartbeat_interval_s
        oldest_s = time.monotonic() - silence_s
        return [p for p in self.peers.values() if p.heard_at_s >= oldest_s]

    def owner_of(self, data_centre: str) -> Peer | None:
        """Return the live peer that schedules a data centre."""
        owners = [
            peer
            for peer in self.live_peers()
            if peer.room is not None and peer.room.data_centre == data_centre
        ]
        return max(owners, key=lambda peer: peer.room.epoch, default=None)

    async def call_job(
        self, peer: Peer, operation: str, body: dict
    ) -> dict | None:
        """Ask a peer's scheduling role; None when it cannot answer."""
        call = ttypes.JobCall(operation=operation, body_json=json.dumps(body))
        outcome = await peer.client.call(
            ttypes.Body(job_call=call), timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(outcome, result.Failure):
            return None
        reply = outcome.unwrap().job_reply
        if reply is None or not reply.handled:
            return None
        return json.loads(reply.body_json)

    async def push(self, revision: revision_module.Revision) -> None:
        """Send an accepted revision to every peer at once."""
        push = ttypes.RevisionPush(entries=[revision.encode()])
        body = ttypes.Body(revision_push=push)
        calls = [
            peer.client.call(body, timeout_s=CALL_TIMEOUT_S)
            for peer in self.peers.values()
        ]
        await asyncio.gather(*calls)

    async def _beat(self) -> None:
        while True:
            calls = [self._beat_one(peer) for peer in self.peers.values()]
            await asyncio.gather(*calls)
            await asyncio.sleep(self._settings.heartbeat_interval_s)

    async def _beat_one(self, peer: Peer) -> None:
        heartbeat = ttypes.Heartbeat(
            node_id=self._settings.node_id,
            data_centre=self._settings.data_centre,
            address=self._settings.peer_address,
            revision=self._feed.current.revision,
            draining=self.draining,
            room=self._own_room(),
        )
        outcome = await peer.client.call(
            ttypes.Body(heartbeat=heartbeat), timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(outcome, result.Failure):
            return
        reply = outcome.unwrap().heartbeat_reply
        if reply is not None and reply.revision > self._feed.current.revision:
            await self._fetch(peer)

    async def _fetch(self, peer: Peer) -> None:
        fetch = ttypes.RevisionFetch(
            after_revision=self._feed.current.revision
        )
        outcome = await peer.client.call(
            ttypes.Body(revision_fetch=fetch), timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(outcome, result.Success):
            push = outcome.unwrap().revision_push
            if push is not None:
                self._take(push)

    def _take(self, push: ttypes.RevisionPush) -> None:
        revisions = tuple(revision_module.decode(e) for e in push.entries)
        self._feed.post(feed_module.EntriesSeen(revisions=revisions))

    async def _handle(self, envelope: ttypes.Envelope) -> ttypes.Body:
        body = envelope.body
        if body.heartbeat is not None:
            return self._on_heartbeat(body.heartbeat)
        if body.revision_push is not None:
            self._take(body.revision_push)
        if body.revision_fetch is not None:
            return self._on_fetch(body.revision_fetch)
        if body.job_call is not None:
            return await self._on_job_call(body.job_call)
        acknowledgement = ttypes.Acknowledgement(
            revision=self._feed.current.revision
        )
        return ttypes.Body(acknowledgement=acknowledgement)

    def _on_heartbeat(self, heartbeat: ttypes.Heartbeat) -> ttypes.Body:
        peer = self.peers.get(heartbeat.node_id)
        if peer is not None:
            peer.heard_at_s = time.monotonic()
            peer.revision = heartbeat.revision
            peer.draining = heartbeat.draining
            peer.room = heartbeat.room
        reply = ttypes.HeartbeatReply(
            node_id=self._settings.node_id,
            revision=self._feed.current.revision,
        )
        return ttypes.Body(heartbeat_reply=reply)

    def _on_fetch(self, fetch: ttypes.RevisionFetch) -> ttypes.Body:
        entries = [
            revision.encode()
            for revision in self._feed.history
            if revision.number > fetch.after_revision
        ]
        return ttypes.Body(revision_push=ttypes.RevisionPush(entries=entries))

    async def _on_job_call(self, call: ttypes.JobCall) -> ttypes.Body:
        answer = await self._job_handler(
            call.operation, json.loads(call.body_json)
        )
        reply = ttypes.JobReply(
            handled=answer is not None, body_json=json.dumps(answer)
        )
        return ttypes.Body(job_reply=reply)
