"""Reads submitted jobs and cancellations from the store."""

from __future__ import annotations

import asyncio
import dataclasses
import math

from knapweedwharf import codec
from knapweedwharf.core import workflow
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import confirmation
from knapweedwharf.fleet import crashes as crashes_module
from knapweedwharf.fleet import decider as decider_module
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import model
from knapweedwharf.fleet import progress_writer as progress_writer_module
from knapweedwharf.fleet import records
from knapweedwharf.fleet import scheduling_state as scheduling_state_module
from knapweedwharf.fleet import watcher as watcher_module
from knapweedwharf import log
from knapweedwharf import metrics

WATCH_WAIT_SHARE = 1 / 3
"""Share of the time within which starts of a cancelled job must cease that a
watch may wait. On a dead connection it hides cancellations for longer, until
it times out."""

NOT_READ_INTERVAL_S = 1.0
"""Time between two lines of an owner that has not read the records yet; a
read that works takes less."""


JOBS_PER_SLICE = 20
"""Jobs applied in one piece; the owner's lease is renewed in between."""

MAX_SILENCE_FACTOR = 2.5
"""The largest page takes over 2 s on the slowest links, and a proxy may pass
it on only as a whole."""


class Intake:
    """Reads the records of all jobs, then follows changes.

    :param cancel_s: time after a cancellation within which starts of the
        job must cease.
    :param won_s: when the ownership was won, on the elapsed clock.
    :ivar loaded: set once all stored records have been read.
    :ivar applied: number of jobs whose records were applied.
    """

    def __init__(
        self,
        *,
        store,
        scheduling_state: scheduling_state_module.SchedulingState,
        progress_writer: progress_writer_module.ProgressWriter,
        decider: decider_module.Decider,
        crashes: crashes_module.Crashes,
        epoch: int,
        cancel_s: float,
        won_s: float,
        sender: metrics.Metrics,
    ) -> None:
        self._scheduling_state = scheduling_state
        self._progress_writer = progress_writer
        self._decider = decider
        self._crashes = crashes
        self._won_s = won_s
        self._sender = sender
        self._log = log.get("intake").bind(epoch=epoch)
        self._unread_task: asyncio.Task | None = None
        self.loaded = asyncio.Event()
        self.applied = 0
        self._applied_s = 0.0
        self._watcher = watcher_module.Watcher(
            store,
            records.JOBS,
            wait_s=WATCH_WAIT_SHARE * cancel_s,
            on_listing=self._on_listing,
            on_changes=self._on_changes,
            max_silence_factor=MAX_SILENCE_FACTOR,
        )
        self._confirmation = confirmation.Confirmation(
            limit_s=cancel_s,
            age_s=lambda: self._watcher.age_s,
            on_stale=self._log_stale,
            on_confirmed=self._log_confirmed,
        )

    async def start(self) -> None:
        """Start reading."""
        self._unread_task = asyncio.create_task(self._report_unread())
        await self._watcher.start()

    async def close(self) -> None:
        """Stop reading."""
        await self._watcher.close()
        if self._unread_task is not None:
            self._unread_task.cancel()
            await asyncio.gather(self._unread_task, return_exceptions=True)

    async def until_confirmed(self) -> None:
        """Wait while a cancellation may have been missed for too long."""
        await self.loaded.wait()
        await self._confirmation.wait()

    def _log_stale(self) -> None:
        self._log.warning(
            "records-not-confirmed",
            age_s=round(self._watcher.age_s, 3),
            max_age_s=round(self._confirmation.max_age_s, 3),
        )

    def _log_confirmed(self, after_s: float) -> None:
        self._log.info("records-confirmed", after_s=round(after_s, 3))

    async def _report_unread(self) -> None:
        """Log the time spent so far, until the records are read."""
        while not self.loaded.is_set():
            try:
                async with asyncio.timeout(NOT_READ_INTERVAL_S):
                    await self.loaded.wait()
            except TimeoutError:
                spent_s = clock.elapsed_s() - self._won_s
                self._log.warning(
                    "records-not-read", spent_s=round(spent_s, 3)
                )

    @property
    def progressed_s(self) -> float:
        """When a page was last read or a job applied; 0 before that."""
        return max(self._watcher.progressed_s, self._applied_s)

    @property
    def pages(self) -> int:
        """Number of pages read."""
        return self._watcher.pages

    @property
    def failures(self) -> int:
        """Number of failed calls to the store."""
        return self._watcher.failures

    async def _on_listing(self, listing: model.Listing) -> None:
        kinds_by_job: dict[str, dict[str, model.Item]] = {}
        for item in listing.items:
            split = records.split_key(item.key)
            if split is not None:
                kinds_by_job.setdefault(split[0], {})[split[1]] = item
        for number, (job_id, kinds) in enumerate(kinds_by_job.items(), 1):
            self._apply_records(job_id, kinds)
            self.applied += 1
            self._applied_s = clock.elapsed_s()
            if number % JOBS_PER_SLICE == 0:
                await asyncio.sleep(0)
        if not self.loaded.is_set():
            self.loaded.set()
            took_s = clock.elapsed_s() - self._won_s
            self._sender.timing(
                metric_definitions.RECORDS_READ_MS, took_s * 1000
            )
            self._log.info(
                "records-read",
                took_s=round(took_s, 3),
                jobs=len(self._scheduling_state.workflows),
                revision=listing.revision,
            )

    def _on_changes(self, changes: model.Changes) -> None:
        for item in changes.items:
            split = records.split_key(item.key)
            if split is not None:
                self._apply_records(
                    split[0],
                    {split[1]: item},
                    max_age_s=self._watcher.max_change_age_s,
                )

    def _apply_records(
        self,
        job_id: str,
        kinds: dict[str, model.Item],
        *,
        max_age_s: float = math.inf,
    ) -> None:
        """Apply records of a job.

        :param max_age_s: bounds how long ago they were written.
        """
        spec = kinds.get(records.SPEC)
        if spec is not None and job_id not in self._scheduling_state.workflows:
            self._load_job(
                job_id, spec, kinds.get(records.PROGRESS), max_age_s
            )
        flow = self._scheduling_state.workflows.get(job_id)
        cancel = kinds.get(records.CANCEL)
        if cancel is not None and flow is not None and not flow.is_final:
            self._cancel(flow, cancel, max_age_s)

    def _cancel(
        self, flow: workflow.Workflow, item: model.Item, max_age_s: float
    ) -> None:
        """Cancel a job, whatever its record says of the time."""
        age_s = None
        try:
            cancelled_s = records.load_cancellation(item.value)
        except codec.UNDECODABLE as error:
            self._log.error(
                "cancellation-malformed",
                job_id=flow.job.job_id,
                why=str(error),
            )
            cancelled_s = None
        if cancelled_s is not None:
            age_s = _age_s(cancelled_s, max_age_s)
            self._sender.timing(metric_definitions.CANCEL_LAG_MS, age_s * 1000)
        self._decider.cancel(flow, age_s)

    def _load_job(
        self,
        job_id: str,
        spec: model.Item,
        progress: model.Item | None,
        max_age_s: float,
    ) -> None:
        try:
            job, age_s = _on_steady_clock(
                records.load_job(spec.value), max_age_s
            )
            flow = workflow.Workflow(job)
            if progress is not None:
                flow = records.load_progress(job, progress.value)
        except codec.UNDECODABLE as error:
            self._log.error("job-malformed", job_id=job_id, why=str(error))
            return
        if progress is not None:
            self._progress_writer.set_revision(job_id, progress.revision)
        self._scheduling_state.workflows[job_id] = flow
        if flow.is_final:
            self._scheduling_state.mark_ended(job_id)
            self._decider.stop_remaining(flow)
            return
        if progress is None:
            self._sender.timing(metric_definitions.INBOX_LAG_MS, age_s * 1000)
        self._log.info(
            "job-taken",
            job_id=job_id,
            state=flow.state,
            revision=spec.revision,
            steps=len(job.steps),
            tasks=sum(step.tasks for step in job.steps),
            accelerators=job.accelerators,
            age_s=round(age_s, 3),
        )
        self._crashes.restore(flow)
        self._decider.restore(flow)
        self._decider.submit_ready_parts(flow)


def _on_steady_clock(
    job: workflow.Job, max_age_s: float
) -> tuple[workflow.Job, float]:
    """Return a job with its acceptance on the local steady clock; its age.

    The acceptance was stamped by another VM, whose time of day may be
    ahead, behind or have jumped since.
    """
    age_s = _age_s(job.submitted_s, max_age_s)
    submitted_s = clock.steady_s() - age_s
    return dataclasses.replace(job, submitted_s=submitted_s), age_s


def _age_s(stamped_s: float, max_age_s: float) -> float:
    """Return how long ago another VM stamped a record with a Unix time."""
    return min(clock.steady_s() - clock.steady_at(stamped_s), max_age_s)
