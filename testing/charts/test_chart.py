"""The charts are well-formed; unexpected events are rejected."""

from __future__ import annotations

import pytest

from knapweedwharf.charts import chart

CHARTS = ["job", "node", "owner", "session"]


def _reachable(machine: chart.Chart, start: str) -> set[str]:
    found = {start}
    todo = [start]
    while todo:
        state = todo.pop()
        for source, _event, target in machine.edges():
            if source == state and target not in found:
                found.add(target)
                todo.append(target)
    return found


@pytest.mark.parametrize("name", CHARTS)
def test_every_state_is_reachable(name: str) -> None:
    machine = chart.load(name)
    assert _reachable(machine, machine.initial) == machine.states


@pytest.mark.parametrize("name", CHARTS)
def test_every_state_leads_to_a_final_state(name: str) -> None:
    machine = chart.load(name)
    for state in machine.states:
        assert _reachable(machine, state) & machine.final


def test_unexpected_event_is_rejected() -> None:
    with pytest.raises(chart.UnexpectedEvent, match="queued"):
        chart.load("job").step("queued", "started")
