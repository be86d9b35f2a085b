"""Reports how executors stand: excluded, trusted, slow or fast."""

from __future__ import annotations

from collections import abc

import structlog

from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import speed_class
from knapweedwharf.fleet import metric_definitions
from knapweedwharf import metrics


def log_changed(
    decided: decision.WorkerChanged,
    logger: structlog.typing.FilteringBoundLogger,
) -> None:
    """Log that an executor may or may not get work."""
    logger.warning(
        "executor-standing",
        executor=decided.worker_id,
        standing=decided.standing,
        reason=decided.reason.text,
    )


def log_speed(
    decided: decision.WorkerSpeedChanged,
    logger: structlog.typing.FilteringBoundLogger,
) -> None:
    """Log that an executor counts as slow, fast or usual from now on."""
    logger.info(
        "executor-speed",
        executor=decided.worker_id,
        standing=decided.standing,
        speed=round(decided.speed, 2),
        runs=round(decided.runs, 1),
    )


def count_speeds(
    engines: abc.Mapping[str, engine_module.Engine], sender: metrics.Metrics
) -> None:
    """Count the executors that are slow and those that are fast."""
    for metric, counted in (
        (metric_definitions.EXECUTORS_SLOW, speed_class.SLOW),
        (metric_definitions.EXECUTORS_FAST, speed_class.FAST),
    ):
        classes = (e.topology.speed_classes for e in engines.values())
        sender.gauge(metric, sum(found[counted] for found in classes))
