"""When a job whose start was refused is started again."""

from __future__ import annotations

from knapweedwharf.core import event
from knapweedwharf.core import start_retries

FIRST_S = start_retries.START_RETRY_S
BLAMED = event.GangRefused("a", "w1", "It refused.")
UNBLAMED = event.GangRefused("a", "", "Nobody refused.")
WITHHELD = event.GangRefused("a", "", "Not sent.", is_withheld=True)


def test_refusals_without_a_worker_to_blame_double_the_delay():
    retries = start_retries.StartRetries()
    delays_s = [retries.delay_s("j", UNBLAMED) for _try in range(12)]
    assert delays_s[:4] == [FIRST_S, 2 * FIRST_S, 4 * FIRST_S, 8 * FIRST_S]
    assert delays_s[-1] == start_retries.MAX_START_RETRY_S


def test_a_refusal_of_a_worker_counts_but_delays_nothing():
    retries = start_retries.StartRetries()
    assert retries.delay_s("j", BLAMED) == 0.0
    assert retries.delay_s("j", UNBLAMED) == 2 * FIRST_S


def test_a_start_that_was_withheld_neither_counts_nor_delays():
    retries = start_retries.StartRetries()
    assert [retries.delay_s("j", WITHHELD) for _try in range(3)] == [0.0] * 3
    assert retries.delay_s("j", UNBLAMED) == FIRST_S


def test_a_job_that_has_started_begins_anew():
    retries = start_retries.StartRetries()
    retries.delay_s("j", UNBLAMED)
    retries.forget("j")
    assert retries.delay_s("j", UNBLAMED) == FIRST_S
