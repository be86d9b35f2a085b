"""Peer list, recovery from peers and heartbeats."""

from __future__ import annotations

import asyncio
import dataclasses

from returns import result

from knapweedwharf.adapters import directory
from knapweedwharf.configuration import feed as feed_module
from knapweedwharf.configuration import publish
from knapweedwharf.configuration import snapshot as snapshot_module
from knapweedwharf.peer import heartbeat
from knapweedwharf.peer import membership as membership_module
from knapweedwharf.peer.messages import ttypes
from knapweedwharf.peer import recovery
from knapweedwharf.peer import roster as roster_module
from knapweedwharf import settings as settings_module
from standins import fleet
from testing.adapters import memory_store

INTERVAL_S = 0.05
KEY = "the-shared-key-of-the-tests"


class Member:
    """The configuration feed and membership of one node."""

    def __init__(
        self, number: int, store: memory_store.MemoryStore, port: int = 0
    ) -> None:
        self.store = store
        self.settings = settings_module.Settings(
            node_id=f"node-{number}",
            data_centre="a",
            http_address="127.0.0.1:1",
            peer_address=f"127.0.0.1:{port or fleet.free_port()}",
            platform_url="http://127.0.0.1:1",
            peer_key=KEY,
            heartbeat_interval_s=INTERVAL_S,
        )
        self.feed = feed_module.Feed(store=store, seed=number)
        self.seen: list[int] = []
        self.feed.add_listener(lambda c: self.seen.append(c.revision))
        self.publisher = publish.Publisher(store=store, feed=self.feed)
        self.membership = membership_module.Membership(
            settings=self.settings,
            feed=self.feed,
            get_room_summary=lambda: None,
            job_handler=None,
            store_reachable=lambda: not store.down,
        )

    @property
    def vm(self) -> directory.Vm:
        """The entry of this node in the platform's list."""
        return directory.Vm(
            vm_id=self.settings.node_id,
            kind=directory.ENTRY_KIND,
            data_centre="a",
            address=self.settings.peer_address,
        )

    async def start(self, vms: list[directory.Vm]) -> None:
        """Start the feed and membership with a list of VMs."""
        await self.feed.start()
        await self.membership.start()
        self.membership.update_from_directory(vms)

    async def close(self) -> None:
        """Stop membership and feed."""
        await self.membership.close()
        await self.feed.close()

    async def apply(self, timeout_s: int) -> publish.Outcome:
        """Publish a change without pushing it."""
        change = publish.Change(
            base_revision=self.feed.current.revision,
            changed={"1.toml": f"[service.s]\ntimeout_s = {timeout_s}\n"},
            actor="operator",
        )
        return await self.publisher.publish(change)


async def _until(condition) -> None:
    while not condition():
        await asyncio.sleep(INTERVAL_S / 5)


def _run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 30))


async def _members(count: int, store) -> list[Member]:
    members = [Member(number, store) for number in range(count)]
    for member in members:
        await member.start([other.vm for other in members])
    for member in members:
        await _until(lambda m=member: len(m.membership.live_peers()) >= 2)
    return members


def test_restarted_node_takes_the_newest_of_enough_peers() -> None:
    async def scenario() -> None:
        store = memory_store.MemoryStore()
        members = await _members(3, store)
        await members[0].apply(1)
        await members[0].apply(2)
        revision = members[0].feed.history[-1]
        await members[0].membership.push(revision)
        for member in members:
            await _until(lambda m=member: m.feed.current.revision == 2)
        store.down = True
        store.cut_watches()
        port = int(members[2].settings.peer_address.rsplit(":", 1)[1])
        await members[2].close()
        again = Member(2, store, port=port)
        await again.start([])
        assert not again.feed.known
        await _until(lambda: again.feed.known)
        assert again.seen == [2]
        assert not again.feed.confirmed
        store.down = False
        await _until(lambda: again.feed.confirmed)
        assert again.feed.current.revision == 2
        for member in (members[0], members[1], again):
            await member.close()

    _run(scenario)


def test_node_without_enough_peers_takes_nothing() -> None:
    async def scenario() -> None:
        store = memory_store.MemoryStore()
        members = await _members(3, store)
        await members[0].apply(1)
        for member in members:
            await _until(lambda m=member: m.feed.current.revision == 1)
        store.down = True
        store.cut_watches()
        vms = [member.vm for member in members]
        await members[1].close()
        port = int(members[2].settings.peer_address.rsplit(":", 1)[1])
        await members[2].close()
        again = Member(2, store, port=port)
        await again.start(vms)
        await _until(lambda: again.membership._recovery.answers() == 1)
        await asyncio.sleep(4 * INTERVAL_S)
        assert not again.feed.known
        assert again.seen == []
        await members[0].close()
        await again.close()

    _run(scenario)


def test_peers_that_know_of_a_newer_revision_do_not_suffice() -> None:
    old = recovery.PeerConfiguration(snapshot_module.Snapshot(revision=9), 9)
    knowing = recovery.PeerConfiguration(
        snapshot_module.Snapshot(revision=9), 10
    )
    collected = recovery.Recovery()
    collected.record("a", old)
    assert collected.recovered_snapshot(node_count=4) is None
    collected.record("b", knowing)
    assert collected.recovered_snapshot(node_count=4) is None
    newest = recovery.PeerConfiguration(
        snapshot_module.Snapshot(revision=10), 10
    )
    collected.record("b", newest)
    assert collected.recovered_snapshot(node_count=4).revision == 10
    assert collected.recovered_snapshot(node_count=5) is None


def test_cut_off_node_learns_by_heartbeat_and_fetch() -> None:
    async def scenario() -> None:
        store = memory_store.MemoryStore()
        cut_store = memory_store.MemoryStore()
        members = [Member(0, store), Member(1, store), Member(2, cut_store)]
        for member in members:
            await member.start([other.vm for other in members])
        await _until(lambda: members[2].feed.known)
        cut_store.down = True
        for number in range(5):
            assert isinstance(
                await members[0].apply(number + 1), result.Success
            )
        await _until(lambda: members[2].feed.current.revision == 5)
        assert members[2].seen == sorted(set(members[2].seen))
        for member in members:
            await member.close()

    _run(scenario)


def _roster() -> roster_module.Roster:
    class Client:
        """Has nothing to close."""

        def close(self) -> None:
            """Do nothing."""

    return roster_module.Roster(
        own_id="own", new_client=lambda node_id, address: Client()
    )


def _vm(number: int, port: int) -> directory.Vm:
    return directory.Vm(
        vm_id=f"n{number}",
        kind=directory.ENTRY_KIND,
        data_centre="a",
        address=f"127.0.0.1:{port}",
    )


def test_empty_or_short_list_removes_nobody_who_is_heard(monkeypatch) -> None:
    roster = _roster()
    clock = [100.0]
    monkeypatch.setattr(roster_module.time, "monotonic", lambda: clock[0])
    roster.set_listed([_vm(1, 1), _vm(2, 2)])
    clock[0] += 2 * roster_module.PEER_EXPIRY_S
    roster.set_listed([])
    roster.remove_expired()
    assert sorted(roster.peers) == ["n1", "n2"]
    roster.peers["n1"].last_heartbeat_at_s = clock[0]
    roster.set_listed([_vm(3, 3)])
    roster.remove_expired()
    assert sorted(roster.peers) == ["n1", "n3"]


def test_lagging_list_does_not_move_a_peer_that_is_heard() -> None:
    roster = _roster()
    roster.set_listed([_vm(1, 1)])
    peer = roster.add_or_update("n1", "a", "127.0.0.1:9", replace_address=True)
    peer.last_heartbeat_at_s = peer.last_seen_at_s
    roster.set_listed([_vm(1, 1)])
    assert roster.peers["n1"].address == "127.0.0.1:9"


def test_introductions_are_bounded() -> None:
    roster = _roster()
    for number in range(2 * roster_module.MAX_PEERS):
        roster.add_or_update(
            f"n{number}", "a", f"127.0.0.1:{number}", replace_address=False
        )
    assert len(roster.peers) == roster_module.MAX_PEERS


def test_state_travels_as_changes_and_old_state_is_ignored() -> None:
    encoder = heartbeat.HeartbeatEncoder(data_centre="a")
    own = heartbeat.OwnState(
        revision=3,
        highest_revision=3,
        known=True,
        draining=False,
        store_reachable=True,
        shares={"e1": 2, "e2": 1},
    )
    peer = _roster().add_or_update(
        "n1", "a", "127.0.0.1:1", replace_address=True
    )
    first = encoder.message(own, 1)
    assert heartbeat.apply_heartbeat(peer, first)
    changed = dataclasses.replace(own, draining=True, shares={"e1": 2})
    second = encoder.message(changed, 2)
    assert second.known is None and second.room is None
    assert [s.executor_id for s in second.executors] == ["e2"]
    assert heartbeat.apply_heartbeat(peer, second)
    assert not heartbeat.apply_heartbeat(peer, first)
    assert (peer.draining, peer.known, peer.shares) == (True, True, {"e1": 2})


def test_room_is_withdrawn_with_the_role() -> None:
    encoder = heartbeat.HeartbeatEncoder(data_centre="a")
    room = ttypes.RoomSummary("a", 4, 0, 2)
    own = heartbeat.OwnState(1, 1, True, False, True, room=room)
    peer = _roster().add_or_update(
        "n1", "a", "127.0.0.1:1", replace_address=True
    )
    heartbeat.apply_heartbeat(peer, encoder.message(own, 1))
    assert peer.room == room
    heartbeat.apply_heartbeat(
        peer, encoder.message(dataclasses.replace(own, room=None), 2)
    )
    assert peer.room is None
