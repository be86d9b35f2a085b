"""Callers' HTTP on the platform, translated to calls of the door."""

from __future__ import annotations

import json
import math
import re
import typing

from returns import result
from tornado import httpserver
from tornado import web

from knapweedwharf import errors
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import door as door_module
from knapweedwharf import log
from knapweedwharf.platform import decode

MAX_BODY_BYTES = 262_144
"""The operator's usual limit of a body."""

DEFAULT_WAIT_S = 3.0
"""How long callers wait who do not say it; the routes' usual time."""

ANSWER_MARGIN_S = 0.15
"""Time for an answer to reach a caller before it stops waiting."""

MAX_WAIT_S = 30.0

_JOB_ID = re.compile(r"^[0-9a-f]{16}$")


class Ingress(typing.Protocol):
    """What the handlers need of the program."""

    door: door_module.Door
    draining: bool
    in_flight: int

    @property
    def is_ready(self) -> bool:
        """Whether new connections are welcome."""

    def metrics_text(self) -> bytes:
        """Return the values of all metrics."""


class ReadinessHandler(web.RequestHandler):
    """Tells the balancer whether to send new connections here."""

    def initialize(self, ingress: Ingress) -> None:
        """Take the program from the route."""
        self._ingress = ingress

    def get(self) -> None:
        """Answer 200 while new connections are welcome."""
        self.set_status(200 if self._ingress.is_ready else 503)


class MetricsHandler(web.RequestHandler):
    """Serves the metrics as text."""

    def initialize(self, ingress: Ingress) -> None:
        """Take the program from the route."""
        self._ingress = ingress

    def get(self) -> None:
        """Answer with every value."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._ingress.metrics_text())


class CallHandler(web.RequestHandler):
    """Submit, look, cancel and count, by method and path."""

    def initialize(self, ingress: Ingress) -> None:
        """Take the program from the route."""
        self._ingress = ingress
        self._logger = log.get("ingress")
        ingress.in_flight += 1

    def set_default_headers(self) -> None:
        """Name no server software."""
        self.clear_header("Server")

    def on_finish(self) -> None:
        """Count the call as answered."""
        self._ingress.in_flight -= 1

    def finish(self, chunk: typing.Any = None):
        """Finish the answer; a draining process closes the connection."""
        if self._ingress.draining:
            self.set_header("Connection", "close")
        return super().finish(chunk)

    async def post(self) -> None:
        """Submit a job."""
        call = self._call()
        permitted = self._permitted(call)
        if permitted is None:
            return
        if not _JOB_ID.match(permitted.job_id):
            self._invalid("The id is not 16 hexadecimal digits.")
            return
        try:
            document = decode.parse(self.request.body)
            submission = decode.submission(document)
        except decode.Malformed as error:
            self._invalid(f"The submission is malformed: {error}.")
            return
        size = len(submission["specification"].encode())
        if size > door_module.MAX_SPECIFICATION_BYTES:
            self._invalid("The specification is too long.")
            return
        stored = await self._ingress.door.submit(call, **submission)
        self._answer(stored, lambda _job_id: {})

    async def get(self) -> None:
        """Show a job's state, or count a queue's waiting jobs."""
        call = self._call()
        permitted = self._permitted(call)
        if permitted is None:
            return
        if permitted.job_id:
            shown = await self._ingress.door.state(call)
            self._answer(shown, lambda state: {"state": state})
        else:
            counted = await self._ingress.door.pending(call)
            self._answer(counted, lambda count: {"pending": count})

    async def delete(self) -> None:
        """Cancel a job."""
        call = self._call()
        if self._permitted(call) is not None:
            cancelled = await self._ingress.door.cancel(call)
            self._answer(cancelled, lambda _job_id: {})

    def _call(self) -> door_module.Call:
        header = self.request.headers.get("X-Deadline-Ms", "")
        wait_s = DEFAULT_WAIT_S
        if header.isascii() and header.isdigit():
            wait_s = min(int(header) / 1000.0, MAX_WAIT_S)
        return door_module.Call(
            host=self.request.host.partition(":")[0],
            path=self.request.path,
            key=self.request.headers.get("X-Key", ""),
            until_s=clock.elapsed_s() + wait_s - ANSWER_MARGIN_S,
        )

    def _permitted(self, call: door_module.Call) -> door_module.Allowed | None:
        permitted = self._ingress.door.allow(call)
        if isinstance(permitted, result.Failure):
            self._refuse(permitted.failure())
            return None
        return permitted.unwrap()

    def _invalid(self, message: str) -> None:
        self._refuse(
            errors.InvalidField(
                message=message,
                remedy="Correct the submission.",
                source="request",
                field="body",
                value="",
            )
        )

    def _answer(
        self,
        outcome: result.Result[typing.Any, errors.Fault],
        body: typing.Callable[[typing.Any], dict],
    ) -> None:
        if isinstance(outcome, result.Failure):
            self._refuse(outcome.failure())
            return
        self._write(200, body(outcome.unwrap()))

    def _refuse(self, fault: errors.Fault) -> None:
        if isinstance(fault, errors.DidNotRun):
            self.set_header("Retry-After", str(math.ceil(fault.retry_after_s)))
        self._logger.info(
            "call-refused",
            method=self.request.method,
            path=self.request.path,
            status=fault.http_status,
            why=fault.code,
            detail=fault.message,
        )
        self._write(fault.http_status, fault.to_dict())

    def _write(self, status: int, document: dict) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(document))


def frontend(ingress: Ingress) -> httpserver.HTTPServer:
    """Return the server for callers."""
    application = web.Application(
        [(r".*", CallHandler, {"ingress": ingress})],
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(
        application, max_body_size=MAX_BODY_BYTES, idle_connection_timeout=60
    )


def readiness(ingress: Ingress) -> httpserver.HTTPServer:
    """Return the server for the balancer's probes."""
    application = web.Application(
        [(r"/readiness", ReadinessHandler, {"ingress": ingress})],
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(application)


def metrics(ingress: Ingress) -> httpserver.HTTPServer:
    """Return the server of the metrics."""
    application = web.Application(
        [(r"/metrics", MetricsHandler, {"ingress": ingress})],
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(application)
