"""A TCP relay that simulates the network between data centres.

Each route listens on a port for callers of one data centre and forwards
bytes to a VM of another. ``POST /control`` with ``{"cut": [["a",
"b"]]}`` closes every connection between the two and refuses new ones.
``GET /control`` returns the number of bytes forwarded, by route.
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
    """A route from a data centre to a VM of another."""

    port: int
    target_port: int
    source: str
    destination: str


class Relay:
    """Forwards bytes unless the two data centres are partitioned."""

    def __init__(self) -> None:
        self._cut: set[frozenset[str]] = set()
        self._writers: dict[frozenset[str], set[asyncio.StreamWriter]] = {}
        self.passed_bytes: collections.Counter[str] = collections.Counter()

    def set_cut(self, pairs: list[list[str]]) -> None:
        """Partition exactly these pairs of data centres."""
        self._cut = {frozenset(pair) for pair in pairs}
        for pair in self._cut:
            for writer in list(self._writers.get(pair, ())):
                writer.transport.abort()

    async def serve(self, route: Route) -> None:
        """Listen on the port of a route."""

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
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", route.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        both = {writer, target_writer}
        open_writers = self._writers.setdefault(pair, set())
        open_writers |= both
        name = f"{route.source}>{route.destination}"
        await asyncio.gather(
            self._pump(name, reader, target_writer),
            self._pump(name, target_reader, writer),
        )
        open_writers -= both

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
    """Sets the partitioned pairs; returns the bytes forwarded."""

    def initialize(self, relay: Relay) -> None:
        """Store the relay."""
        self.relay = relay

    async def post(self) -> None:
        """Set the partitioned pairs."""
        self.relay.set_cut(json.loads(self.request.body)["cut"])
        self.write({})

    async def get(self) -> None:
        """Return the number of bytes forwarded, by route."""
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
    """Serve the routes of a JSON list until stopped."""
    listed = [Route(**item) for item in json.load(routes)]
    asyncio.run(_serve(port, listed))


if __name__ == "__main__":
    main()
