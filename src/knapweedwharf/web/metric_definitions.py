"""Metrics of the connections of an HTTP server's clients."""

from __future__ import annotations

from knapweedwharf import metrics

OPEN_CONNECTIONS = metrics.define(
    "web.open_connections",
    kind=metrics.GAUGE,
    unit="connections",
    text="Open connections of callers.",
)
BODY_BYTES = metrics.define(
    "web.body_bytes",
    kind=metrics.GAUGE,
    unit="bytes",
    text="Room taken by request bodies beyond each connection's share.",
)
_REASONS = {
    "no-connection": "Connections refused: too many answers were due.",
    "no-room": "Requests refused: others held all room.",
    "connections": "Connections closed to make room for new ones.",
    "bytes": "Requests given up to make room for other bodies.",
    "chunks": "Requests given up: too many bodies in very small chunks.",
    "slow-headers": "Connections closed as headers did not arrive.",
    "slow-body": "Requests given up as their body did not arrive.",
    "idle": "Connections closed as no request came.",
    "unread-answer": "Connections closed as an answer was not read.",
}
GIVEN_UP = {
    reason: metrics.define(
        f"web.given_up.{reason.replace('-', '_')}",
        kind=metrics.COUNTER,
        unit="connections",
        text=text,
    )
    for reason, text in _REASONS.items()
}
"""Metrics by reason."""
