"""Whether a job can ever run, on declared and on present hardware."""

from __future__ import annotations

from knapweedwharf.core import amount
from knapweedwharf.core import model
from knapweedwharf.core import packing
from knapweedwharf.core import placement
from knapweedwharf.core import state as state_module

MAX_SHAPES = 4000

Shape = tuple[str, int, amount.Amount, str, int]


class Feasibility:
    """Caches the answer for each shape until the hardware changes."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._declared: list[model.WorkerSpec] = []
        self._on_declared: dict[Shape, bool] = {}
        self._on_present: dict[Shape, bool] = {}

    def configure(self) -> None:
        """Read the declared hardware from the configuration."""
        self._declared = packing.declared_workers(
            self._state.configuration, self._state.data_centre
        )
        self._on_declared.clear()

    def hardware_changed(self) -> None:
        """Drop cached answers about the present hardware."""
        self._on_present.clear()

    def why_never(self, job: model.JobSpec) -> str:
        """Return why a job can never run, or an empty string."""
        text = self._beyond_quota(job)
        if text:
            return text
        if self._fits_declared(job) or not self._state.topology.complete:
            return ""
        if self._fits_present(job):
            return ""
        return (
            "No hardware in this data centre can ever run this job. "
            "Ask for less."
        )

    def lacks_hardware(self, job: model.JobSpec) -> bool:
        """Tell whether the present hardware cannot run the job."""
        complete = self._state.topology.complete
        return complete and not self._fits_present(job)

    def _beyond_quota(self, job: model.JobSpec) -> str:
        account = self._state.configuration.accounts.get(job.account)
        quota = account.quota_accelerators if account else 0
        if not quota or job.accelerators <= quota:
            return ""
        for guarantee in self._state.configuration.guarantees.values():
            if (
                guarantee.account == job.account
                and guarantee.data_centre == self._state.data_centre
                and job.accelerators <= guarantee.accelerators
            ):
                return ""
        return (
            f"The job needs {job.accelerators} accelerators; the quota of "
            f"account {job.account} is {quota}. Ask for less or raise it."
        )

    def _fits_declared(self, job: model.JobSpec) -> bool:
        shape = _shape_of(job)
        if shape not in self._on_declared:
            if len(self._on_declared) >= MAX_SHAPES:
                self._on_declared.clear()
            self._on_declared[shape] = placement.could_ever_fit(
                self._declared, job
            )
        return self._on_declared[shape]

    def _fits_present(self, job: model.JobSpec) -> bool:
        shape = _shape_of(job)
        if shape not in self._on_present:
            if len(self._on_present) >= MAX_SHAPES:
                self._on_present.clear()
            workers = self._state.topology.workers.values()
            self._on_present[shape] = placement.could_ever_fit(
                (room.spec for room in workers), job
            )
        return self._on_present[shape]


def _shape_of(job: model.JobSpec) -> Shape:
    need = amount.of_task(job)
    return (job.within, job.tasks, need, job.label, job.max_per_worker)
