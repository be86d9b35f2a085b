"""Tells of each placed part how long it waited, and for what."""

from __future__ import annotations

from knapweedwharf.core import model
from knapweedwharf.core import record as record_module
from knapweedwharf.core import workflow
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import metric_definitions
from knapweedwharf import log
from knapweedwharf import metrics


class PlacedParts:
    """Logs and counts the parts that were placed."""

    def __init__(self, *, epoch: int, sender: metrics.Metrics) -> None:
        self._sender = sender
        self._log = log.get("decider").bind(epoch=epoch)

    def report(
        self,
        part: workflow.Part,
        record: record_module.JobRecord,
        reason: model.Reason,
    ) -> None:
        """Report a part that was just placed."""
        job = record.job
        waited_s = clock.steady_s() - job.submitted_s
        self._sender.count(metric_definitions.PARTS_PLACED)
        self._sender.timing(metric_definitions.PART_WAIT_MS, waited_s * 1000)
        self._log.info(
            "part-placed",
            job_id=workflow.job_id_of(job.job_id),
            part=part.part_id,
            run=part.run,
            executors=sorted({p.worker_id for p in part.placements}),
            reason=reason.code,
            urgency=job.urgency,
            waited_s=round(waited_s, 3),
            queued_s=round(clock.steady_s() - record.queued_s, 3),
            waited_for=record.waited_for,
            declared_s=job.declared_run_s,
        )
