"""Logs for which reasons parts wait, and the room that is free meanwhile."""

from __future__ import annotations

import collections
from collections import abc
import dataclasses
import itertools

from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import record as record_module
from knapweedwharf.core import state as state_module
from knapweedwharf.fleet import clock
from knapweedwharf import log

REPORT_INTERVAL_S = 5.0
"""Short enough to see a wait before a job's time is over."""

WAITING_AGE_S = 3.0
"""Most parts find room earlier."""

MAX_PARTS = 2_000
"""Parts looked at in one report, those queued first; bounds its cost."""

MAX_REASONS = 12
"""Reasons in a line, those of most parts; bounds its length."""

_START_REASONS = frozenset({"placed", "started"})
"""Reason codes of a part that has left the queue."""

NO_REASON = "none"
"""Code of a part that has not been tried."""


@dataclasses.dataclass
class ReasonCount:
    """Parts that wait for one reason.

    :ivar oldest: id of the part that has waited longest.
    :ivar age_s: how long that part has waited in this owner's queue.
    """

    parts: int = 0
    oldest: str = ""
    age_s: float = 0.0

    def add(self, part_id: str, age_s: float) -> None:
        """Count a part."""
        self.parts += 1
        if age_s > self.age_s:
            self.oldest, self.age_s = part_id, age_s


class WaitingReport:
    """Logs one line a service with parts that wait, at a fixed period.

    :param engines: the engines by service; only read.
    """

    def __init__(
        self, *, engines: abc.Mapping[str, engine_module.Engine], epoch: int
    ) -> None:
        self._engines = engines
        self._log = log.get("waiting-report").bind(epoch=epoch)
        self._reported_s = clock.elapsed_s()

    def tick(self) -> None:
        """Log the reasons if the period is over."""
        now_s = clock.elapsed_s()
        if now_s - self._reported_s < REPORT_INTERVAL_S:
            return
        self._reported_s = now_s
        for service, engine in self._engines.items():
            self._report(service, engine.state)

    def _report(self, service: str, state: state_module.State) -> None:
        reasons = _count_reasons(state)
        if not reasons:
            return
        most = sorted(reasons, key=lambda code: -reasons[code].parts)
        self._log.info(
            "parts-waiting",
            service=service,
            waiting=len(state.waiting),
            claiming=len(state.claims.by_job),
            reserving=len(state.reservations.by_job),
            reasons={code: _shown(reasons[code]) for code in most},
            executors=len(state.topology.workers),
            excluded=_count_exclusions(state),
            free_accelerators=state.topology.free_accelerators(),
            open_accelerators=state.topology.open_accelerators,
        )


def _count_reasons(state: state_module.State) -> dict[str, ReasonCount]:
    """Return the parts that wait too long, by the newest reason's code."""
    now_s = clock.steady_s()
    counts: dict[str, ReasonCount] = {}
    # A part that claims room has left the queue, but has not started.
    waiting = itertools.chain(state.claims.by_job, state.waiting.job_ids())
    for part_id in itertools.islice(waiting, MAX_PARTS):
        age_s = now_s - _waiting_since_s(state.records[part_id])
        if age_s < WAITING_AGE_S:
            continue
        code = _newest_code(state, part_id)
        counts.setdefault(code, ReasonCount()).add(part_id, age_s)
    most = sorted(counts, key=lambda code: -counts[code].parts)
    return {code: counts[code] for code in most[:MAX_REASONS]}


def _waiting_since_s(record: record_module.JobRecord) -> float:
    """Return when a part was queued last; its job may be much older."""
    since_s = record.job.submitted_s
    for reason in reversed(record.reasons):
        if reason.code in _START_REASONS:
            break
        since_s = reason.at_s
    return since_s


def _newest_code(state: state_module.State, part_id: str) -> str:
    """Return a part's newest reason; only the first of a class is tried."""
    reasons = list(state.records[part_id].reasons[-1:])
    blocked = state.waiting.blocked_reason(part_id)
    if blocked is not None:
        reasons.append(blocked)
    newest = max(reasons, key=lambda reason: reason.at_s, default=None)
    return newest.code if newest is not None else NO_REASON


def _count_exclusions(state: state_module.State) -> dict[str, int]:
    """Return how many executors get no work, by reason."""
    counts: collections.Counter[str] = collections.Counter()
    for room in state.topology.workers.values():
        counts.update(room.exclusions)
    return dict(sorted(counts.items()))


def _shown(count: ReasonCount) -> dict[str, object]:
    return {
        "parts": count.parts,
        "oldest": count.oldest,
        "age_s": round(count.age_s, 3),
    }
