"""Stand-in of the network between data centres: a TCP relay.

Each route listens on a port for callers of one data centre and passes
bytes on to a VM of another. ``POST /control`` with ``{"cut": [["a",
"b"]]}`` breaks every connection between the two and refuses new ones.
``GET /control`` returns the bytes passed on, by route.
"""

from __future__ import annotations

import asyncio
import collections
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
        self.passed_bytes: collections.Counter[str] = collections.Counter()

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
        name = f"{route.source}>{route.destination}"
        await asyncio.gather(
            self._pump(name, reader, onward_writer),
            self._pump(name, onward_reader, writer),
        )
        joined -= both

    async def _pump(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                self.passed_bytes[name] += len(chunk)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        writer.close()


class Control(web.RequestHandler):
    """Sets which pairs are cut; returns the bytes passed on."""

    def initialize(self, relay: Relay) -> None:
        """Take the relay."""
        self.relay = relay

    async def post(self) -> None:
        """Change the cuts."""
        self.relay.set_cut(json.loads(self.request.body)["cut"])
        self.write({})

    async def get(self) -> None:
        """Return the bytes passed on, by route."""
        self.write(self.relay.passed_bytes)


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
