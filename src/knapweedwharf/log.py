"""Structured logs: one JSON object a line.

Lines go to a descriptor without ever waiting for its reader, and no
more of them a second than a budget allows; what was left out is counted
and said in a line of its own.
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
"""As much as a pipe holds; a reader that is slower loses lines."""


class NonBlockingWriter:
    """Writes whole lines to a descriptor, or drops them.

    :ivar dropped: lines that nobody read in time.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = bytearray()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Take one line; returns its length."""
        line = text.encode(errors="replace")
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.flush()
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += text.count("\n")
            return len(text)
        self._buffer += line
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes now."""
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; the process goes on without it.
            written = len(self._buffer)
        del self._buffer[:written]


class Budget:
    """Lets so many lines a second pass, and counts the others.

    :param lines_per_s: also the size of a burst; 0 sets no limit.
    :param clock: seconds that only grow.
    """

    def __init__(
        self,
        lines_per_s: int,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._rate = lines_per_s
        self._clock = clock
        self._left = float(lines_per_s)
        self._at_s = clock()
        self.left_out = 0

    def take(self) -> bool:
        """Tell whether one more line may be written now."""
        if not self._rate:
            return True
        now_s = self._clock()
        grown = self._left + (now_s - self._at_s) * self._rate
        self._left = min(float(self._rate), grown)
        self._at_s = now_s
        if self._left < 1.0:
            self.left_out += 1
            return False
        self._left -= 1.0
        return True

    def __call__(self, _logger, _method, event: dict) -> dict:
        """Drop a line beyond the budget; tell of those dropped before."""
        if not self.take():
            raise structlog.DropEvent
        if self.left_out:
            event["lines_left_out"] = self.left_out
            self.left_out = 0
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
    """Set up the process's logs; call once before the first line.

    :param stream: standard error where left out.
    """
    structlog.configure(
        processors=[
            Budget(lines_per_s),
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
    """Return a logger whose lines carry the component's name."""
    return structlog.get_logger(component=component)
