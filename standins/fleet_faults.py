"""Failures that calls of the in-memory executors return."""

from __future__ import annotations

from knapweedwharf import errors

UNKNOWN = errors.OutcomeUnknown(message="No answer.", remedy="Ask again.")
REFUSED_CONNECTION = errors.Unreachable(
    message="Connection refused.", remedy="Try another executor."
)
FENCED = errors.Fenced(message="Newer epoch.", remedy="Stop.")


def refused(reason: str) -> errors.Fault:
    """Return the failure of an order that was refused."""
    return errors.OrderRefused("Refused.", "Elsewhere.", reason)
