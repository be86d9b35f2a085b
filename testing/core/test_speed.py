"""Workers' speeds, learned from the rates of runs of one step."""

from __future__ import annotations

import math
import random

import pytest

from knapweedwharf.core import speed

RUNS_PER_STEP = 20
WORKERS = 40


def _learned(
    speeds_of: dict[str, float], *, steps: int, spread: float, seed: int = 1
) -> speed.Speeds:
    """Return what is learned of workers of given speeds.

    :param spread: standard deviation of the logarithm of the rates.
    """
    rng = random.Random(seed)
    speeds = speed.Speeds()
    for step in range(steps):
        work_s = rng.uniform(2.0, 20.0)
        for worker in rng.sample(list(speeds_of), RUNS_PER_STEP):
            noise = math.exp(rng.gauss(0.0, spread))
            rate = speeds_of[worker] * noise / work_s
            speeds.compare(f"s{step}", worker, rate, 0.5 * step)
        speeds.expire(0.5 * step)
    return speeds


def _standing(speeds: speed.Speeds, worker: str, now_s: float) -> str:
    found = speeds.of(worker, now_s)
    return "usual" if found == 1.0 else "fast" if found > 1.0 else "slow"


def _wrong(
    speeds: speed.Speeds, workers: dict[str, float], now_s: float
) -> dict[str, list[str]]:
    """Return the workers whose standing is wrong, by their true one."""
    wrong: dict[str, list[str]] = {"slow": [], "usual": [], "fast": []}
    for worker in workers:
        standing = worker.split("-")[0]
        if _standing(speeds, worker, now_s) != standing:
            wrong[standing].append(worker)
    return wrong


def _workers(**counts: int) -> dict[str, float]:
    values = {"slow": 0.5, "usual": 1.0, "fast": 2.0}
    return {
        f"{name}-{number}": values[name]
        for name, count in counts.items()
        for number in range(count)
    }


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("odd", ["slow", "fast"])
def test_a_quarter_of_odd_workers_is_told_from_the_others(odd: str, seed: int):
    workers = _workers(**{odd: 10}, usual=30)
    speeds = _learned(workers, steps=40, spread=0.35, seed=seed)
    wrong = _wrong(speeds, workers, 20.0)
    assert len(wrong[odd]) <= 2
    assert len(wrong["usual"]) <= 1


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("spread", [0.0, 0.1, 0.35])
def test_alike_workers_have_the_usual_speed(seed: int, spread: float):
    workers = _workers(usual=WORKERS)
    speeds = _learned(workers, steps=60, spread=spread, seed=seed)
    assert {speeds.of(worker, 30.0) for worker in workers} == {1.0}


def test_the_size_of_a_difference_is_learned():
    workers = _workers(slow=4, usual=36)
    speeds = _learned(workers, steps=60, spread=0.1)
    assert speeds.of("slow-0", 30.0) == pytest.approx(0.5, rel=0.1)


def test_a_slow_step_says_nothing_of_its_workers():
    """Every run of a step takes long, on whichever worker."""
    speeds = speed.Speeds()
    for step in range(20):
        for number in range(10):
            rate = 0.01 if step % 2 else 0.2
            speeds.compare(f"s{step}", f"w{number}", rate, float(step))
    assert {speeds.of(f"w{n}", 20.0) for n in range(10)} == {1.0}


def test_few_runs_tell_nothing():
    speeds = speed.Speeds()
    for step in range(3):
        for number in range(10):
            rate = 0.1 if number else 0.01
            speeds.compare(f"s{step}", f"w{number}", rate, float(step))
    assert speeds.of("w0", 3.0) == 1.0


def test_one_run_that_was_held_up_makes_no_worker_slow():
    speeds = speed.Speeds()
    for step in range(8):
        for number in range(10):
            is_held_up = step == 5 and not number
            rate = 0.0001 if is_held_up else 0.1
            speeds.compare(f"s{step}", f"w{number}", rate, float(step))
    assert speeds.of("w0", 8.0) == 1.0


def test_evidence_ages_until_the_worker_counts_as_usual():
    workers = _workers(slow=4, usual=36)
    speeds = _learned(workers, steps=30, spread=0.1)
    assert speeds.of("slow-1", 15.0) < 1.0
    speeds.expire(30.0)
    assert speeds.of("slow-1", 30.0) < 1.0
    old_s = 15.0 + 8 * speed.HALF_LIFE_S
    assert "slow-1" in speeds.expire(old_s)
    assert speeds.of("slow-1", old_s) == 1.0


def test_a_worker_that_recovers_counts_as_usual_again():
    speeds = speed.Speeds()
    recovered_s = None
    for step in range(200):
        for number in range(10):
            is_slow = step < 30 and not number
            rate = 0.05 if is_slow else 0.1
            speeds.compare(f"s{step}", f"w{number}", rate, float(step))
        if step == 29:
            assert speeds.of("w0", 29.0) < 0.6
        if step >= 30 and recovered_s is None and speeds.of("w0", step) == 1.0:
            recovered_s = step - 30
    assert recovered_s is not None
    assert recovered_s <= 2 * speed.MAX_RUNS


def test_the_next_life_of_a_worker_starts_without_evidence():
    workers = _workers(slow=4, usual=36)
    speeds = _learned(workers, steps=30, spread=0.1)
    speeds.forget("slow-2")
    assert speeds.of("slow-2", 15.0) == 1.0
    assert speeds.runs_compared("slow-2") == 0.0


def test_runs_of_a_former_life_that_wait_for_peers_are_dropped():
    speeds = speed.Speeds()
    speeds.compare("s", "w0", 0.001, 0.0)
    speeds.forget("w0")
    for number in range(1, 10):
        speeds.compare("s", f"w{number}", 0.1, 0.0)
    assert speeds.runs_compared("w0") == 0.0
    assert speeds.runs_compared("w1") == 1.0


def test_a_warming_worker_is_slow_until_it_is_warm():
    speeds = speed.Speeds()
    speeds.set_warming("w0", 5.0)
    assert speeds.of("w0", 4.9) == speed.WARMING_SPEED
    assert speeds.slowest(["w1", "w0"], 4.9) == speed.WARMING_SPEED
    assert speeds.of("w0", 5.0) == 1.0
    assert "w0" in speeds.expire(5.0)


def test_the_number_of_steps_is_bounded():
    speeds = speed.Speeds()
    for step in range(3 * speed.MAX_STEPS):
        speeds.compare(f"s{step}", "w0", 0.1, 0.0)
    assert len(speeds._steps) == speed.MAX_STEPS
