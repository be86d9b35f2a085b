"""Limits on clients follow the VM; requests inside them are served."""

from __future__ import annotations

import asyncio
import json

import pytest

from knapweedwharf.fleet import capacity as capacity_module
from knapweedwharf.platform import limits
from knapweedwharf.web import connections as connections_module
from standins import loopback
from testing.platform import test_odd_entry

OWNER_BYTES = 56e6
MACHINES = [(160, 1_638), (300, 4_100), (552, 8_192), (552, 10_250)]


def _capacity(memory_mb: float, descriptors: int) -> capacity_module.Capacity:
    return capacity_module.Capacity(
        memory_bytes=memory_mb * 1e6, file_descriptors=descriptors
    )


@pytest.mark.parametrize(("memory_mb", "descriptors"), MACHINES)
def test_all_that_clients_may_hold_fits_the_machine(memory_mb, descriptors):
    capacity = _capacity(memory_mb, descriptors)
    callers = limits.callers(capacity)
    held_bytes = callers.max_connections * limits.CONNECTION_BYTES
    held_bytes += limits.max_buffered_bytes(capacity)
    assert held_bytes + OWNER_BYTES < capacity.memory_bytes
    per_connection = callers.max_unread_bytes + 16_384
    assert per_connection <= limits.CONNECTION_BYTES
    sockets = descriptors - limits.FILE_DESCRIPTORS
    assert sockets - callers.max_connections >= sockets * 0.7
    assert limits.max_buffered_bytes(capacity) >= 10 * limits.MAX_BODY_BYTES
    assert callers.max_connections >= 300


def test_a_machine_that_is_too_small_still_serves_single_requests():
    capacity = _capacity(30, 100)
    assert limits.callers(capacity).max_connections > 0
    assert limits.max_buffered_bytes(capacity) >= limits.MAX_BODY_BYTES


def _head(*lines: str) -> bytes:
    head = (
        f"POST {test_odd_entry.JOB} HTTP/1.1",
        "Host: queue.example",
        "X-Key: key",
        "X-Deadline-Ms: 30000",
        "Connection: close",
        *lines,
    )
    return ("\r\n".join(head) + "\r\n\r\n").encode()


def _sized(body: bytes, *, piece_bytes: int) -> list[bytes]:
    return [
        _head(f"Content-Length: {len(body)}"),
        *(
            body[at : at + piece_bytes]
            for at in range(0, len(body), piece_bytes)
        ),
    ]


def _chunked(body: bytes, *, chunk_bytes: int) -> list[bytes]:
    chunks = [
        body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes)
    ]
    return [
        _head("Transfer-Encoding: chunked"),
        *(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks),
        b"0\r\n\r\n",
    ]


FORMS = {
    "whole": lambda body: _sized(body, piece_bytes=len(body)),
    "pieces": lambda body: _sized(body, piece_bytes=4_096),
    "large chunks": lambda body: _chunked(body, chunk_bytes=65_536),
    "chunks": lambda body: _chunked(body, chunk_bytes=8_192),
    "small chunks": lambda body: _chunked(body, chunk_bytes=16),
}


async def _exchange(running, parts: list[bytes]) -> bytes:
    port = running.process_config.frontend_address.rpartition(":")[2]
    reader, writer = await asyncio.open_connection(loopback.HOST, int(port))
    try:
        for part in parts:
            writer.write(part)
            await writer.drain()
        return await reader.read()
    finally:
        writer.close()


async def _nothing(_platform) -> None:
    """Prepare nothing."""


@pytest.mark.parametrize("form", FORMS)
def test_a_body_of_the_largest_size_is_served(form):
    async def work(running, _platform):
        document = json.dumps(test_odd_entry.SUBMISSION).encode()
        body = document.ljust(limits.MAX_BODY_BYTES)
        answer = await _exchange(running, FORMS[form](body))
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert running.body_budget.reserved_bytes == 0
        assert running.in_flight == 0

    test_odd_entry._run(work, before=_nothing)


def test_a_body_over_the_largest_size_is_refused():
    async def work(running, _platform):
        length = limits.MAX_BODY_BYTES + 1
        head = _head(f"Content-Length: {length}")
        assert (await _exchange(running, [head])).startswith(b"HTTP/1.1 413 ")
        # The last byte stays unsent, so that nothing is left unread.
        parts = _chunked(b"x" * length, chunk_bytes=length)
        answer = await _exchange(running, [parts[0], parts[1][:-2]])
        assert answer.startswith(b"HTTP/1.1 413 ")
        assert running.body_budget.reserved_bytes == 0

    test_odd_entry._run(work, before=_nothing)


def test_an_open_request_with_thousands_of_headers_holds_room():
    async def work(running, _platform):
        lines = [f"{number:x}: " for number in range(2_000)]
        head = _head("Content-Length: 9", *lines)
        exchange = asyncio.create_task(_exchange(running, [head]))
        while not running.body_budget.reserved_bytes:
            await asyncio.sleep(0.01)
        held_bytes = running.body_budget.reserved_bytes
        assert held_bytes > 1_900 * connections_module.FIELD_BYTES
        exchange.cancel()
        while running.body_budget.reserved_bytes:
            await asyncio.sleep(0.01)

    test_odd_entry._run(work, before=_nothing)
