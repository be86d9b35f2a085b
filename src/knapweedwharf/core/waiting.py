"""The queue of waiting jobs, by class.

Jobs of a class request the same resources. If one of them cannot start,
the whole class is blocked until capacity that could fit it is freed, so
an event costs nothing for classes that it cannot help.
"""

from __future__ import annotations

import bisect
from collections import abc
import dataclasses
import heapq
import math

from knapweedwharf.core import amount
from knapweedwharf.core import constraint
from knapweedwharf.core import model

OrderKey = tuple[int, float, str]
"""(rank, time, job id); the smallest goes first."""

ClassKey = tuple[str, str, str, int, amount.Amount, int, constraint.Constraint]
"""(account, urgency, within, tasks, amount of a task, binary exponent of the
expected run time, constraint)"""


def class_of(job: model.JobSpec, run_s: float) -> ClassKey:
    """Return the class of a job that is expected to run ``run_s``."""
    return (
        job.account,
        job.urgency,
        job.within,
        job.tasks,
        amount.of_task(job),
        math.frexp(run_s)[1],
        constraint.of_job(job),
    )


@dataclasses.dataclass(slots=True)
class JobClass:
    """Waiting jobs that request the same resources.

    :ivar jobs: sort keys of the jobs, in order.
    :ivar blocked: why none of them could start, or None.
    """

    key: ClassKey
    jobs: list[OrderKey] = dataclasses.field(default_factory=list)
    blocked: model.Reason | None = None

    @property
    def need(self) -> amount.Amount:
        """Resources that one task requests."""
        return self.key[4]


class Waiting:
    """The waiting jobs of a data centre.

    :ivar changes: how often a class may have become ready or may have
        got another first job.
    """

    def __init__(self) -> None:
        self.changes = 0
        self._classes: dict[ClassKey, JobClass] = {}
        self._places: dict[str, tuple[ClassKey, OrderKey]] = {}
        self._ready: dict[ClassKey, None] = {}
        self._by_account: dict[str, dict[ClassKey, None]] = {}
        self._delayed: list[tuple[float, str]] = []
        self._delayed_keys: dict[str, tuple[ClassKey, OrderKey]] = {}

    def __len__(self) -> int:
        return len(self._places) + len(self._delayed_keys)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._places or job_id in self._delayed_keys

    def is_queued(self, job_id: str) -> bool:
        """Return whether a job waits and isn't delayed."""
        return job_id in self._places

    @property
    def class_count(self) -> int:
        """Number of classes with jobs that may start."""
        return len(self._classes)

    def add(self, class_key: ClassKey, order: OrderKey) -> JobClass:
        """Add a job; a blocked class stays blocked."""
        self.changes += 1
        job_class = self._classes.get(class_key)
        if job_class is None:
            job_class = JobClass(class_key)
            self._classes[class_key] = job_class
            self._by_account.setdefault(class_key[0], {})[class_key] = None
            self._ready[class_key] = None
        bisect.insort(job_class.jobs, order)
        self._places[order[2]] = (class_key, order)
        return job_class

    def add_delayed(
        self, class_key: ClassKey, order: OrderKey, *, at_s: float
    ) -> None:
        """Add a job that may not start before a time."""
        self._delayed_keys[order[2]] = (class_key, order)
        heapq.heappush(self._delayed, (at_s, order[2]))

    def queue_due(self, now_s: float) -> None:
        """Queue the delayed jobs whose time has come."""
        while self._delayed and self._delayed[0][0] <= now_s:
            _at_s, job_id = heapq.heappop(self._delayed)
            keys = self._delayed_keys.pop(job_id, None)
            if keys is not None:
                self.add(*keys)
                self.wake_class(keys[0])

    def reorder(self, job_id: str, order: OrderKey) -> None:
        """Change the sort key of a job in its class."""
        place = self._places.get(job_id)
        if place is None or place[1] == order:
            return
        class_key, before = place
        self.changes += 1
        jobs = self._classes[class_key].jobs
        del jobs[bisect.bisect_left(jobs, before)]
        bisect.insort(jobs, order)
        self._places[job_id] = (class_key, order)

    def discard(self, job_id: str) -> None:
        """Remove a job, if it waits."""
        self._delayed_keys.pop(job_id, None)
        place = self._places.pop(job_id, None)
        if place is None:
            return
        class_key, order = place
        jobs = self._classes[class_key].jobs
        del jobs[bisect.bisect_left(jobs, order)]
        if jobs:
            return
        del self._classes[class_key]
        self._ready.pop(class_key, None)
        classes = self._by_account[class_key[0]]
        del classes[class_key]
        if not classes:
            del self._by_account[class_key[0]]

    def block(self, job_id: str, reason: model.Reason) -> None:
        """Mark the class of a job as blocked."""
        class_key, _order = self._places[job_id]
        self._classes[class_key].blocked = reason
        self._ready.pop(class_key, None)

    def wake_class(self, class_key: ClassKey) -> None:
        """Let the scheduler try a class again."""
        if class_key in self._classes:
            self._wake([class_key])

    def wake_account(self, account: str) -> None:
        """Let the scheduler try all classes of an account again."""
        self._wake(self._by_account.get(account, ()))

    def wake_room(self, room: amount.Amount) -> None:
        """Let the scheduler try classes of which one task fits again."""
        self._wake(
            class_key
            for class_key, job_class in self._classes.items()
            if room.covers(job_class.need)
        )

    def wake_all(self) -> None:
        """Let the scheduler try every class again."""
        self._wake(self._classes)

    def _wake(self, class_keys: abc.Iterable[ClassKey]) -> None:
        for class_key in class_keys:
            if class_key not in self._ready:
                self._ready[class_key] = None
                self.changes += 1

    @property
    def has_ready(self) -> bool:
        """Whether the scheduler should try a class."""
        return bool(self._ready)

    def class_of(self, job_id: str) -> ClassKey:
        """Return the class of a queued job."""
        return self._places[job_id][0]

    def ready_heads(
        self, left_out: abc.Container[ClassKey] = ()
    ) -> abc.Iterator[str]:
        """Yield the first job of each ready class, in queue order.

        The caller must remove the job or block its class before the
        next one is yielded.

        :param left_out: classes to leave out.
        """
        heap = [
            (self._classes[class_key].jobs[0], class_key)
            for class_key in self._ready
            if class_key not in left_out
        ]
        heap.sort(key=lambda item: item[0])
        while heap:
            order, class_key = heap[0]
            job_class = self._classes.get(class_key)
            if job_class is None or class_key not in self._ready:
                heapq.heappop(heap)
            elif job_class.jobs[0] != order:
                heapq.heapreplace(heap, (job_class.jobs[0], class_key))
            else:
                yield order[2]

    def blocked_reason(self, job_id: str) -> model.Reason | None:
        """Return why a job's class could not start when tried last."""
        place = self._places.get(job_id)
        return self._classes[place[0]].blocked if place else None

    def first(self, count: int) -> list[str]:
        """Return the first job of each of the first ``count`` classes."""
        heads = (job_class.jobs[0] for job_class in self._classes.values())
        return [order[2] for order in heapq.nsmallest(count, heads)]

    def job_ids(self) -> list[str]:
        """Return every waiting job."""
        return [*self._places, *self._delayed_keys]

    def jobs_of(self, account: str) -> list[str]:
        """Return an account's waiting jobs."""
        classes = self._by_account.get(account, ())
        return [o[2] for key in classes for o in self._classes[key].jobs]

    def class_heads(self) -> abc.Iterator[tuple[JobClass, str]]:
        """Yield each class with its first job."""
        for job_class in self._classes.values():
            yield job_class, job_class.jobs[0][2]
