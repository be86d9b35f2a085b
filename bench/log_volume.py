"""Cost of log lines, written, dropped or suppressed."""

from __future__ import annotations

import os
import time

import structlog

import bench
from knapweedwharf import log

LINES = 4000
MAX_LINE_US = 150.0
"""20 lines per job at 5 jobs per second stay below 2% of a core."""

BUDGET_LINES_PER_S = 400
BURST_LINES_PER_S = 5000
MAX_SUPPRESSED_LINE_US = 30.0
"""A line beyond the budget costs at most a fifth of a written line."""

FIELDS = {
    "job_id": "5c0e7a21d94b36f8",
    "part": "5c0e7a21d94b36f8.0.1",
    "run": 3,
    "executors": ["i-7f3a91c2", "i-9d61baac"],
    "reason": "placed",
    "waited_s": 0.103,
}


class _Pipe:
    """A pipe; its reader consumes the data only if ``reads`` is set."""

    def __init__(self, *, reads: bool) -> None:
        self._reading, self._writing = os.pipe()
        os.set_blocking(self._reading, False)
        self._reads = reads
        self.writer = log.NonBlockingWriter(self._writing)
        self.read_bytes = 0

    def flush_and_read(self) -> None:
        """Flush the writer and let the reader read the available data."""
        self.writer.flush()
        if self._reads:
            try:
                self.read_bytes += len(os.read(self._reading, 1_000_000))
            except BlockingIOError:
                # Nothing was written since the last call.
                return

    def close(self) -> None:
        """Close both ends of the pipe."""
        os.close(self._reading)
        os.close(self._writing)


def _write_lines(
    *, reads: bool, lines_per_s: int, lines: int
) -> tuple[float, _Pipe]:
    """Write lines; return the processor time of one in seconds, and the
    pipe.
    """
    pipe = _Pipe(reads=reads)
    log.configure(
        level="info",
        node_id="vm-1",
        stream=pipe.writer,
        lines_per_s=lines_per_s,
    )
    logger = log.get("decider").bind(epoch=7)
    started_s = time.process_time()
    for number in range(lines):
        logger.info("part-placed", **FIELDS)
        if number % 20 == 0:
            pipe.flush_and_read()
    processor_s = time.process_time() - started_s
    pipe.flush_and_read()
    pipe.close()
    return processor_s / lines, pipe


@bench.BENCHMARKS.register("log_volume")
def log_volume() -> list[bench.Figure]:
    """Measure lines that are read, unread, and beyond the line budget."""
    before = structlog.get_config()
    try:
        read_s, read_pipe = _write_lines(
            reads=True, lines_per_s=log.UNLIMITED, lines=LINES
        )
        unread_s, unread_pipe = _write_lines(
            reads=False, lines_per_s=log.UNLIMITED, lines=LINES
        )
        burst_line_s, burst_pipe = _write_lines(
            reads=True, lines_per_s=BUDGET_LINES_PER_S, lines=BURST_LINES_PER_S
        )
    finally:
        structlog.configure(**before)
        structlog.contextvars.clear_contextvars()
    burst_s = burst_line_s * BURST_LINES_PER_S
    written_s = read_s * BUDGET_LINES_PER_S
    suppressed_lines = BURST_LINES_PER_S - BUDGET_LINES_PER_S
    suppressed_s = max(0.0, burst_s - written_s) / suppressed_lines
    return [
        _line_cost("a line that is read", read_s),
        _line_cost("a line that nobody reads", unread_s),
        bench.Figure("bytes of a line", read_pipe.read_bytes / LINES, "bytes"),
        bench.Figure(
            "lines dropped unread", unread_pipe.writer.dropped, "lines"
        ),
        _line_cost(
            "a line beyond the budget", suppressed_s, MAX_SUPPRESSED_LINE_US
        ),
        bench.Figure(
            "bytes written of that burst", burst_pipe.read_bytes, "bytes"
        ),
    ]


def _line_cost(
    name: str, line_s: float, max_us: float = MAX_LINE_US
) -> bench.Figure:
    line_us = line_s * 1e6
    return bench.Figure(
        name, line_us, "us", f"at most {max_us:.0f} us", line_us <= max_us
    )
