"""Stand-ins for the scripts of the third review, after the users' pages.

One asyncio program plays the platform's store, the executors and the
clients on loopback addresses; the project's processes are started with
the command of the deploy file. Only Python's own library is used.

A task's specification says what it does: ``{"run_s": 2}``.
"""

from __future__ import annotations

import asyncio
import base64
from collections import abc
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = os.environ.get("REVIEW_DEPS") or str(ROOT / "target/deps")
"""What the build of the deploy file has made."""

BEAT_S = 1.5
HISTORY_S = 20.0
PAGE_ITEMS = 500
MEMORY_MB = 300
RESTART_S = 0.5
FAILS_AFTER_S = 0.2
GANG_WAIT_S = 3.0
HOST = "shed.example"

Answer = tuple[int, dict]
Handler = abc.Callable[..., abc.Awaitable[Answer | None]]


def now_s() -> float:
    """Return seconds on a steady clock."""
    return time.monotonic()


class Server:
    """A small HTTP/1.1 server; ``stop`` ends it as a crash does.

    A handler that returns None leaves its request without an answer.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on a loopback address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _version = first.split(" ", 2)
                headers = {}
                for line in lines:
                    name, colon, value = line.partition(":")
                    if colon:
                        headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query))
                document = json.loads(body) if body else {}
                answer = await self._handler(
                    method, parts.path, query, headers, document
                )
                if answer is None:
                    await asyncio.sleep(3600)
                    return
                status, reply = answer
                data = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store: linearizable, with leases and history."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.revision = 7
        self._events: list[tuple[float, dict]] = []
        self._dropped = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_id = 100
        self._changed = asyncio.Condition()
        self.server = Server(self._handle)

    async def _handle(self, method, path, query, headers, document):
        await asyncio.sleep(0.004)
        await self._expire()
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, {**item, "at": self.revision}
        if path == "/kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return await self._commit(document)
        if path == "/kv-lease":
            self._lease_id += 1
            ttl_s = document["ttl_ms"] / 1000
            self._leases[self._lease_id] = (now_s() + ttl_s, ttl_s)
            return 200, {
                "lease": self._lease_id,
                "ttl_ms": document["ttl_ms"],
            }
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self._leases:
                return 404, {}
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (now_s() + ttl_s, ttl_s)
            return 200, {"ttl_ms": int(ttl_s * 1000)}
        if path.startswith("/kv-lease-end/"):
            await self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def _range(self, prefix: str, after: str) -> dict:
        found = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = found[:PAGE_ITEMS]
        return {
            "items": [self.items[key] for key in page],
            "has_more": len(found) > len(page),
            "at": self.revision,
        }

    async def _watch(self, query: dict) -> Answer:
        after, prefix = int(query["after"]), query["prefix"]
        until_s = now_s() + int(query["wait_ms"]) / 1000
        while True:
            oldest_s = now_s() - HISTORY_S
            while self._events and self._events[0][0] < oldest_s:
                self._dropped = self._events.pop(0)[1]["revision"]
            if after < self._dropped:
                return 410, {}
            found = [
                event
                for _at_s, event in self._events
                if event["revision"] > after
                and event["key"].startswith(prefix)
            ]
            left_s = until_s - now_s()
            if found or left_s <= 0:
                return 200, {"events": found, "at": self.revision}
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    pass

    async def _commit(self, document: dict) -> Answer:
        rows = document.get("expect", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [r["key"] for r in rows if r["key"] in self.items]
                return 412, {"items": [self.items[key] for key in keys]}
        writes = document.get("write", [])
        if any(w.get("lease", 0) not in (0, *self._leases) for w in writes):
            return 404, {}
        self.revision += 1
        for write in writes:
            self._put(write["key"], write["value"], write.get("lease", 0))
        for key in document.get("remove", []):
            self._remove(key)
        await self._notify()
        return 200, {"revision": self.revision}

    def _put(self, key: str, value: str, lease: int = 0) -> None:
        before = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": before["created"] if before else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._events.append((now_s(), item))

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            gone = {"key": key, "revision": self.revision, "deleted": True}
            self._events.append((now_s(), gone))

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def write(self, key: str, document: dict | bytes) -> None:
        """Write a key as the operator or an executor does."""
        if not isinstance(document, bytes):
            document = json.dumps(document).encode()
        self.revision += 1
        self._put(key, base64.b64encode(document).decode())
        await self._notify()

    async def remove(self, key: str) -> None:
        """Remove a key as the platform does."""
        if key in self.items:
            self.revision += 1
            self._remove(key)
            await self._notify()

    async def _expire(self) -> None:
        for lease, (until_s, _ttl_s) in list(self._leases.items()):
            if until_s < now_s():
                await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        if self._leases.pop(lease, None) is None:
            return
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            await self._notify()

    async def run(self) -> None:
        """End leases in time."""
        while True:
            await asyncio.sleep(0.02)
            await self._expire()


class Executor:
    """One life of a machine: guards its capacity, fences and leases."""

    def __init__(self, platform: Platform, number: int, life: int) -> None:
        self.platform = platform
        self.number = number
        self.id = f"x{number:02d}-{life}-{secrets.token_hex(3)}"
        self.born_ms = int(time.time() * 1000)
        self._began_s = now_s()
        self.fence = 0
        self.until_ms = 0
        self.runs: dict[tuple[str, int], dict] = {}
        self.ends: list[list] = []
        self._end_number = 0
        self._stopped: dict[str, int] = {}
        self._wake = asyncio.Condition()
        self.port = free_port()
        self.server = Server(self._handle)
        self.is_up = False
        self.fails = False

    async def start(self) -> None:
        """Listen and register."""
        await self.server.start("127.0.0.1", self.port)
        self.is_up = True
        await self.register()

    async def register(
        self, state: str = "ready", remaining_ms: int = 0
    ) -> None:
        """Write the entry."""
        left = {"remaining_ms": remaining_ms} if remaining_ms else {}
        await self.platform.store.write(
            f"servers/{self.id}",
            {
                "service": self.platform.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": f"zone-{self.number % 3}",
                "version": "1",
                "slots": 8,
                "state": state,
                "cold_remaining_ms": 0,
                "sequence": 1,
                "capacity": self.platform.capacity,
                "labels": [
                    self.platform.kind_of(self.number),
                    f"r{self.number // 8}",
                ],
                "machine": f"m{self.number:02d}",
                "born": self.born_ms,
                **left,
            },
        )

    async def crash(self) -> None:
        """End with all that runs; the entry goes after three check-ins."""
        self.is_up = False
        await self.server.stop()
        for key in list(self.runs):
            self.platform.note("crashed-under", executor=self.id, run=key)
        self.runs.clear()
        entry = f"servers/{self.id}"
        asyncio.get_running_loop().call_later(
            3 * BEAT_S,
            lambda: spawn(self.platform.store.remove(entry)),
        )

    async def drain(self, drain_s: float) -> None:
        """Report `draining`, work on for a while, and leave."""
        await self.register("draining", int(drain_s * 1000))
        await asyncio.sleep(drain_s)
        self.is_up = False
        await self.server.stop()
        for key in list(self.runs):
            self.platform.note("left-with", executor=self.id, run=key)
        self.runs.clear()
        await self.platform.store.remove(f"servers/{self.id}")

    def clock_ms(self) -> int:
        """Return the executor's own clock."""
        return int((now_s() - self._began_s) * 1000) + 1000

    async def advance(self) -> None:
        """End what is finished or has lapsed."""
        if not self.is_up:
            return
        for key, run in list(self.runs.items()):
            if self.clock_ms() >= self.until_ms:
                await self.end(key, "lapsed")
            elif self.fails and now_s() - run["begun_s"] >= FAILS_AFTER_S:
                await self.end(key, "failed")
            elif run["gang"]:
                # The platform ends the members of a gang together.
                continue
            elif now_s() - run["begun_s"] >= run["does"].get("run_s", 1):
                await self.end(key, run["does"].get("ends", "done"))

    async def end(self, key: tuple[str, int], how: str) -> None:
        """End a run and list how."""
        del self.runs[key]
        self._end_number += 1
        self._stopped[key[0]] = max(key[1], self._stopped.get(key[0], 0))
        self.ends.append([self._end_number, key[0], key[1], how, ""])
        self.platform.note("end", executor=self.id, run=key, how=how)
        self.platform.ends.append((now_s(), key[0], key[1], how))
        async with self._wake:
            self._wake.notify_all()

    def used(self, name: str) -> int:
        """Return how much of it the runs take."""
        return sum(run["size"][name] for run in self.runs.values())

    async def _handle(self, method, path, query, headers, document):
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        if document.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = document.get("fencing_token", 0)
        if path == "/run-start":
            return self._start_run(document)
        if path == "/run-stop":
            key = (document["task"], document["run"])
            if key in self.runs:
                await self.end(key, "stopped")
            known = self._stopped.get(key[0], 0)
            self._stopped[key[0]] = max(known, key[1])
            return 200, {"clock_ms": self.clock_ms()}
        if path == "/hold":
            return await self._hold(document)
        return 404, {}

    def _start_run(self, document: dict) -> Answer:
        key = (document["task"], document["run"])
        if key in self.runs:
            return 200, {"clock_ms": self.clock_ms()}
        reason = ""
        size = self.platform.size_of(document["task"])
        if document["run"] <= self._stopped.get(key[0], 0):
            reason = "old"
        elif document["deadline_ms"] <= self.clock_ms():
            reason = "late"
        elif any(
            size[name] and self.used(name) + size[name] > most
            for name, most in self.platform.capacity.items()
        ):
            reason = "room"
        if reason != "late":
            self._extend(document["deadline_ms"])
        if reason:
            self.platform.note(
                "start-refused", executor=self.id, run=key, why=reason
            )
            return 409, {"clock_ms": self.clock_ms(), "reason": reason}
        self.runs[key] = {
            "begun_s": now_s(),
            "does": json.loads(document["specification"]),
            "size": size,
            "gang": self.platform.gang_of(*key),
        }
        self.platform.join(self, key)
        self.platform.starts.append((now_s(), key[0], key[1], self.id))
        self.platform.note("start", executor=self.id, run=key)
        return 200, {"clock_ms": self.clock_ms()}

    def _extend(self, deadline_ms: int) -> None:
        most_ms = self.clock_ms() + self.platform.max_hold_ms
        self.until_ms = max(self.until_ms, min(deadline_ms, most_ms))

    async def _hold(self, document: dict) -> Answer:
        cursor = document.get("ack_cursor", 0)
        self.ends = [end for end in self.ends if end[0] > cursor]
        if "deadline_ms" in document:
            self._extend(document["deadline_ms"])
        wait_s = document.get("wait_ms", 0) / 1000
        if wait_s and not self.ends:
            async with self._wake:
                try:
                    await asyncio.wait_for(self._wake.wait(), wait_s)
                except TimeoutError:
                    pass
        rows = []
        for (task, run), state in self.runs.items():
            begun_s = self.platform.work_began_s(state)
            share = (now_s() - begun_s) / state["does"].get("run_s", 1)
            percent = min(99, int(100 * share))
            cpu = state["size"].get("cpu", 0)
            rows.append([task, run, "", percent, cpu])
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
            "running": rows,
            "finished": self.ends[:500],
        }


class Platform:
    """The store and all executors.

    :ivar starts: (time, task, run, executor) of each start.
    :ivar ends: (time, task, run, how) of each end.
    :ivar longest_delay_s: longest time that this program was held up.
    """

    def __init__(self, record: Record, *, executors: int = 24) -> None:
        self.record = record
        self.store = Store()
        self.service = "hub"
        self.capacity = {"cpu": 64000, "mem_mb": 256000, "gpu": 8}
        self.max_hold_ms = 6000
        self.jobs: dict[str, dict] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.port = free_port()
        self._count = executors
        self._lives = 0
        self.executors: dict[int, Executor] = {}
        self.kinds: dict[int, str] = {}
        self.longest_delay_s = 0.0
        self._gangs: dict[tuple[str, int, int], list] = {}
        self._gangs_at_work: dict[tuple[str, int, int], float] = {}

    def kind_of(self, number: int) -> str:
        """Return the kind of a machine; a case may set others."""
        return self.kinds.get(number, "a")

    def note(self, what: str, **fields: typing.Any) -> None:
        """Write a line into the record."""
        self.record.note(what, **fields)

    def size_of(self, task: str) -> dict:
        """Return what a task takes, as its client declared it."""
        job_id, _occurrence, step, _index = task.split(".")
        phase = self.jobs[job_id]["phases"][int(step)]
        return {k: phase.get(k, 0) for k in ("cpu", "mem_mb", "gpu")}

    async def start(self, desired: dict) -> None:
        """Start the store, the executors and the first desired state."""
        await self.store.server.start("127.0.0.1", self.port)
        spawn(self.store.run())
        spawn(self._advance())
        await self.store.write("op/config", desired)
        for number in range(self._count):
            await self.open(number)

    async def open(self, number: int) -> None:
        """Start the next life of a machine."""
        self._lives += 1
        executor = Executor(self, number, self._lives)
        self.executors[number] = executor
        await executor.start()

    async def _advance(self) -> None:
        while True:
            due_s = now_s() + 0.02
            await asyncio.sleep(0.02)
            self.longest_delay_s = max(
                self.longest_delay_s, now_s() - due_s
            )
            for executor in list(self.executors.values()):
                await executor.advance()
            for gang in list(self._gangs):
                await self._advance_gang(gang)

    def gang_of(self, task: str, run: int) -> tuple[str, int, int] | None:
        """Return the gang of a run and its size; None for a single task."""
        job_id, _occurrence, step, _index = task.split(".")
        phase = self.jobs[job_id]["phases"][int(step)]
        if not phase.get("gang_scheduled"):
            return None
        return task.rpartition(".")[0], run, phase.get("count", 1)

    def join(self, executor: Executor, key: tuple[str, int]) -> None:
        """Note a member of a gang that has begun."""
        gang = self.gang_of(*key)
        if gang is not None:
            self._gangs.setdefault(gang, []).append((executor, key))

    def work_began_s(self, run: dict) -> float:
        """Return when a run's work began; now, if its gang still waits."""
        if run["gang"] is None:
            return run["begun_s"]
        return self._gangs_at_work.get(run["gang"], now_s())

    async def _advance_gang(self, gang: tuple[str, int, int]) -> None:
        """Let the members work together, and end together."""
        present = [
            (executor, key)
            for executor, key in self._gangs[gang]
            if key in executor.runs
        ]
        if not present:
            del self._gangs[gang]
            return
        how = ""
        if len(present) == gang[2]:
            began_s = self._gangs_at_work.setdefault(gang, now_s())
            executor, key = present[0]
            run_s = executor.runs[key]["does"].get("run_s", 1)
            how = "done" if now_s() - began_s >= run_s else ""
        elif gang in self._gangs_at_work:
            how = "broken"
        for executor, key in present:
            waited_s = now_s() - executor.runs[key]["begun_s"]
            if how:
                await executor.end(key, how)
            elif len(present) < gang[2] and waited_s >= GANG_WAIT_S:
                await executor.end(key, "alone")

    def is_running(self, job_id: str) -> bool:
        """Return whether any task of a job runs now."""
        return any(
            task.startswith(job_id)
            for executor in self.executors.values()
            for task, _run in executor.runs
        )

    def used_share(self) -> float:
        """Return the share of the service's capacity that is in use."""
        shares = []
        for name, most in self.capacity.items():
            used = sum(e.used(name) for e in self.executors.values())
            shares.append(used / (most * len(self.executors)))
        return max(shares)

    def executor_of(self, task: str) -> Executor | None:
        """Return the executor on which a task runs now."""
        for executor in self.executors.values():
            if executor.is_up and any(t == task for t, _r in executor.runs):
                return executor
        return None


class Record:
    """What was sent, answered and run, with the time of each line."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = now_s()

    def note(self, what: str, **fields: typing.Any) -> None:
        """Write a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        at_s = now_s() - self._began_s
        self._file.write(f"{at_s:8.3f} {what} {text}\n")
        self._file.flush()


_tasks: set[asyncio.Task] = set()


def spawn(work: abc.Coroutine) -> None:
    """Run a coroutine beside the others."""
    task = asyncio.get_running_loop().create_task(work)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that was free at a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


SETTINGS = """\
node_name=frontend-{number}
role=wharf
machine_class=frontend
serves=frontend
ip_address={ip}
zone=zone-{zone}
region=one
zones.zone-0=one
zones.zone-1=one
zones.zone-2=one
listen_addresses.frontend={ip}:{front}
listen_addresses.ready={ip}:{ready}
internal_port_range=7000,7015
is_first_start=true
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb={memory}
limits.file_descriptors=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry_point=virtual_ip
heartbeat_interval_ms=1500
bounds.contact_ms=3000
bounds.ack_timeout_ms=4000
bounds.drain_timeout_ms=2000
bounds.grace_period_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.outer_bound_ms=5000
bounds.strict_revocation=true
bounds.revocation_ms=5000
bounds.recovery_time_s=12
bounds.max_hold_ms=6000
bounds.stop_timeout_ms=900
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.checkpoint_interval_s=0.5
bounds.restore_timeout_ms=600
bounds.notice_ms=4500
bounds.migration_s=1.5
bounds.maintenance_s=2
bounds.fencing_enforced=true
bounds.lease_duration_ms=3000
bounds.reclaim_timeout_ms=3400
command_mode=direct_call
platform.address={platform}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_retention_s=20
platform.max_value_bytes=1048576
platform.min_ttl_ms=1000
"""


class Fleet:
    """The project's processes, one for each entry machine."""

    def __init__(self, platform: Platform, folder: pathlib.Path) -> None:
        self._platform = platform
        self._folder = folder
        self._subnet = f"127.{secrets.randbelow(200) + 20}.{os.getpid() % 250}"
        self.processes: dict[int, subprocess.Popen] = {}
        self.kills: list[int] = []
        self._stopped = False
        self._ports: dict[int, tuple[int, int]] = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        self._words = role["run"].split()

    def ip(self, number: int) -> str:
        """Return a machine's loopback address."""
        return f"{self._subnet}.{number + 10}"

    def start(self, number: int) -> None:
        """Start a machine's process, unless the case has ended."""
        if self._stopped:
            return
        if number not in self._ports:
            ip = self.ip(number)
            self._ports[number] = (free_port(ip), free_port(ip))
        front, ready = self._ports[number]
        path = self._folder / f"node-{number}.conf"
        path.write_text(
            SETTINGS.format(
                number=number,
                zone=number % 3,
                memory=MEMORY_MB,
                ip=self.ip(number),
                front=front,
                ready=ready,
                platform=f"127.0.0.1:{self._platform.port}",
            )
        )
        log = (self._folder / f"node-{number}.log").open("ab")
        self.processes[number] = subprocess.Popen(
            self._words,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self._folder),
                "PYTHONPATH": DEPS,
                "KNAPWEEDWHARF_SETTINGS": str(path),
            },
            stdout=log,
            stderr=log,
        )

    def log_lines(self, *words: str) -> list[str]:
        """Return the log lines that hold one of the words."""
        found = []
        for path in sorted(self._folder.glob("node-*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if any(word in line for word in words):
                    found.append(f"{path.stem}: {line}")
        return found

    def memory_mb(self, number: int) -> float:
        """Return a process's resident memory; 0 once it has ended.

        In MiB, so that none is killed for less than the page's 300 MB.
        """
        process = self.processes.get(number)
        if process is None:
            return 0.0
        path = pathlib.Path(f"/proc/{process.pid}/status")
        try:
            for line in path.read_text().splitlines():
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def enforce_memory(self, most_mb: float) -> None:
        """Kill a process over its memory and start it again, as a machine."""
        while True:
            await asyncio.sleep(0.05)
            for number, process in list(self.processes.items()):
                used_mb = self.memory_mb(number)
                if used_mb <= most_mb:
                    continue
                self._platform.note(
                    "killed-over-memory", machine=number, used_mb=used_mb
                )
                self.kills.append(number)
                process.kill()
                process.wait()
                asyncio.get_running_loop().call_later(
                    RESTART_S, self.start, number
                )
                del self.processes[number]

    def kill(self) -> None:
        """Kill all processes, as a loss of power of all machines does."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self._platform.note("machines-killed", count=len(self.processes))

    def stop(self) -> None:
        """End all processes; none starts after that."""
        self._stopped = True
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()

    async def call(
        self,
        number: int,
        method: str,
        path: str,
        *,
        key: str = "",
        document: dict | None = None,
        wait_s: float = 3.0,
    ) -> Answer:
        """Make a client's call; status 0 if no answer came in time."""
        body = json.dumps(document).encode() if document is not None else b""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Deadline-Ms: {int(wait_s * 1000)}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        if key:
            lines.append(f"X-Key: {key}")
        text = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        answer: Answer = (0, {})
        writer = None
        try:
            async with asyncio.timeout(wait_s):
                reader, writer = await asyncio.open_connection(
                    self.ip(number), self._ports[number][0]
                )
                writer.write(text)
                data = await reader.read()
            head, _gap, rest = data.partition(b"\r\n\r\n")
            answer = int(head.split()[1]), json.loads(rest or b"{}")
        except (OSError, TimeoutError, ValueError, IndexError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        shown = {k: v for k, v in answer[1].items() if k != "remedy"}
        self._platform.note(
            "call",
            machine=number,
            method=method,
            path=path,
            key=key or "-",
            status=answer[0],
            answer=shown,
        )
        return answer

    async def until_ready(self, *, path: str, key: str) -> None:
        """Wait until every machine answers."""
        for number in self.processes:
            for _try in range(150):
                status, _body = await self.call(number, "GET", path, key=key)
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"machine {number} does not answer")


def desired_state(version: int, routes: list[dict], **more) -> dict:
    """Return a desired state with two tenants."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "hub", "enforces_capacity": True}],
        "tenants": [
            {
                "name": "ash",
                "api_keys": ["key-ash"],
                "guaranteed": {"gpu": 24},
            },
            {
                "name": "elm",
                "api_keys": ["key-elm"],
                "guaranteed": {"gpu": 24},
            },
        ],
        "limits": {},
        **more,
    }


def route(name: str, *, priority: int, attempts: int = 2, **more) -> dict:
    """Return a queue of the service."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "service": "hub",
        "priority": priority,
        "max_attempts": attempts,
        "slowdown_factor": 3.0,
        "target_latency_ms": 1000,
        **more,
    }


def job(tasks: int, run_s: float, **phase: typing.Any) -> dict:
    """Return a submission with one step."""
    first = {
        "count": tasks,
        "cpu": 1000,
        "mem_mb": 500,
        "estimated_runtime_ms": int(run_s * 1000),
        **phase,
    }
    text = json.dumps({"run_s": run_s})
    return {"specification": text, "phases": [first]}


def new_id() -> str:
    """Return a job id."""
    return secrets.token_hex(8)


Case = abc.Callable[[Platform, Fleet, bool], abc.Awaitable[bool]]
"""Plays a case; returns whether the rule held."""


def main(case: Case, desired: dict, *, machines: int, file: str) -> None:
    """Play a case and exit with 0 (held), 1 (broken) or 2 (could not run)."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    home = pathlib.Path(file).resolve().parent
    record = Record(home / "record.txt")
    folder = pathlib.Path(tempfile.mkdtemp())

    async def play() -> bool:
        # A script that is told to end still ends what it has started.
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        platform = Platform(record)
        fleet = Fleet(platform, folder)
        try:
            await platform.start(desired)
            for number in range(machines):
                fleet.start(number)
            async with asyncio.timeout(110):
                return await case(platform, fleet, trouble)
        finally:
            fleet.stop()
            record.note(
                "stand-in",
                longest_delay_s=round(platform.longest_delay_s, 2),
            )
            for executor in platform.executors.values():
                await executor.server.stop()
            await platform.store.server.stop()

    code = 2
    try:
        held = asyncio.run(play())
        code = 0 if held else 1
    except (Exception, asyncio.CancelledError) as error:
        record.note("could-not-run", error=repr(error))
    finally:
        if "KEEP" in os.environ:
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record.note("verdict", exit=code, trouble=trouble)
    sys.exit(code)
