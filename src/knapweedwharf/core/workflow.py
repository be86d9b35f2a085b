"""Jobs of several steps, split into the parts that the engine places.

The tasks of a part start and end together: a part is a whole step if
the step is a gang, else a single task. The engine handles each part as
a job of its own; a workflow tracks which parts may start and whether the
job is complete.
"""

from __future__ import annotations

from collections import abc
import dataclasses
import functools
import typing

from knapweedwharf.core import model

QUEUED = "queued"
ACTIVE = "active"
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"
FINAL_STATES = frozenset({COMPLETED, FAILED, CANCELLED})

UNLIMITED_ATTEMPTS = 1_000_000_000
"""``max_attempts`` of steps without an end, which restart indefinitely."""

RUN_NUMBERS_PER_OWNER = 1000
"""Run numbers of a part that are set aside for each owner's epoch."""


class Step(typing.NamedTuple):
    """One step of a job: ``tasks`` equal tasks.

    :ivar after: numbers of earlier steps that must be done first.
    :ivar is_gang: all tasks run together or none does.
    :ivar wants_one_rack: it runs much slower when spread over racks.
    :ivar label: only executors with this label run it.
    :ivar data_rack: rack of its data; it runs much slower in others.
    :ivar max_per_executor: most tasks on one executor; 0 sets no limit.
    :ivar is_lasting: runs until cancelled; restarted when it ends.
    :ivar fills_spare: best-effort work, which uses the cores that
        others leave and requests none.
    """

    tasks: int
    cores_milli: int
    memory_mib: int
    accelerators: int
    expected_run_s: float
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    is_gang: bool = False
    wants_one_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_executor: int = 0
    is_speculative: bool = False
    is_lasting: bool = False
    allowed_misses: int = 0
    image: str = ""
    tail_target_ms: int = 0
    fills_spare: bool = False


@dataclasses.dataclass(frozen=True)
class Job:
    """A submitted job.

    :ivar submitted_s: when it was accepted: in its record the Unix time
        by the clock of the VM that accepted it, in an owner's memory on
        the clock of the engine.
    :ivar repetitions: 0 for a job that runs once.
    :ivar first_run_s: Unix time at which repetition 0 is due.
    :ivar slowdown: multiple of its declared run time within which it
        should complete; 0 for no objective.
    :ivar target_s: fixed time that is added to the objective.
    :ivar is_advised: an external advisor decides which executors may
        run its steps.
    """

    job_id: str
    route: str
    service: str
    account: str
    specification: str
    steps: tuple[Step, ...]
    submitted_s: float
    priority: int = 1
    max_attempts: int = 1
    repetitions: int = 0
    first_run_s: float = 0.0
    interval_s: float = 0.0
    is_advised: bool = False
    slowdown: float = 0.0
    target_s: float = 0.0

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.repetitions)

    @property
    def is_timed(self) -> bool:
        """Whether occurrences start at scheduled times."""
        return self.repetitions > 0

    @property
    def accelerators(self) -> int:
        """Accelerators of the step that needs the most."""
        return max(s.tasks * s.accelerators for s in self.steps)

    def chain_s(self, number: int) -> float:
        """Return the expected time of the longest chain from a step on."""
        return self._chains_s[number]

    @functools.cached_property
    def _chains_s(self) -> list[float]:
        """The same for each step; a step only follows earlier ones."""
        later_s = [0.0] * len(self.steps)
        chains_s = [0.0] * len(self.steps)
        for number in reversed(range(len(self.steps))):
            step = self.steps[number]
            chains_s[number] = step.expected_run_s + later_s[number]
            for earlier in step.after:
                later_s[earlier] = max(later_s[earlier], chains_s[number])
        return chains_s

    @property
    def objective_s(self) -> float:
        """Target time from submission to completion; 0 for none."""
        if not self.slowdown:
            return 0.0
        return self.slowdown * self.declared_s + self.target_s

    @property
    def declared_s(self) -> float:
        """Declared run time of the longest chain of steps."""
        return max(self._chains_s)

    def due_s(self, occurrence: int) -> float:
        """Return the Unix time at which an occurrence is due."""
        if not self.is_timed:
            return 0.0
        return self.first_run_s + occurrence * self.interval_s


@dataclasses.dataclass(frozen=True)
class SchedulingPriority:
    """Priority of a job against others; see ``model.JobSpec``."""

    urgency: str = model.NORMAL
    handicap_s: float = 0.0
    precedence: int = 0
    start_within_s: float = 0.0


CRASHES_OF_SUSPECT = 2
"""One executor may crash under a task that is at work, by chance."""


class Crash(typing.NamedTuple):
    """The crash of an executor under a task of a part.

    :ivar index: the task's index in the part.
    :ivar at_start: no report had shown the run at work.
    """

    index: int
    executor_id: str
    incarnation_ms: int
    run: int
    at_start: bool

    def is_same(self, other: Crash) -> bool:
        """Return whether this is the same crash, perhaps seen twice."""
        return (self.index, self.executor_id, self.run) == (
            other.index,
            other.executor_id,
            other.run,
        )


@dataclasses.dataclass(slots=True)
class Part:
    """Tasks of a step that start together, and their state.

    :ivar part_id: its id as a job of the engine.
    :ivar first_index: number of its first task in the step.
    :ivar run: highest run number used; the tasks of one attempt share
        a run number.
    :ivar failures: runs that ended ``failed``.
    :ivar failed_run: newest run that ``failures`` counts.
    :ivar checkpoint: newest saved progress.
    :ivar placements: where the current attempt runs or may run.
    :ivar incarnations: of the executors in ``placements``, by their id.
    :ivar placed_s: Unix time of that attempt's placement.
    :ivar crashes: executors that crashed under it, a few for each task.
    """

    part_id: str
    occurrence: int
    step: int
    first_index: int
    tasks: int
    done: bool = False
    failures: int = 0
    failed_run: int = 0
    run: int = 0
    checkpoint: str = ""
    placements: tuple[model.Assignment, ...] = ()
    placed_s: float = 0.0
    incarnations: dict[str, int] = dataclasses.field(default_factory=dict)
    crashes: tuple[Crash, ...] = ()

    @property
    def is_suspect(self) -> bool:
        """Whether executors seem to crash because of it."""
        tasks = [crash.index for crash in self.crashes]
        return any(crash.at_start for crash in self.crashes) or any(
            tasks.count(index) >= CRASHES_OF_SUSPECT for index in tasks
        )

    def step_id(self, job_id: str) -> str:
        """Return the id of its step in its occurrence."""
        return f"{job_id}.{self.occurrence}.{self.step}"

    def task_id(self, job_id: str, index: int) -> str:
        """Return the id of a task by its index in the part."""
        number = self.first_index + index
        return f"{job_id}.{self.occurrence}.{self.step}.{number}"


class Workflow:
    """Progress of one job.

    :ivar parts: parts that were released to run, by id.
    :ivar has_started: whether any task was ever started.

    The end of a part costs the same however many parts the job has.
    """

    def __init__(self, job: Job) -> None:
        self.job = job
        self.parts: dict[str, Part] = {}
        self.has_started = False
        self.cancelled = False
        self.failed = False
        self.completed = False
        self._undone: dict[tuple[int, int], set[str]] = {}
        """Parts that are not done, by released occurrence and step."""
        self._undone_steps = job.occurrences * len(job.steps)
        self._due_occurrences = 0
        self._unreleased: dict[tuple[int, int], None] = {}
        """Steps of due occurrences that still wait for earlier steps."""

    @property
    def state(self) -> str:
        """The state as shown to callers."""
        if self.completed:
            return COMPLETED
        if self.failed:
            return FAILED
        if self.cancelled:
            return CANCELLED
        return ACTIVE if self.has_started else QUEUED

    @property
    def is_final(self) -> bool:
        """Whether no further part may start."""
        return self.state in FINAL_STATES

    def release_ready_parts(self, now_s: float) -> list[Part]:
        """Release the parts that may start now; return the new ones.

        The job is completed if it has released all steps and each part
        had been done before.
        """
        if self.is_final:
            return []
        opened: list[Part] = []
        while (
            self._due_occurrences < self.job.occurrences
            and self.job.due_s(self._due_occurrences) <= now_s
        ):
            for number in range(len(self.job.steps)):
                self._unreleased[self._due_occurrences, number] = None
            self._due_occurrences += 1
        for occurrence, number in list(self._unreleased):
            after = self.job.steps[number].after
            if all(self._step_done(occurrence, n) for n in after):
                del self._unreleased[occurrence, number]
                opened.extend(self._open(occurrence, number))
        # A former owner whose clock was ahead may have run the last parts.
        self.completed = bool(self.job.steps) and not self._undone_steps
        return opened

    def _open(self, occurrence: int, number: int) -> abc.Iterator[Part]:
        undone = self._undone[occurrence, number] = set()
        for part in parts_of_step(self.job, occurrence, number):
            part = self.parts.setdefault(part.part_id, part)
            if not part.done:
                undone.add(part.part_id)
                yield part
        if not undone:
            self._undone_steps -= 1

    def _step_done(self, occurrence: int, number: int) -> bool:
        undone = self._undone.get((occurrence, number))
        return undone is not None and not undone

    def mark_part_done(self, part: Part) -> None:
        """Mark a part as done; the last one completes the job."""
        part.done = True
        part.placements = ()
        undone = self._undone.get((part.occurrence, part.step))
        if undone and part.part_id in undone:
            undone.remove(part.part_id)
            if not undone:
                self._undone_steps -= 1
        self.completed = not self.cancelled and not self._undone_steps

    def next_run(self, part: Part, ordinal: int) -> int:
        """Return an unused run number for the next start of a part.

        :param ordinal: number of the owner, from 1. A later owner's run
            numbers are above all that an earlier one may have used.
        """
        part.run = max(part.run, (ordinal - 1) * RUN_NUMBERS_PER_OWNER) + 1
        return part.run


def parts_of_step(job: Job, occurrence: int, number: int) -> list[Part]:
    """Return the parts of a step: one gang, or one part for each task."""
    step = job.steps[number]
    name = f"{job.job_id}.{occurrence}.{number}"
    if step.is_gang:
        return [Part(name, occurrence, number, 0, step.tasks)]
    return [
        Part(f"{name}.{index}", occurrence, number, index, 1)
        for index in range(step.tasks)
    ]


def job_id_of(part_or_task_id: str) -> str:
    """Return the job that a part or task belongs to."""
    return part_or_task_id.split(".", 1)[0]


def part_id_of(job: Job, task_id: str) -> str | None:
    """Return the part of a task; None if the id has another format."""
    fields = task_id.split(".")
    if len(fields) != 4 or not all(f.isdecimal() for f in fields[1:]):
        return None
    number = int(fields[2])
    if number >= len(job.steps):
        return None
    if job.steps[number].is_gang:
        return ".".join(fields[:3])
    return task_id


def _neighbours(step: Step) -> str:
    if step.fills_spare:
        return model.BEST_EFFORT
    return model.LATENCY_SENSITIVE if step.tail_target_ms else ""


def _max_attempts(job: Job, step: Step) -> int:
    return UNLIMITED_ATTEMPTS if step.is_lasting else job.max_attempts


def spec_of(
    workflow: Workflow,
    part: Part,
    *,
    priority: SchedulingPriority,
    due_s: float = 0.0,
) -> model.JobSpec:
    """Return a part as a job of the engine.

    Cores are in thousandths, as are those of the fleet's workers.

    :param priority: its priority against other work.
    :param due_s: when its occurrence was due, on the engine's clock.
    """
    job, step = workflow.job, workflow.job.steps[part.step]
    return model.JobSpec(
        job_id=part.part_id,
        account=job.account,
        data_centre=job.service,
        kind=f"{job.route}/{part.step}",
        tasks=part.tasks,
        accelerators_per_task=step.accelerators,
        cores_per_task=0 if step.fills_spare else step.cores_milli,
        memory_mib_per_task=step.memory_mib,
        urgency=priority.urgency,
        declared_run_s=max(step.expected_run_s, 0.1),
        submitted_s=max(job.submitted_s, due_s),
        max_attempts=_max_attempts(job, step),
        handicap_s=priority.handicap_s,
        label=step.label,
        data_rack=step.data_rack,
        prefers_rack=step.wants_one_rack,
        spread_group=part.step_id(job.job_id),
        max_per_worker=step.max_per_executor,
        start_within_s=priority.start_within_s,
        precedence=priority.precedence,
        saves_progress=step.saves_progress,
        neighbours=_neighbours(step),
        is_lasting=step.is_lasting,
        approval=part.step_id(job.job_id) if job.is_advised else "",
        objective_s=0.0 if step.is_lasting else job.objective_s,
        slowdown=job.slowdown,
        after_s=job.chain_s(part.step) - step.expected_run_s,
        is_suspect=part.is_suspect,
    )
