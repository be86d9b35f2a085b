"""Workers of different speeds: what callers get, and who gets which.

Plays short jobs on workers of which some are twice or half as fast as
the others, with their speeds known, learned and not learned.
"""

from __future__ import annotations

import functools
import statistics

import pytest

from bench import _short_load
from bench import _short_simulation
from knapweedwharf.core import decision
from knapweedwharf.core import event
from knapweedwharf.core import placement
from knapweedwharf.core import speed
from knapweedwharf.core import speed_class
from knapweedwharf.fleet import policy as fleet_policy
from testing.core import short_runs

SEEDS = range(3)
KNOWN, LEARNED, UNKNOWN = "known", "learned", "unknown"
UNEVEN = (_short_load.FAST_QUARTER, _short_load.SLOW_QUARTER)


MAX_LOSS = 0.02
"""Share of the value by which single loads may differ by chance."""


class _GivenSpeeds(speed.Speeds):
    """Speeds that are given; nothing is learned."""

    def __init__(self, speeds: dict[str, float]) -> None:
        super().__init__()
        self._given = speeds

    def of(self, worker_id: str, now_s: float) -> float:
        return self._given.get(worker_id, 1.0)

    def slowest(self, worker_ids, now_s: float) -> float:
        return min(self.of(worker_id, now_s) for worker_id in worker_ids)

    def compare(self, step, worker_id, rate, now_s):
        return {}


def _simulation(
    load: _short_load.Load, seed: int, *, speeds: str
) -> _short_simulation.Simulation:
    """Return a simulation in which speeds are known, learned or unknown."""
    simulation = _short_simulation.Simulation(
        load,
        seed,
        configuration=fleet_policy.configuration(learns_speeds=True),
    )
    state = simulation.engine.state
    if speeds == LEARNED:
        return simulation
    state.speeds = _GivenSpeeds(
        {f"w{n}": load.speed_of(n) for n in range(load.workers)}
        if speeds == KNOWN
        else {}
    )
    for worker_id in state.topology.workers:
        found = speed_class.of_speed(state.speeds.of(worker_id, 0.0))
        state.topology.set_speed_class(worker_id, found)
    return simulation


@functools.lru_cache
def _value(load_name: str, speeds: str) -> tuple[float, float]:
    """Return the value earned, in all and with previews, by mean."""
    (load,) = (load for load in UNEVEN if load.name == load_name)
    outcomes = [_simulation(load, seed, speeds=speeds).run() for seed in SEEDS]
    return (
        statistics.mean(o.value_share for o in outcomes),
        statistics.mean(o.value_by_kind["preview"] for o in outcomes),
    )


@pytest.mark.parametrize("load", [load.name for load in UNEVEN])
def test_callers_get_more_where_speeds_are_known(load: str):
    now, now_urgent = _value(load, KNOWN)
    before, before_urgent = _value(load, UNKNOWN)
    assert now > before + MAX_LOSS
    assert now_urgent > before_urgent + MAX_LOSS


@pytest.mark.parametrize("load", [load.name for load in UNEVEN])
def test_callers_get_no_less_while_speeds_are_learned(load: str):
    now, now_urgent = _value(load, LEARNED)
    before, before_urgent = _value(load, UNKNOWN)
    assert now > before - MAX_LOSS
    assert now_urgent > before_urgent


@pytest.mark.parametrize("seed", SEEDS)
def test_alike_workers_get_what_they_got_without_learning(seed: int):
    decided = []
    for speeds in (LEARNED, UNKNOWN):
        simulation = _simulation(_short_load.ALIKE, seed, speeds=speeds)
        starts = []
        state = simulation.engine.state
        start_gang = state.start

        def note(record, share, reason, starts=starts, start=start_gang):
            start(record, share, reason)
            starts.append((record.job.job_id, record.assignments))

        state.start = note
        simulation.run()
        decided.append(starts)
    assert decided[0]
    assert decided[0] == decided[1]


def _uneven_engine(speeds: dict[str, float], workers: int):
    """Return an engine that has learned the speeds of some workers."""
    engine = short_runs.engine(workers)
    for step in range(8):
        for number in range(workers):
            worker = f"w{number}"
            rate = 0.1 * speeds.get(worker, 1.0)
            engine.state.speeds.compare(f"s{step}", worker, rate, 0.0)
    engine.handle(event.Tick(), now_s=0.0)
    for worker in speeds:
        engine.state.topology.set_speed_class(
            worker,
            speed_class.of_speed(engine.state.speeds.of(worker, 0.0)),
        )
    return engine


def _used(started: decision.StartGang) -> set[str]:
    return {place.worker_id for place in started.assignments}


def test_a_short_objective_gets_fast_workers():
    engine = _uneven_engine({"w4": 2.0, "w5": 2.0}, 6)
    job = short_runs.job("j", objective_s=8.0, slowdown=1.5, tasks=2)
    assert _used(short_runs.start(engine, job, 0.0)) == {"w4", "w5"}


def test_work_that_can_wait_leaves_fast_workers_to_others():
    engine = _uneven_engine({"w0": 2.0, "w1": 0.5}, 6)
    job = short_runs.job("j", objective_s=60.0, slowdown=3.0)
    assert _used(short_runs.start(engine, job, 0.0)) == {"w1"}


def test_an_objective_that_came_close_gets_fast_workers():
    engine = _uneven_engine({"w0": 2.0, "w1": 0.5}, 6)
    job = short_runs.job("j", 0.0, objective_s=15.0, slowdown=3.0)
    assert _used(short_runs.start(engine, job, 6.0)) == {"w0"}


def test_work_without_value_left_leaves_fast_workers_to_others():
    engine = _uneven_engine({"w0": 2.0, "w1": 0.5}, 6)
    job = short_runs.job("j", 0.0, objective_s=5.0, slowdown=1.0)
    assert _used(short_runs.start(engine, job, 60.0)) == {"w1"}


def test_members_of_a_gang_are_of_like_speed():
    """A fast worker beside usual ones would wait for these."""
    engine = _uneven_engine({"w0": 2.0, "w5": 2.0}, 6)
    gang = short_runs.job("g", objective_s=8.0, slowdown=1.5, tasks=3)
    assert not _used(short_runs.start(engine, gang, 0.0)) & {"w0", "w5"}


def test_a_gang_that_fits_one_speed_nowhere_is_mixed():
    engine = _uneven_engine({"w0": 2.0, "w1": 0.5}, 4)
    gang = short_runs.job("g", objective_s=8.0, slowdown=1.5, tasks=4)
    assert len(_used(short_runs.start(engine, gang, 0.0))) == 4


def test_a_rack_of_one_speed_goes_before_a_tighter_one():
    engine = short_runs.engine(0)
    for number in range(8):
        spec = short_runs.worker(number, rack=f"r{number // 4}")
        engine.handle(event.WorkerSealed(spec), now_s=0.0)
    topology = engine.state.topology
    for worker in ("w0", "w4", "w5"):
        topology.set_speed_class(worker, speed_class.FAST)
    filler = short_runs.job("f", tasks=1)
    topology.occupy(
        "x", placement.assign([(topology.workers["w3"], 1)], filler)
    )
    gang = short_runs.job(
        "g", tasks=2, prefers_rack=True, objective_s=8.0, slowdown=1.5
    )
    assert _used(short_runs.start(engine, gang, 0.0)) == {"w4", "w5"}


def test_slow_workers_stay_in_use():
    engine = _uneven_engine({"w0": 0.5, "w1": 0.5}, 3)
    used = set()
    for number in range(3):
        job = short_runs.job(
            f"j{number}", objective_s=8.0, slowdown=1.5, precedence=1
        )
        used |= _used(short_runs.start(engine, job, 0.0))
    assert used == {"w0", "w1", "w2"}


def test_the_expected_end_follows_the_slowest_member():
    engine = _uneven_engine({"w0": 0.5}, 6)
    gang = short_runs.job("g", tasks=6, declared_run_s=5.0)
    short_runs.start(engine, gang, 0.0)
    end_s = engine.state.expected_end_s(engine.records["g"])
    speed_of_slowest = engine.state.speeds.of("w0", 0.0)
    assert speed_of_slowest < 0.6
    assert end_s == pytest.approx(5.0 / speed_of_slowest)


def test_a_run_on_a_slow_worker_does_not_make_its_kind_slow():
    engine = _uneven_engine({"w0": 0.5}, 1 + 4)
    job = short_runs.job("j", declared_run_s=5.0)
    started = short_runs.start(engine, job, 0.0)
    assert _used(started) == {"w0"}
    place = started.assignments[0]
    ended = event.TaskEnded(started.attempt_id, 0, place.worker_id, True, "")
    engine.handle(ended, now_s=10.0)
    run_s = engine.state.estimates.run_s(short_runs.job("k"))
    assert run_s == pytest.approx(5.0, rel=0.1)


def test_a_slow_worker_delays_a_reservation():
    """A run that ends in time elsewhere does not on a slow worker."""
    engine = _uneven_engine({"w1": 0.5}, 6)
    for number in range(6):
        declared_s = 4.0 if number < 2 else 60.0
        job = short_runs.job(f"r{number}", declared_run_s=declared_s)
        short_runs.start(engine, job, 0.0)
    engine.handle(event.JobSubmitted(short_runs.job("g", tasks=2)), now_s=0.0)
    for second in range(1, 5):
        engine.handle(event.Tick(), now_s=float(second))
    assert engine.state.reservations.by_job["g"].expected_s > 4.5


def test_a_worker_that_begins_another_life_counts_as_usual():
    engine = _uneven_engine({"w0": 0.5}, 6)
    taken = engine.handle(event.WorkerRestarted("w0"), now_s=1.0)
    changed = [t for t in taken if isinstance(t, decision.WorkerSpeedChanged)]
    assert [(c.worker_id, c.standing) for c in changed] == [("w0", "usual")]
    assert engine.state.topology.workers["w0"].speed_class == 0
    assert not engine.state.topology.is_uneven


def test_a_warming_worker_gets_work_that_can_wait():
    engine = short_runs.engine(2)
    engine.handle(event.WorkerWarming("w0", 20.0), now_s=0.0)
    urgent = short_runs.job("u", objective_s=8.0, slowdown=1.5)
    assert _used(short_runs.start(engine, urgent, 1.0)) == {"w1"}
    engine.handle(event.Tick(), now_s=21.0)
    assert not engine.state.topology.is_uneven


def test_warming_is_known_before_the_worker_is():
    engine = short_runs.engine(1)
    engine.handle(event.WorkerWarming("w1", 20.0), now_s=0.0)
    spec = short_runs.worker(1)
    engine.handle(event.WorkerSealed(spec), now_s=1.0)
    found = engine.state.topology.workers["w1"].speed_class
    assert found == speed_class.COLD
