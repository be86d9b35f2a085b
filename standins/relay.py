"""Stand-in of the network between data centres: a TCP relay.

Each route listens on a port for callers of one data centre and passes
bytes on to a VM of another. ``POST /control`` with ``{"cut": [["a",
"b"]]}`` breaks every connection between the two and refuses new ones.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json

import click
from tornado import web

CHUNK_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Route:
    """One way from a data centre to a VM of another."""

    port: int
    target_port: int
    source: str
    destination: str


class Relay:
    """Passes bytes on while the two data centres are joined."""

    def __init__(self) -> None:
        self._cut: set[frozenset[str]] = set()
        self._writers: dict[frozenset[str], set[asyncio.StreamWriter]] = {}

    def set_cut(self, pairs: list[list[str]]) -> None:
        """Cut these pairs of data centres and join all others."""
        self._cut = {frozenset(pair) for pair in pairs}
        for pair in self._cut:
            for writer in list(self._writers.get(pair, ())):
                writer.transport.abort()

    async def serve(self, route: Route) -> None:
        """Listen for a route."""

        async def accept(reader, writer) -> None:
            await self._accept(route, reader, writer)

        await asyncio.start_server(accept, "127.0.0.1", route.port)

    async def _accept(
        self,
        route: Route,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        pair = frozenset((route.source, route.destination))
        if pair in self._cut:
            writer.transport.abort()
            return
        try:
            onward_reader, onward_writer = await asyncio.open_connection(
                "127.0.0.1", route.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        both = {writer, onward_writer}
        joined = self._writers.setdefault(pair, set())
        joined |= both
        await asyncio.gather(
            _pump(reader, onward_writer), _pump(onward_reader, writer)
        )
        joined -= both


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while chunk := await reader.read(CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
    except OSError:
        pass
    writer.close()


class Control(web.RequestHandler):
    """Sets which pairs of data centres are cut."""

    def initialize(self, relay: Relay) -> None:
        """Take the relay."""
        self.relay = relay

    async def post(self) -> None:
        """Change the cuts."""
        self.relay.set_cut(json.loads(self.request.body)["cut"])
        self.write({})


async def _serve(port: int, routes: list[Route]) -> None:
    relay = Relay()
    for route in routes:
        await relay.serve(route)
    application = web.Application(
        [(r"/control", Control, {"relay": relay})],
        log_function=lambda handler: None,
    )
    application.listen(port, "127.0.0.1")
    await asyncio.Event().wait()


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--routes", type=click.File(), required=True)
def main(port: int, routes) -> None:
    """Relay the routes of a JSON list until stopped."""
    listed = [Route(**item) for item in json.load(routes)]
    asyncio.run(_serve(port, listed))


if __name__ == "__main__":
    main()
