"""HTTP test double of the users' platform: store, executors, machines.

The store follows its documentation: conditional writes, leases, watches
and compacted history. The executors are those of
``standins.fleet_executors``, served through the platform's HTTP calls.
"""

from __future__ import annotations

import asyncio
import base64
import json
import math

from returns import result
from tornado import httpserver
from tornado import web

from knapweedwharf import errors
from knapweedwharf.fleet import model
from standins import fleet_executors
from standins import fleet_machines
from standins import fleet_store
from standins import loopback

_STATUS_BY_FAULT = {
    errors.Unreachable: 503,
    errors.NotFound: 410,
    errors.OutcomeUnknown: 500,
}


async def _ignore_machine(_machine: model.Machine) -> None:
    """Ignore the change; machines and executors are independent here."""


def _encode_event(event: model.Item | model.Removal) -> dict:
    if isinstance(event, model.Item):
        return _encode_item(event)
    return {"key": event.key, "revision": event.revision, "deleted": True}


def _encode_item(item: model.Item) -> dict:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.revision,
        "lease": 0,
    }


class _Handler(web.RequestHandler):
    def initialize(self, served: UsersPlatform) -> None:
        self.served = served

    def reply(self, status: int, document: dict) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(document))

    async def reply_slowly(self, document: dict) -> None:
        """Send a response in parts, as a slow link does."""
        body = json.dumps(document).encode()
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(body)))
        size = math.ceil(len(body) / self.served.parts)
        for start in range(0, len(body), size):
            await asyncio.sleep(self.served.part_interval_s)
            self.write(body[start : start + size])
            await self.flush()
        await self.finish()

    def fail(self, fault: errors.Fault) -> None:
        self.reply(_STATUS_BY_FAULT.get(type(fault), 500), {})


class _Key(_Handler):
    async def get(self) -> None:
        read = await self.served.store.read(self.get_argument("key"))
        if isinstance(read, result.Failure):
            self.fail(read.failure())
        elif read.unwrap() is None:
            self.reply(404, {})
        else:
            revision = self.served.store.state.revision
            self.reply(200, {**_encode_item(read.unwrap()), "at": revision})


class _Range(_Handler):
    async def get(self) -> None:
        listed = await self.served.store.list(self.get_argument("prefix"))
        if isinstance(listed, result.Failure):
            self.fail(listed.failure())
            return
        after = self.get_argument("after", "")
        listing = listed.unwrap()
        items = sorted(
            (item for item in listing.items if item.key > after),
            key=lambda item: item.key,
        )
        page = items[: self.served.page_items]
        await self.reply_slowly(
            {
                "items": [_encode_item(item) for item in page],
                "has_more": len(items) > len(page),
                "at": listing.revision,
            },
        )


class _Watch(_Handler):
    async def get(self) -> None:
        seen = await self.served.store.watch(
            self.get_argument("prefix"),
            after=int(self.get_argument("after")),
            wait_s=int(self.get_argument("wait_ms")) / 1000,
        )
        if isinstance(seen, result.Failure):
            self.fail(seen.failure())
            return
        changes = seen.unwrap()
        events = [_encode_event(event) for event in changes.events]
        await self.reply_slowly({"events": events, "at": changes.revision})


class _Transaction(_Handler):
    async def post(self) -> None:
        document = json.loads(self.request.body)
        commit = model.Commit(
            {row["key"]: row["revision"] for row in document["expect"]},
            tuple(
                model.Write(
                    row["key"],
                    base64.b64decode(row["value"]),
                    row.get("lease", 0),
                )
                for row in document["write"]
            ),
            tuple(document["remove"]),
        )
        done = await self.served.store.commit(commit)
        if isinstance(done, result.Success):
            self.reply(200, {"revision": done.unwrap()})
            return
        fault = done.failure()
        if not isinstance(fault, errors.Conflict):
            self.fail(fault)
            return
        current = fault.mismatch.current.values()
        self.reply(412, {"items": [_encode_item(item) for item in current]})


class _Lease(_Handler):
    async def post(self, lease_id: str = "") -> None:
        if lease_id:
            done = await self.served.store.renew(int(lease_id))
            status = 200 if isinstance(done, result.Success) else 404
            self.reply(status, {"ttl_ms": 1000})
            return
        ttl_ms = json.loads(self.request.body)["ttl_ms"]
        granted = await self.served.store.grant(ttl_ms / 1000)
        self.reply(200, {"lease": granted.unwrap(), "ttl_ms": ttl_ms})

    async def delete(self, lease_id: str) -> None:
        await self.served.store.end(int(lease_id))
        self.reply(200, {})


class _Executor(_Handler):
    async def post(self, call: str) -> None:
        executor_id = self.request.headers.get("X-Expected-Instance", "")
        found = self.served.pool.executors.get(executor_id)
        if found is None:
            self.reply(421, {})
            return
        document = json.loads(self.request.body)
        answer = await getattr(self, f"_{call}")(found.spec, document)
        if isinstance(answer, result.Success):
            await self.reply_slowly(answer.unwrap())
            return
        fault = answer.failure()
        fenced = isinstance(fault, errors.Fenced)
        reason = "fence" if fenced else getattr(fault, "reason", "")
        clock_ms = found.clock_ms()
        self.reply(409, {"clock_ms": clock_ms, "reason": reason})

    async def _hold(self, spec: model.Executor, document: dict):
        answer = await self.served.pool.renew(
            spec,
            epoch=document["fencing_token"],
            lease_until_ms=document.get("deadline_ms", 0),
            acknowledged_end=document["ack_cursor"],
            wait_s=document.get("wait_ms", 0) / 1000,
        )
        return answer.map(
            lambda report: {
                "clock_ms": report.clock_ms,
                "born": report.incarnation_ms,
                "running": [
                    [
                        run.task_id,
                        run.run,
                        run.checkpoint,
                        run.percent,
                        run.load,
                    ]
                    for run in report.runs
                ],
                "finished": [
                    [e.number, e.task_id, e.run, e.outcome, e.checkpoint]
                    for e in report.ends
                ],
            }
        )

    async def _start(self, spec: model.Executor, document: dict):
        order = model.StartOrder(
            task_id=document["task"],
            run=document["run"],
            specification=document["specification"],
            not_after_ms=document["deadline_ms"],
            epoch=document["fencing_token"],
            ticket=document.get("ticket", ""),
        )
        answer = await self.served.pool.start(spec, order)
        return answer.map(lambda clock_ms: {"clock_ms": clock_ms})

    async def _stop(self, spec: model.Executor, document: dict):
        answer = await self.served.pool.stop(
            spec,
            task_id=document["task"],
            run=document["run"],
            epoch=document["fencing_token"],
        )
        return answer.map(lambda clock_ms: {"clock_ms": clock_ms})

    async def _pace(self, spec: model.Executor, document: dict):
        answer = await self.served.pool.pace(
            spec,
            task_id=document["task"],
            run=document["run"],
            percent=document["percentage"],
            epoch=document["fencing_token"],
        )
        return answer.map(lambda clock_ms: {"clock_ms": clock_ms})


class _Advisor(_Handler):
    async def post(self) -> None:
        document = json.loads(self.request.body)
        answer = await self.served.pool.advisor.approve(
            document["phase"], document["workers"], timeout_s=1.0
        )
        if isinstance(answer, result.Failure):
            self.reply(429, {})
            return
        approval = answer.unwrap()
        self.reply(
            200,
            {
                "approved": list(approval.tickets.items()),
                "validity_ms": int(approval.validity_s * 1000),
            },
        )


_MACHINE_STATES = {model.MACHINE_MAINTAINED: "upkeep"}


class _Machines(_Handler):
    async def get(self) -> None:
        listed = (await self.served.machines.list()).unwrap()
        first = int(self.get_argument("page_token", "0"))
        after = first + self.served.page_items
        rows = [
            {
                "machine": m.machine_id,
                "pool": m.pool,
                "state": _MACHINE_STATES.get(m.state, m.state),
                "zone": m.data_centre,
                "labels": list(m.labels),
                "capacity": {
                    "cpu": m.cores_milli,
                    "mem_mb": m.memory_mib,
                    "gpu": m.accelerators,
                },
                "id": m.executor_id or None,
            }
            for m in listed[first:after]
        ]
        more = after < len(listed)
        await self.reply_slowly(
            {"machines": rows, "next_token": str(after) if more else None}
        )

    async def post(self, call: str) -> None:
        document = json.loads(self.request.body)
        epoch = int(self.request.headers["X-Fencing-Token"])
        self.served.holders.add(self.request.headers["X-Duty-Holder"])
        machines = self.served.machines
        if call == "move":
            done = await machines.move(
                document["machine"], document["pool"], epoch=epoch
            )
        else:
            done = await machines.maintain(
                document["machine"], document["wave"], epoch=epoch
            )
        if isinstance(done, result.Success):
            self.reply(200, {})
            return
        fault = done.failure()
        reason = getattr(fault, "reason", "fence")
        bad = reason == model.NO_MACHINE
        self.reply(400 if bad else 409, {} if bad else {"reason": reason})


class UsersPlatform:
    """The platform, served on a loopback port.

    :ivar page_items: maximum number of items on a page of a listing.
    :ivar parts: number of parts in which listings, changes and answers of
        executors are sent.
    :ivar part_interval_s: time before each part.
    :ivar holders: holder names seen in machine orders.
    """

    def __init__(self) -> None:
        self.store = fleet_store.FakeStore(fleet_store.StoreState())
        self.pool = fleet_executors.FakeExecutorPool()
        self.machines = fleet_machines.FakeMachines(
            on_machine_up=_ignore_machine, on_machine_down=_ignore_machine
        )
        self.holders: set[str] = set()
        self.page_items = 500
        self.parts = 1
        self.part_interval_s = 0.0
        self.port = loopback.free_port()
        fields = {"served": self}
        self._server = httpserver.HTTPServer(
            web.Application(
                [
                    (r"/kv-key", _Key, fields),
                    (r"/kv-range", _Range, fields),
                    (r"/kv-watch", _Watch, fields),
                    (r"/kv-txn", _Transaction, fields),
                    (r"/kv-lease", _Lease, fields),
                    (r"/kv-keep/(\d+)", _Lease, fields),
                    (r"/kv-lease-end/(\d+)", _Lease, fields),
                    (r"/run-(start|stop)", _Executor, fields),
                    (r"/(hold|pace)", _Executor, fields),
                    (r"/advise", _Advisor, fields),
                    (r"/machines", _Machines, fields),
                    (r"/machine-(move|upkeep)", _Machines, fields),
                ],
                log_function=lambda handler: None,
            )
        )

    @property
    def address(self) -> str:
        """Address (IP:port) that serves every call."""
        return f"{loopback.HOST}:{self.port}"

    async def start(self) -> None:
        """Start serving."""
        self._server.listen(self.port, loopback.HOST)

    async def close(self) -> None:
        """Stop serving and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()
