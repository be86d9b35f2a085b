"""What every HTTP handler shares: caller, JSON answers and faults."""

from __future__ import annotations

import asyncio
import json
import math
import typing

import marshmallow
from returns import result
from tornado import web

from knapweedwharf import errors
from knapweedwharf.web import auth
from knapweedwharf.web import body as body_module

if typing.TYPE_CHECKING:
    from knapweedwharf import node as node_module

OUTCOME_HEADER = "Knapweedwharf-Outcome"
UNKNOWN_RETRY_AFTER_S = 5.0
REQUEST_ID_HEADER = "Knapweedwharf-Request-Id"
BODY_TIMEOUT_S = 10.0
_DISCARD_BYTES = 65_536


class Refused(Exception):
    """Carries a fault to the answer; raised inside handlers only."""

    def __init__(self, fault: errors.Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault


@web.stream_request_body
class Handler(web.RequestHandler):
    """Base of all handlers: limits hold before a body is read.

    :ivar node: the running node.
    """

    needs_caller = True

    def initialize(self, node: node_module.Node) -> None:
        """Take the node from the route."""
        self.node = node
        self._counted = False
        self._started = False
        self._timer: object | None = None
        self._refused: errors.Fault | None = None
        self._caller: auth.Caller | None = None
        self._body = body_module.Body(
            budget=node.body_budget, max_bytes=node.settings.max_body_bytes
        )

    def set_default_headers(self) -> None:
        """Name no server software."""
        self.clear_header("Server")

    def prepare(self) -> None:
        """Count the request; refuse before its body where possible."""
        self.node.in_flight.begin()
        self._counted = True
        try:
            self._identify()
            self.check()
            unwrap(self._body.announce(self._announced_bytes()))
        except Refused as refused:
            self._refused = refused.fault
            if self._announced_bytes() > _DISCARD_BYTES:
                raise
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(BODY_TIMEOUT_S, self._body_is_late)

    def check(self) -> None:
        """Refuse for what the headers tell; may be overridden."""

    def _identify(self) -> None:
        if self.needs_caller:
            self._require_configuration()
            identified = auth.identify(
                self.node.feed.current,
                self.request.headers.get("Authorization", ""),
                bootstrap_sha256=self.node.settings.operator_token_sha256,
            )
            self._caller = unwrap(identified)

    def _require_configuration(self) -> None:
        if not self.node.feed.known:
            raise Refused(
                errors.DidNotRun(
                    message="This VM has no configuration yet: neither the "
                    "store nor enough peers have answered.",
                    remedy="Call another VM, or this one again later.",
                    retry_after_s=UNKNOWN_RETRY_AFTER_S,
                )
            )

    def _announced_bytes(self) -> int:
        text = self.request.headers.get("Content-Length", "0")
        return int(text) if text.isascii() and text.isdigit() else 0

    def data_received(self, chunk: bytes) -> None:
        """Keep the body, or drop it once the request is refused."""
        if self._refused is None:
            added = self._body.add(chunk)
            if isinstance(added, result.Failure):
                self._refused = added.failure()
            return
        self._dropped_bytes = getattr(self, "_dropped_bytes", 0) + len(chunk)
        if self._dropped_bytes > _DISCARD_BYTES and not self._finished:
            self._end_early(self._refused)

    def _body_is_late(self) -> None:
        if not (self._started or self._finished):
            self._end_early(
                errors.TooSlow(
                    message="The body did not arrive in time.",
                    remedy=f"Send it within {BODY_TIMEOUT_S:.0f} s.",
                )
            )

    def _end_early(self, fault: errors.Fault) -> None:
        """Answer and close the connection without the whole body."""
        self._started = True
        self.refuse(fault)
        self.finish()

    def start(self) -> None:
        """Begin to answer; the body has been read."""
        self._started = True
        if self._refused is not None:
            raise Refused(self._refused)
        self.request.body = self._body.content()

    def caller(self, *, operator: bool = False) -> auth.Caller:
        """Return the authenticated caller or refuse the call."""
        self.start()
        caller = self._caller
        if operator and not caller.is_operator:
            raise Refused(
                errors.Forbidden(
                    message=f"Account {caller.account} is no operator.",
                    remedy="Use the token of an account whose role is "
                    "operator.",
                )
            )
        return caller

    def on_connection_close(self) -> None:
        """Release what a request holds whose body never came."""
        super().on_connection_close()
        if not self._started:
            self._release()

    def on_finish(self) -> None:
        """Release what the request held."""
        self._release()

    def _release(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._body.release()
        if self._counted:
            self._counted = False
            self.node.in_flight.end()

    def finish(self, chunk: typing.Any = None):
        """Finish the answer; a draining node closes the connection."""
        if self.node.state != "serving":
            self.set_header("Connection", "close")
        return super().finish(chunk)

    def document(self, schema: marshmallow.Schema) -> typing.Any:
        """Return the validated JSON body or refuse the call."""
        try:
            return schema.load(json.loads(self.request.body or b"{}"))
        except marshmallow.ValidationError as error:
            messages = error.normalized_messages()
        except (ValueError, RecursionError):
            messages = {"body": ["Not a JSON document."]}
        field = next(iter(messages))
        raise Refused(
            errors.InvalidField(
                message=" ".join(map(str, messages[field])),
                remedy="See docs/reference/http.md.",
                source="request body",
                field=field,
                value="",
            )
        )

    def answer(self, document: typing.Any, *, status: int = 200) -> None:
        """Write a JSON answer."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(document, sort_keys=True) + "\n")

    def refuse(self, fault: errors.Fault) -> None:
        """Write a fault."""
        if isinstance(fault, errors.DidNotRun):
            seconds = max(1, math.ceil(fault.retry_after_s))
            self.set_header("Retry-After", str(seconds))
        if isinstance(fault, errors.Unauthenticated):
            self.set_header("WWW-Authenticate", "Bearer")
        self.answer({"error": fault.to_dict()}, status=fault.http_status)

    def write_error(self, status_code: int, **options: typing.Any) -> None:
        """Turn exceptions into typed answers."""
        error = options.get("exc_info", (None, None, None))[1]
        if isinstance(error, Refused):
            self.refuse(error.fault)
            return
        document = {
            "code": "http",
            "message": f"{status_code} {self._reason}.",
            "remedy": "See docs/reference/http.md.",
        }
        if status_code == 405:
            self.set_header("Allow", ", ".join(self._allowed()))
        self.answer({"error": document}, status=status_code)

    def _allowed(self) -> list[str]:
        return [
            method
            for method in self.SUPPORTED_METHODS
            if getattr(type(self), method.lower())
            is not getattr(web.RequestHandler, method.lower())
        ]

    def log_exception(self, kind, value, trace) -> None:
        """Log only what is not an answer to the caller."""
        if not isinstance(value, Refused):
            super().log_exception(kind, value, trace)


class NoRouteHandler(Handler):
    """Answers for paths that do not exist."""

    def check(self) -> None:
        """Refuse the path."""
        raise Refused(
            errors.NotFound(
                message="There is no such path.",
                remedy="See docs/reference/http.md.",
            )
        )

    def _answer(self, *_arguments: str) -> None:
        self.start()

    get = post = put = delete = patch = head = options = _answer


def unwrap(outcome: result.Result) -> typing.Any:
    """Return a success's value; a failure becomes the answer."""
    if isinstance(outcome, result.Failure):
        raise Refused(outcome.failure())
    return outcome.unwrap()
