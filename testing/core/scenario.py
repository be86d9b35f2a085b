"""A simulated data centre: an engine, and answers in place of workers."""

from __future__ import annotations

import dataclasses

from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import invariant
from knapweedwharf.core import model

DATA_CENTRE = "antigua"


class Site:
    """Drives one engine and checks its invariants after each event."""

    def __init__(self, *, policy: str = "guaranteed") -> None:
        self.engine = engine_module.Engine(
            data_centre=DATA_CENTRE, attempt_prefix="e1", policy=policy
        )
        self.now_s = 1000.0
        self.configuration = model.Configuration(revision=1)
        self.starts: dict[str, decision.StartGang] = {}
        self.stops: dict[str, decision.StopGang] = {}
        self.decisions: list[decision.Decision] = []

    def tell(self, happened: event.Event) -> list[decision.Decision]:
        """Pass one event to the engine; return the decisions."""
        taken = self.engine.handle(happened, now_s=self.now_s)
        found = invariant.violations(self.engine)
        assert not found, found
        assert invariant.wrong_stops(self.engine, taken) == []
        assert invariant.wrong_starts(self.engine, taken) == []
        self.decisions.extend(taken)
        for one in taken:
            if isinstance(one, decision.StartGang):
                self.starts[one.attempt_id] = one
            elif isinstance(one, decision.StopGang):
                self.stops[one.attempt_id] = one
        return taken

    def workers(
        self,
        count: int,
        *,
        accelerators: int = 8,
        per_rack: int = 6,
        cores: int = 32,
        memory_mib: int = 131072,
    ) -> None:
        """Declare racks in the configuration and seal their workers."""
        racks = {}
        specs = []
        for number in range(count):
            rack = f"r{number // per_rack}"
            racks[rack] = racks.get(rack, 0) + 1
            specs.append(
                model.WorkerSpec(
                    worker_id=f"{rack}-w{number % per_rack}",
                    rack=rack,
                    data_centre=DATA_CENTRE,
                    accelerators=accelerators,
                    cores=cores,
                    memory_mib=memory_mib,
                )
            )
        declared = {
            name: model.RackSpec(
                name, DATA_CENTRE, size, accelerators, cores, memory_mib
            )
            for name, size in racks.items()
        }
        self.configure(racks=declared)
        for spec in specs:
            self.tell(event.WorkerSealed(spec))
        self.engine.topology.complete = True

    def configure(self, **changes) -> list[decision.Decision]:
        """Apply a changed configuration."""
        self.configuration = dataclasses.replace(
            self.configuration,
            revision=self.configuration.revision + 1,
            **changes,
        )
        return self.tell(event.ConfigurationChanged(self.configuration))

    def guarantee(self, name: str, account: str, **fields) -> None:
        """Add a guarantee."""
        spec = model.GuaranteeSpec(name, account, DATA_CENTRE, **fields)
        known = self.configuration.guarantees
        self.configure(guarantees={**known, name: spec})

    def submit(self, job_id: str, account: str, **fields):
        """Submit a job; return its record."""
        job = model.JobSpec(
            **{
                "job_id": job_id,
                "account": account,
                "data_centre": DATA_CENTRE,
                "kind": "fit",
                "tasks": 1,
                "accelerators_per_task": 1,
                "cores_per_task": 1,
                "memory_mib_per_task": 1024,
                "submitted_s": self.now_s,
                **fields,
            }
        )
        self.tell(event.JobSubmitted(job))
        return self.engine.records[job_id]

    def confirm_starts(self) -> None:
        """Confirm every start that was ordered."""
        while self.starts:
            attempt_id = next(iter(self.starts))
            del self.starts[attempt_id]
            self.tell(event.GangStarted(attempt_id))

    def confirm_stops(self) -> None:
        """Confirm every stop that was ordered, with a checkpoint."""
        while self.stops:
            attempt_id = next(iter(self.stops))
            del self.stops[attempt_id]
            self.starts.pop(attempt_id, None)
            self.tell(event.GangStopped(attempt_id, True))

    def run(self, job_id: str, account: str, **fields):
        """Submit a job and confirm its start; return its record."""
        record = self.submit(job_id, account, **fields)
        self.confirm_starts()
        return record

    def end(self, record, *, succeeded: bool = True) -> None:
        """Report the end of every task of a job."""
        attempt_id = record.attempt_id
        for place in record.assignments:
            self.tell(
                event.TaskEnded(
                    attempt_id,
                    place.task_index,
                    place.worker_id,
                    succeeded,
                    "",
                )
            )

    def wait(self, seconds: float) -> None:
        """Advance the time and send one tick."""
        self.now_s += seconds
        self.tell(event.Tick())
