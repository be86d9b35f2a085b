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
import math
import typing

from knapweedwharf.core import model

QUEUED = "queued"
ACTIVE = "active"
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"
FINAL_STATES = frozenset({COMPLETED, FAILED, CANCELLED})

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

    @property
    def most_tasks_of_part(self) -> int:
        """Tasks of the part that has the most; 1 unless there are gangs."""
        return max((s.tasks for s in self.steps if s.is_gang), default=1)

    @functools.cached_property
    def total_tasks(self) -> int:
        """Number of its tasks in all occurrences."""
        return self.occurrences * sum(step.tasks for step in self.steps)

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

    Parts that wait differ in their number only, so they are created when
    they are released. The end of a part costs the same however many parts
    the job has.

    :ivar parts: parts that were released to run, by id.
    :ivar open_parts: number of released parts that are not done.
    :ivar open_tasks: number of their tasks.
    :ivar has_started: whether any task was ever started.
    """

    def __init__(self, job: Job) -> None:
        self.job = job
        self.parts: dict[str, Part] = {}
        self.has_started = False
        self.cancelled = False
        self.failed = False
        self.completed = False
        self.open_parts = 0
        self.open_tasks = 0
        self._undone: dict[tuple[int, int], set[str]] = {}
        """Released parts that are not done, by occurrence and step."""
        self._next_index: dict[tuple[int, int], int] = {}
        """Steps that are ready, and their first part that isn't released."""
        self._undone_steps = job.occurrences * len(job.steps)
        self._due_occurrences = 0
        self._unreleased: dict[tuple[int, int], None] = {}
        """Steps of due occurrences that still wait for earlier steps."""
        self._former: dict[tuple[int, int], list[Part]] | None = None

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

    @property
    def has_unreleased_parts(self) -> bool:
        """Whether parts that may start now are not released yet."""
        return bool(self._next_index) and not self.is_final

    def release_ready_parts(
        self, now_s: float, most_tasks: float = math.inf
    ) -> list[Part]:
        """Release the parts that may start now; return the new ones.

        The job is completed if it has released all steps and each part
        had been done before.

        :param most_tasks: how many tasks to release at most; the last part
            may exceed it. What an earlier owner has begun doesn't count.
        """
        if self.is_final:
            return []
        self._note_due(now_s)
        begun: list[Part] = []
        opened: list[Part] = []
        for key in self._ready_steps(begun):
            for part in self._open(key, most_tasks):
                opened.append(part)
                most_tasks -= part.tasks
        opened.extend(begun)
        # A former owner whose clock was ahead may have run the last parts.
        self.completed = bool(self.job.steps) and not self._undone_steps
        return opened

    def _note_due(self, now_s: float) -> None:
        """Note the steps of the occurrences that are due."""
        while (
            self._due_occurrences < self.job.occurrences
            and self.job.due_s(self._due_occurrences) <= now_s
        ):
            for number in range(len(self.job.steps)):
                self._unreleased[self._due_occurrences, number] = None
            self._due_occurrences += 1

    def _ready_steps(self, begun: list[Part]) -> abc.Iterator[tuple[int, int]]:
        """Yield the steps with parts to release, those before first.

        :param begun: the parts that an earlier owner has begun are added.
        """
        yield from list(self._next_index)
        for occurrence, number in list(self._unreleased):
            after = self.job.steps[number].after
            if all(self._step_done(occurrence, n) for n in after):
                key = (occurrence, number)
                del self._unreleased[key]
                begun.extend(self._begin_step(key))
                yield key

    def _begin_step(self, key: tuple[int, int]) -> abc.Iterator[Part]:
        """Make a step ready; yield what an earlier owner began of it."""
        self._undone[key] = set()
        self._next_index[key] = 0
        for part in self._begun_before().pop(key, ()):
            if not part.done:
                self._mark_open(part)
                yield part

    def _begun_before(self) -> dict[tuple[int, int], list[Part]]:
        """Return the parts that were there at first, by step."""
        if self._former is None:
            self._former = {}
            for part in self.parts.values():
                key = (part.occurrence, part.step)
                self._former.setdefault(key, []).append(part)
        return self._former

    def _mark_open(self, part: Part) -> None:
        self._undone[part.occurrence, part.step].add(part.part_id)
        self.open_parts += 1
        self.open_tasks += part.tasks

    def _open(
        self, key: tuple[int, int], most_tasks: float
    ) -> abc.Iterator[Part]:
        """Release parts of a step that is ready."""
        occurrence, number = key
        count = part_count(self.job.steps[number])
        while self._next_index[key] < count and most_tasks > 0:
            part = part_at(self.job, occurrence, number, self._next_index[key])
            self._next_index[key] += 1
            part = self.parts.setdefault(part.part_id, part)
            if not part.done and part.part_id not in self._undone[key]:
                self._mark_open(part)
                most_tasks -= part.tasks
                yield part
        if self._next_index[key] >= count:
            del self._next_index[key]
            if not self._undone[key]:
                self._undone_steps -= 1

    def _step_done(self, occurrence: int, number: int) -> bool:
        key = (occurrence, number)
        undone = self._undone.get(key)
        return (
            undone is not None and not undone and key not in self._next_index
        )

    def mark_part_done(self, part: Part) -> None:
        """Mark a part as done; the last one completes the job."""
        part.done = True
        part.placements = ()
        key = (part.occurrence, part.step)
        undone = self._undone.get(key)
        if undone and part.part_id in undone:
            undone.remove(part.part_id)
            self.open_parts -= 1
            self.open_tasks -= part.tasks
            if not undone and key not in self._next_index:
                self._undone_steps -= 1
        self.completed = not self.cancelled and not self._undone_steps

    def shrink(self) -> None:
        """Keep only what later calls need of a job that is over."""
        self.job = dataclasses.replace(self.job, specification="", steps=())
        self.parts = {}
        self._undone = {}
        self._next_index = {}
        self._unreleased = {}
        self._former = None

    def next_run(self, part: Part, ordinal: int) -> int:
        """Return an unused run number for the next start of a part.

        :param ordinal: number of the owner, from 1. A later owner's run
            numbers are above all that an earlier one may have used.
        """
        part.run = max(part.run, (ordinal - 1) * RUN_NUMBERS_PER_OWNER) + 1
        return part.run


def part_count(step: Step) -> int:
    """Return the number of a step's parts."""
    return 1 if step.is_gang else step.tasks


def part_at(job: Job, occurrence: int, number: int, index: int) -> Part:
    """Return one part of a step."""
    step = job.steps[number]
    name = f"{job.job_id}.{occurrence}.{number}"
    if step.is_gang:
        return Part(name, occurrence, number, 0, step.tasks)
    return Part(f"{name}.{index}", occurrence, number, index, 1)


def parts_of_step(job: Job, occurrence: int, number: int) -> list[Part]:
    """Return the parts of a step: one gang, or one part for each task."""
    return [
        part_at(job, occurrence, number, index)
        for index in range(part_count(job.steps[number]))
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
