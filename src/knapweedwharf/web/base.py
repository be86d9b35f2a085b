"""Base of all HTTP handlers: authentication, limits, JSON and faults."""

from __future__ import annotations

import json
import math
import typing

import marshmallow
from returns import result
from tornado import web

from knapweedwharf import errors
from knapweedwharf.web import auth
from knapweedwharf.web import body as body_module
from knapweedwharf.web import limited_server

if typing.TYPE_CHECKING:
    from knapweedwharf import node as node_module

NO_CONFIGURATION_RETRY_AFTER_S = 5.0
REQUEST_ID_HEADER = "Knapweedwharf-Request-Id"
_MAX_DISCARDED_BYTES = 65_536


class Refused(Exception):
    """Raised in a handler to respond with a fault."""

    def __init__(self, fault: errors.Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault


@web.stream_request_body
class Handler(web.RequestHandler):
    """Base of all handlers; checks limits before the body is read.

    :ivar node: the running node.
    :ivar requires_authentication: False where calls need no token.
    """

    requires_authentication = True

    def initialize(self, node: node_module.Node) -> None:
        """Set the node that the route passes."""
        self.node = node
        self._in_flight_counted = False
        self._started = False
        self._refusal: errors.Fault | None = None
        self._caller: auth.Caller | None = None
        self._body = body_module.Body(
            budget=node.body_budget, max_bytes=node.settings.max_body_bytes
        )

    def set_default_headers(self) -> None:
        """Omit the Server header."""
        self.clear_header("Server")

    def prepare(self) -> None:
        """Count the request; refuse it before its body where possible.

        A refused request's body is still read and discarded if it has at
        most ``_MAX_DISCARDED_BYTES``; a longer one is refused at once.
        """
        self.node.in_flight.begin()
        self._in_flight_counted = True
        opened = limited_server.opened_by(self.request)
        opened.hold(self._body, self._refuse_and_close)
        length = body_module.content_length(self.request)
        try:
            self._authenticate()
            self.check()
            unwrap(self._body.reserve_up_to(length))
        except Refused as refused:
            self._refusal = refused.fault
            if length > _MAX_DISCARDED_BYTES:
                raise

    def check(self) -> None:
        """Refuse by path and headers, before the body; for subclasses."""

    def _authenticate(self) -> None:
        if self.requires_authentication:
            self._require_configuration()
            authenticated = auth.authenticate(
                self.node.feed.current,
                self.request.headers.get("Authorization", ""),
                bootstrap_sha256=self.node.settings.operator_token_sha256,
            )
            self._caller = unwrap(authenticated)

    def _require_configuration(self) -> None:
        if not self.node.feed.known:
            raise Refused(
                errors.DidNotRun(
                    message="This VM has no configuration yet: neither the "
                    "store nor enough peers have answered.",
                    remedy="Call another VM, or this one again later.",
                    retry_after_s=NO_CONFIGURATION_RETRY_AFTER_S,
                )
            )

    def data_received(self, chunk: bytes) -> None:
        """Buffer the body, or discard it if the request is refused."""
        if self._refusal is None:
            added = self._body.add(chunk)
            if isinstance(added, result.Failure):
                self._refusal = added.failure()
            return
        self._dropped_bytes = getattr(self, "_dropped_bytes", 0) + len(chunk)
        if self._dropped_bytes > _MAX_DISCARDED_BYTES and not self._finished:
            self._refuse_and_close(self._refusal)

    def _refuse_and_close(self, fault: errors.Fault) -> None:
        """Respond and close the connection without the whole body."""
        if self._started or self._finished:
            return
        self._started = True
        self.refuse(fault)
        self.finish()

    def start(self) -> None:
        """Start to process the request once its body is complete."""
        self._started = True
        if self._refusal is not None:
            raise Refused(self._refusal)
        self.request.body = self._body.take()

    def caller(self, *, operator: bool = False) -> auth.Caller:
        """Return the authenticated caller or refuse the request."""
        self.start()
        caller = self._caller
        if operator and not caller.is_operator:
            raise Refused(
                errors.Forbidden(
                    message=f"Account {caller.account} is not an operator.",
                    remedy="Use the token of an account whose role is "
                    "operator.",
                )
            )
        return caller

    def on_connection_close(self) -> None:
        """Release the resources of a request whose body never arrived."""
        super().on_connection_close()
        if not self._started:
            self._release()

    def on_finish(self) -> None:
        """Release the resources of the request."""
        self._release()

    def _release(self) -> None:
        self._body.release()
        if self._in_flight_counted:
            self._in_flight_counted = False
            self.node.in_flight.end()

    def finish(self, chunk: typing.Any = None):
        """Finish the response; a draining node closes the connection."""
        if self.node.state != "serving":
            self.set_header("Connection", "close")
        return super().finish(chunk)

    def document(self, schema: marshmallow.Schema) -> typing.Any:
        """Return the validated JSON body or refuse the request."""
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
        """Write a JSON response."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(document, sort_keys=True) + "\n")

    def refuse(self, fault: errors.Fault) -> None:
        """Write a fault as the response."""
        if isinstance(fault, errors.DidNotRun):
            seconds = max(1, math.ceil(fault.retry_after_s))
            self.set_header("Retry-After", str(seconds))
        if isinstance(fault, errors.Unauthenticated):
            self.set_header("WWW-Authenticate", "Bearer")
        self.answer({"error": fault.to_dict()}, status=fault.http_status)

    def write_error(self, status_code: int, **options: typing.Any) -> None:
        """Convert an exception to a JSON error response."""
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
            self.set_header("Allow", ", ".join(self._allowed_methods()))
        self.answer({"error": document}, status=status_code)

    def _allowed_methods(self) -> list[str]:
        return [
            method
            for method in self.SUPPORTED_METHODS
            if getattr(type(self), method.lower())
            is not getattr(web.RequestHandler, method.lower())
        ]

    def log_exception(self, kind, value, trace) -> None:
        """Log an exception unless it is a refusal."""
        if not isinstance(value, Refused):
            super().log_exception(kind, value, trace)


class NoRouteHandler(Handler):
    """Responds 404 to unknown paths."""

    def check(self) -> None:
        """Refuse every request."""
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
    """Return the value of a success or raise ``Refused``."""
    if isinstance(outcome, result.Failure):
        raise Refused(outcome.failure())
    return outcome.unwrap()
