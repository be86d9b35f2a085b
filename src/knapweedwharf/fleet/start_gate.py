"""Whether a start may be sent, decided right before it is sent."""

from __future__ import annotations

from collections import abc

from knapweedwharf.fleet import attempt as attempt_module
from knapweedwharf.fleet import evacuations as evacuations_module
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import session as session_module
from knapweedwharf import log
from knapweedwharf import metrics


class StartGate:
    """Admits starts one by one.

    :param may_start: returns whether starts may be sent at all; waits
        while requests of callers or the operator may be unknown or the
        ownership is in doubt.
    :param evacuations: data centres in which nothing may be started.
    """

    def __init__(
        self,
        *,
        may_start: abc.Callable[[], abc.Awaitable[bool]],
        evacuations: evacuations_module.Evacuations,
        sender: metrics.Metrics,
    ) -> None:
        self._may_start = may_start
        self._evacuations = evacuations
        self._sender = sender
        self._log = log.get("orders")

    async def admits(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        session: session_module.Session,
    ) -> bool:
        """Return whether to send a member's start now.

        One that an evacuation forbids marks its attempt as withheld.
        """
        may_start = await self._may_start()
        if not may_start or member.phase != attempt_module.ORDERED:
            return False
        if attempt.must_stop or not session.takes_starts:
            return False
        if not self._has_label(attempt, member, session):
            return False
        data_centre = session.executor.data_centre
        if not self._evacuations.forbids(data_centre):
            return True
        attempt.is_withheld = True
        self._sender.count(metric_definitions.STARTS_WITHHELD)
        self._log.info(
            "start-withheld",
            job_id=attempt.job.job_id,
            task=member.task_id,
            run=attempt.run,
            executor=member.executor_id,
            data_centre=data_centre,
            was_sent=bool(member.sent_s),
        )
        return False

    def _has_label(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        session: session_module.Session,
    ) -> bool:
        """Return whether an executor still has the label of a start.

        It may have started again as another kind since the placement.
        """
        label = attempt.job.steps[attempt.part.step].label
        if not label or label in session.executor.labels:
            return True
        self._log.info(
            "start-label-missing",
            job_id=attempt.job.job_id,
            task=member.task_id,
            run=attempt.run,
            executor=member.executor_id,
            label=label,
        )
        return False
