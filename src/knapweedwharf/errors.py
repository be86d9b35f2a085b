"""Typed errors, each with a stable code and a remedy.

They are not raised but returned as the failure of a
``returns.result.Result``.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Fault:
    """A refusal or failure and how to resolve it.

    :ivar message: what happened, in one sentence.
    :ivar remedy: what the reader can do about it.
    """

    message: str
    remedy: str

    code = "fault"
    http_status = 500

    @property
    def why(self) -> str:
        """Short code for log lines."""
        return self.code

    def __str__(self) -> str:
        return f"{self.message} {self.remedy}"

    def to_dict(self) -> dict[str, object]:
        """Return the fields of an error response."""
        fields = dataclasses.asdict(self)
        return {"code": self.code, **fields}


@dataclasses.dataclass(frozen=True)
class InvalidField(Fault):
    """A field of a file, flag, variable or request body is invalid."""

    source: str
    field: str
    value: str

    code = "invalid-field"
    http_status = 400

    def __str__(self) -> str:
        place = f"{self.source}: {self.field} = {self.value}"
        return f"{place}: {self.message} {self.remedy}"


@dataclasses.dataclass(frozen=True)
class Unauthenticated(Fault):
    """The request carries no valid token."""

    code = "unauthenticated"
    http_status = 401


@dataclasses.dataclass(frozen=True)
class Forbidden(Fault):
    """The token is valid but does not permit this request."""

    code = "forbidden"
    http_status = 403


@dataclasses.dataclass(frozen=True)
class NotFound(Fault):
    """The object does not exist or belongs to another account."""

    code = "not-found"
    http_status = 404


@dataclasses.dataclass(frozen=True)
class TooLarge(Fault):
    """The body exceeds the maximum size."""

    code = "too-large"
    http_status = 413


@dataclasses.dataclass(frozen=True)
class TooSlow(Fault):
    """The body did not arrive in time."""

    code = "too-slow"
    http_status = 408


@dataclasses.dataclass(frozen=True)
class Conflict(Fault):
    """The compare-and-swap failed because another writer came first."""

    code = "conflict"
    http_status = 409


@dataclasses.dataclass(frozen=True)
class NeverRunnable(Fault):
    """The job does not fit the data centre's hardware, even when idle."""

    code = "never-runnable"
    http_status = 422


@dataclasses.dataclass(frozen=True)
class DidNotRun(Fault):
    """The request was refused and no part of it was run."""

    retry_after_s: float

    code = "did-not-run"
    http_status = 503


@dataclasses.dataclass(frozen=True)
class BacklogFull(DidNotRun):
    """The account's accepted jobs leave no room for another."""

    code = "backlog-full"
    http_status = 429


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown(Fault):
    """The operation may or may not have taken effect."""

    code = "outcome-unknown"
    http_status = 504


@dataclasses.dataclass(frozen=True)
class Unreachable(Fault):
    """The connection could not be established, so nothing was sent."""

    code = "unreachable"
    http_status = 503


@dataclasses.dataclass(frozen=True)
class OrderRefused(Fault):
    """The receiver rejected an order; nothing was done.

    :ivar reason: one word, such as ``room``, ``ticket`` or ``busy``.
    """

    reason: str

    code = "order-refused"
    http_status = 409

    @property
    def why(self) -> str:
        """The reason that the receiver gave."""
        return self.reason


@dataclasses.dataclass(frozen=True)
class Fenced(Fault):
    """The receiver has seen a newer epoch and refused this owner's order."""

    code = "fenced"
    http_status = 409
