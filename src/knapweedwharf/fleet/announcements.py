"""Which executors the engines may use, and what they were told of them."""

from __future__ import annotations

from knapweedwharf.core import event
from knapweedwharf.fleet import evacuations as evacuations_module
from knapweedwharf.fleet import model
from knapweedwharf.fleet import session as session_module
from knapweedwharf.fleet import warming as warming_module
from knapweedwharf.fleet import worker_spec


class Announcements:
    """Announces executors that may get work to the engines.

    :param evacuations: data centres whose executors get none.
    """

    def __init__(self, evacuations: evacuations_module.Evacuations) -> None:
        self._evacuations = evacuations
        self._warming = warming_module.Warming()
        self._announced: dict[str, model.Executor] = {}
        self._retired: set[str] = set()

    def usable(self, service: str) -> list[model.Executor]:
        """Return a service's executors that may get work now."""
        return [e for e in self._announced.values() if e.service == service]

    def covers(self, executor_id: str) -> bool:
        """Return whether an executor may get work now."""
        return executor_id in self._announced

    def is_evacuated(self, executor: model.Executor) -> bool:
        """Return whether an executor's data centre is evacuated."""
        return self._evacuations.forbids(executor.data_centre)

    def note_entry(self, executor: model.Executor) -> None:
        """Note an executor's entry, which was just read."""
        self._warming.note(executor)

    def withdraw(self, executor_id: str) -> None:
        """Note that an executor gets no work until it is announced again."""
        self._announced.pop(executor_id, None)

    def forget(self, executor_id: str) -> None:
        """Forget an incarnation of an executor that has ended."""
        self.withdraw(executor_id)
        self._warming.forget(executor_id)

    def retire(self, executor_id: str) -> None:
        """Announce an executor only once it is reinstated or restarts."""
        self._retired.add(executor_id)
        self.withdraw(executor_id)

    def reinstate(self, executor_id: str) -> None:
        """Let a retired executor be announced again."""
        self._retired.discard(executor_id)

    def is_retired(self, executor_id: str) -> bool:
        """Return whether an executor is retired."""
        return executor_id in self._retired

    def announce(
        self, session: session_module.Session, tell: event.EventSink
    ) -> bool:
        """Tell the engine of an executor that answers and may get work.

        :returns: whether the engine was told anything new.
        """
        executor = session.executor
        if not self._may_get_work(session):
            return False
        known = self._announced.get(executor.executor_id)
        is_new = known != executor or session.needs_announcement
        if is_new:
            session.needs_announcement = False
            self._announced[executor.executor_id] = executor
            sealed = event.WorkerSealed(worker_spec.of(executor))
            tell(executor.service, sealed)
        self._warming.tell(executor, tell)
        return is_new

    def _may_get_work(self, session: session_module.Session) -> bool:
        return (
            session.listed
            and session.executor.state == model.READY
            and session.executor_id not in self._retired
            and not self.is_evacuated(session.executor)
        )
