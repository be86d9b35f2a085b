"""Open connections of an HTTP server, and which of them to give up.

Each connection is in one of five phases. Those that wait for their
client are kept in the order of their last progress. Where room is
short, the connection without progress for longest is closed first. A
connection whose request is complete is never closed before its answer,
unless the client doesn't read it.
"""

from __future__ import annotations

import asyncio
import collections
from collections import abc
import time
import typing

from knapweedwharf import errors
from knapweedwharf import log
from knapweedwharf import metrics
from knapweedwharf.web import body as body_module
from knapweedwharf.web import limits as limits_module
from knapweedwharf.web import metric_definitions

NEW = "new"
"""Nothing was received yet."""

HEADERS = "headers"
BODY = "body"
ANSWER = "answer"
"""The request is complete; its answer is due or on its way."""

KEPT = "kept"
"""A request was answered, and nothing of the next one was received."""

PHASES = (NEW, HEADERS, BODY, ANSWER, KEPT)

ADMIT = "admit"
REFUSE = "refuse"
WAIT = "wait"
"""What to do with a new connection."""

SETTLE_S = 0.1
"""A connection gets this long for its next packet before it may be closed
for a new one; it covers a round trip between regions."""

PROGRESS_BYTES = 1_024
"""Less than this of a body counts as no progress."""

STALL_S = 1.0
"""Without progress for this long, a body gives up its room to others; it
covers a packet that is lost and sent again."""

SMALL_CHUNKS = 64
SMALL_CHUNK_BYTES = 1_024
"""A body counts as one in very small chunks after ``SMALL_CHUNKS`` of
under ``SMALL_CHUNK_BYTES`` on average."""

MAX_SMALL_CHUNK_BODIES = 4
"""Each takes the processor for 256 chunks in a turn of the event loop."""

USUAL_FIELDS = 32
FIELD_BYTES = 320
"""Memory of a parsed header or query argument; a head holds thousands of
very short ones. The usual number needs no room."""

RETRY_AFTER_S = 1.0


class Stream(typing.Protocol):
    """What is used of a connection's stream."""

    def close(self) -> None:
        """Close it."""

    def writing(self) -> bool:
        """Return whether something is left to write."""


class OpenConnection:
    """State of one connection.

    :ivar phase: one of ``PHASES``.
    :ivar progress_s: time of the last progress.
    """

    def __init__(self, group: Connections, stream: Stream) -> None:
        self._group = group
        self.stream = stream
        self.phase = NEW
        self.progress_s = 0.0
        self.body: body_module.Body | None = None
        self.refuse: abc.Callable[[errors.Fault], None] | None = None
        self.fields_bytes = 0
        self._request_bytes = 0
        self._unnoted_bytes = 0
        self._chunks = 0

    def received(self, count: int) -> None:
        """Note bytes that were read from the connection."""
        if self.phase in (NEW, KEPT):
            self._group.enter(self, HEADERS)
        self._request_bytes += count
        if self.phase == BODY:
            self._unnoted_bytes += count
            if self._unnoted_bytes >= PROGRESS_BYTES:
                self._unnoted_bytes = 0
                self._group.progressed(self)

    def sent(self) -> None:
        """Note that a part of an answer was written."""
        if self.phase == ANSWER:
            self._group.progressed(self)

    def chunk_begins(self) -> bool:
        """Count a chunk of a body; return False if it was given up."""
        self._chunks += 1
        if (
            self._chunks >= SMALL_CHUNKS
            and self._request_bytes < self._chunks * SMALL_CHUNK_BYTES
            and self.phase == BODY
        ):
            return self._group.allow_small_chunks(self)
        return True

    async def may_parse(self, fields: int) -> bool:
        """Wait for the turn and the room to parse a head.

        :param fields: number of its headers and query arguments.

        Return False if the connection was given up.
        """
        if fields <= USUAL_FIELDS:
            return True
        return await self._group.allow_large_head(self, fields)

    def hold(
        self,
        body: body_module.Body,
        refuse: abc.Callable[[errors.Fault], None],
    ) -> None:
        """Set the room that a request holds and how to refuse it.

        :param refuse: answers the incomplete request.
        """
        self.body = body
        self.refuse = refuse

    def next_request(self) -> None:
        """Forget the request that was answered."""
        self._group.free_fields(self)
        self.body = self.refuse = None
        self._request_bytes = self._unnoted_bytes = self._chunks = 0
        if self.phase != NEW:
            self._group.enter(self, KEPT)


class Connections:
    """All open connections of one server.

    :param name: of the server, for log lines.
    :param budget: room for the bodies.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        limits: limits_module.Limits,
        *,
        name: str,
        budget: body_module.BodyBudget | None = None,
        sender: metrics.Metrics | None = None,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._limits = limits
        self._name = name
        self._budget = budget or body_module.BodyBudget(0)
        self._budget.set_make_room(self._make_room)
        self._sender = sender or metrics.Metrics(None)
        self._clock = clock
        self._log = log.get("connections")
        self._by_phase: dict[
            str, collections.OrderedDict[OpenConnection, None]
        ] = {phase: collections.OrderedDict() for phase in PHASES}
        self._small_chunks: set[OpenConnection] = set()
        self._large_head = asyncio.Lock()
        self._given_up: collections.Counter[str] = collections.Counter()

    @property
    def count(self) -> int:
        """Number of open connections."""
        return sum(map(len, self._by_phase.values()))

    def open(self, stream: Stream) -> OpenConnection:
        """Add a connection that was just accepted."""
        opened = OpenConnection(self, stream)
        opened.progress_s = self._clock()
        self._by_phase[NEW][opened] = None
        return opened

    def forget(self, opened: OpenConnection) -> None:
        """Remove a connection that is closed; idempotent."""
        self._by_phase[opened.phase].pop(opened, None)
        self._small_chunks.discard(opened)
        self.free_fields(opened)

    def free_fields(self, opened: OpenConnection) -> None:
        """Free the room of a request's headers; idempotent."""
        self._budget.free(opened.fields_bytes)
        opened.fields_bytes = 0

    def enter(self, opened: OpenConnection, phase: str) -> None:
        """Change a connection's phase, which is progress."""
        if opened not in self._by_phase[opened.phase]:
            # It was given up and may still deliver what was read before.
            return
        del self._by_phase[opened.phase][opened]
        if opened.phase == BODY:
            self._small_chunks.discard(opened)
        opened.phase = phase
        opened.progress_s = self._clock()
        self._by_phase[phase][opened] = None

    def progressed(self, opened: OpenConnection) -> None:
        """Note progress within a phase."""
        if opened in self._by_phase[opened.phase]:
            opened.progress_s = self._clock()
            self._by_phase[opened.phase].move_to_end(opened)

    # Limits

    @property
    def is_full(self) -> bool:
        """Whether a new connection needs the place of another."""
        return self.count >= self._limits.max_connections

    def admit(self) -> str:
        """Make room for a new connection, if need be and possible.

        Return ``ADMIT``, ``REFUSE`` where all others wait for their
        answers, or ``WAIT`` where all have made progress just now.
        """
        if not self.is_full:
            return ADMIT
        oldest = self._without_progress()
        if oldest is None:
            self._count("no-connection")
            return REFUSE
        if self._clock() - oldest.progress_s < SETTLE_S:
            return WAIT
        self._give_up(oldest, "connections")
        return ADMIT

    def _without_progress(self) -> OpenConnection | None:
        firsts = [
            next(iter(self._by_phase[phase]))
            for phase in (NEW, HEADERS, BODY)
            if self._by_phase[phase]
        ]
        if firsts:
            return min(firsts, key=lambda opened: opened.progress_s)
        return next(iter(self._by_phase[KEPT]), None)

    def _make_room(self, count: int) -> None:
        """Give up all bodies that hold room and don't progress."""
        for opened in self._stalled_bodies():
            body_bytes = opened.body.reserved_bytes if opened.body else 0
            if body_bytes or opened.fields_bytes:
                self._give_up(opened, "bytes")
        if not self._budget.has_room(count):
            self._count("no-room")

    def _stalled_bodies(self) -> list[OpenConnection]:
        last_s = self._clock() - STALL_S
        stalled = []
        for opened in self._by_phase[BODY]:
            if opened.progress_s > last_s:
                break
            stalled.append(opened)
        return stalled

    def allow_small_chunks(self, opened: OpenConnection) -> bool:
        """Let a body come in very small chunks, or give one up.

        Return False if it is this one, now or before.
        """
        if opened in self._small_chunks:
            return True
        if opened not in self._by_phase[BODY]:
            return False
        if len(self._small_chunks) >= MAX_SMALL_CHUNK_BODIES:
            oldest = min(self._small_chunks, key=lambda o: o.progress_s)
            if oldest.progress_s > self._clock() - STALL_S:
                self._give_up(opened, "chunks")
                return False
            self._give_up(oldest, "chunks")
        self._small_chunks.add(opened)
        return True

    async def allow_large_head(
        self, opened: OpenConnection, fields: int
    ) -> bool:
        """Let one head of very many fields be parsed in a turn.

        Parsing may take milliseconds, and 40 times the head's bytes.
        Return False if there is no room, or the connection was closed
        meanwhile.
        """
        async with self._large_head:
            await asyncio.sleep(0)
        if opened not in self._by_phase[opened.phase]:
            return False
        needed_bytes = (fields - USUAL_FIELDS) * FIELD_BYTES
        if not self._budget.reserve(needed_bytes):
            # The refusal is counted already.
            self.forget(opened)
            opened.stream.close()
            return False
        opened.fields_bytes = needed_bytes
        return True

    def sweep(self) -> None:
        """Give up what has taken too long; report what was given up."""
        now_s = self._clock()
        overdue = [
            (opened, reason)
            for phase, (reason, limit_s) in self._time_limits().items()
            for opened in self._by_phase[phase]
            if now_s - opened.progress_s > limit_s
            and (phase != ANSWER or opened.stream.writing())
        ]
        for opened, reason in overdue:
            self._give_up(opened, reason)
        self._sender.gauge(metric_definitions.OPEN_CONNECTIONS, self.count)
        self._sender.gauge(
            metric_definitions.BODY_BYTES, self._budget.reserved_bytes
        )
        if self._given_up:
            self._log.warning(
                "connections-given-up",
                server=self._name,
                open=self.count,
                body_bytes=self._budget.reserved_bytes,
                reasons=dict(self._given_up),
            )
            self._given_up.clear()

    def _time_limits(self) -> dict[str, tuple[str, float]]:
        return {
            NEW: ("idle", self._limits.idle_timeout_s),
            HEADERS: ("slow-headers", self._limits.header_timeout_s),
            BODY: ("slow-body", self._limits.body_timeout_s),
            ANSWER: ("unread-answer", self._limits.answer_timeout_s),
            KEPT: ("idle", self._limits.idle_timeout_s),
        }

    def _give_up(self, opened: OpenConnection, reason: str) -> None:
        self._count(reason)
        self.forget(opened)
        if opened.phase == BODY and opened.refuse is not None:
            try:
                opened.refuse(_fault(reason))
            except Exception as error:
                # It ends without an answer; the others go on.
                self._log.error("refusal-failed", why=repr(error))
        if opened.body is not None:
            opened.body.release()
        opened.stream.close()

    def _count(self, reason: str) -> None:
        self._given_up[reason] += 1
        self._sender.count(metric_definitions.GIVEN_UP[reason])


def _fault(reason: str) -> errors.Fault:
    if reason == "slow-body":
        return errors.TooSlow(
            message="The body did not arrive in time.",
            remedy="Send it without pauses.",
        )
    return errors.DidNotRun(
        message="There is no room for this incomplete request. "
        "The request did not run.",
        remedy="Retry with the same key after the given time.",
        retry_after_s=RETRY_AFTER_S,
    )
