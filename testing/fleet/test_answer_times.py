"""Time-outs follow what most executors take to answer."""

from __future__ import annotations

import pytest

from knapweedwharf.fleet import answer_times as answer_times_module
from knapweedwharf.fleet import clock

LEAST_S = 0.7


@pytest.fixture
def elapsed(monkeypatch):
    """Return a list whose only value is the time of the clock."""
    now = [100.0]
    monkeypatch.setattr(clock, "elapsed_s", lambda: now[0])
    return now


def _times(*latest_s: float) -> answer_times_module.AnswerTimes:
    times = answer_times_module.AnswerTimes()
    for number, took_s in enumerate(latest_s):
        times.add(f"e{number}", took_s)
    return times


def test_the_least_applies_before_any_answer(elapsed):
    assert _times().timeout_s(LEAST_S) == LEAST_S


def test_executors_of_one_data_centre_that_are_silent_change_nothing(elapsed):
    assert _times(*[0.01] * 6, *[2.0] * 2).timeout_s(LEAST_S) == LEAST_S


def test_late_answers_of_most_executors_prolong_the_time_out(elapsed):
    assert _times(0.01, 0.3, 0.3, 0.5).timeout_s(LEAST_S) == pytest.approx(0.9)


def test_the_time_out_is_bounded(elapsed):
    limit_s = answer_times_module.MAX_TIMEOUT_S
    assert _times(5.0, 5.0, 5.0).timeout_s(LEAST_S) == limit_s


def test_the_time_out_recovers_with_the_answers(elapsed):
    times = _times(5.0, 5.0, 5.0)
    times.timeout_s(LEAST_S)
    for number in range(3):
        times.add(f"e{number}", 0.01)
    elapsed[0] += 1.0
    assert times.timeout_s(LEAST_S) == LEAST_S


def test_an_executor_that_is_gone_no_longer_counts(elapsed):
    times = _times(0.01, 0.01, 0.01, *[5.0] * 4)
    for number in range(3, 7):
        times.forget(f"e{number}")
    assert times.timeout_s(LEAST_S) == LEAST_S


def test_a_single_executor_is_not_measured_by_itself(elapsed):
    assert _times(5.0).timeout_s(LEAST_S) == LEAST_S
