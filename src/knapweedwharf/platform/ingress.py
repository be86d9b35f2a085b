"""HTTP servers for callers, readiness probes and metrics.

Callers' requests are passed on to the methods of ``JobApi``.
"""

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
from knapweedwharf.fleet import job_api as job_api_module
from knapweedwharf import log
from knapweedwharf.platform import decode

MAX_BODY_BYTES = 262_144
"""The platform operator's usual limit for a request body."""

DEFAULT_WAIT_S = 3.0
"""Assumed for callers that send no deadline; the usual target of routes."""

ANSWER_MARGIN_S = 0.15
"""Reserved for the response to reach the caller before its deadline."""

MAX_WAIT_S = 30.0

_MAX_DEADLINE_DIGITS = 9
"""A deadline with more, in milliseconds, is over ``MAX_WAIT_S``."""

_JOB_ID = re.compile(r"^[0-9a-f]{16}$")


class Ingress(typing.Protocol):
    """What the request handlers need from the process."""

    job_api: job_api_module.JobApi
    draining: bool
    in_flight: int

    @property
    def is_ready(self) -> bool:
        """Whether the process accepts new connections."""

    def metrics_text(self) -> bytes:
        """Return the values of all metrics."""


class ReadinessHandler(web.RequestHandler):
    """Answers the load balancer's readiness probes."""

    def initialize(self, ingress: Ingress) -> None:
        """Store the handler's arguments; called by tornado."""
        self._ingress = ingress

    def get(self) -> None:
        """Respond with 200 while new connections are accepted, else 503."""
        self.set_status(200 if self._ingress.is_ready else 503)


class MetricsHandler(web.RequestHandler):
    """Serves the metrics in the Prometheus text format."""

    def initialize(self, ingress: Ingress) -> None:
        """Store the handler's arguments; called by tornado."""
        self._ingress = ingress

    def get(self) -> None:
        """Respond with the values of all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._ingress.metrics_text())


class CallHandler(web.RequestHandler):
    """Submits, shows and cancels jobs, and counts pending ones."""

    def initialize(self, ingress: Ingress) -> None:
        """Store the handler's arguments; called by tornado."""
        self._ingress = ingress
        self._logger = log.get("ingress")
        ingress.in_flight += 1

    def set_default_headers(self) -> None:
        """Drop the header that names the server software."""
        self.clear_header("Server")

    def on_finish(self) -> None:
        """Count the request as no longer in flight."""
        self._ingress.in_flight -= 1

    def finish(self, chunk: typing.Any = None):
        """Finish the response; close the connection while draining."""
        if self._ingress.draining:
            self.set_header("Connection", "close")
        return super().finish(chunk)

    async def post(self) -> None:
        """Submit a job."""
        call = self._parse_call()
        permitted = self._authorize(call)
        if permitted is None:
            return
        if not _JOB_ID.match(permitted.job_id):
            self._refuse_invalid(
                "The job id is not 16 lower-case hexadecimal digits."
            )
            return
        try:
            document = decode.parse(self.request.body)
            submission = decode.submission(document)
        except decode.Malformed as error:
            self._refuse_invalid(f"The submission is malformed: {error}.")
            return
        size = len(submission["specification"].encode())
        if size > job_api_module.MAX_SPECIFICATION_BYTES:
            self._refuse_invalid(
                "The specification exceeds the maximum length."
            )
            return
        stored = await self._ingress.job_api.submit(call, **submission)
        self._respond(stored, lambda _job_id: {})

    async def get(self) -> None:
        """Return a job's state, or the number of pending jobs of a queue."""
        call = self._parse_call()
        permitted = self._authorize(call)
        if permitted is None:
            return
        if permitted.job_id:
            shown = await self._ingress.job_api.state(call)
            self._respond(shown, lambda state: {"state": state})
        else:
            counted = await self._ingress.job_api.pending(call)
            self._respond(counted, lambda count: {"pending": count})

    async def delete(self) -> None:
        """Cancel a job."""
        call = self._parse_call()
        if self._authorize(call) is not None:
            cancelled = await self._ingress.job_api.cancel(call)
            self._respond(cancelled, lambda _job_id: {})

    def _parse_call(self) -> job_api_module.Call:
        header = self.request.headers.get("X-Deadline-Ms", "")
        wait_s = DEFAULT_WAIT_S
        if header.isascii() and header.isdigit():
            wait_s = MAX_WAIT_S
            if len(header) <= _MAX_DEADLINE_DIGITS:
                wait_s = min(int(header) / 1000.0, MAX_WAIT_S)
        return job_api_module.Call(
            host=self.request.host.partition(":")[0],
            path=self.request.path,
            key=self.request.headers.get("X-Key", ""),
            deadline_s=clock.elapsed_s() + wait_s - ANSWER_MARGIN_S,
        )

    def _authorize(
        self, call: job_api_module.Call
    ) -> job_api_module.Allowed | None:
        permitted = self._ingress.job_api.allow(call)
        if isinstance(permitted, result.Failure):
            self._refuse(permitted.failure())
            return None
        return permitted.unwrap()

    def _refuse_invalid(self, message: str) -> None:
        self._refuse(
            errors.InvalidField(
                message=message,
                remedy="Correct the request.",
                source="request",
                field="body",
                value="",
            )
        )

    def _respond(
        self,
        outcome: result.Result[typing.Any, errors.Fault],
        body: typing.Callable[[typing.Any], dict],
    ) -> None:
        if isinstance(outcome, result.Failure):
            self._refuse(outcome.failure())
            return
        self._write(200, body(outcome.unwrap()))

    def _refuse(self, fault: errors.Fault) -> None:
        retry_after_s = 0
        if isinstance(fault, errors.DidNotRun):
            retry_after_s = math.ceil(fault.retry_after_s)
            self.set_header("Retry-After", str(retry_after_s))
        self._logger.info(
            "call-refused",
            method=self.request.method,
            path=self.request.path,
            status=fault.http_status,
            why=fault.code,
            detail=fault.message,
            retry_after_s=retry_after_s,
        )
        self._write(fault.http_status, fault.to_dict())

    def _write(self, status: int, document: dict) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(document))


def frontend(ingress: Ingress) -> httpserver.HTTPServer:
    """Create the server for callers."""
    application = web.Application(
        [(r".*", CallHandler, {"ingress": ingress})],
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(
        application, max_body_size=MAX_BODY_BYTES, idle_connection_timeout=60
    )


def readiness(ingress: Ingress) -> httpserver.HTTPServer:
    """Create the server for the load balancer's probes."""
    application = web.Application(
        [(r"/readiness", ReadinessHandler, {"ingress": ingress})],
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(application)


def metrics(ingress: Ingress) -> httpserver.HTTPServer:
    """Create the server for the metrics."""
    application = web.Application(
        [(r"/metrics", MetricsHandler, {"ingress": ingress})],
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(application)
