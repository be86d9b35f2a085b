"""Odd answers of the store and of other services are failures of a call."""

from __future__ import annotations

import asyncio
import base64
from collections import abc
import json

import pytest
from returns import result
from tornado import httpserver
from tornado import web

from knapweedwharf.adapters import transport as transport_module
from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf.platform import advisor
from knapweedwharf.platform import executors
from knapweedwharf.platform import machines
from knapweedwharf.platform import store as store_module
from standins import loopback

DEEP = b"[" * 100_000 + b"]" * 100_000
NO_DOCUMENTS = [
    b"[]",
    b"null",
    b"7",
    b'"text"',
    b"{",
    b"\xff\xfe",
    DEEP,
    b'{"items":' + DEEP + b"}",
    b"9" * 5_000,
]


class _Handler(web.RequestHandler):
    def initialize(self, script: Script) -> None:
        self.script = script

    def prepare(self) -> None:
        self.set_status(self.script.status)
        self.finish(self.script.next_body())


class Script:
    """A server that answers each request with the next of some bodies.

    :ivar status: the status of all answers.
    :ivar bodies: the last one is repeated.
    """

    def __init__(self, *bodies: object, status: int = 200) -> None:
        self.status = status
        self.bodies = [
            body if isinstance(body, bytes) else json.dumps(body).encode()
            for body in bodies
        ]

    def next_body(self) -> bytes:
        """Return the body of the next answer."""
        return self.bodies.pop(0) if len(self.bodies) > 1 else self.bodies[0]


def _ask(script: Script, call: abc.Callable) -> result.Result:
    """Serve a script and return what a call with its address returns."""

    async def scenario() -> result.Result:
        port = loopback.free_port()
        server = httpserver.HTTPServer(
            web.Application([(r".*", _Handler, {"script": script})])
        )
        server.listen(port, loopback.HOST)
        try:
            async with asyncio.timeout(20):
                return await call(f"{loopback.HOST}:{port}")
        finally:
            server.stop()
            await server.close_all_connections()

    return asyncio.run(scenario())


def _with_store(work: abc.Callable) -> abc.Callable:
    async def call(address: str) -> result.Result:
        store = store_module.Store(address, timeout_s=5.0)
        try:
            return await work(store)
        finally:
            store.close()

    return call


COMMIT = model.Commit({"a": 0}, (model.Write("a", b"1"),))
STORE_CALLS = {
    "read": lambda store: store.read("a"),
    "list": lambda store: store.list("a"),
    "watch": lambda store: store.watch("a", after=1, wait_s=0.1),
    "commit": lambda store: store.commit(COMMIT),
    "grant": lambda store: store.grant(5.0),
}


@pytest.mark.parametrize("body", NO_DOCUMENTS, ids=lambda b: repr(b)[:20])
@pytest.mark.parametrize("status", [200, 412, 409, 500])
@pytest.mark.parametrize("name", STORE_CALLS)
def test_a_body_that_is_no_document_is_an_unknown_outcome(name, status, body):
    answer = _ask(Script(body, status=status), _with_store(STORE_CALLS[name]))
    assert isinstance(answer.failure(), errors.OutcomeUnknown)


NO_REVISIONS = [None, "7", 1.5, -1, True, [], 10**400, float("nan")]


@pytest.mark.parametrize("value", NO_REVISIONS, ids=lambda v: repr(v)[:20])
@pytest.mark.parametrize(
    "name, field",
    [
        ("list", "at"),
        ("watch", "at"),
        ("commit", "revision"),
        ("grant", "lease"),
    ],
)
def test_an_answer_without_its_number_is_an_unknown_outcome(
    name, field, value
):
    body = {"items": [], "events": [], field: value}
    answer = _ask(Script(body), _with_store(STORE_CALLS[name]))
    assert isinstance(answer.failure(), errors.OutcomeUnknown)


@pytest.mark.parametrize("value", [None, 7, "ab", {"a": 1}, True])
@pytest.mark.parametrize(
    "name, field", [("list", "items"), ("watch", "events")]
)
def test_an_answer_without_its_list_is_an_unknown_outcome(name, field, value):
    body = {"at": 7, field: value}
    answer = _ask(Script(body), _with_store(STORE_CALLS[name]))
    assert isinstance(answer.failure(), errors.OutcomeUnknown)


def _item(key: object, value: bytes = b"v", **fields) -> dict:
    encoded = base64.b64encode(value).decode()
    return {"key": key, "value": encoded, "revision": 5, **fields}


NAMELESS = [7, None, "a", [], {}, _item(7), _item(None), _item(["a"])]
UNREADABLE = ["A", "A===", "é", 7, ["QQ=="], {}, "QQ=\ud800"]


@pytest.mark.parametrize("odd", NAMELESS, ids=lambda v: repr(v)[:20])
def test_an_item_without_a_key_hides_no_other(odd):
    body = {"items": [odd, _item("a"), odd], "at": 7}
    listing = _ask(Script(body), _with_store(STORE_CALLS["list"])).unwrap()
    assert listing.items == (model.Item("a", b"v", 5),)
    body = {"events": [odd, _item("a"), odd], "at": 7}
    changes = _ask(Script(body), _with_store(STORE_CALLS["watch"])).unwrap()
    assert changes.events == (model.Item("a", b"v", 5),)


@pytest.mark.parametrize("value", UNREADABLE, ids=lambda v: repr(v)[:20])
def test_a_value_that_cannot_be_decoded_is_empty(value):
    body = {"items": [_item("a", value=b"") | {"value": value}], "at": 7}
    listing = _ask(Script(body), _with_store(STORE_CALLS["list"])).unwrap()
    assert listing.items == (model.Item("a", b"", 5),)


@pytest.mark.parametrize("value", NO_REVISIONS, ids=lambda v: repr(v)[:20])
def test_an_item_without_a_revision_is_older_than_all(value):
    body = {"items": [_item("a", revision=value)], "at": 7}
    listing = _ask(Script(body), _with_store(STORE_CALLS["list"])).unwrap()
    assert listing.items == (model.Item("a", b"v", 0),)


def test_a_deletion_without_a_key_hides_no_other():
    gone = {"key": "b", "revision": 6, "deleted": True}
    body = {"events": [{"deleted": True}, gone], "at": 7}
    changes = _ask(Script(body), _with_store(STORE_CALLS["watch"])).unwrap()
    assert changes.events == (model.Removal("b", 6),)


def test_odd_items_at_the_end_of_a_page_hide_no_later_page():
    first = {"items": [_item("a"), 7], "has_more": True, "at": 7}
    second = {"items": [_item("b")], "at": 8}
    listing = _ask(
        Script(first, second), _with_store(STORE_CALLS["list"])
    ).unwrap()
    assert [item.key for item in listing.items] == ["a", "b"]
    assert listing.revision == 7


@pytest.mark.parametrize(
    "pages",
    [
        [{"items": [7, None], "has_more": True, "at": 7}],
        [{"items": [_item("a")], "has_more": True, "at": 7}],
    ],
    ids=["no-key", "same-page"],
)
def test_pages_that_do_not_advance_are_an_unknown_outcome(pages):
    answer = _ask(Script(*pages), _with_store(STORE_CALLS["list"]))
    assert isinstance(answer.failure(), errors.OutcomeUnknown)


@pytest.mark.parametrize("items", [7, "ab", None, [7, _item(7)]], ids=repr)
def test_odd_items_of_a_failed_condition_are_left_out(items):
    script = Script({"items": items}, status=412)
    fault = _ask(script, _with_store(STORE_CALLS["commit"])).failure()
    assert isinstance(fault, errors.Conflict)
    assert fault.mismatch.current == {}


async def _renew(address: str) -> result.Result:
    client = executors.Executors()
    try:
        return await client.renew(
            model.Executor("e", address, "pool", "dc", model.READY, 1, 1, 1),
            epoch=1,
            lease_until_ms=0,
            acknowledged_end=0,
            wait_s=0.0,
            timeout_s=5.0,
        )
    finally:
        client.close()


async def _list_machines(address: str) -> result.Result:
    client = machines.Machines(address, holder="vm", timeout_s=5.0)
    try:
        return await client.list()
    finally:
        client.close()


async def _approve(address: str) -> result.Result:
    client = advisor.Advisor(address)
    try:
        return await client.approve("j.0.0", ["e"], timeout_s=5.0)
    finally:
        client.close()


@pytest.mark.parametrize("body", NO_DOCUMENTS, ids=lambda b: repr(b)[:20])
@pytest.mark.parametrize("call", [_renew, _list_machines, _approve])
def test_other_services_with_no_document_have_failed(call, body):
    answer = _ask(Script(body), call)
    assert isinstance(answer.failure(), errors.OutcomeUnknown)


MACHINE = {"machine": "m", "state": "up", "capacity": {"cpu": 1}}


@pytest.mark.parametrize("token", [[], {}, None, 0, ""], ids=repr)
def test_a_list_of_machines_without_a_next_page_has_ended(token):
    body = {"machines": [7, MACHINE, MACHINE], "next_token": token}
    found = _ask(Script(body), _list_machines).unwrap()
    assert [machine.machine_id for machine in found] == ["m"]


@pytest.mark.parametrize("token", ["again", [1], 5.5, 7], ids=repr)
def test_a_list_of_machines_that_never_ends_has_failed(token):
    body = {"machines": [MACHINE], "next_token": token}
    answer = _ask(Script(body), _list_machines)
    assert isinstance(answer.failure(), errors.OutcomeUnknown)


@pytest.mark.parametrize(
    "address", ["10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:abc", "[::1:80"]
)
def test_an_address_that_cannot_be_one_is_unreachable(address):
    async def exchange() -> result.Result:
        transport = transport_module.HttpTransport(max_body_bytes=1_000)
        try:
            return await transport.exchange(
                method="GET", url=f"http://{address}/", timeout_s=1.0
            )
        finally:
            transport.close()

    answer = asyncio.run(exchange())
    assert isinstance(answer.failure(), errors.Unreachable)


@pytest.mark.parametrize(
    "headers", [{"X-Id": "a\r\nX: y"}, {"X-Id": "\ud800"}], ids=repr
)
def test_a_header_that_cannot_be_sent_is_unreachable(headers):
    async def call(address: str) -> result.Result:
        transport = transport_module.HttpTransport(max_body_bytes=1_000)
        try:
            return await transport.exchange(
                method="GET",
                url=f"http://{address}/",
                headers=headers,
                timeout_s=1.0,
            )
        finally:
            transport.close()

    answer = _ask(Script({}), call)
    assert isinstance(answer.failure(), errors.Unreachable)
