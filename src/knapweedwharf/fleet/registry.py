"""Follows the executors' entries and keeps a session with each."""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import math

from knapweedwharf.core import amount
from knapweedwharf.core import event
from knapweedwharf.fleet import announcements as announcements_module
from knapweedwharf.fleet import answer_times as answer_times_module
from knapweedwharf.fleet import awaited_executors
from knapweedwharf.fleet import clients as clients_module
from knapweedwharf.fleet import departures as departures_module
from knapweedwharf.fleet import election as election_module
from knapweedwharf.fleet import evacuations as evacuations_module
from knapweedwharf.fleet import executor_loss
from knapweedwharf.fleet import model
from knapweedwharf.fleet import session as session_module
from knapweedwharf.fleet import watcher as watcher_module
from knapweedwharf import log

WATCH_WAIT_S = 1.0
"""Half of the time within which starts on a draining executor must cease."""


class Registry:
    """Follows the executors' entries and keeps a session with each.

    :param evacuations: data centres whose executors get no work.
    :param hooks: callbacks for the sessions' events.
    :param used_on: returns what attempts take on an executor.
    :param changed: called when an executor that answers may get work anew
        or has another capacity.
    :param reborn: called when an executor's incarnation has ended and
        another has followed, with how the first was lost. Runs on the
        second may have been ordered from the first.
    :ivar sessions: by executor id.
    :ivar awaited: executors that a former owner used, until they are seen.
    :ivar answer_times: how long the executors take to answer.
    :ivar departures: which executors have left in order.
    """

    def __init__(
        self,
        *,
        process_config: model.ProcessConfig,
        clients: clients_module.PlatformClients,
        ownership: election_module.Ownership,
        evacuations: evacuations_module.Evacuations,
        hooks: session_module.Hooks,
        used_on: abc.Callable[[model.Executor], amount.Amount],
        changed: abc.Callable[[session_module.Session], None],
        reborn: abc.Callable[[session_module.Session, str], None],
    ) -> None:
        self._process_config = process_config
        self._client = clients.executors
        self._store_schema = clients.store_schema
        self._epoch = ownership.epoch
        self._hooks = dataclasses.replace(hooks, gone=self._session_gone)
        self._on_gone = hooks.gone
        self._used_on = used_on
        self._on_changed = changed
        self._on_reborn = reborn
        self._log = log.get("registry")
        self._announcements = announcements_module.Announcements(evacuations)
        self.awaited = awaited_executors.AwaitedExecutors(
            process_config.bounds
        )
        self._malformed: dict[str, int] = {}
        """Revision of each entry that could not be decoded."""
        self._by_machine: dict[str, str] = {}
        self._tasks: set[asyncio.Task] = set()
        self.sessions: dict[str, session_module.Session] = {}
        self.answer_times = answer_times_module.AnswerTimes()
        self._watcher = watcher_module.Watcher(
            clients.store,
            clients.store_schema.executor_prefix,
            wait_s=WATCH_WAIT_S,
            on_listing=self._on_listing,
            on_changes=self._on_changes,
        )
        self.departures = departures_module.Departures(
            store=clients.store,
            store_schema=clients.store_schema,
            ownership=ownership,
            watcher=self._watcher,
        )

    async def start(self) -> None:
        """Start following the entries."""
        await self._watcher.start()
        await self.departures.start()

    async def close(self) -> None:
        """End every session."""
        await self._watcher.close()
        await self.departures.close()
        sessions = list(self.sessions.values())
        await asyncio.gather(*(session.close() for session in sessions))
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # Entries

    async def _on_listing(self, listing: model.Listing) -> None:
        await self.departures.catch_up(listing)
        for item in listing.items:
            self._apply_item(item)
        present = {self._id_of(item.key) for item in listing.items}
        for executor_id in {*self.sessions, *self._malformed} - present:
            self._remove(executor_id)

    def _on_changes(self, changes: model.Changes) -> None:
        for change in changes.events:
            if isinstance(change, model.Item):
                self._apply_item(change)
            else:
                self._remove(self._id_of(change.key))

    def _id_of(self, key: str) -> str:
        return key[len(self._store_schema.executor_prefix) :]

    def _apply_item(self, item: model.Item) -> None:
        executor_id = self._id_of(item.key)
        try:
            executor = self._store_schema.decode_executor(
                executor_id, item.value
            )
        except ValueError as error:
            self._take_malformed(executor_id, item.revision, str(error))
            return
        self._malformed.pop(executor_id, None)
        self.departures.note_entry(executor)
        self._apply_entry(executor, item.revision)

    def _take_malformed(
        self, executor_id: str, revision: int, why: str
    ) -> None:
        """Give an executor no new work; it hasn't left.

        Its runs keep their lease, as the entry of another writer says
        nothing of the executor at the known address.
        """
        if self._malformed.get(executor_id) == revision:
            return
        self._log.warning(
            "executor-entry-malformed",
            executor=executor_id,
            revision=revision,
            why=why,
        )
        self._malformed[executor_id] = revision
        session = self.sessions.get(executor_id)
        if session is not None:
            self._unlist(session)

    def _apply_entry(self, executor: model.Executor, revision: int) -> None:
        executor_id = executor.executor_id
        session = self.sessions.get(executor_id)
        if (
            session is not None
            and executor.incarnation_ms in session.former.began_ms
        ):
            self._log.info(
                "executor-entry-outdated",
                executor=executor_id,
                revision=revision,
                incarnation_ms=executor.incarnation_ms,
                current_ms=session.executor.incarnation_ms,
            )
            return
        self.awaited.discard(executor_id)
        former = ""
        if executor.machine_id:
            former = self._by_machine.get(executor.machine_id, "")
            self._by_machine[executor.machine_id] = executor_id
        if session is None:
            self._open_session(executor, revision, former=former)
            return
        if not executor.incarnation_ms:
            # Another writer may have left the field out.
            executor = dataclasses.replace(
                executor, incarnation_ms=session.executor.incarnation_ms
            )
        if _has_restarted(session.executor, executor):
            self._follow(session, executor, revision, seen_in="entry")
        else:
            self._update(session, executor, revision)

    def _update(
        self,
        session: session_module.Session,
        executor: model.Executor,
        revision: int,
    ) -> None:
        """Apply a newer entry of the same incarnation."""
        executor_id = executor.executor_id
        was_listed = session.listed
        was_ready = session.executor.state == model.READY
        before = session.executor.capacity
        is_ready = executor.state == model.READY
        session.executor = executor
        session.listed = True
        self._announcements.note_entry(executor)
        if executor.capacity != before:
            self._log_resized(executor, before, revision)
            if self._announcements.covers(executor_id) and is_ready:
                self._on_changed(session)
        if not was_listed and session.sealed and not session.is_silent:
            self._on_changed(session)
        if was_ready and executor.is_draining:
            self._log.info(
                "executor-draining",
                executor=executor_id,
                revision=revision,
                remaining_s=executor.remaining_s,
            )
            self._cordon(session)
            self._report_leaving(session)

    def _log_resized(
        self, executor: model.Executor, before: amount.Amount, revision: int
    ) -> None:
        age_s = self._watcher.max_change_age_s
        self._log.info(
            "executor-resized",
            executor=executor.executor_id,
            revision=revision,
            before=dataclasses.asdict(before),
            after=dataclasses.asdict(executor.capacity),
            used=dataclasses.asdict(self._used_on(executor)),
            age_s=round(age_s, 3) if age_s < math.inf else None,
        )

    def _session_reborn(
        self, session: session_module.Session, incarnation_ms: int
    ) -> None:
        """Follow an incarnation that has answered before its entry is seen.

        Its capacity and labels aren't known, so it gets no work yet.
        """
        if self.sessions.get(session.executor_id) is not session:
            return
        executor = dataclasses.replace(
            session.executor,
            incarnation_ms=incarnation_ms,
            state=model.READY,
            remaining_s=0.0,
        )
        self._follow(session, executor, 0, seen_in="answer")
        self.sessions[session.executor_id].listed = False

    def _follow(
        self,
        session: session_module.Session,
        executor: model.Executor,
        revision: int,
        *,
        seen_in: str,
    ) -> None:
        """Replace the session with an incarnation by one with the next."""
        self._log.warning(
            "executor-reborn",
            executor=executor.executor_id,
            seen_in=seen_in,
            former_ms=session.executor.incarnation_ms,
            incarnation_ms=executor.incarnation_ms,
        )
        how = self._how_lost(session, executor_loss.REBORN)
        self._close_session(session)
        self._on_reborn(session, how)
        self._open_session(
            executor,
            revision,
            incarnations=session.former.followed(
                session.executor, executor, how
            ),
        )

    def _close_session(self, session: session_module.Session) -> None:
        self._drop_session(session)
        self._spawn(session.close())

    def _drop_session(self, session: session_module.Session) -> None:
        session.is_dropped = True
        del self.sessions[session.executor_id]
        self._announcements.forget(session.executor_id)
        self.answer_times.forget(session.executor_id)

    def _open_session(
        self,
        executor: model.Executor,
        revision: int,
        *,
        former: str = "",
        incarnations: session_module.FormerIncarnations | None = None,
    ) -> None:
        """Open a session.

        :param revision: that of the executor's entry; 0 if it wasn't just
            read.
        :param former: the executor that its machine was before, if known.
        :param incarnations: the executor's incarnations before this one.
        """
        session = session_module.Session(
            executor=executor,
            former=incarnations or session_module.FormerIncarnations(),
            client=self._client,
            epoch=self._epoch,
            bounds=self._process_config.bounds,
            hooks=self._hooks,
            answer_times=self.answer_times,
            reborn=self._session_reborn,
        )
        self.sessions[executor.executor_id] = session
        self._announcements.reinstate(executor.executor_id)
        if revision:
            self._announcements.note_entry(executor)
        self._log.info(
            "executor-seen",
            executor=executor.executor_id,
            revision=revision,
            state=executor.state,
            rack=executor.rack,
            incarnation_ms=executor.incarnation_ms,
            former=former,
        )
        self._spawn(session.start())

    def _spawn(self, work: abc.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _remove(self, executor_id: str) -> None:
        self._malformed.pop(executor_id, None)
        session = self.sessions.get(executor_id)
        if session is not None:
            self._unlist(session)

    def _unlist(self, session: session_module.Session) -> None:
        if not session.listed:
            return
        session.listed = False
        self._log.info("executor-unlisted", executor=session.executor_id)
        self._cordon(session)

    def _cordon(self, session: session_module.Session) -> None:
        self._announcements.withdraw(session.executor_id)
        self._hooks.cordoned(session)

    def cordon_announced(self, session: session_module.Session) -> None:
        """Keep new work off an executor, unless it gets none anyway."""
        if self._announcements.covers(session.executor_id):
            self._cordon(session)

    def session_of_machine(
        self, machine_id: str
    ) -> session_module.Session | None:
        """Return the session with a machine's current executor."""
        executor_id = self._by_machine.get(machine_id, "")
        session = self.sessions.get(executor_id)
        return session if session is not None and session.listed else None

    def retire(self, session: session_module.Session) -> None:
        """Keep new work off an executor until it is reinstated or restarts."""
        self._announcements.retire(session.executor_id)
        self.departures.note_retired(session.executor)

    def reinstate(self, session: session_module.Session) -> None:
        """Let a retired executor get work again after its next report."""
        self._announcements.reinstate(session.executor_id)
        self.departures.withdraw(session.executor)

    def _report_leaving(self, session: session_module.Session) -> None:
        """Move work off a draining executor once it is sealed."""
        if session.sealed and not session.leaving_reported:
            session.leaving_reported = True
            self._hooks.leaving(session)

    def tick(self) -> None:
        """Discard drained executors that have left with nothing to run.

        Others whose entry vanished are kept until their lease ends, as
        the entry also lapses while an executor is cut off or the store
        is down.
        """
        for session in list(self.sessions.values()):
            is_busy = self._hooks.is_busy(session.executor_id)
            if session.seems_to_have_left and not is_busy:
                self._close_session(session)
                self._on_gone(session, executor_loss.LEFT)

    def _how_lost(self, session: session_module.Session, how: str) -> str:
        """Return how an executor was lost, whatever showed the loss."""
        is_retired = self._announcements.is_retired(session.executor_id)
        is_planned = session.executor.is_draining or is_retired
        return executor_loss.LEFT if is_planned else how

    def _session_gone(self, session: session_module.Session, how: str) -> None:
        """Remove a session; open another while the executor is listed."""
        if self.sessions.get(session.executor_id) is not session:
            return
        self._drop_session(session)
        self._on_gone(session, self._how_lost(session, how))
        if session.listed:
            is_retired = self._announcements.is_retired(session.executor_id)
            self._open_session(
                session.executor, 0, incarnations=session.former
            )
            if is_retired:
                self._announcements.retire(session.executor_id)

    def incarnation_of(self, executor_id: str) -> int:
        """Return an executor's incarnation; 0 if it isn't known."""
        session = self.sessions.get(executor_id)
        return session.executor.incarnation_ms if session else 0

    # Announcements to the engine

    def usable(self, service: str) -> list[model.Executor]:
        """Return a service's executors that may get work now."""
        return self._announcements.usable(service)

    def announce(
        self, session: session_module.Session, tell: event.EventSink
    ) -> bool:
        """Tell the engine of an executor that answers and is ready.

        :returns: whether the engine was told anything new.
        """
        if session.executor.is_draining:
            self._report_leaving(session)
        if self._announcements.is_evacuated(session.executor):
            self.cordon_announced(session)
        return self._announcements.announce(session, tell)


def _has_restarted(known: model.Executor, seen: model.Executor) -> bool:
    return (
        known.incarnation_ms != seen.incarnation_ms
        or known.address != seen.address
    )
