"""Describes the parts of jobs to the engines."""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import model as core_model
from knapweedwharf.core import part_spec
from knapweedwharf.core import workflow
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import model
from knapweedwharf.fleet import policy
from knapweedwharf.fleet import scheduling_state as scheduling_state_module
from knapweedwharf.fleet import start_delay as start_delay_module


class JobSpecs:
    """Builds the engine's jobs, with their priority against others.

    :param desired: this VM's copy of the operator's desired state.
    :param start_delay: estimates what delays starts.
    """

    def __init__(
        self,
        *,
        scheduling_state: scheduling_state_module.SchedulingState,
        desired,
        bounds: model.TimeLimits,
        start_delay: start_delay_module.StartDelay,
    ) -> None:
        self._scheduling_state = scheduling_state
        self._desired = desired
        self._bounds = bounds
        self._start_delay = start_delay

    def of_parts(
        self, flow: workflow.Workflow, parts: list[workflow.Part]
    ) -> abc.Iterator[tuple[workflow.Part, core_model.JobSpec]]:
        """Yield parts with their engine jobs; a step's parts rank alike."""
        priorities = {
            number: self._scheduling_priority(flow.job, number)
            for number in {part.step for part in parts}
        }
        for part in parts:
            priority = priorities[part.step]
            due_s = clock.steady_at(flow.job.due_s(part.occurrence))
            yield part, part_spec.of_part(
                flow, part, priority=priority, due_s=due_s
            )

    def _scheduling_priority(
        self, job: workflow.Job, number: int
    ) -> part_spec.SchedulingPriority:
        desired = self._desired.current
        account = desired.accounts.get(job.account) if desired else None
        step = job.steps[number]
        return policy.scheduling_priority(
            job,
            step,
            guaranteed=account.guaranteed_accelerators if account else 0,
            claimed=self._scheduling_state.requested_accelerators(job.account),
            bounds=self._bounds,
            start_delay_s=self._start_delay.estimate_s(job, step),
        )
