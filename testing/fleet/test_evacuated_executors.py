"""What the owner reports of the executors that it gives no work."""

from __future__ import annotations

import types

from knapweedwharf.fleet import clock
from knapweedwharf.fleet import evacuated_executors
from knapweedwharf.fleet import evacuations as evacuations_module
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import model
from testing.fleet import entries

INTERVAL_S = evacuated_executors.REPORT_INTERVAL_S


class _Sender:
    """Keeps the newest value of each gauge."""

    def __init__(self) -> None:
        self.gauges: dict = {}

    def gauge(self, metric, value: float) -> None:
        self.gauges[metric] = value


def _session(data_centre: str) -> types.SimpleNamespace:
    return types.SimpleNamespace(
        executor=types.SimpleNamespace(data_centre=data_centre),
        sealed=False,
        is_silent=False,
    )


def test_executors_that_are_seen_after_a_take_over_are_counted(monkeypatch):
    now_s = 100.0
    monkeypatch.setattr(clock, "elapsed_s", lambda: now_s)
    evacuations = evacuations_module.Evacuations(
        store_schema=entries.STORE_SCHEMA,
        evacuation_s=5.0,
        age_s=lambda: 0.0,
    )
    key = entries.EVACUATIONS + "north"
    request = model.Item(key, b"{}", 2)
    evacuations.apply_changes(model.Changes((request,), 2))
    sessions: dict = {}
    sender = _Sender()
    evacuated = evacuated_executors.EvacuatedExecutors(
        evacuations=evacuations,
        sessions=sessions,
        cordon=lambda session: None,
        announce=lambda session: None,
        sender=sender,
    )
    evacuated.start()
    assert sender.gauges[metric_definitions.EXECUTORS_EVACUATED] == 0
    sessions.update(a=_session("north"), b=_session("south"))
    evacuated.tick()
    assert sender.gauges[metric_definitions.EXECUTORS_EVACUATED] == 0
    now_s += INTERVAL_S
    evacuated.tick()
    assert sender.gauges[metric_definitions.EXECUTORS_EVACUATED] == 1
    assert sender.gauges[metric_definitions.EVACUATIONS] == 1
    evacuated.close()
    assert sender.gauges[metric_definitions.EXECUTORS_EVACUATED] == 0
    assert sender.gauges[metric_definitions.EVACUATIONS] == 0
