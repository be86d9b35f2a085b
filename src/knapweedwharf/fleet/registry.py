"""The executors: their entries in the store and a session for each."""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses

from knapweedwharf.core import event
from knapweedwharf.core import model as core_model
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import model
from knapweedwharf.fleet import outside as outside_module
from knapweedwharf.fleet import session as session_module
from knapweedwharf.fleet import watcher as watcher_module
from knapweedwharf import log

WATCH_WAIT_S = 1.0
"""Half of the time within which a draining executor gets no start."""


class Registry:
    """Follows the executors' entries and keeps a session with each.

    :param hooks: what the sessions tell.
    :ivar sessions: by executor id.
    """

    def __init__(
        self,
        *,
        site: model.Site,
        outside: outside_module.Outside,
        epoch: int,
        hooks: session_module.Hooks,
    ) -> None:
        self._site = site
        self._client = outside.executors
        self._catalogue = outside.catalogue
        self._epoch = epoch
        self._hooks = dataclasses.replace(hooks, gone=self._gone)
        self._on_gone = hooks.gone
        self._log = log.get("registry")
        self._announced: dict[str, model.Executor] = {}
        self._expected: dict[str, float] = {}
        self._removed: dict[str, None] = {}
        self._retired: set[str] = set()
        self._by_machine: dict[str, str] = {}
        self._closing: set[asyncio.Task] = set()
        self.sessions: dict[str, session_module.Session] = {}
        self._watcher = watcher_module.Watcher(
            outside.store,
            outside.catalogue.executor_prefix,
            wait_s=WATCH_WAIT_S,
            on_listing=self._listed,
            on_changes=self._changed,
        )

    async def start(self) -> None:
        """Begin to follow the entries."""
        await self._watcher.start()

    async def close(self) -> None:
        """End every session."""
        await self._watcher.close()
        sessions = list(self.sessions.values())
        await asyncio.gather(*(session.close() for session in sessions))
        await asyncio.gather(*self._closing, return_exceptions=True)

    def expect(self, executor_id: str) -> None:
        """Await an executor on which something may run."""
        self._expected[executor_id] = clock.elapsed_s()

    # Entries

    def _listed(self, listing: model.Listing) -> None:
        self._take(listing.items)
        present = {self._id_of(item.key) for item in listing.items}
        for executor_id in self.sessions:
            if executor_id not in present:
                self._remove(executor_id)

    def _changed(self, changes: model.Changes) -> None:
        self._take(changes.items)
        for key in changes.removed:
            self._remove(self._id_of(key))

    def _id_of(self, key: str) -> str:
        return key[len(self._catalogue.executor_prefix) :]

    def _take(self, items: abc.Iterable[model.Item]) -> None:
        for item in items:
            executor_id = self._id_of(item.key)
            try:
                executor = self._catalogue.decode_executor(
                    executor_id, item.value
                )
            except ValueError as error:
                self._log.warning(
                    "executor-entry-malformed",
                    executor=executor_id,
                    revision=item.revision,
                    why=str(error),
                )
                continue
            self._take_executor(executor, item.revision)

    def _take_executor(self, executor: model.Executor, revision: int) -> None:
        executor_id = executor.executor_id
        self._expected.pop(executor_id, None)
        self._removed.pop(executor_id, None)
        if executor.machine_id:
            self._by_machine[executor.machine_id] = executor_id
        session = self.sessions.get(executor_id)
        if session is not None and _is_reborn(session.executor, executor):
            self._log.warning("executor-reborn", executor=executor_id)
            self._drop(session)
            session = None
        if session is None:
            self._open(executor, revision)
            return
        was_ready = session.executor.state == model.READY
        session.executor = executor
        session.listed = True
        if was_ready and executor.state == model.DRAINING:
            self._log.info(
                "executor-draining",
                executor=executor_id,
                revision=revision,
                remaining_s=executor.remaining_s,
            )
            self._bar(session)
            self._leave(session)

    def _open(self, executor: model.Executor, revision: int) -> None:
        session = session_module.Session(
            executor=executor,
            client=self._client,
            epoch=self._epoch,
            bounds=self._site.bounds,
            hooks=self._hooks,
        )
        self.sessions[executor.executor_id] = session
        self._retired.discard(executor.executor_id)
        self._log.info(
            "executor-seen",
            executor=executor.executor_id,
            revision=revision,
            state=executor.state,
            rack=executor.rack,
        )
        self._run(session.start())

    def _run(self, work: abc.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _remove(self, executor_id: str) -> None:
        session = self.sessions.get(executor_id)
        if session is None or not session.listed:
            return
        session.listed = False
        self._removed[executor_id] = None
        self._log.info("executor-unlisted", executor=executor_id)
        self._bar(session)

    def _bar(self, session: session_module.Session) -> None:
        self._announced.pop(session.executor_id, None)
        self._hooks.barred(session)

    def of_machine(self, machine_id: str) -> session_module.Session | None:
        """Return the session with a machine's present life."""
        executor_id = self._by_machine.get(machine_id, "")
        session = self.sessions.get(executor_id)
        return session if session is not None and session.listed else None

    def retire(self, session: session_module.Session) -> None:
        """Give an executor no new work in the rest of its life."""
        self._retired.add(session.executor_id)
        self._announced.pop(session.executor_id, None)

    def reinstate(self, session: session_module.Session) -> None:
        """Let a retired executor get work again, by its next report."""
        self._retired.discard(session.executor_id)

    def _leave(self, session: session_module.Session) -> None:
        """Let work move off an executor that drains, once it is sealed."""
        if session.sealed and not session.told_leaving:
            session.told_leaving = True
            self._hooks.leaving(session)

    def _drop(self, session: session_module.Session) -> None:
        self._announced.pop(session.executor_id, None)
        self.sessions.pop(session.executor_id, None)
        self._run(session.close())
        self._on_gone(session)

    def _gone(self, session: session_module.Session) -> None:
        """Forget what ran there; go on asking while it is listed."""
        if self.sessions.get(session.executor_id) is not session:
            return
        del self.sessions[session.executor_id]
        self._announced.pop(session.executor_id, None)
        self._on_gone(session)
        if session.listed:
            retired = session.executor_id in self._retired
            self._open(session.executor, 0)
            if retired:
                self._retired.add(session.executor_id)

    # The engine's view

    def usable(self, service: str) -> list[model.Executor]:
        """Return a service's executors that may get work now."""
        return [e for e in self._announced.values() if e.service == service]

    def announce(
        self, session: session_module.Session, tell: event.Tell
    ) -> bool:
        """Let the engine use an executor that answers and is ready.

        :returns: whether the engine was told something new.
        """
        executor = session.executor
        if executor.state == model.DRAINING:
            self._leave(session)
        usable = (
            session.listed
            and executor.state == model.READY
            and session.executor_id not in self._retired
        )
        known = self._announced.get(executor.executor_id)
        if not usable or (known == executor and not session.was_silent):
            return False
        session.was_silent = False
        self._announced[executor.executor_id] = executor
        tell(
            executor.service,
            event.WorkerSealed(
                core_model.WorkerSpec(
                    worker_id=executor.executor_id,
                    rack=executor.rack,
                    data_centre=executor.service,
                    accelerators=executor.accelerators,
                    cores=executor.cores_milli,
                    memory_mib=executor.memory_mib,
                    labels=frozenset(executor.labels),
                )
            ),
        )
        return True

    def tick(self) -> None:
        """Give up drained executors that have left.

        Of others that vanish nothing is known until their lease ends:
        their entry may have lapsed while the store was away.
        """
        for executor_id in list(self._removed):
            session = self.sessions.get(executor_id)
            if session is None:
                del self._removed[executor_id]
            elif session.is_silent and (
                session.executor.state == model.DRAINING
            ):
                del self._removed[executor_id]
                self._drop(session)

    def take_lapsed(self) -> list[str]:
        """Return awaited executors whose runs have surely ended."""
        lapse_s = session_module.lapse_after_s(self._site.bounds)
        oldest_s = clock.elapsed_s() - lapse_s
        gone = [
            e for e, since_s in self._expected.items() if since_s < oldest_s
        ]
        for executor_id in gone:
            del self._expected[executor_id]
        return gone


def _is_reborn(known: model.Executor, seen: model.Executor) -> bool:
    return (
        known.incarnation_ms != seen.incarnation_ms
        or known.address != seen.address
    )
