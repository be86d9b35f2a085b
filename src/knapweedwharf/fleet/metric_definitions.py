"""Metrics of the fleet's components."""

from __future__ import annotations

import re
import typing

from knapweedwharf.core import event
from knapweedwharf import metrics

CALLS_STORED = metrics.define(
    "fleet.calls_stored",
    kind=metrics.COUNTER,
    unit="calls",
    text="Submissions and cancellations stored.",
)
CALLS_REFUSED = metrics.define(
    "fleet.calls_refused",
    kind=metrics.COUNTER,
    unit="calls",
    text="Calls answered with a refusal; nothing of them ran.",
)
CALLS_UNKNOWN = metrics.define(
    "fleet.calls_unknown",
    kind=metrics.COUNTER,
    unit="calls",
    text="Calls of which it is not known whether they were stored.",
)
PARTS_PLACED = metrics.define(
    "fleet.parts_placed",
    kind=metrics.COUNTER,
    unit="parts",
    text="Starts decided by this VM as the owner.",
)
PART_WAIT_MS = metrics.define(
    "fleet.part_wait_ms",
    kind=metrics.TIMING,
    unit="milliseconds",
    text="From a part's submission to its placement.",
)
START_MS = metrics.define(
    "fleet.start_ms",
    kind=metrics.TIMING,
    unit="milliseconds",
    text="From a start's sending to its confirmation.",
)
JOB_MS = metrics.define(
    "fleet.job_ms",
    kind=metrics.TIMING,
    unit="milliseconds",
    text="From a job's submission to its completion.",
)
MACHINES_MAINTAINED = metrics.define(
    "fleet.machines_maintained",
    kind=metrics.COUNTER,
    unit="machines",
    text="Orders of maintenance that the platform accepted.",
)
MACHINES_MOVED = metrics.define(
    "fleet.machines_moved",
    kind=metrics.COUNTER,
    unit="machines",
    text="Orders of moves between pools that the platform accepted.",
)
ADVICE_MS = metrics.define(
    "fleet.advice_ms",
    kind=metrics.TIMING,
    unit="milliseconds",
    text="Answer time of the advisor.",
)
STORE_WRITE_MS = metrics.define(
    "fleet.store_write_ms",
    kind=metrics.TIMING,
    unit="milliseconds",
    text="Answer time of the store to writes of progress.",
)
STORE_WRITE_FAULTS = metrics.define(
    "fleet.store_write_faults",
    kind=metrics.COUNTER,
    unit="calls",
    text="Writes of progress that failed; they are repeated.",
)
EXECUTORS_SILENT = metrics.define(
    "fleet.executors_silent",
    kind=metrics.COUNTER,
    unit="executors",
    text="Executors that stopped answering.",
)
EXECUTORS_REBORN = metrics.define(
    "fleet.executors_reborn",
    kind=metrics.COUNTER,
    unit="executors",
    text="Executors that crashed and came back under the same id.",
)
EXECUTORS_LAPSED = metrics.define(
    "fleet.executors_lapsed",
    kind=metrics.COUNTER,
    unit="executors",
    text="Executors that did not answer until their lease had ended.",
)
EXECUTORS_SLOW = metrics.define(
    "fleet.executors_slow",
    kind=metrics.GAUGE,
    unit="executors",
    text="Executors whose runs the owner sees progress slower than others.",
)
EXECUTORS_FAST = metrics.define(
    "fleet.executors_fast",
    kind=metrics.GAUGE,
    unit="executors",
    text="Executors whose runs the owner sees progress faster than others.",
)
RUNS_LOST_UNSEEN = metrics.define(
    "fleet.runs_lost_unseen",
    kind=metrics.COUNTER,
    unit="runs",
    text="Runs lost with their executor before it ever listed them.",
)
TASKS_GIVEN_UP = metrics.define(
    "fleet.tasks_given_up",
    kind=metrics.COUNTER,
    unit="tasks",
    text="Tasks given up, as executors crashed under them.",
)
OWNERSHIPS_WON = metrics.define(
    "fleet.ownerships_won",
    kind=metrics.COUNTER,
    unit="ownerships",
    text="Times that this VM became the owner.",
)
ACCELERATOR_MS_LOST = metrics.define(
    "fleet.accelerator_ms_lost",
    kind=metrics.COUNTER,
    unit="accelerator-milliseconds",
    text="Work of runs that were stopped, lapsed or broken.",
)
JOBS_PENDING = metrics.define(
    "fleet.jobs_pending",
    kind=metrics.GAUGE,
    unit="jobs",
    text="Jobs of which no task has started, as seen by the owner.",
)
DESIRED_AGE = metrics.define(
    "fleet.desired_state_age_ms",
    kind=metrics.GAUGE,
    unit="milliseconds",
    text="Time since the store confirmed the desired state.",
)
RECORDS_READ_MS = metrics.define(
    "fleet.records_read_ms",
    kind=metrics.TIMING,
    unit="milliseconds",
    text="From winning the ownership until all records were read.",
)
INBOX_LAG_MS = metrics.define(
    "fleet.inbox_lag_ms",
    kind=metrics.TIMING,
    unit="milliseconds",
    text="From a job's submission until the owner takes it; jobs with "
    "progress are left out.",
)
CANCEL_LAG_MS = metrics.define(
    "fleet.cancel_lag_ms",
    kind=metrics.TIMING,
    unit="milliseconds",
    text="From a job's cancellation until the owner takes it.",
)
LOOP_DELAY_MS = metrics.define(
    "fleet.loop_delay_ms",
    kind=metrics.TIMING,
    unit="milliseconds",
    text="How late the event loop wakes a task that sleeps.",
)
PASS_STEP_MS = metrics.define(
    "fleet.pass_step_ms",
    kind=metrics.TIMING,
    unit="milliseconds",
    text="Time of one step of a scheduling pass.",
)


def _define_event_ms(kind: str) -> metrics.Metric:
    name = re.sub(r"(?<!^)(?=[A-Z])", "_", kind).lower()
    return metrics.define(
        f"fleet.event_ms.{name}",
        kind=metrics.TIMING,
        unit="milliseconds",
        text=f"Time of the decision core for one event {kind}.",
    )


EVENT_MS = {
    kind.__name__: _define_event_ms(kind.__name__)
    for kind in typing.get_args(event.Event)
}
"""Metrics by the name of the event's class."""
