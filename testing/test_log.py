"""Logging never blocks on its reader and keeps to the rate limit."""

from __future__ import annotations

import os

import pytest
import structlog

from knapweedwharf import log


def test_a_reader_that_stops_reading_blocks_nobody():
    reading, writing = os.pipe()
    try:
        writer = log.NonBlockingWriter(writing)
        line = "x" * 1023 + "\n"
        for _number in range(400):
            writer.write(line)
            writer.flush()
        assert writer.dropped > 0
        received = os.read(reading, 1_000_000)
        assert received.startswith(line.encode())
    finally:
        os.close(reading)
        os.close(writing)


def test_lines_are_whole_after_a_pause_of_the_reader():
    reading, writing = os.pipe()
    try:
        writer = log.NonBlockingWriter(writing)
        for number in range(300):
            writer.write(f"{number:01023d}\n")
            writer.flush()
        received = b""
        for _turn in range(10):
            received += os.read(reading, 1_000_000)
            writer.flush()
            if not writer._buffer:
                break
        lines = received.decode().splitlines()
        assert all(len(line) == 1023 for line in lines)
    finally:
        os.close(reading)
        os.close(writing)


def test_a_reader_that_is_gone_stops_nobody():
    reading, writing = os.pipe()
    os.close(reading)
    try:
        writer = log.NonBlockingWriter(writing)
        writer.write("line\n")
        writer.flush()
    finally:
        os.close(writing)


def test_lines_beyond_the_budget_are_counted_and_told():
    now_s = [0.0]
    rate_limit = log.RateLimit(2, clock=lambda: now_s[0])
    for _number in range(2):
        assert rate_limit(None, "info", {}) == {}
    for _number in range(3):
        with pytest.raises(structlog.DropEvent):
            rate_limit(None, "info", {})
    now_s[0] = 1.0
    assert rate_limit(None, "info", {}) == {"lines_left_out": 3}
