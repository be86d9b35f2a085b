"""Release of steps and completion of jobs."""

from __future__ import annotations

import random

import pytest

from knapweedwharf.core import workflow


def _step(tasks: int, *after: int, is_gang: bool = False) -> workflow.Step:
    return workflow.Step(
        tasks=tasks,
        cores_milli=1000,
        memory_mib=1000,
        accelerators=0,
        expected_run_s=1.0,
        after=after,
        is_gang=is_gang,
    )


def _flow(*steps: workflow.Step, **fields) -> workflow.Workflow:
    job = workflow.Job("j", "r", "pool", "a", "", steps, 0.0, **fields)
    return workflow.Workflow(job)


@pytest.mark.parametrize("tasks", [20, 40, 80])
def test_the_end_of_a_task_does_not_visit_all_parts(tasks, monkeypatch):
    built: list[str] = []
    part_at = workflow.part_at

    def counted(*arguments):
        part = part_at(*arguments)
        built.append(part.part_id)
        return part

    monkeypatch.setattr(workflow, "part_at", counted)
    flow = _flow(_step(tasks), _step(tasks, 0))
    for part in _ended_one_by_one(flow):
        assert part.done
    assert flow.completed
    assert len(flow.parts) <= len(built) <= 2 * len(flow.parts)


def _ended_one_by_one(flow: workflow.Workflow):
    running = flow.release_ready_parts(0.0)
    while running:
        part = running.pop(0)
        flow.mark_part_done(part)
        running.extend(flow.release_ready_parts(0.0))
        yield part


@pytest.mark.parametrize("seed", range(20))
def test_a_step_is_released_once_all_steps_before_it_are_done(seed):
    rng = random.Random(seed)
    steps = []
    for number in range(rng.randint(1, 6)):
        after = [n for n in range(number) if rng.random() < 0.4]
        gang = rng.random() < 0.3
        steps.append(_step(rng.randint(1, 4), *after, is_gang=gang))
    flow = _flow(*steps, repetitions=2, interval_s=10.0)
    assert _released_in_order(flow, 9.0, rng) == len(flow.parts)
    assert not flow.completed
    _released_in_order(flow, 10.0, rng)
    assert flow.completed
    assert all(part.done for part in flow.parts.values())


def _released_in_order(flow, now_s: float, rng) -> int:
    """End all parts in a random order; return how many were released."""
    count = 0
    running = flow.release_ready_parts(now_s)
    while running:
        count += len(running)
        waiting, running = running, []
        rng.shuffle(waiting)
        for part in waiting:
            assert not flow.completed
            flow.mark_part_done(part)
            for opened in flow.release_ready_parts(now_s):
                _check_after(flow, opened)
                running.append(opened)
    return count


def _check_after(flow: workflow.Workflow, opened: workflow.Part) -> None:
    for number in flow.job.steps[opened.step].after:
        for part in workflow.parts_of_step(
            flow.job, opened.occurrence, number
        ):
            assert flow.parts[part.part_id].done


def test_parts_done_under_an_earlier_owner_count():
    flow = _flow(_step(2), _step(1, 0))
    for part in workflow.parts_of_step(flow.job, 0, 0):
        flow.parts[part.part_id] = part
        part.done = True
    (last,) = flow.release_ready_parts(0.0)
    assert last.step == 1
    flow.mark_part_done(last)
    assert flow.completed


def test_a_job_whose_last_parts_were_done_before_they_were_due_completes():
    flow = _flow(_step(1), repetitions=2, interval_s=10.0)
    (first,) = flow.release_ready_parts(0.0)
    # As restored from an owner whose clock was ahead.
    (last,) = workflow.parts_of_step(flow.job, 1, 0)
    flow.parts[last.part_id] = last
    flow.mark_part_done(last)
    flow.mark_part_done(first)
    assert not flow.completed
    assert flow.release_ready_parts(10.0) == []
    assert flow.completed


def _job_of(steps):
    return workflow.Job("j", "r", "s", "a", "", tuple(steps), submitted_s=0.0)


def _step_after(*after):
    return workflow.Step(1, 1000, 100, 0, 1.0, after=tuple(after))


def test_a_long_chain_of_steps_does_not_exhaust_the_stack():
    job = _job_of(_step_after(*range(n - 1, n)[n == 0 :]) for n in range(5000))
    assert job.declared_s == 5000.0
    assert job.chain_s(4999) == 1.0


def test_steps_that_follow_all_earlier_ones_take_no_exponential_time():
    job = _job_of(_step_after(*range(n)) for n in range(100))
    assert job.declared_s == 100.0
    assert job.chain_s(40) == 60.0
