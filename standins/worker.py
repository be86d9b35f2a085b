"""HTTP test double of workers: accelerators, leases with epochs, tasks.

One process simulates many workers, each under ``/<worker id>/``. ``POST
/<worker id>/control`` sets fault switches: a worker can freeze, fail
every task, ignore orders or lose answers.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json

import click
from tornado import web

from standins import worker_state

TICK_S = 0.05


class Handler(web.RequestHandler):
    """Base handler: looks up the worker and blocks while it is frozen."""

    def initialize(self, workers: dict[str, worker_state.Worker]) -> None:
        """Store the workers of this process."""
        self.workers = workers

    async def prepare(self) -> None:
        """Look up the worker; a frozen one does not answer."""
        self.worker = self.workers.get(self.path_args[0])
        if self.worker is None:
            raise web.HTTPError(404)
        while self.worker.faults.frozen and not isinstance(self, Control):
            await asyncio.sleep(TICK_S)

    def body(self) -> dict:
        """Return the JSON body."""
        return json.loads(self.request.body)

    def write_error(self, status_code: int, **options) -> None:
        """Answer an order of an outdated epoch with status 409."""
        error = options.get("exc_info", (None, None, None))[1]
        if isinstance(error, worker_state.Fenced):
            self.set_status(409)
            self.finish({"epoch": self.worker.epoch})
            return
        super().write_error(status_code, **options)

    def log_exception(self, kind, value, trace) -> None:
        """Log nothing for an outdated epoch, which tests expect."""
        if not isinstance(value, worker_state.Fenced):
            super().log_exception(kind, value, trace)


class Seal(Handler):
    """Seals the worker and reports its state."""

    async def post(self, _worker_id: str) -> None:
        """Answer ``/seal``."""
        self.write(self.worker.seal(self.body()["epoch"]))


class Orders(Handler):
    """Executes orders."""

    async def post(self, _worker_id: str) -> None:
        """Answer ``/orders``."""
        asked = self.body()
        answer = self.worker.send(asked["epoch"], asked["orders"])
        if self.worker.faults.lose_answers > 0:
            self.worker.faults.lose_answers -= 1
            self.request.connection.stream.close()
            raise web.Finish()
        self.write(answer)


class Renew(Handler):
    """Renews leases of confirmed attempts and waits for events."""

    async def post(self, _worker_id: str) -> None:
        """Answer ``/renew``."""
        asked = self.body()
        worker = self.worker
        worker.renew_leases(asked["epoch"], asked)
        if worker.sequence <= asked["after_sequence"]:
            worker.changed.clear()
            await self.wait(asked["wait_s"])
        self.write(
            worker.events_after(asked["epoch"], asked["after_sequence"])
        )

    async def wait(self, wait_s: float) -> None:
        """Wait for an event, at most this long."""
        try:
            await asyncio.wait_for(self.worker.changed.wait(), wait_s)
        except asyncio.TimeoutError:
            pass


class Control(Handler):
    """Sets fault switches; returns the state and history."""

    async def post(self, _worker_id: str) -> None:
        """Set fault switches."""
        for name, value in self.body().items():
            setattr(self.worker.faults, name, value)
        self.write(dataclasses.asdict(self.worker.faults))

    async def get(self, _worker_id: str) -> None:
        """Return the epoch, live attempts and history."""
        self.write(
            {
                "epoch": self.worker.epoch,
                "history": self.worker.history,
                "attempts": {
                    a.attempt_id: a.state
                    for a in self.worker.attempts.values()
                    if a.state != "ended"
                },
            }
        )


async def _advance(workers: dict[str, worker_state.Worker]) -> None:
    while True:
        await asyncio.sleep(TICK_S)
        for worker in workers.values():
            worker.advance()


async def _serve(port: int, workers: dict[str, worker_state.Worker]) -> None:
    shared = {"workers": workers}
    web.Application(
        [
            (r"/([^/]+)/seal", Seal, shared),
            (r"/([^/]+)/orders", Orders, shared),
            (r"/([^/]+)/renew", Renew, shared),
            (r"/([^/]+)/control", Control, shared),
        ],
        log_function=lambda handler: None,
    ).listen(port, "127.0.0.1")
    await _advance(workers)


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--workers", type=click.File(), required=True)
def main(port: int, workers) -> None:
    """Simulate the workers of a JSON list until stopped."""
    simulated = [worker_state.Worker(**item) for item in json.load(workers)]
    asyncio.run(_serve(port, {w.worker_id: w for w in simulated}))


if __name__ == "__main__":
    main()
