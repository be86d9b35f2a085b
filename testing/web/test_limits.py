"""Refusal of oversized, slow and malformed HTTP; the node keeps serving."""

from __future__ import annotations

from collections import abc
import pathlib
import socket

import pytest

from standins import fleet as fleet_module

FOLDER = pathlib.Path("examples/escaleras/folder")
MAX_BODY_BYTES = 100_000
MAX_CONNECTIONS = 30
TOKEN = "sample-mostrador-token"
PATH = "/v1/services/booking-check"
NODE_OPTIONS = {
    "max-body-bytes": str(MAX_BODY_BYTES),
    "max-buffered-bytes": str(3 * MAX_BODY_BYTES),
    "max-connections": str(MAX_CONNECTIONS),
}


@pytest.fixture(scope="module")
def fleet() -> abc.Iterator[fleet_module.Fleet]:
    """Run a node with small limits."""
    with fleet_module.Fleet(
        folder=FOLDER, data_centres=["antigua"], node_options=NODE_OPTIONS
    ) as running:
        running.wait_revision(running.apply_folder(running.nodes[0]))
        yield running


def _connect(fleet: fleet_module.Fleet) -> socket.socket:
    address = ("127.0.0.1", fleet.nodes[0].http_port)
    return socket.create_connection(address, timeout=10)


def _read(connection: socket.socket) -> bytes:
    received = b""
    try:
        while chunk := connection.recv(65_536):
            received += chunk
    except ConnectionResetError:
        pass
    return received


def _exchange_raw(fleet: fleet_module.Fleet, sent: bytes) -> bytes:
    with _connect(fleet) as connection:
        connection.sendall(sent)
        return _read(connection)


def _request_head(
    length: int | str, *lines: str, token: str = TOKEN, path: str = PATH
) -> bytes:
    head = [
        f"POST {path} HTTP/1.1",
        "Host: node",
        "Connection: close",
        f"Authorization: Bearer {token}",
        f"Content-Length: {length}",
        *lines,
    ]
    return ("\r\n".join(head) + "\r\n\r\n").encode()


def _call_service(fleet: fleet_module.Fleet, **options) -> fleet_module.Answer:
    options.setdefault("token", TOKEN)
    options.setdefault("body", b"ladder 12")
    return fleet.call(fleet.nodes[0], "POST", PATH, **options)


def _serves_requests(fleet: fleet_module.Fleet) -> bool:
    return _call_service(fleet).headers["knapweedwharf-outcome"] == "ran"


def test_announced_oversize_is_refused_before_it_is_sent(fleet) -> None:
    answer = _exchange_raw(fleet, _request_head(10 * MAX_BODY_BYTES))
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert b"too-large" in answer


def test_chunked_oversize_is_refused(fleet) -> None:
    head = _request_head(0).replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    chunk = b"%x\r\n" % 50_000 + b"x" * 50_000 + b"\r\n"
    answer = _exchange_raw(fleet, head + chunk * 3 + b"0\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 413 ")


def test_no_token_is_refused_before_the_body(fleet) -> None:
    head = _request_head(MAX_BODY_BYTES, token="wrong")
    answer = _exchange_raw(fleet, head)
    assert answer.startswith(b"HTTP/1.1 401 ")
    assert b"belongs to no account" in answer
    assert b"wrong" not in answer


def test_short_body_of_a_refused_call_is_read_and_dropped(fleet) -> None:
    answer = _exchange_raw(fleet, _request_head(5, token="wrong") + b"12345")
    assert answer.startswith(b"HTTP/1.1 401 ")


BROKEN = {
    "no request line": b"hello\r\n\r\n",
    "length is no number": _request_head("many"),
    "two lengths": _request_head(3, "Content-Length: 4") + b"abcd",
    "length and chunks": _request_head(3, "Transfer-Encoding: gzip") + b"abc",
    "negative length": _request_head(-1),
}


@pytest.mark.parametrize("name", BROKEN)
def test_broken_http_gets_a_4xx(fleet, name: str) -> None:
    executed = len(fleet.executions())
    assert _exchange_raw(fleet, BROKEN[name]).startswith(b"HTTP/1.1 4")
    assert len(fleet.executions()) == executed
    assert _serves_requests(fleet)


def test_oversized_header_ends_the_connection(fleet) -> None:
    answer = _exchange_raw(fleet, b"GET / HTTP/1.1\r\nX: " + b"x" * 100_000)
    assert b"200" not in answer
    assert _serves_requests(fleet)


HEADERS = {
    "timeout is text": {"Request-Timeout-S": "soon"},
    "timeout is not a number": {"Request-Timeout-S": "nan"},
    "timeout is negative": {"Request-Timeout-S": "-1"},
    "key is empty": {"Idempotency-Key": ""},
    "key is too long": {"Idempotency-Key": "x" * 201},
    "key has spaces": {"Idempotency-Key": "a b"},
}


@pytest.mark.parametrize("name", HEADERS)
def test_wrong_header_names_field_and_remedy(fleet, name: str) -> None:
    answer = _call_service(fleet, headers=HEADERS[name])
    assert answer.status == 400
    fault = answer.json()["error"]
    assert fault["field"] in HEADERS[name]
    assert fault["remedy"]


def test_wrong_method_and_path_are_json_answers(fleet) -> None:
    node = fleet.nodes[0]
    wrong = fleet.call(node, "GET", PATH, token=TOKEN)
    assert wrong.status == 405
    assert wrong.headers["allow"] == "POST"
    missing = fleet.call(node, "POST", "/v2", token=TOKEN, body=b"x")
    assert missing.status == 404
    assert missing.json()["error"]["code"] == "not-found"


def test_bodies_held_at_once_are_bounded(fleet) -> None:
    slow = [_connect(fleet) for _number in range(3)]
    try:
        for connection in slow:
            expecting = _request_head(MAX_BODY_BYTES, "Expect: 100-continue")
            connection.sendall(expecting)
            assert connection.recv(1000).startswith(b"HTTP/1.1 100 ")
        refused = _exchange_raw(fleet, _request_head(MAX_BODY_BYTES))
        assert refused.startswith(b"HTTP/1.1 503 ")
        assert b"did-not-run" in refused
        assert b"Retry-After" in refused
        for connection in slow:
            connection.sendall(b"x" * MAX_BODY_BYTES)
            assert _read(connection).startswith(b"HTTP/1.1 200 ")
    finally:
        for connection in slow:
            connection.close()
    assert _serves_requests(fleet)


def test_cut_bodies_give_their_room_back(fleet) -> None:
    for _number in range(10):
        with _connect(fleet) as connection:
            connection.sendall(_request_head(MAX_BODY_BYTES) + b"part")
    fleet_module.until(
        lambda: _exchange_raw(
            fleet, _request_head(MAX_BODY_BYTES) + b"x" * MAX_BODY_BYTES
        ).startswith(b"HTTP/1.1 200 "),
        what="room for a body",
    )


def test_open_connections_are_bounded(fleet) -> None:
    idle = [_connect(fleet) for _number in range(MAX_CONNECTIONS)]
    try:
        more = [_connect(fleet) for _number in range(MAX_CONNECTIONS)]
        idle += more
        assert _serves_requests(fleet)
        # Each new connection closes the one that was silent for longest.
        for connection in idle[: MAX_CONNECTIONS + 1]:
            assert _read(connection) == b""
    finally:
        for connection in idle:
            connection.close()
    fleet_module.until(
        lambda: _call_service(fleet).status == 200, what="a free connection"
    )


def test_an_account_sees_its_own_outcomes_alone(fleet) -> None:
    node = fleet.nodes[0]
    key = {"Idempotency-Key": "own-1"}
    ran = fleet.call(
        node,
        "POST",
        "/v1/services/booking",
        token=TOKEN,
        body=b"ladder 3",
        headers=key,
    )
    assert ran.status == 200
    path = "/v1/requests/own-1"
    again = fleet.call(node, "GET", path, token=TOKEN)
    assert again.body == ran.body
    other = fleet.call(node, "GET", path, token="sample-valle-cafe-token")
    assert other.status == 404


def test_secrets_stay_out_of_logs(fleet) -> None:
    _call_service(fleet, token="a-wrong-token")
    _serves_requests(fleet)
    log = (fleet.scratch / f"{fleet.nodes[0].node_id}.log").read_text()
    assert log
    for secret in ("a-wrong-token", TOKEN, fleet_module.PEER_KEY):
        assert secret not in log
