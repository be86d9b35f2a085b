"""Stand-in of an executor: 8 slots, 64 connections, execution log.

``POST /control`` sets the faults; ``GET /log`` returns every execution
so that tests can compare it with what callers were told.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json

import click
from tornado import web

SLOTS = 8
MAX_CONNECTIONS = 64


@dataclasses.dataclass
class Faults:
    """Switches of the stand-in.

    :ivar delay_s: how long an execution takes.
    :ivar late: so many next answers come after the execution by
        ``late_s``.
    :ivar crossed: so many next answers carry another attempt's id.
    :ivar truncated: so many next answers are cut in the body.
    :ivar drop_before: so many next requests are cut unexecuted.
    :ivar drop_after: so many next executions are not answered.
    """

    delay_s: float = 0.0
    late: int = 0
    late_s: float = 5.0
    crossed: int = 0
    truncated: int = 0
    drop_before: int = 0
    drop_after: int = 0
    refuse: bool = False
    leaving: bool = False

    def take(self, name: str) -> bool:
        """Use up one of a counted fault."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


class State:
    """What the executor runs and has run."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.running = 0
        self.most_running = 0
        self.arrivals = 0
        self.probes = 0
        self.log: list[dict] = []


class Run(web.RequestHandler):
    """Executes a request: answers with the body it was sent."""

    def initialize(self, state: State) -> None:
        """Take the state."""
        self.state = state

    def cut(self) -> None:
        """Drop the connection."""
        self.request.connection.stream.close()

    async def post(self, service: str) -> None:
        """Answer ``/run/<service>``."""
        faults = self.state.faults
        attempt_id = self.request.headers["X-Attempt-Id"]
        if faults.take("drop_before"):
            self.cut()
            return
        self.state.arrivals += 1
        if faults.refuse or self.state.running >= SLOTS:
            self.signal(attempt_id)
            self.set_status(503)
            return
        await self.execute(service, attempt_id)
        if faults.take("drop_after"):
            self.cut()
        elif faults.take("truncated"):
            self.answer_truncated(attempt_id)
        else:
            if faults.take("late"):
                await asyncio.sleep(faults.late_s)
            self.answer(attempt_id)

    async def execute(self, service: str, attempt_id: str) -> None:
        """Note the execution and take its time."""
        state = self.state
        state.running += 1
        state.most_running = max(state.most_running, state.running)
        state.log.append(
            {
                "service": service,
                "request_id": self.request.headers["X-Request-Id"],
                "attempt_id": attempt_id,
            }
        )
        try:
            await asyncio.sleep(state.faults.delay_s)
        finally:
            state.running -= 1

    def answer(self, attempt_id: str) -> None:
        """Write the whole answer, or another request's if crossed."""
        body = self.request.body
        if self.state.faults.take("crossed"):
            attempt_id = "another-attempt"
            body = b"the body of another request"
        self.signal(attempt_id)
        self.set_header("Content-Type", "application/json")
        self.write(
            json.dumps(
                {
                    "request_id": self.request.headers["X-Request-Id"],
                    "echo": body.decode("latin-1"),
                }
            )
        )

    def signal(self, attempt_id: str) -> None:
        """Set the headers in which an executor speaks of itself."""
        self.set_header("X-Attempt-Id", attempt_id)
        self.set_header("X-Running", str(self.state.running))
        if self.state.faults.leaving:
            self.set_header("X-Leaving", "1")

    def answer_truncated(self, attempt_id: str) -> None:
        """Announce more than is sent, then cut."""
        stream = self.request.connection.stream
        stream.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n"
            b"X-Attempt-Id: " + attempt_id.encode() + b"\r\n\r\nshort"
        )
        stream.close()


class Health(web.RequestHandler):
    """Tells the executor's signals without running anything."""

    def initialize(self, state: State) -> None:
        """Take the state."""
        self.state = state

    async def get(self) -> None:
        """Answer ``/healthz``."""
        self.state.probes += 1
        self.set_header("X-Running", str(self.state.running))
        if self.state.faults.leaving:
            self.set_header("X-Leaving", "1")
        self.write({"running": self.state.running})


class Control(web.RequestHandler):
    """Sets faults; returns the execution log."""

    def initialize(self, state: State) -> None:
        """Take the state."""
        self.state = state

    async def post(self) -> None:
        """Change faults."""
        for name, value in json.loads(self.request.body).items():
            setattr(self.state.faults, name, value)
        self.write(dataclasses.asdict(self.state.faults))

    async def get(self) -> None:
        """Return the execution log."""
        self.write(
            {
                "log": self.state.log,
                "most_running": self.state.most_running,
                "arrivals": self.state.arrivals,
                "probes": self.state.probes,
            }
        )


async def _serve(port: int) -> None:
    state = State()
    web.Application(
        [
            (r"/run/([^/]+)", Run, {"state": state}),
            (r"/healthz", Health, {"state": state}),
            (r"/control", Control, {"state": state}),
            (r"/log", Control, {"state": state}),
        ],
        log_function=lambda handler: None,
    ).listen(port, "127.0.0.1")
    await asyncio.Event().wait()


@click.command()
@click.option("--port", type=int, required=True)
def main(port: int) -> None:
    """Run the stand-in until it is stopped."""
    asyncio.run(_serve(port))


if __name__ == "__main__":
    main()
