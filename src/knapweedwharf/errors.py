"""Typed errors. Each kind has a stable code and names the remedy.

Values of these kinds travel as the failure side of
``returns.result.Result``; they are not raised.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Fault:
    """A refusal or failure with the step that mends it.

    :ivar message: what happened, in one sentence.
    :ivar remedy: what the reader can do about it.
    """

    message: str
    remedy: str

    code = "fault"
    http_status = 500

    @property
    def why(self) -> str:
        """One word for it in log lines."""
        return self.code

    def __str__(self) -> str:
        return f"{self.message} {self.remedy}"

    def to_dict(self) -> dict[str, object]:
        """Return the fields shown to callers."""
        fields = dataclasses.asdict(self)
        return {"code": self.code, **fields}


@dataclasses.dataclass(frozen=True)
class InvalidField(Fault):
    """A field of a file, flag, variable or body is wrong."""

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
    """No valid token came with the call."""

    code = "unauthenticated"
    http_status = 401


@dataclasses.dataclass(frozen=True)
class Forbidden(Fault):
    """The token is valid but does not allow this call."""

    code = "forbidden"
    http_status = 403


@dataclasses.dataclass(frozen=True)
class NotFound(Fault):
    """The named thing does not exist, or belongs to someone else."""

    code = "not-found"
    http_status = 404


@dataclasses.dataclass(frozen=True)
class TooLarge(Fault):
    """The body is longer than the node reads."""

    code = "too-large"
    http_status = 413


@dataclasses.dataclass(frozen=True)
class TooSlow(Fault):
    """The body did not arrive in time."""

    code = "too-slow"
    http_status = 408


@dataclasses.dataclass(frozen=True)
class Conflict(Fault):
    """The compare-and-swap lost against another writer."""

    code = "conflict"
    http_status = 409


@dataclasses.dataclass(frozen=True)
class NeverRunnable(Fault):
    """No hardware in the data centre could ever run the job."""

    code = "never-runnable"
    http_status = 422


@dataclasses.dataclass(frozen=True)
class DidNotRun(Fault):
    """The request was refused and nothing of it ran."""

    retry_after_s: float

    code = "did-not-run"
    http_status = 503


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown(Fault):
    """The operation may or may not have taken effect."""

    code = "outcome-unknown"
    http_status = 504


@dataclasses.dataclass(frozen=True)
class Unreachable(Fault):
    """Nothing was sent: the other side could not be connected to."""

    code = "unreachable"
    http_status = 503


@dataclasses.dataclass(frozen=True)
class OrderRefused(Fault):
    """The other side rejected an order; nothing was done.

    :ivar reason: one word, such as ``room``, ``ticket`` or ``busy``.
    """

    reason: str

    code = "order-refused"
    http_status = 409

    @property
    def why(self) -> str:
        """The reason that the other side gave."""
        return self.reason


@dataclasses.dataclass(frozen=True)
class Fenced(Fault):
    """A newer epoch has taken over; this holder's order was refused."""

    code = "fenced"
    http_status = 409
