"""Which connection is given up, and when; without a network."""

from __future__ import annotations

import asyncio

import pytest
import structlog

from knapweedwharf import errors
from knapweedwharf import metrics
from knapweedwharf.web import body as body_module
from knapweedwharf.web import connections as connections_module
from knapweedwharf.web import limits as limits_module

LIMITS = limits_module.Limits(
    max_connections=3,
    header_timeout_s=3.0,
    body_timeout_s=10.0,
    idle_timeout_s=15.0,
    answer_timeout_s=30.0,
)
LARGE = body_module.SHARE_BYTES + 1_000


class _Stream:
    def __init__(self) -> None:
        self.is_closed = False
        self.is_writing = False

    def close(self) -> None:
        self.is_closed = True

    def closed(self) -> bool:
        return self.is_closed

    def writing(self) -> bool:
        return self.is_writing


class _Server:
    """Connections on a clock that the test moves."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.prometheus = metrics.PrometheusClient()
        self.budget = body_module.BodyBudget(2_500)
        self.connections = connections_module.Connections(
            LIMITS,
            name="test",
            budget=self.budget,
            sender=metrics.Metrics(self.prometheus),
            clock=lambda: self.now_s,
        )

    def open(self) -> connections_module.OpenConnection:
        """Open a connection a second after the last step."""
        self.now_s += 1.0
        assert self.connections.admit() == connections_module.ADMIT
        opened = self.connections.open(_Stream())
        opened.next_request()
        return opened

    def admits(self) -> bool:
        """Admit a connection a second after the last step."""
        self.now_s += 1.0
        return self.connections.admit() == connections_module.ADMIT

    def begin_body(self, opened) -> list[errors.Fault]:
        """Send headers and half of a large body; return what refuses it."""
        opened.received(100)
        self.connections.enter(opened, connections_module.BODY)
        body = body_module.Body(budget=self.budget, max_bytes=100_000)
        refused: list[errors.Fault] = []
        opened.hold(body, refused.append)
        body.reserve_up_to(LARGE).unwrap()
        return refused

    def answer(self, opened) -> None:
        """Send a whole request; its answer is due."""
        opened.received(100)
        self.connections.enter(opened, connections_module.ANSWER)

    def text(self) -> str:
        """Return the metrics."""
        return self.prometheus.text().decode()


def _is_closed(opened: connections_module.OpenConnection) -> bool:
    return opened.stream.closed()


def test_the_connection_without_progress_for_longest_makes_room():
    server = _Server()
    silent, half, body = server.open(), server.open(), server.open()
    half.received(10)
    server.now_s += 1.0
    server.begin_body(body)
    assert server.admits()
    assert [_is_closed(c) for c in (silent, half, body)] == [
        True,
        False,
        False,
    ]
    server.open()
    assert server.admits()
    assert _is_closed(half)
    assert not _is_closed(body)


def test_a_connection_gets_a_moment_for_its_next_packet():
    server = _Server()
    opened = [server.open() for _number in range(LIMITS.max_connections)]
    for connection in opened:
        connection.received(10)
    assert server.connections.admit() == connections_module.WAIT
    server.now_s += connections_module.SETTLE_S / 2
    assert server.connections.admit() == connections_module.WAIT
    assert not any(map(_is_closed, opened))
    server.now_s += connections_module.SETTLE_S
    assert server.connections.admit() == connections_module.ADMIT
    assert [_is_closed(connection) for connection in opened] == [
        True,
        False,
        False,
    ]


def test_a_trickle_is_no_progress():
    server = _Server()
    trickling, other = server.open(), server.open()
    for opened in (trickling, other):
        server.begin_body(opened)
    server.open()
    for _number in range(20):
        trickling.received(connections_module.PROGRESS_BYTES // 100)
    other.received(connections_module.PROGRESS_BYTES)
    assert server.admits()
    assert _is_closed(trickling)
    assert not _is_closed(other)


def test_an_idle_connection_that_was_served_goes_last():
    server = _Server()
    kept = server.open()
    server.answer(kept)
    kept.next_request()
    first, second = server.open(), server.open()
    for expected in (first, second):
        server.answer(server.open())
        assert _is_closed(expected)
    assert not _is_closed(kept)
    assert server.admits()
    assert _is_closed(kept)


def test_no_connection_is_closed_while_its_answer_is_due():
    server = _Server()
    due = [server.open() for _number in range(LIMITS.max_connections)]
    for opened in due:
        server.answer(opened)
    assert server.connections.admit() == connections_module.REFUSE
    server.now_s += 1_000.0
    server.connections.sweep()
    assert not any(map(_is_closed, due))
    assert "given_up_no_connection_total 1.0" in server.text()


def test_an_answer_that_is_not_read_ends_the_connection():
    server = _Server()
    unread, read = server.open(), server.open()
    for opened in (unread, read):
        server.answer(opened)
        opened.stream.is_writing = True
    server.now_s += LIMITS.answer_timeout_s
    read.sent()
    server.now_s += 1.0
    server.connections.sweep()
    assert _is_closed(unread)
    assert not _is_closed(read)


def test_stalled_bodies_give_their_room_to_others():
    server = _Server()
    stalled, moving, late = server.open(), server.open(), server.open()
    refused = server.begin_body(stalled)
    server.begin_body(moving)
    late.received(100)
    server.connections.enter(late, connections_module.BODY)
    body = body_module.Body(budget=server.budget, max_bytes=100_000)
    late.hold(body, lambda _fault: None)
    full = body.reserve_up_to(LARGE)
    assert isinstance(full.failure(), errors.DidNotRun)
    assert "given_up_no_room_total 1.0" in server.text()
    server.now_s += connections_module.STALL_S
    moving.received(connections_module.PROGRESS_BYTES)
    body.reserve_up_to(LARGE).unwrap()
    assert isinstance(refused[0], errors.DidNotRun)
    assert _is_closed(stalled)
    assert not _is_closed(moving)


def test_time_limits_end_what_is_incomplete():
    server = _Server()
    half, body, silent = server.open(), server.open(), server.open()
    half.received(10)
    refused = server.begin_body(body)
    server.now_s += LIMITS.header_timeout_s + 0.1
    server.connections.sweep()
    assert [_is_closed(c) for c in (half, body, silent)] == [
        True,
        False,
        False,
    ]
    server.now_s += LIMITS.body_timeout_s
    server.connections.sweep()
    assert isinstance(refused[0], errors.TooSlow)
    assert not _is_closed(silent)
    server.now_s += LIMITS.idle_timeout_s
    server.connections.sweep()
    assert _is_closed(silent)
    assert server.connections.count == 0
    assert server.budget.reserved_bytes == 0


def _send_chunks(opened, count: int, size: int) -> bool:
    """Send chunks until the body is given up; return whether it isn't."""
    for _number in range(count):
        opened.received(size + 5)
        if not opened.chunk_begins():
            return False
    return True


def test_few_bodies_come_in_very_small_chunks_at_once():
    server = _Server()
    group = connections_module.Connections(
        limits_module.Limits(max_connections=100),
        name="test",
        clock=lambda: server.now_s,
    )
    most = connections_module.MAX_SMALL_CHUNK_BODIES
    bodies = [group.open(_Stream()) for _number in range(most + 2)]
    for opened in bodies:
        group.enter(opened, connections_module.BODY)
        is_open = _send_chunks(opened, 1_000, 1)
        assert is_open == (not _is_closed(opened))
    assert [_is_closed(c) for c in bodies] == [False] * most + [True] * 2
    server.now_s += connections_module.STALL_S
    for opened in bodies[1:most]:
        opened.received(connections_module.PROGRESS_BYTES)
    late = group.open(_Stream())
    group.enter(late, connections_module.BODY)
    assert _send_chunks(late, 1_000, 1)
    assert not bodies[0].chunk_begins()
    assert _is_closed(bodies[0])
    assert not any(map(_is_closed, (*bodies[1:most], late)))


def test_usual_chunks_are_not_limited():
    group = connections_module.Connections(
        limits_module.Limits(max_connections=100), name="test"
    )
    bodies = [group.open(_Stream()) for _number in range(50)]
    for opened in bodies:
        group.enter(opened, connections_module.BODY)
        _send_chunks(opened, 256, connections_module.SMALL_CHUNK_BYTES)
    assert not any(map(_is_closed, bodies))


def test_heads_with_very_many_fields_need_room():
    async def scenario() -> None:
        server = _Server()
        first, second, third = (server.open() for _number in range(3))
        usual = connections_module.USUAL_FIELDS
        for opened in (first, second, third):
            opened.received(100)
        assert await first.may_parse(usual + 7)
        assert server.budget.reserved_bytes > 0
        assert not await second.may_parse(usual + 7)
        assert _is_closed(second)
        assert await third.may_parse(usual)
        first.next_request()
        assert server.budget.reserved_bytes == 0
        assert await third.may_parse(usual + 7)
        server.connections.forget(third)
        assert server.budget.reserved_bytes == 0
        assert not await third.may_parse(usual + 7)

    asyncio.run(scenario())


def test_a_refusal_that_fails_still_closes_the_connection():
    server = _Server()
    opened, other = server.open(), server.open()
    server.begin_body(opened)
    opened.refuse = {}.pop
    other.received(10)
    server.now_s += LIMITS.body_timeout_s + 1.0
    with structlog.testing.capture_logs() as lines:
        server.connections.sweep()
    assert "refusal-failed" in {line["event"] for line in lines}
    assert _is_closed(opened)
    assert _is_closed(other)
    assert server.budget.reserved_bytes == 0


def test_a_thousand_refusals_are_one_log_line():
    server = _Server()
    for opened in [server.open() for _n in range(LIMITS.max_connections)]:
        server.answer(opened)
    for _number in range(1_000):
        assert server.connections.admit() == connections_module.REFUSE
    with structlog.testing.capture_logs() as lines:
        server.connections.sweep()
        server.connections.sweep()
    assert [line["reasons"] for line in lines] == [{"no-connection": 1_000}]


@pytest.mark.parametrize("phase", connections_module.PHASES)
def test_a_connection_that_was_given_up_changes_no_more(phase):
    server = _Server()
    opened = server.open()
    server.now_s += LIMITS.idle_timeout_s + 1.0
    server.connections.sweep()
    server.connections.enter(opened, phase)
    opened.received(100)
    server.connections.forget(opened)
    assert server.connections.count == 0
