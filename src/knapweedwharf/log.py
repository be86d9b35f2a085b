"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import logging
import sys

import structlog

SECRET_FIELDS = frozenset(
    {"token", "peer_key", "peer_key_previous", "authorization"}
)
REDACTED = "[redacted]"


def _redact(_logger, _method, event: dict) -> dict:
    for field in SECRET_FIELDS.intersection(event):
        event[field] = REDACTED
    return event


def configure(*, level: str, node_id: str) -> None:
    """Set up the process's logs; call once before the first line."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _redact,
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
    structlog.contextvars.bind_contextvars(node_id=node_id)


def get(component: str):
    """Return a logger whose lines carry the component's name."""
    return structlog.get_logger(component=component)
