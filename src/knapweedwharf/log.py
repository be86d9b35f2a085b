"""Structured logs, one JSON object per line.

Writing never blocks on a slow reader, and a rate limit bounds the lines
per second. The number of suppressed lines is a field of the next line
that is written.
"""

from __future__ import annotations

from collections import abc
import logging
import os
import sys
import time
import typing

import structlog

SECRET_FIELDS = frozenset(
    {"token", "peer_key", "peer_key_previous", "authorization"}
)
REDACTED = "[redacted]"

UNLIMITED = 0
MAX_BUFFERED_BYTES = 65_536
"""The capacity of a pipe; lines beyond it are dropped."""


class NonBlockingWriter:
    """Writes to a descriptor without blocking; drops whole lines if full.

    :ivar dropped: number of lines dropped because the reader was slow.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = bytearray()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Buffer text that ends with a newline; return its length."""
        line = text.encode(errors="replace")
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.flush()
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += text.count("\n")
            return len(text)
        self._buffer += line
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as does not block."""
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe; discard the lines.
            written = len(self._buffer)
        del self._buffer[:written]


class RateLimit:
    """Token bucket that limits the rate of lines and counts the rest.

    :param lines_per_s: rate and burst size; 0 means no limit.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        lines_per_s: int,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._rate = lines_per_s
        self._clock = clock
        self._tokens = float(lines_per_s)
        self._refilled_at_s = clock()
        self.suppressed_lines = 0

    def try_take(self) -> bool:
        """Take a token; return whether a line may be written now."""
        if not self._rate:
            return True
        now_s = self._clock()
        refilled = self._tokens + (now_s - self._refilled_at_s) * self._rate
        self._tokens = min(float(self._rate), refilled)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            self.suppressed_lines += 1
            return False
        self._tokens -= 1.0
        return True

    def __call__(self, _logger, _method, event: dict) -> dict:
        """Drop a line beyond the limit, else add the count of dropped ones."""
        if not self.try_take():
            raise structlog.DropEvent
        if self.suppressed_lines:
            event["lines_left_out"] = self.suppressed_lines
            self.suppressed_lines = 0
        return event


def _redact(_logger, _method, event: dict) -> dict:
    for field in SECRET_FIELDS.intersection(event):
        event[field] = REDACTED
    return event


def configure(
    *,
    level: str,
    node_id: str,
    stream: typing.Any = None,
    lines_per_s: int = UNLIMITED,
) -> None:
    """Configure logging; call once before the first line.

    :param stream: defaults to standard error.
    """
    structlog.configure(
        processors=[
            RateLimit(lines_per_s),
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
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
    )
    structlog.contextvars.bind_contextvars(node_id=node_id)


def get(component: str):
    """Return a logger that adds the component's name to its lines."""
    return structlog.get_logger(component=component)
