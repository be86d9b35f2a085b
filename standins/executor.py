"""HTTP test double of an executor: 8 slots, 64 connections, a log.

``POST /control`` sets fault switches; ``GET /log`` returns every
execution, so that tests can compare it with the answers that callers
received.
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
    """Fault switches of the executor.

    Each counted fault applies to that number of next requests.

    :ivar delay_s: duration of an execution.
    :ivar late: answers that are sent ``late_s`` after the execution.
    :ivar crossed: answers that carry another attempt's id and body.
    :ivar truncated: answers that break off within the body.
    :ivar drop_before: requests whose connection is closed before they
        are executed.
    :ivar drop_after: requests whose connection is closed after they
        are executed.
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

    def consume(self, name: str) -> bool:
        """Tell whether a counted fault applies, and count it down."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


class State:
    """Running and past executions of the executor."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.running = 0
        self.most_running = 0
        self.arrivals = 0
        self.probes = 0
        self.log: list[dict] = []


class Run(web.RequestHandler):
    """Executes a request and echoes its body."""

    def initialize(self, state: State) -> None:
        """Take the state."""
        self.state = state

    def cut(self) -> None:
        """Close the connection without an answer."""
        self.request.connection.stream.close()

    async def post(self, service: str) -> None:
        """Answer ``/run/<service>``."""
        faults = self.state.faults
        attempt_id = self.request.headers["X-Attempt-Id"]
        if faults.consume("drop_before"):
            self.cut()
            return
        self.state.arrivals += 1
        if faults.refuse or self.state.running >= SLOTS:
            self.signal(attempt_id)
            self.set_status(503)
            return
        await self.execute(service, attempt_id)
        if faults.consume("drop_after"):
            self.cut()
        elif faults.consume("truncated"):
            self.answer_truncated(attempt_id)
        else:
            if faults.consume("late"):
                await asyncio.sleep(faults.late_s)
            self.answer(attempt_id)

    async def execute(self, service: str, attempt_id: str) -> None:
        """Log the execution and wait for its duration."""
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
        """Write the answer, or that of another request if crossed."""
        body = self.request.body
        if self.state.faults.consume("crossed"):
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
        """Set the headers that carry the executor's own status."""
        self.set_header("X-Attempt-Id", attempt_id)
        self.set_header("X-Running", str(self.state.running))
        if self.state.faults.leaving:
            self.set_header("X-Leaving", "1")

    def answer_truncated(self, attempt_id: str) -> None:
        """Send less than Content-Length announces, then close."""
        stream = self.request.connection.stream
        stream.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n"
            b"X-Attempt-Id: " + attempt_id.encode() + b"\r\n\r\nshort"
        )
        stream.close()


class Health(web.RequestHandler):
    """Returns the executor's status without executing anything."""

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
    """Sets fault switches; returns the execution log."""

    def initialize(self, state: State) -> None:
        """Take the state."""
        self.state = state

    async def post(self) -> None:
        """Set fault switches."""
        for name, value in json.loads(self.request.body).items():
            setattr(self.state.faults, name, value)
        self.write(dataclasses.asdict(self.state.faults))

    async def get(self) -> None:
        """Return the execution log and counters."""
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
    """Run the simulated executor until it is stopped."""
    asyncio.run(_serve(port))


if __name__ == "__main__":
    main()
