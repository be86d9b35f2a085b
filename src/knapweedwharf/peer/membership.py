"""Membership of entry VMs and exchange of configuration revisions.

Peers exchange heartbeats. A new revision is pushed to all peers; a node
that learns of a newer one from a heartbeat fetches it.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
import typing

from returns import result

from knapweedwharf.adapters import directory as directory_module
from knapweedwharf.configuration import feed as feed_module
from knapweedwharf.configuration import revision as revision_module
from knapweedwharf.configuration import snapshot as snapshot_module
from knapweedwharf import log
from knapweedwharf.peer import heartbeat as heartbeat_module
from knapweedwharf.peer import link
from knapweedwharf.peer.messages import ttypes
from knapweedwharf.peer import recovery as recovery_module
from knapweedwharf.peer import roster as roster_module
from knapweedwharf import settings as settings_module

CALL_TIMEOUT_S = 1.0
PUSH_TIMEOUT_S = 0.25
LIVENESS_TIMEOUT_INTERVALS = 4
FULL_SNAPSHOT = -1
"""``after_revision`` of a fetch that requests a snapshot."""
_SKIP_INTERVAL_FRACTION = 0.75
"""No heartbeat is sent to a peer whose own arrived within this fraction of
an interval: its reply has carried this node's state already."""

JobHandler = typing.Callable[[str, dict], typing.Awaitable[dict | None]]


class Membership:
    """Tracks peers and distributes configuration revisions.

    :ivar peers: the peers by node id.
    :ivar draining: sent to peers, which then forward no new work here.
    :ivar traffic: bytes sent and received so far.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        feed: feed_module.Feed,
        get_room_summary: typing.Callable[[], ttypes.RoomSummary | None],
        job_handler: JobHandler,
        get_running_by_executor: typing.Callable[[], dict[str, int]] = dict,
        store_reachable: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        self._settings = settings
        self._feed = feed
        self._get_room_summary = get_room_summary
        self._get_running_by_executor = get_running_by_executor
        self._store_reachable = store_reachable
        self._job_handler = job_handler
        self._log = log.get("membership")
        self._random = random.Random(settings.node_id)
        self._tasks: set[asyncio.Task] = set()
        self._encoders: dict[str, heartbeat_module.HeartbeatEncoder] = {}
        self._state_sequence = int(time.time() * 1000)
        self._highest_revision = 0
        self._fetching = False
        self._recovery = recovery_module.Recovery()
        self.draining = False
        self.traffic = link.Traffic()
        self._server = link.PeerServer(
            keys=[k.encode() for k in settings.peer_keys()],
            hello_handler=self._on_hello,
            handler=self._handle,
            traffic=self.traffic,
        )
        self._roster = roster_module.Roster(
            own_id=settings.node_id, new_client=self._new_client
        )

    @property
    def peers(self) -> dict[str, roster_module.Peer]:
        """The peers by node id."""
        return self._roster.peers

    async def start(self) -> None:
        """Listen for peers and start sending heartbeats."""
        host, port = self._settings.peer_address.rsplit(":", 1)
        self._server.listen(int(port), host)
        self._spawn(self._send_heartbeats())

    async def close(self) -> None:
        """Stop heartbeats and close connections."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._roster.close()
        self._server.close()

    def update_from_directory(self, vms: list[directory_module.Vm]) -> None:
        """Update the peers from the platform's list of VMs."""
        self._roster.set_listed(vms)

    def live_peers(self) -> list[roster_module.Peer]:
        """Return the peers whose last heartbeat is recent enough."""
        oldest_s = time.monotonic() - self._liveness_timeout_s()
        return [
            peer
            for peer in self.peers.values()
            if peer.last_heartbeat_at_s
            and peer.last_heartbeat_at_s >= oldest_s
        ]

    def peers_reach_store(self) -> bool:
        """Tell whether a live peer of this data centre reaches the store."""
        return any(
            peer.store_reachable
            for peer in self.live_peers()
            if peer.data_centre == self._settings.data_centre
        )

    def owner_of(self, data_centre: str) -> roster_module.Peer | None:
        """Return the live peer that schedules a data centre."""
        owners = [
            peer
            for peer in self.live_peers()
            if peer.room is not None and peer.room.data_centre == data_centre
        ]
        return max(owners, key=lambda peer: peer.room.epoch, default=None)

    async def call_job(
        self, peer: roster_module.Peer, operation: str, body: dict
    ) -> dict | None:
        """Call a peer's scheduling role; return None if it cannot answer."""
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

    async def push(self, revision: revision_module.Revision) -> int:
        """Send an accepted revision to all peers in parallel.

        Returns how many peers confirmed it in force within
        ``PUSH_TIMEOUT_S``.
        """
        push = ttypes.RevisionPush(entries=[revision.encode()])
        calls = [
            self._spawn(self._push_one(peer, push, revision.number))
            for peer in self.peers.values()
        ]
        if not calls:
            return 0
        done, _slow = await asyncio.wait(calls, timeout=PUSH_TIMEOUT_S)
        return sum(call.result() for call in done)

    async def _push_one(
        self,
        peer: roster_module.Peer,
        push: ttypes.RevisionPush,
        number: int,
    ) -> bool:
        outcome = await peer.client.call(
            ttypes.Body(revision_push=push), timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(outcome, result.Failure):
            return False
        reply = outcome.unwrap().acknowledgement
        return reply is not None and reply.revision >= number

    def _liveness_timeout_s(self) -> float:
        return LIVENESS_TIMEOUT_INTERVALS * self._settings.heartbeat_interval_s

    def _spawn(self, coroutine: typing.Coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _new_client(self, node_id: str, address: str) -> link.PeerClient:
        def on_hello_reply(reply: ttypes.HelloReply) -> None:
            self._reset_exchanged_state(node_id)
            for peer in reply.peers or ():
                self._roster.add_or_update(
                    peer.node_id,
                    peer.data_centre,
                    peer.address,
                    replace_address=False,
                )

        return link.PeerClient(
            hello=self._hello,
            address=address,
            key=self._settings.peer_key.encode(),
            traffic=self.traffic,
            on_hello_reply=on_hello_reply,
        )

    def _hello(self, nonce: bytes) -> ttypes.Hello:
        return ttypes.Hello(
            node_id=self._settings.node_id,
            data_centre=self._settings.data_centre,
            address=self._settings.peer_address,
            nonce=nonce,
        )

    def _on_hello(self, hello: ttypes.Hello) -> ttypes.HelloReply:
        peer = self._add_peer(hello)
        self._reset_exchanged_state(hello.node_id)
        if peer is not None:
            peer.last_seen_at_s = time.monotonic()
            peer.client.reset_backoff()
        return ttypes.HelloReply(
            node_id=self._settings.node_id, peers=self._roster.addresses()
        )

    def _add_peer(self, hello: ttypes.Hello) -> roster_module.Peer | None:
        return self._roster.add_or_update(
            hello.node_id,
            hello.data_centre,
            hello.address,
            replace_address=True,
        )

    def _reset_exchanged_state(self, node_id: str) -> None:
        """Forget the states exchanged with a peer; it may have restarted."""
        self._encoder(node_id).reset()
        if node_id in self.peers:
            self.peers[node_id].state_sequence = 0

    def _encoder(self, node_id: str) -> heartbeat_module.HeartbeatEncoder:
        if node_id not in self._encoders:
            self._encoders[node_id] = heartbeat_module.HeartbeatEncoder(
                data_centre=self._settings.data_centre
            )
        return self._encoders[node_id]

    async def _send_heartbeats(self) -> None:
        interval_s = self._settings.heartbeat_interval_s
        while True:
            started_s = time.monotonic()
            for peer in list(self.peers.values()):
                if (
                    started_s - peer.last_request_at_s
                    >= _SKIP_INTERVAL_FRACTION * interval_s
                ):
                    self._spawn(self._send_heartbeat(peer))
            if not self._feed.known:
                self._spawn(self._recover_configuration())
            await asyncio.sleep(
                interval_s * (0.9 + 0.2 * self._random.random())
            )
            self._roster.remove_expired()
            if time.monotonic() - started_s > self._liveness_timeout_s():
                self._on_resume(time.monotonic() - started_s)

    def _on_resume(self, pause_s: float) -> None:
        """Discard the state of peers after this process was paused.

        The pause exceeded the liveness timeout, so that peers may have
        taken this node for failed.
        """
        self._log.warning("node-was-paused", pause_s=round(pause_s, 1))
        for peer in self.peers.values():
            peer.last_heartbeat_at_s = 0.0
            peer.client.close()
        self._server.close_connections()

    def _own_state(self) -> heartbeat_module.OwnState:
        revision = self._feed.current.revision
        self._highest_revision = max(self._highest_revision, revision)
        return heartbeat_module.OwnState(
            revision=revision,
            highest_revision=self._highest_revision,
            known=self._feed.known,
            draining=self.draining,
            store_reachable=self._store_reachable(),
            room=self._get_room_summary(),
            shares=dict(self._get_running_by_executor()),
        )

    def _next_heartbeat(self, node_id: str) -> ttypes.Heartbeat:
        self._state_sequence += 1
        return self._encoder(node_id).message(
            self._own_state(), self._state_sequence
        )

    async def _send_heartbeat(self, peer: roster_module.Peer) -> None:
        heartbeat = self._next_heartbeat(peer.node_id)
        outcome = await peer.client.call(
            ttypes.Body(heartbeat=heartbeat), timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(outcome, result.Failure):
            self._encoder(peer.node_id).reset()
            return
        reply = outcome.unwrap().heartbeat_reply
        if reply is not None and reply.state is not None:
            self._on_peer_state(peer, reply.state)

    def _on_peer_state(
        self, peer: roster_module.Peer, heartbeat: ttypes.Heartbeat
    ) -> None:
        peer.last_heartbeat_at_s = time.monotonic()
        heartbeat_module.apply_heartbeat(peer, heartbeat)
        self._highest_revision = max(
            self._highest_revision,
            heartbeat.highest_revision or 0,
            peer.revision,
        )
        peer_is_newer = peer.revision > self._feed.current.revision
        if peer_is_newer and self._feed.known and not self._fetching:
            self._spawn(self._fetch_newer(peer))

    async def _fetch_newer(self, peer: roster_module.Peer) -> None:
        self._fetching = True
        try:
            push = await self._request_revisions(
                peer, self._feed.current.revision
            )
            if push is not None:
                self._apply_push(push, peer.node_id)
        finally:
            self._fetching = False

    async def _request_revisions(
        self, peer: roster_module.Peer, after_revision: int
    ) -> ttypes.RevisionPush | None:
        fetch = ttypes.RevisionFetch(after_revision=after_revision)
        outcome = await peer.client.call(
            ttypes.Body(revision_fetch=fetch), timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(outcome, result.Failure):
            return None
        return outcome.unwrap().revision_push

    async def _recover_configuration(self) -> None:
        """Load the configuration from peers while the store is down."""
        peers = list(self.peers.values())
        pushes = await asyncio.gather(
            *(self._request_revisions(peer, FULL_SNAPSHOT) for peer in peers)
        )
        for peer, push in zip(peers, pushes):
            if push is None or push.snapshot is None:
                continue
            decoded = snapshot_module.decode(push.snapshot)
            if isinstance(decoded, result.Success):
                peer_configuration = recovery_module.PeerConfiguration(
                    decoded.unwrap(), push.highest_revision or 0
                )
                self._recovery.record(peer.node_id, peer_configuration)
        recovered = self._recovery.recovered_snapshot(
            node_count=1 + len(self.peers)
        )
        if recovered is not None and not self._feed.known:
            self._log.warning(
                "configuration-from-peers",
                revision=recovered.revision,
                answers=self._recovery.answers(),
            )
            self._feed.post(feed_module.SnapshotReceived(recovered, "peers"))

    def _apply_push(self, push: ttypes.RevisionPush, source: str) -> None:
        if push.snapshot is not None and self._feed.known:
            decoded = snapshot_module.decode(push.snapshot)
            if isinstance(decoded, result.Success):
                self._feed.post(
                    feed_module.SnapshotReceived(decoded.unwrap(), source)
                )
        decoded = [revision_module.decode(entry) for entry in push.entries]
        revisions = [
            one.unwrap() for one in decoded if isinstance(one, result.Success)
        ]
        for revision in revisions:
            self._highest_revision = max(
                self._highest_revision, revision.number
            )
        self._feed.post(
            feed_module.RevisionsReceived(tuple(revisions), source)
        )

    async def _handle(
        self, hello: ttypes.Hello, body: ttypes.Body
    ) -> ttypes.Body:
        if body.heartbeat is not None:
            return self._on_heartbeat(hello, body.heartbeat)
        if body.revision_push is not None:
            return await self._on_push(hello, body.revision_push)
        if body.revision_fetch is not None:
            return self._on_fetch(body.revision_fetch)
        if body.job_call is not None:
            return await self._on_job_call(body.job_call)
        return self._acknowledge()

    def _on_heartbeat(
        self, hello: ttypes.Hello, heartbeat: ttypes.Heartbeat
    ) -> ttypes.Body:
        peer = self._add_peer(hello)
        if peer is not None:
            peer.last_request_at_s = time.monotonic()
            self._on_peer_state(peer, heartbeat)
        reply = ttypes.HeartbeatReply(
            state=self._next_heartbeat(hello.node_id)
        )
        return ttypes.Body(heartbeat_reply=reply)

    async def _on_push(
        self, hello: ttypes.Hello, push: ttypes.RevisionPush
    ) -> ttypes.Body:
        self._apply_push(push, hello.node_id)
        await self._feed.wait_handled()
        return self._acknowledge()

    def _acknowledge(self) -> ttypes.Body:
        acknowledgement = ttypes.Acknowledgement(
            revision=self._feed.current.revision
        )
        return ttypes.Body(acknowledgement=acknowledgement)

    def _on_fetch(self, fetch: ttypes.RevisionFetch) -> ttypes.Body:
        push = ttypes.RevisionPush(
            entries=[], highest_revision=self._highest_revision
        )
        entries = None
        if fetch.after_revision != FULL_SNAPSHOT:
            entries = self._feed.revisions_after(fetch.after_revision)
        if entries is not None:
            push.entries = [revision.encode() for revision in entries]
        elif self._feed.known:
            push.snapshot = self._feed.snapshot.encode()
        return ttypes.Body(revision_push=push)

    async def _on_job_call(self, call: ttypes.JobCall) -> ttypes.Body:
        answer = await self._job_handler(
            call.operation, json.loads(call.body_json)
        )
        reply = ttypes.JobReply(
            handled=answer is not None, body_json=json.dumps(answer)
        )
        return ttypes.Body(job_reply=reply)
