"""A server with limits, on a loopback port of this process."""

from __future__ import annotations

import asyncio
from collections import abc

from tornado import web

from knapweedwharf.web import connections as connections_module
from knapweedwharf.web import limited_server
from knapweedwharf.web import limits as limits_module
from standins import loopback

MAX_CONNECTIONS = 5
GET = b"GET / HTTP/1.1\r\nHost: node\r\n\r\n"

Work = abc.Callable[["_Served"], abc.Awaitable[None]]


class _Handler(web.RequestHandler):
    def initialize(self, served: _Served) -> None:
        self._served = served

    async def get(self) -> None:
        self._served.begun += 1
        await self._served.may_answer.wait()
        self.finish(b"done")


class _Served:
    """A server whose answers wait until they may be given."""

    def __init__(self) -> None:
        limits = limits_module.Limits(max_connections=MAX_CONNECTIONS)
        self.begun = 0
        self.may_answer = asyncio.Event()
        self.connections = connections_module.Connections(limits, name="test")
        self.server = limited_server.LimitedServer(
            web.Application(
                [(r"/", _Handler, {"served": self})],
                log_function=lambda handler: None,
            ),
            limits=limits,
            connections=self.connections,
        )
        self.port = loopback.free_port()

    async def send(self, data: bytes):
        """Open a connection and send."""
        reader, writer = await asyncio.open_connection(
            loopback.HOST, self.port
        )
        writer.write(data)
        return reader, writer

    async def until_begun(self, count: int) -> None:
        """Wait until requests wait for their answers."""
        while self.begun < count:
            await asyncio.sleep(0.01)


def _run(work: Work) -> None:
    async def scenario() -> None:
        served = _Served()
        served.server.listen(served.port, loopback.HOST)
        try:
            async with asyncio.timeout(60):
                await work(served)
        finally:
            served.server.close()
            await served.server.close_all_connections()

    asyncio.run(scenario())


def test_a_connection_is_refused_where_all_others_wait_for_answers():
    async def work(served):
        opened = [await served.send(GET) for _n in range(MAX_CONNECTIONS)]
        await served.until_begun(MAX_CONNECTIONS)
        reader, writer = await served.send(b"")
        refusal = await reader.read()
        assert refusal.startswith(b"HTTP/1.1 503 ")
        assert b"Knapweedwharf-Outcome: did-not-run" in refusal
        assert b"Retry-After: 1\r\n" in refusal
        writer.close()
        served.may_answer.set()
        for reader, _writer in opened:
            answer = await reader.readuntil(b"done")
            assert answer.startswith(b"HTTP/1.1 200 ")

    _run(work)


def test_the_oldest_silent_connection_is_closed_for_a_new_one():
    async def work(served):
        served.may_answer.set()
        silent = [await served.send(b"") for _n in range(MAX_CONNECTIONS)]
        while served.connections.count < MAX_CONNECTIONS:
            await asyncio.sleep(0.01)
        reader, _writer = await served.send(GET)
        await reader.readuntil(b"done")
        assert await silent[0][0].read() == b""
        assert served.connections.count == MAX_CONNECTIONS
        assert not any(reader.at_eof() for reader, _writer in silent[1:])

    _run(work)


def test_a_connection_serves_several_requests():
    async def work(served):
        served.may_answer.set()
        reader, writer = await served.send(GET)
        for _number in range(3):
            await reader.readuntil(b"done")
            writer.write(GET)
        await reader.readuntil(b"done")
        assert served.connections.count == 1
        writer.close()
        while served.connections.count:
            await asyncio.sleep(0.01)

    _run(work)


def test_a_client_that_leaves_is_forgotten():
    async def work(served):
        for data in (b"", GET[:10], GET, b"hello\r\n\r\n"):
            _reader, writer = await served.send(data)
            await asyncio.sleep(0.01)
            writer.close()
        served.may_answer.set()
        while served.connections.count:
            await asyncio.sleep(0.01)

    _run(work)
