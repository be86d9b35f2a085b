"""Speeds of workers, learned from the runs of the same step.

The tasks of one step are alike, so the rate of progress of each tells
how fast its worker is compared with the others. Single runs spread
widely; a worker counts as slow or fast only if the mean of its runs
differs by several standard errors.

Everything is kept in memory and learned anew by the next owner: a run
tells its worker's speed within seconds, and storing it would cost a
write for each run.
"""

from __future__ import annotations

import bisect
from collections import abc
import dataclasses
import math
import statistics

WARMING_SPEED = 0.5
"""Assumed for a worker that is still warming up."""

HALF_LIFE_S = 300.0
"""Age at which a run counts half. Differences of hardware last; a worker that
ran nothing for half an hour is judged anew."""

MAX_RUNS = 24.0
"""Most runs that the evidence counts, so that a change of speed shows after
as many."""

MIN_RUNS = 4.0
"""Runs before a single worker may count as slow or fast among equal ones."""

FEW_RUNS = 3.0
"""Runs before a worker counts at all; the first ends of a step are those of
its short tasks."""

STALE_RUNS = 1.0
"""Evidence that has decayed to less than this is dropped."""

MIN_LOG_RATIO = math.log(1.3)
"""A difference below this isn't worth another choice of workers."""

KEPT_SHARE = 0.85
"""Share of the bounds below which a worker counts as usual again, so that it
doesn't go back and forth."""

MAX_LOG_RATIO = math.log(4.0)
"""Limit of the effect of one run, such as one that was held up."""

MAX_LOG_DISTANCE = math.log(1.4)
"""Of a worker that is taken for a usual one to find the usual speed; between
those of one speed and those of half of it."""

STANDARD_ERRORS = 5.0
"""Of the mean of a single worker, or of the measure of all workers' spread;
the spread of runs is a rough figure, and workers are judged often."""

INITIAL_VARIANCE = 0.4**2
"""Of the logarithm of equal workers' rates; single runs commonly differ
by half."""

INITIAL_VARIANCE_RUNS = 20
"""Runs that the initial variance counts as."""

MAX_VARIANCE_RUNS = 400
"""Most runs that the variance is a mean over."""

MIN_VARIANCE = 0.05**2
"""Reports are whole percents, so that no rate is more exact."""

MIN_PEERS = 5
"""Runs of a step, or workers, of which the median is a fair reference."""

POOL_INTERVAL_S = 1.0
"""Time between looks at all workers."""

MAX_STEPS = 400
"""Steps whose rates are kept; the oldest is dropped."""


@dataclasses.dataclass(slots=True)
class _Evidence:
    """Runs on one worker compared with others of their steps.

    :ivar runs: their number, those that are old counted less.
    :ivar total: sum of the logarithms of their relative rates.
    :ivar newest_s: when the newest run was compared.
    """

    runs: float = 0.0
    total: float = 0.0
    newest_s: float = 0.0

    @property
    def mean(self) -> float:
        """Logarithm of the worker's relative speed."""
        return self.total / self.runs if self.runs else 0.0

    def age(self, now_s: float) -> None:
        """Reduce the weight of the evidence by its age."""
        kept = 0.5 ** (max(0.0, now_s - self.newest_s) / HALF_LIFE_S)
        kept = min(kept, MAX_RUNS / max(self.runs, MAX_RUNS))
        self.runs *= kept
        self.total *= kept
        self.newest_s = max(self.newest_s, now_s)


@dataclasses.dataclass(slots=True)
class _StepRates:
    """Rates of the runs of one step, as logarithms.

    :ivar usual: what they would be on a worker of the usual speed,
        sorted.
    :ivar pending: (worker, rate) that wait for enough peers.
    """

    usual: list[float] = dataclasses.field(default_factory=list)
    pending: list[tuple[str, float]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class _Pool:
    """What the workers have in common, as logarithms of relative speeds.

    :ivar centre: that of most workers, which counts as the usual one. The
        median run of a step may be on a slow or a fast worker.
    :ivar variance: of the workers' true speeds; 0 while they may be
        equal.
    """

    centre: float = 0.0
    variance: float = 0.0


class Speeds:
    """What is known of the speed of each worker; 1.0 is the usual one."""

    def __init__(self) -> None:
        self._warm_s: dict[str, float] = {}
        self._evidence: dict[str, _Evidence] = {}
        self._learned: dict[str, float] = {}
        self._steps: dict[str, _StepRates] = {}
        self._variance = INITIAL_VARIANCE
        self._variance_runs = INITIAL_VARIANCE_RUNS
        self._pool = _Pool()
        self._pool_s = -math.inf

    def set_warming(self, worker_id: str, until_s: float) -> None:
        """Record until when a worker is expected to be slow."""
        self._warm_s[worker_id] = until_s

    def of(self, worker_id: str, now_s: float) -> float:
        """Return the expected speed of a worker; 1.0 is the usual one."""
        if now_s < self._warm_s.get(worker_id, now_s):
            return WARMING_SPEED
        return self._learned.get(worker_id, 1.0)

    def slowest(self, worker_ids: abc.Iterable[str], now_s: float) -> float:
        """Return the speed of the slowest of some workers."""
        if not self._learned and not self._warm_s:
            return 1.0
        found = (self.of(worker_id, now_s) for worker_id in worker_ids)
        return min(found, default=1.0)

    def runs_compared(self, worker_id: str) -> float:
        """Return how many runs a worker's speed is based on, by weight."""
        evidence = self._evidence.get(worker_id)
        return evidence.runs if evidence else 0.0

    def forget(self, worker_id: str) -> None:
        """Drop what is known of a worker; its next life is another one."""
        self._warm_s.pop(worker_id, None)
        self._evidence.pop(worker_id, None)
        self._learned.pop(worker_id, None)
        for rates in self._steps.values():
            rates.pending = [p for p in rates.pending if p[0] != worker_id]

    def compare(
        self, step: str, worker_id: str, rate: float, now_s: float
    ) -> dict[str, None]:
        """Compare a run with the others of its step.

        :param rate: share of the run that is done in a second.
        :returns: workers whose speed may count as another one now.
        """
        rates = self._steps.get(step)
        if rates is None:
            rates = self._steps[step] = _StepRates()
            if len(self._steps) > MAX_STEPS:
                del self._steps[next(iter(self._steps))]
        log_rate = math.log(rate)
        learned = math.log(self._learned.get(worker_id, 1.0))
        bisect.insort(rates.usual, log_rate - learned)
        rates.pending.append((worker_id, log_rate))
        if len(rates.usual) < MIN_PEERS:
            return {}
        reference = rates.usual[len(rates.usual) // 2]
        pending, rates.pending = rates.pending, []
        for compared_id, compared in pending:
            self._add(compared_id, compared - reference, now_s)
        return {
            compared_id: None
            for compared_id, _rate in pending
            if self._learn(compared_id, now_s)
        }

    def expire(self, now_s: float) -> dict[str, None]:
        """Return workers whose speed may count as another one by now.

        They have warmed up, or what is known of them has aged.
        """
        if now_s - self._pool_s >= POOL_INTERVAL_S:
            self._pool = self._compare_workers()
            self._pool_s = now_s
        warm = [w for w, until_s in self._warm_s.items() if until_s <= now_s]
        for worker_id in warm:
            del self._warm_s[worker_id]
        changed = dict.fromkeys(warm)
        for worker_id in list(self._learned):
            if self._learn(worker_id, now_s):
                changed[worker_id] = None
        return changed

    def _compare_workers(self) -> _Pool:
        """Estimate how far the workers' true speeds differ.

        The excess of the spread of their means over what the spread of
        runs explains, by the method of moments.
        """
        known = [e for e in self._evidence.values() if e.runs >= FEW_RUNS]
        if len(known) < MIN_PEERS:
            return _Pool()
        centre = _centre_of([evidence.mean for evidence in known])
        variance = max(self._variance, MIN_VARIANCE)
        spread = sum(e.runs * (e.mean - centre) ** 2 for e in known) / variance
        excess = spread - len(known)
        if excess < STANDARD_ERRORS * math.sqrt(2.0 * len(known)):
            return _Pool(centre)
        runs = sum(evidence.runs for evidence in known)
        return _Pool(centre, excess * variance / runs)

    def _add(self, worker_id: str, log_ratio: float, now_s: float) -> None:
        log_ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio))
        evidence = self._evidence.get(worker_id)
        if evidence is None:
            evidence = self._evidence[worker_id] = _Evidence(newest_s=now_s)
        evidence.age(now_s)
        if evidence.runs:
            unbiased = evidence.runs / (evidence.runs + 1.0)
            square = unbiased * (log_ratio - evidence.mean) ** 2
            count = min(self._variance_runs + 1, MAX_VARIANCE_RUNS)
            self._variance_runs = count
            self._variance += (square - self._variance) / count
        evidence.runs += 1.0
        evidence.total += log_ratio

    def _learn(self, worker_id: str, now_s: float) -> bool:
        """Update a worker's speed; return whether it is another one."""
        evidence = self._evidence[worker_id]
        before = self._learned.pop(worker_id, 1.0)
        age = 0.5 ** ((now_s - evidence.newest_s) / HALF_LIFE_S)
        found = self._log_speed(evidence, evidence.runs * age, before != 1.0)
        speed = math.exp(found)
        if found:
            self._learned[worker_id] = speed
        return speed != before

    def _log_speed(
        self, evidence: _Evidence, runs: float, differed: bool
    ) -> float:
        """Return the logarithm of a worker's likely speed; 0 if usual.

        Among workers of different speeds the mean of a few runs is
        believed as far as it is likely. Among equal ones, a worker is
        another one only if chance can't explain it.
        """
        share = KEPT_SHARE if differed else 1.0
        mean = evidence.mean - self._pool.centre
        variance = max(self._variance, MIN_VARIANCE)
        if runs < (STALE_RUNS if differed else FEW_RUNS):
            return 0.0
        if self._pool.variance:
            mean *= runs / (runs + variance / self._pool.variance)
        else:
            error = math.sqrt(variance / runs)
            is_chance = abs(mean) < share * STANDARD_ERRORS * error
            if is_chance or runs < share * MIN_RUNS:
                return 0.0
        return mean if abs(mean) >= share * MIN_LOG_RATIO else 0.0


def _centre_of(means: list[float]) -> float:
    """Return the median of the means that are close to the median of all.

    So a minority of slow or fast workers doesn't shift it.
    """
    centre = statistics.median(means)
    for _round in range(2):
        close = [m for m in means if abs(m - centre) < MAX_LOG_DISTANCE]
        centre = statistics.median(close or means)
    return centre
