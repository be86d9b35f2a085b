"""Reports how executors stand: excluded, trusted, slow or fast."""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import speed_class
from knapweedwharf.fleet import metric_definitions
from knapweedwharf import log
from knapweedwharf import metrics


class Standings:
    """Logs changes of executors' standing, and counts the odd ones.

    :param epoch: the owner's epoch.
    """

    def __init__(self, epoch: int, sender: metrics.Metrics) -> None:
        self._sender = sender
        self._log = log.get("decider").bind(epoch=epoch)

    def changed(self, decided: decision.WorkerChanged) -> None:
        """Log that an executor may or may not get work."""
        self._log.warning(
            "executor-standing",
            executor=decided.worker_id,
            standing=decided.standing,
            reason=decided.reason.text,
        )

    def speed_changed(
        self,
        decided: decision.WorkerSpeedChanged,
        engines: abc.Mapping[str, engine_module.Engine],
    ) -> None:
        """Log that an executor counts as slow, fast or usual; count these."""
        self._log.info(
            "executor-speed",
            executor=decided.worker_id,
            standing=decided.standing,
            speed=round(decided.speed, 2),
            runs=round(decided.runs, 1),
        )
        for metric, counted in (
            (metric_definitions.EXECUTORS_SLOW, speed_class.SLOW),
            (metric_definitions.EXECUTORS_FAST, speed_class.FAST),
        ):
            classes = (e.topology.speed_classes for e in engines.values())
            self._sender.gauge(metric, sum(c[counted] for c in classes))
