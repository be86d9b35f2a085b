"""HTTP test double of the platform: key-value store and VM list.

Implements the subset of the etcd v3 JSON gateway that the store adapter
uses, and ``GET /vms``. Each data centre has its own port, so that it can
be partitioned from the platform on its own. ``POST /control`` sets fault
switches, ``GET /counts`` returns the number of calls by kind.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import sys
import time

import click
from tornado import web

MAX_VALUE_BYTES = 1_048_576
LOG_LENGTH = 10_000
LEASE_CHECK_S = 0.1


@dataclasses.dataclass
class Record:
    """Value of a key and the version of its last write."""

    value: str
    version: int
    lease_id: int


@dataclasses.dataclass
class Lease:
    """A lease and its expiry time on the monotonic clock."""

    ttl_s: float
    lapses_at_s: float


@dataclasses.dataclass
class Faults:
    """Fault switches of the platform.

    :ivar outage: no call is answered.
    :ivar delay_s: delay added to each call.
    :ivar lose_answers: number of next writes that take effect without
        an answer.
    :ivar drop_events: number of next watch batches that are dropped.
    :ivar cut: data centres whose port does not answer.
    :ivar vms_lag_s: age of the list of VMs that is returned.
    :ivar vms_outage: requests for the list of VMs are not answered.
    :ivar vms_empty: the list of VMs is empty.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    drop_events: int = 0
    cut: list[str] = dataclasses.field(default_factory=list)
    vms_lag_s: float = 0.0
    vms_outage: bool = False
    vms_empty: bool = False


class Keys:
    """Keys, leases and the change log that watchers read."""

    def __init__(self) -> None:
        self.records: dict[bytes, Record] = {}
        self.leases: dict[int, Lease] = {}
        self.version = 1
        self.log: list[tuple[int, str, bytes, Record | None]] = []
        self.compacted = 0
        self.changed = asyncio.Condition()

    def append_change(
        self, kind: str, key: bytes, record: Record | None
    ) -> None:
        """Append a change to the log; compacts old changes."""
        self.log.append((self.version, kind, key, record))
        if len(self.log) > 2 * LOG_LENGTH:
            self.compact(keep=LOG_LENGTH)

    def compact(self, *, keep: int = 0) -> None:
        """Drop all changes except the newest ``keep`` ones."""
        dropped = self.log[: len(self.log) - keep]
        if dropped:
            self.compacted = dropped[-1][0]
            del self.log[: len(dropped)]

    def set(self, key: bytes, value: str, lease_id: int) -> None:
        """Write a key."""
        self.version += 1
        self.records[key] = Record(value, self.version, lease_id)
        self.append_change("PUT", key, self.records[key])

    def remove(self, key: bytes) -> None:
        """Delete a key."""
        if self.records.pop(key, None) is not None:
            self.version += 1
            self.append_change("DELETE", key, None)

    def end_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease_id, None)
        for key in [
            k for k, r in self.records.items() if r.lease_id == lease_id
        ]:
            self.remove(key)


class PlatformState:
    """State of the platform, shared by all ports."""

    def __init__(self, vms: list[dict] | dict[str, list[dict]]) -> None:
        self.keys = Keys()
        self.faults = Faults()
        self.counts: dict[str, int] = {}
        self.vm_lists = [(0.0, vms)]

    def set_vms(self, vms: list[dict]) -> None:
        """Replace the list of VMs; readers see it after ``vms_lag_s``."""
        self.vm_lists.append((time.monotonic(), vms))

    def vms(self) -> list[dict]:
        """Return the list of VMs as it was ``vms_lag_s`` ago."""
        if self.faults.vms_empty:
            return []
        newest_s = time.monotonic() - self.faults.vms_lag_s
        old = [vms for at_s, vms in self.vm_lists if at_s <= newest_s]
        return old[-1] if old else self.vm_lists[0][1]

    def vms_seen_by(self, data_centre: str) -> list[dict]:
        """Return the list of VMs as a data centre sees it."""
        vms = self.vms()
        if isinstance(vms, dict):
            return vms.get(data_centre, [])
        return vms

    async def expire(self) -> None:
        """End expired leases, periodically."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now_s = time.monotonic()
            for lease_id, lease in list(self.keys.leases.items()):
                if lease.lapses_at_s < now_s:
                    self.keys.end_lease(lease_id)
                    await self.notify_watchers()

    async def notify_watchers(self) -> None:
        """Notify watchers of a change."""
        async with self.keys.changed:
            self.keys.changed.notify_all()


class Handler(web.RequestHandler):
    """Base handler: applies faults and counts calls."""

    kind = ""

    def initialize(self, world: PlatformState, data_centre: str) -> None:
        """Store the platform's state and the port's data centre."""
        self.world = world
        self.data_centre = data_centre

    def reachable(self) -> bool:
        """Return whether this port answers now."""
        faults = self.world.faults
        return not faults.outage and self.data_centre not in faults.cut

    async def prepare(self) -> None:
        """Count the call and apply the faults."""
        if not self.reachable():
            self.request.connection.stream.close()
            raise web.Finish()
        counts = self.world.counts
        counts[self.kind] = counts.get(self.kind, 0) + 1
        if self.world.faults.delay_s:
            await asyncio.sleep(self.world.faults.delay_s)

    def body(self) -> dict:
        """Return the JSON body."""
        return json.loads(self.request.body)

    def header(self) -> dict:
        """Return the response header with the store's version."""
        return {"revision": str(self.world.keys.version)}

    def reply_to_write(self, document: dict) -> None:
        """Answer a write, or close the connection if answers are lost."""
        if self.world.faults.lose_answers > 0:
            self.world.faults.lose_answers -= 1
            self.request.connection.stream.close()
            return
        self.write(document)


class Range(Handler):
    """Reads one key or a range."""

    kind = "read"

    async def post(self) -> None:
        """Answer ``/v3/kv/range``."""
        asked = self.body()
        start = base64.b64decode(asked["key"])
        end = base64.b64decode(asked.get("range_end", ""))
        keys = self.world.keys
        found = [
            (key, record)
            for key, record in sorted(keys.records.items())
            if key == start or (end and start <= key < end)
        ][: int(asked.get("limit", 0)) or None]
        self.write(
            {
                "header": self.header(),
                "kvs": [encode_record(key, record) for key, record in found],
            }
        )


class Txn(Handler):
    """A transaction: one compare on MOD, then one put or delete."""

    kind = "write"

    async def post(self) -> None:
        """Answer ``/v3/kv/txn``."""
        asked = self.body()
        compare = asked["compare"][0]
        key = base64.b64decode(compare["key"])
        record = self.world.keys.records.get(key)
        version = record.version if record else 0
        succeeded = version == int(compare.get("modRevision", 0))
        if succeeded and not self.apply(asked["success"][0]):
            self.set_status(400)
            self.write({"error": "value too large or lease unknown"})
            return
        if succeeded:
            await self.world.notify_watchers()
        self.reply_to_write({"header": self.header(), "succeeded": succeeded})

    def apply(self, operation: dict) -> bool:
        """Apply an operation; return whether it is valid."""
        keys = self.world.keys
        if "requestDeleteRange" in operation:
            key = operation["requestDeleteRange"]["key"]
            keys.remove(base64.b64decode(key))
            return True
        put = operation["requestPut"]
        lease_id = int(put.get("lease", 0))
        if lease_id and lease_id not in keys.leases:
            return False
        if len(put["value"]) * 3 // 4 > MAX_VALUE_BYTES:
            return False
        keys.set(base64.b64decode(put["key"]), put["value"], lease_id)
        return True


class Grant(Handler):
    """Grants a lease."""

    kind = "lease"

    async def post(self) -> None:
        """Answer ``/v3/lease/grant``."""
        ttl_s = float(self.body()["TTL"])
        lease_id = int(time.time_ns() % (1 << 53))
        now_s = time.monotonic()
        self.world.keys.leases[lease_id] = Lease(ttl_s, now_s + ttl_s)
        self.reply_to_write({"ID": str(lease_id), "TTL": str(int(ttl_s))})


class KeepAlive(Handler):
    """Renews a lease."""

    kind = "lease"

    async def post(self) -> None:
        """Answer ``/v3/lease/keepalive``."""
        lease = self.world.keys.leases.get(int(self.body()["ID"]))
        if lease is None:
            self.write({"result": {"TTL": "0"}})
            return
        lease.lapses_at_s = time.monotonic() + lease.ttl_s
        self.reply_to_write({"result": {"TTL": str(int(lease.ttl_s))}})


class Revoke(Handler):
    """Ends a lease."""

    kind = "lease"

    async def post(self) -> None:
        """Answer ``/v3/lease/revoke``."""
        self.world.keys.end_lease(int(self.body()["ID"]))
        await self.world.notify_watchers()
        self.reply_to_write({"header": self.header()})


class Watch(Handler):
    """Streams changes of a range, one JSON line per batch."""

    kind = "watch"

    async def post(self) -> None:
        """Answer ``/v3/watch``."""
        asked = self.body()["create_request"]
        start = base64.b64decode(asked["key"])
        end = base64.b64decode(asked["range_end"])
        after = int(asked["start_revision"]) - 1
        keys = self.world.keys
        if after < keys.compacted:
            self.write(json.dumps({"result": self.compaction_notice()}) + "\n")
            return
        while self.reachable():
            events = [
                encode_event(kind, key, record, version)
                for version, kind, key, record in keys.log
                if version > after and start <= key < end
            ]
            after = keys.version
            if events and self.world.faults.drop_events > 0:
                self.world.faults.drop_events -= 1
                events = []
            if events:
                line = {"result": {"header": self.header(), "events": events}}
                self.write(json.dumps(line) + "\n")
                await self.flush()
            async with keys.changed:
                if keys.version == after:
                    await keys.changed.wait()
        self.request.connection.stream.close()

    def compaction_notice(self) -> dict:
        """Return the answer to a watch that starts at a compacted version."""
        return {
            "header": self.header(),
            "canceled": True,
            "compact_revision": str(self.world.keys.compacted + 1),
        }

    def on_connection_close(self) -> None:
        """Do nothing when the client disconnects."""


class Vms(Handler):
    """Returns the list of VMs, possibly outdated."""

    kind = "vms"

    async def get(self) -> None:
        """Answer ``/vms``."""
        self.set_header("Content-Type", "application/json")
        if self.world.faults.vms_outage:
            self.request.connection.stream.close()
            return
        self.write(json.dumps(self.world.vms_seen_by(self.data_centre)))


class Control(Handler):
    """Sets faults and the VM list; never counted or faulty."""

    async def prepare(self) -> None:
        """Skip the faults."""

    async def post(self) -> None:
        """Set fault switches or the list of VMs."""
        asked = self.body()
        if "vms" in asked:
            self.world.set_vms(asked.pop("vms"))
        if asked.pop("compact", False):
            self.world.keys.compact()
        for name, value in asked.items():
            setattr(self.world.faults, name, value)
        await self.world.notify_watchers()
        self.write(dataclasses.asdict(self.world.faults))

    async def get(self) -> None:
        """Return the number of calls so far, by kind."""
        self.write(self.world.counts)


def encode_record(key: bytes, record: Record) -> dict:
    """Encode a key in the form of the gateway."""
    return {
        "key": base64.b64encode(key).decode(),
        "value": record.value,
        "mod_revision": str(record.version),
    }


def encode_event(
    kind: str, key: bytes, record: Record | None, version: int
) -> dict:
    """Encode a change in the form of the gateway."""
    if record is None:
        encoded = base64.b64encode(key).decode()
        document = {"key": encoded, "mod_revision": str(version)}
        return {"type": kind, "kv": document}
    return {"type": kind, "kv": encode_record(key, record)}


def application(world: PlatformState, data_centre: str) -> web.Application:
    """Build the application of one port."""
    shared = {"world": world, "data_centre": data_centre}
    return web.Application(
        [
            (r"/v3/kv/range", Range, shared),
            (r"/v3/kv/txn", Txn, shared),
            (r"/v3/lease/grant", Grant, shared),
            (r"/v3/lease/keepalive", KeepAlive, shared),
            (r"/v3/lease/revoke", Revoke, shared),
            (r"/v3/watch", Watch, shared),
            (r"/vms", Vms, shared),
            (r"/control", Control, shared),
            (r"/counts", Control, shared),
        ],
        log_function=lambda handler: None,
    )


async def _serve(ports: list[tuple[str, int]], vms) -> None:
    world = PlatformState(vms)
    for data_centre, port in ports:
        application(world, data_centre).listen(port, "127.0.0.1")
    await world.expire()


@click.command()
@click.option("--port", "ports", multiple=True, help="DATA-CENTRE=PORT")
@click.option("--vms", type=click.File(), default=None)
def main(ports: tuple[str, ...], vms) -> None:
    """Run the simulated platform until it is stopped."""
    pairs = [item.split("=") for item in ports]
    listed = json.load(vms) if vms else []
    try:
        asyncio.run(_serve([(name, int(p)) for name, p in pairs], listed))
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    main()
