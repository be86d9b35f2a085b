"""HTTP servers for callers, readiness probes and metrics.

Callers' requests are passed on to the methods of ``JobApi``.
"""

from __future__ import annotations

import json
import math
import re
import typing

from returns import result
from tornado import web

from knapweedwharf import errors
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import job_api as job_api_module
from knapweedwharf.fleet import model
from knapweedwharf import log
from knapweedwharf import metrics as metrics_module
from knapweedwharf.platform import decode
from knapweedwharf.platform import limits as limits_module
from knapweedwharf.web import body as body_module
from knapweedwharf.web import connections
from knapweedwharf.web import limited_server
from knapweedwharf.web import limits as web_limits

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

    process_config: model.ProcessConfig
    sender: metrics_module.Metrics
    body_budget: body_module.BodyBudget
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


@web.stream_request_body
class CallHandler(web.RequestHandler):
    """Submits, shows and cancels jobs, and counts pending ones."""

    def initialize(self, ingress: Ingress) -> None:
        """Store the handler's arguments; called by tornado."""
        self._ingress = ingress
        self._logger = log.get("ingress")
        self._is_in_flight = False
        self._body = body_module.Body(
            budget=ingress.body_budget,
            max_bytes=limits_module.MAX_BODY_BYTES,
        )

    def set_default_headers(self) -> None:
        """Drop the header that names the server software."""
        self.clear_header("Server")

    def prepare(self) -> None:
        """Reserve room for the request, or refuse it."""
        opened = limited_server.opened_by(self.request)
        opened.hold(self._body, self._refuse_incomplete)
        length = body_module.content_length(self.request)
        self._check_room(self._body.reserve_up_to(length))

    def data_received(self, chunk: bytes) -> None:
        """Buffer a part of the body."""
        if not self._finished:
            self._check_room(self._body.add(chunk))

    def _check_room(self, reserved: result.Result[None, errors.Fault]) -> None:
        if isinstance(reserved, result.Failure):
            self._refuse_incomplete(reserved.failure())

    def _refuse_incomplete(self, fault: errors.Fault) -> None:
        """Respond to a request whose body is not complete.

        It may be one of many; the connections' log line counts them.
        """
        if not self._finished:
            self._respond_with(fault)

    def _begin(self) -> None:
        """Take the request as complete."""
        self._is_in_flight = True
        self._ingress.in_flight += 1
        self.request.body = self._body.take()

    def on_finish(self) -> None:
        """Count the request as no longer in flight."""
        self._body.release()
        if self._is_in_flight:
            self._ingress.in_flight -= 1

    def on_connection_close(self) -> None:
        """Release the room of a request whose body never arrived."""
        super().on_connection_close()
        if not self._is_in_flight:
            self._body.release()

    def finish(self, chunk: typing.Any = None):
        """Finish the response; close the connection while draining."""
        if self._ingress.draining:
            self.set_header("Connection", "close")
        return super().finish(chunk)

    async def post(self) -> None:
        """Submit a job."""
        self._begin()
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
        self._begin()
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
        self._begin()
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
        self._logger.info(
            "call-refused",
            method=self.request.method,
            path=self.request.path,
            status=fault.http_status,
            why=fault.code,
            detail=fault.message,
            retry_after_s=_retry_after_s(fault),
        )
        self._respond_with(fault)

    def _respond_with(self, fault: errors.Fault) -> None:
        retry_after_s = _retry_after_s(fault)
        if retry_after_s:
            self.set_header("Retry-After", str(retry_after_s))
        self._write(fault.http_status, fault.to_dict())

    def _write(self, status: int, document: dict) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(document))


def _retry_after_s(fault: errors.Fault) -> int:
    """Return the whole seconds of a refusal; 0 for other faults."""
    if isinstance(fault, errors.DidNotRun):
        return math.ceil(fault.retry_after_s)
    return 0


def frontend(ingress: Ingress) -> limited_server.LimitedServer:
    """Create the server for callers."""
    return _server(
        [(r".*", CallHandler, {"ingress": ingress})],
        limits_module.callers(ingress.process_config.capacity),
        name="callers",
        budget=ingress.body_budget,
        sender=ingress.sender,
    )


def readiness(ingress: Ingress) -> limited_server.LimitedServer:
    """Create the server for the load balancer's probes."""
    return _server(
        [(r"/readiness", ReadinessHandler, {"ingress": ingress})],
        limits_module.PROBES,
        name="readiness",
    )


def metrics(ingress: Ingress) -> limited_server.LimitedServer:
    """Create the server for the metrics."""
    return _server(
        [(r"/metrics", MetricsHandler, {"ingress": ingress})],
        limits_module.PROBES,
        name="metrics",
    )


def _server(
    routes: list[tuple],
    limits: web_limits.Limits,
    **options: typing.Any,
) -> limited_server.LimitedServer:
    return limited_server.LimitedServer(
        web.Application(routes, log_function=lambda handler: None),
        limits=limits,
        connections=connections.Connections(limits, **options),
    )
