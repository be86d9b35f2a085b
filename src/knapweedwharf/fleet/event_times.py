"""Adds up the time of the decision core, by kind of event and for passes."""

from __future__ import annotations

from collections import abc
import contextlib
import dataclasses

from knapweedwharf.fleet import clock
from knapweedwharf.fleet import metric_definitions
from knapweedwharf import log
from knapweedwharf import metrics

REPORT_INTERVAL_S = 2.0
"""Shortest time between two lines, as an owner that is behind has little
time to log."""

SLOW_EVENT_S = 0.05
"""Time of one event that can make other work late; a sixth of the usual
lease-renewal period."""

BUSY_SHARE = 0.5
"""Share of the time from which many fast events leave little for the rest
of the event loop."""

PASS_STEP = "PassStep"
"""Kind of the steps of scheduling passes, which follow no single event."""

MAX_KINDS = 32
"""Bounds the length of a line; the kinds with the most time are kept."""


@dataclasses.dataclass
class KindTimes:
    """Times of one kind of event.

    :ivar elapsed_s: total by the clock, with time spent waiting for a
        processor.
    :ivar processor_s: total of processor time.
    :ivar worst_s: longest elapsed time.
    """

    calls: int = 0
    elapsed_s: float = 0.0
    processor_s: float = 0.0
    worst_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Load:
    """What the owner has to deal with.

    :ivar waiting_parts: parts that wait for room or for a time.
    :ivar waiting_classes: classes of alike waiting parts.
    :ivar running_attempts: attempts that may still run.
    :ivar unstored_jobs: jobs whose record changed and is not stored yet.
    """

    waiting_parts: int
    waiting_classes: int
    running_attempts: int
    unstored_jobs: int


class EventTimes:
    """Measures the handling of events and logs it while the owner is behind.

    :param load: returns what the owner has to deal with; asked only for
        a line.
    """

    def __init__(
        self,
        *,
        epoch: int,
        sender: metrics.Metrics,
        load: abc.Callable[[], Load],
    ) -> None:
        self._sender = sender
        self._load = load
        self._log = log.get("event-times").bind(epoch=epoch)
        self._kinds: dict[str, KindTimes] = {}
        self._since_s = clock.elapsed_s()

    @contextlib.contextmanager
    def measure(self, kind: str) -> abc.Iterator[None]:
        """Add the time of the block to a kind."""
        began_s, processor_s = clock.elapsed_s(), clock.processor_s()
        try:
            yield
        finally:
            self.add(
                kind,
                clock.elapsed_s() - began_s,
                clock.processor_s() - processor_s,
            )

    def add(
        self, kind: str, elapsed_s: float, processor_s: float = 0.0
    ) -> None:
        """Add one call; a kind without a metric is only logged."""
        times = self._kinds.setdefault(kind, KindTimes())
        times.calls += 1
        times.elapsed_s += elapsed_s
        times.processor_s += processor_s
        times.worst_s = max(times.worst_s, elapsed_s)
        metric = metric_definitions.EVENT_MS.get(kind)
        if kind == PASS_STEP:
            metric = metric_definitions.PASS_STEP_MS
        if metric is not None:
            self._sender.timing(metric, elapsed_s * 1000)

    def tick(self) -> None:
        """Log the times if the interval is over."""
        if clock.elapsed_s() - self._since_s >= REPORT_INTERVAL_S:
            self.report()

    def report(self) -> None:
        """Log the times since the last report if the owner was behind."""
        now_s = clock.elapsed_s()
        passed_s, self._since_s = now_s - self._since_s, now_s
        kinds, self._kinds = self._kinds, {}
        worst_s = max((t.worst_s for t in kinds.values()), default=0.0)
        total_s = sum(t.elapsed_s for t in kinds.values())
        if worst_s < SLOW_EVENT_S and total_s <= BUSY_SHARE * passed_s:
            return
        slowest = sorted(kinds, key=lambda k: -kinds[k].elapsed_s)
        self._log.warning(
            "events-handled",
            passed_s=round(passed_s, 3),
            kinds={kind: _shown(kinds[kind]) for kind in slowest[:MAX_KINDS]},
            **dataclasses.asdict(self._load()),
        )


def _shown(times: KindTimes) -> dict[str, float]:
    return {
        "calls": times.calls,
        "total_ms": round(times.elapsed_s * 1000, 1),
        "processor_ms": round(times.processor_s * 1000, 1),
        "worst_ms": round(times.worst_s * 1000, 1),
    }
