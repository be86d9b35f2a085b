"""What every HTTP handler shares: caller, JSON answers and faults."""

from __future__ import annotations

import json
import typing

import marshmallow
from returns import result
from tornado import web

from knapweedwharf import errors
from knapweedwharf.web import auth

if typing.TYPE_CHECKING:
    from knapweedwharf import node as node_module

OUTCOME_HEADER = "Knapweedwharf-Outcome"
UNKNOWN_RETRY_AFTER_S = 5.0
REQUEST_ID_HEADER = "Knapweedwharf-Request-Id"


class Refused(Exception):
    """Carries a fault to the answer; raised inside handlers only."""

    def __init__(self, fault: errors.Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault


class Handler(web.RequestHandler):
    """Base of all handlers.

    :ivar node: the running node.
    """

    def initialize(self, node: node_module.Node) -> None:
        """Take the node from the route."""
        self.node = node

    def set_default_headers(self) -> None:
        """Name no server software."""
        self.clear_header("Server")

    def caller(self, *, operator: bool = False) -> auth.Caller:
        """Return the authenticated caller or refuse the call."""
        if not self.node.feed.known:
            raise Refused(
                errors.DidNotRun(
                    message="This VM has no configuration yet: neither the "
                    "store nor enough peers have answered.",
                    remedy="Call another VM, or this one again later.",
                    retry_after_s=UNKNOWN_RETRY_AFTER_S,
                )
            )
        identified = auth.identify(
            self.node.feed.current,
            self.request.headers.get("Authorization", ""),
            bootstrap_sha256=self.node.settings.operator_token_sha256,
        )
        caller = unwrap(identified)
        if operator and not caller.is_operator:
            raise Refused(
                errors.Forbidden(
                    message=f"Account {caller.account} is no operator.",
                    remedy="Use the token of an account whose role is "
                    "operator.",
                )
            )
        return caller

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
            seconds = max(1, round(fault.retry_after_s))
            self.set_header("Retry-After", str(seconds))
        self.answer({"error": fault.to_dict()}, status=fault.http_status)

    def write_error(self, status_code: int, **options: typing.Any) -> None:
        """Turn exceptions into typed answers."""
        error = options.get("exc_info", (None, None, None))[1]
        if isinstance(error, Refused):
            self.refuse(error.fault)
            return
        document = {"code": "http", "message": self._reason, "remedy": ""}
        self.answer({"error": document}, status=status_code)

    def log_exception(self, kind, value, trace) -> None:
        """Log only what is not an answer to the caller."""
        if not isinstance(value, Refused):
            super().log_exception(kind, value, trace)


def unwrap(outcome: result.Result) -> typing.Any:
    """Return a success's value; a failure becomes the answer."""
    if isinstance(outcome, result.Failure):
        raise Refused(outcome.failure())
    return outcome.unwrap()
