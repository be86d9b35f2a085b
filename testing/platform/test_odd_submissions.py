"""Odd submissions and states are refused; any value is bounded."""

from __future__ import annotations

import dataclasses
import json
import math

import hypothesis
from hypothesis import strategies
import pytest

from knapweedwharf.core import workflow
from knapweedwharf.platform import decode
from knapweedwharf.platform import field as field_module
from testing.platform import odd_values


def _text(document: object) -> bytes:
    return json.dumps(document).encode()


ODD_STEPS = [
    *[7, None, "a", []],
    *[
        {**odd_values.STEP, name: value}
        for name in ("cpu", "mem_mb", "gpu", "anti_affinity", "target_ms")
        for value in odd_values.NO_AMOUNTS
    ],
    *[
        {**odd_values.STEP, "count": value}
        for value in [
            *odd_values.NO_AMOUNTS,
            10**400,
            10**9,
            decode.MAX_TASKS + 1,
        ]
    ],
    *[
        {**odd_values.STEP, "estimated_runtime_ms": value}
        for value in [*odd_values.NO_DURATIONS, -1]
    ],
    *[
        {**odd_values.STEP, "after": value}
        for value in (5, True, "a", {"a": 1}, [5])
    ],
    *[
        {**odd_values.STEP, "requirements": value}
        for value in (5, {}, "x" * 100_000)
    ],
    {**odd_values.STEP, "image": "\ud800"},
]


@pytest.mark.parametrize("step", ODD_STEPS, ids=odd_values.shown)
def test_an_odd_step_of_a_submission_is_refused(step):
    with pytest.raises(decode.Malformed):
        decode.submission(
            {"specification": "s", "phases": [odd_values.STEP, step]}
        )


ODD_SUBMISSIONS = [
    *[{"phases": value} for value in (None, 5, "a", {}, [])],
    *[
        {"phases": [odd_values.STEP], name: value}
        for name in ("repetitions", "first_run_ms", "interval_ms")
        for value in odd_values.NO_AMOUNTS
    ],
    {"phases": [odd_values.STEP], "repetitions": 10**9},
    {"phases": [odd_values.STEP], "repetitions": decode.MAX_TASKS},
    {"phases": [{"count": decode.MAX_TASKS}, {}]},
    {"phases": [odd_values.STEP], "specification": "\ud800"},
    {"phases": [odd_values.STEP], "specification": 7},
]


@pytest.mark.parametrize("document", ODD_SUBMISSIONS, ids=odd_values.shown)
def test_an_odd_submission_is_refused(document):
    with pytest.raises(decode.Malformed):
        decode.submission(document)


def test_usual_forms_of_a_submission_are_taken():
    document = {
        "phases": [
            {"count": 2.0, "cpu": 5e2},
            {"after": [0], "estimated_runtime_ms": 900},
            {"after": [0, 1.0], "estimated_runtime_ms": 0.5, "image": None},
            {"count": decode.MAX_TASKS - 4, "requirements": ["a"]},
        ],
        "repetitions": 0.0,
        "x": math.nan,
    }
    found = decode.submission(document)
    assert [step.tasks for step in found["steps"]][:3] == [2, 1, 1]
    assert found["steps"][2].after == (0, 1)


ODD_STATES = [
    *[
        {**odd_values.STATE, name: value}
        for name in ("routes", "services", "tenants")
        for value in (5, True, "ab", [5], [None], [[]], ["ab"], [{"name": 7}])
    ],
    *[
        {**odd_values.STATE, "version": value}
        for value in odd_values.NO_AMOUNTS
    ],
    *[
        {**odd_values.STATE, "tenants": [{"name": "t", "guaranteed": value}]}
        for value in (5, [1], "a", {"gpu": odd_values.HUGE}, {"gpu": math.inf})
    ],
    *[
        {**odd_values.STATE, "tenants": [{"name": "t", "api_keys": value}]}
        for value in (5, "ab", [5], [["k"]], [{}])
    ],
    *[
        {**odd_values.STATE, "routes": [{"name": "r", name: value}]}
        for name in ("priority", "max_attempts")
        for value in odd_values.NO_AMOUNTS
    ],
    *[
        {**odd_values.STATE, "routes": [{"name": "r", name: value}]}
        for name in ("slowdown_factor", "target_latency_ms")
        for value in odd_values.NO_DURATIONS
    ],
    *[
        {
            **odd_values.STATE,
            "routes": [{"name": "r", "advisor": {name: value}}],
        }
        for name in ("decision_ms", "per_worker_ms", "validity_ms")
        for value in odd_values.NO_DURATIONS
    ],
]


@pytest.mark.parametrize("document", ODD_STATES, ids=odd_values.shown)
def test_an_odd_desired_state_is_refused(document):
    with pytest.raises(decode.Malformed):
        decode.desired(_text(document), 1)


ODD_WAVES = [
    *[{**odd_values.WAVE, "wave": value} for value in odd_values.NO_AMOUNTS],
    *[{**odd_values.WAVE, "cap": value} for value in odd_values.NO_AMOUNTS],
    *[
        {**odd_values.WAVE, "duration_s": value}
        for value in [*odd_values.NO_DURATIONS, -1]
    ],
    *[
        {**odd_values.WAVE, "machines": value}
        for value in (5, "m", {}, [5], [{}])
    ],
]


@pytest.mark.parametrize("document", ODD_WAVES, ids=odd_values.shown)
def test_an_odd_wave_is_refused(document):
    with pytest.raises(decode.Malformed):
        decode.wave(_text(document))


def _finite_and_bounded(value: object) -> bool:
    if isinstance(value, (int, float)):
        return math.isfinite(value) and 0 <= value <= field_module.MAX_WHOLE
    return True


ANY_VALUE = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.integers(min_value=10**300, max_value=10**400),
        strategies.floats(),
        strategies.text(max_size=20),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=6),
        strategies.dictionaries(
            strategies.sampled_from(
                [
                    *odd_values.ENTRY,
                    *odd_values.ENTRY["capacity"],
                    *odd_values.STEP,
                    *odd_values.STATE,
                    *odd_values.WAVE,
                    *odd_values.REPORT,
                ]
            ),
            inner,
            max_size=4,
        ),
    ),
    max_leaves=12,
)
FORMS = {
    "entry": (
        odd_values.ENTRY,
        lambda document: decode.executor("e", _text(document)),
    ),
    "state": (
        odd_values.STATE,
        lambda document: decode.desired(_text(document), 1),
    ),
    "wave": (odd_values.WAVE, lambda document: decode.wave(_text(document))),
    "machines": (
        {"machines": [odd_values.MACHINE], "next_token": ""},
        decode.machines,
    ),
    "approval": ({"approved": [["e", "t"]]}, decode.approval),
    "report": (odd_values.REPORT, decode.report),
    "submission": (
        {"specification": "s", "phases": [odd_values.STEP], "repetitions": 1},
        decode.submission,
    ),
}


@pytest.mark.parametrize("form", FORMS)
@hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
@hypothesis.given(data=strategies.data())
def test_any_value_is_decoded_to_bounded_numbers_or_refused(form, data):
    document, decoder = FORMS[form]
    name = data.draw(strategies.sampled_from(sorted(document)))
    document = {**document, name: data.draw(ANY_VALUE)}
    try:
        found = decoder(json.loads(json.dumps(document)))
    except decode.Malformed:
        return
    if dataclasses.is_dataclass(found):
        numbers = dataclasses.astuple(found)
    elif form == "machines":
        numbers = [n for m in found[0] for n in dataclasses.astuple(m)]
    else:
        numbers = [*found.values(), *found["steps"][0]]
    assert all(map(_finite_and_bounded, numbers))
    if form == "submission":
        job = workflow.Job("j", "r", "s", "a", submitted_s=0.0, **found)
        assert math.isfinite(job.due_s(job.occurrences - 1))
        assert math.isfinite(job.declared_s)
