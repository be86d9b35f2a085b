"""One ownership: jobs in, decisions of the core, orders out.

The tenure reads every record, seals every executor, and from then on
tells the engine what happens and carries out what it decides. Nothing
is ordered before the intent is stored, and no end is noted at an
executor before its effect is stored.
"""

from __future__ import annotations

import asyncio

from returns import result

from knapweedwharf.fleet import advice as advice_module
from knapweedwharf.fleet import board as board_module
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import decider as decider_module
from knapweedwharf.fleet import desired as desired_module
from knapweedwharf.fleet import duty as duty_module
from knapweedwharf.fleet import election as election_module
from knapweedwharf.fleet import intake as intake_module
from knapweedwharf.fleet import ledger as ledger_module
from knapweedwharf.fleet import measures
from knapweedwharf.fleet import model
from knapweedwharf.fleet import orders as orders_module
from knapweedwharf.fleet import outside as outside_module
from knapweedwharf.fleet import pacing as pacing_module
from knapweedwharf.fleet import pools as pools_module
from knapweedwharf.fleet import records
from knapweedwharf.fleet import registry as registry_module
from knapweedwharf.fleet import reports as reports_module
from knapweedwharf.fleet import session as session_module
from knapweedwharf.fleet import upkeep as upkeep_module
from knapweedwharf import log
from knapweedwharf import metrics

TICK_S = 0.2
"""Period of what time alone changes; a tenth of the shortest bound."""

PENDING_INTERVAL_S = 0.5
"""A quarter of the age that the count of waiting jobs may have."""

RETENTION_INTERVAL_S = 5.0
RETENTION_MARGIN_S = 30.0
"""Ended jobs are kept somewhat longer than the platform asks."""


class Tenure:
    """The scheduling of every service while this VM is the owner.

    :param desired: the operator's desired state on this VM.
    :param election: tells whether orders may still be given.
    """

    def __init__(
        self,
        *,
        site: model.Site,
        outside: outside_module.Outside,
        desired: desired_module.DesiredState,
        election: election_module.Election,
        ownership: election_module.Ownership,
        sender: metrics.Metrics,
    ) -> None:
        self._site = site
        self._outside = outside
        self._election = election
        self._ownership = ownership
        self._sender = sender
        self._log = log.get("tenure").bind(epoch=ownership.ordinal)
        self._tasks: list[asyncio.Task] = []
        self._published: dict[str, int] | None = None
        self._pruned_s = clock.elapsed_s()
        self.board = board_module.Board()
        self._ledger = ledger_module.Ledger(
            store=outside.store,
            epoch_revision=ownership.revision,
            dump=self.board.dump,
            on_fenced=lambda: election.lose("fenced-by-store"),
            sender=sender,
        )
        self.registry = registry_module.Registry(
            site=site,
            outside=outside,
            epoch=ownership.ordinal,
            hooks=self._hooks(),
        )
        self._connect(desired)

    def _connect(self, desired: desired_module.DesiredState) -> None:
        """Make the parts that tell each other what happens."""
        self._advice = advice_module.Advice(
            client=self._outside.advisor,
            candidates=lambda *asked: self._decider.candidates(*asked),
            approved=lambda *told: self._decider.approved(*told),
            sender=self._sender,
        )
        self._decider = decider_module.Decider(
            board=self.board,
            ledger=self._ledger,
            desired=desired,
            bounds=self._site.bounds,
            ordinal=self._ownership.ordinal,
            sender=self._sender,
            start=lambda attempt: self._orders.start(attempt),
            settle=lambda attempt: self._orders.settle(attempt),
            advice=self._advice,
            executors=self.registry.usable,
        )
        self._orders = orders_module.Orders(
            board=self.board,
            ledger=self._ledger,
            sessions=self.registry.sessions,
            election=self._election,
            epoch=self._ownership.ordinal,
            sender=self._sender,
            tell=self._decider.tell,
            advice=self._advice,
        )
        self._connect_inputs(desired)

    def _connect_inputs(self, desired: desired_module.DesiredState) -> None:
        """Make the parts that bring what executors and callers do."""
        self._reports = reports_module.Reports(
            board=self.board,
            ledger=self._ledger,
            orders=self._orders,
            tell=self._decider.tell,
            pacing=pacing_module.Pacing(
                board=self.board, order=self._orders.pace
            ),
        )
        self._intake = intake_module.Intake(
            store=self._outside.store,
            board=self.board,
            ledger=self._ledger,
            decider=self._decider,
        )
        self._connect_machines(desired)

    def _connect_machines(self, desired: desired_module.DesiredState) -> None:
        """Make the parts that give orders for machines."""
        duty = duty_module.Duty(
            bounds=self._site.bounds,
            outside=self._outside,
            desired=desired,
            registry=self.registry,
            board=self.board,
            election=self._election,
            ownership=self._ownership,
            sender=self._sender,
            first_order_s=clock.elapsed_s() + self._site.bounds.owner_lease_s,
            tell=self._decider.tell,
        )
        self._upkeep = upkeep_module.Upkeep(duty)
        self._pools = pools_module.Pools(
            duty,
            waiting=self._decider.waiting_need,
            is_spoken_for=self._upkeep.is_ordered,
        )

    def _hooks(self) -> session_module.Hooks:
        return session_module.Hooks(
            reported=self._reported,
            silent=lambda: self._sender.count(measures.SILENT),
            barred=lambda session: self._reports.barred(session),
            leaving=lambda session: self._reports.leaving(session),
            gone=lambda session: self._reports.gone(session),
            fenced=lambda: self._election.lose("fenced-by-executor"),
            may_order=lambda: self._election.is_owner,
            is_busy=self.board.is_busy,
        )

    async def start(self) -> None:
        """Take over: read the records, seal the executors, go on."""
        await self._ledger.start()
        await self._advice.start()
        await self._intake.start()
        for work in (self._begin(), self._publish_forever()):
            self._tasks.append(asyncio.create_task(work))

    async def close(self) -> None:
        """Give no more orders and forget everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._intake.close()
        await self._upkeep.close()
        await self._pools.close()
        await self.registry.close()
        await self._advice.close()
        await self._orders.close()
        await self._ledger.close()

    async def _begin(self) -> None:
        await self._intake.complete.wait()
        for attempt in self.board.attempts.values():
            for member in attempt.members.values():
                self.registry.expect(member.executor_id)
        await self.registry.start()
        await self._upkeep.start()
        await self._pools.start()
        while self._election.is_owner:
            await asyncio.sleep(TICK_S)
            try:
                self._tick()
            except Exception:
                # The next tick may succeed; without any, nothing waits
                # in time.
                self._log.exception("tick-broken")

    def _tick(self) -> None:
        self.registry.tick()
        for executor_id in self.registry.take_lapsed():
            self._reports.executor_over(executor_id)
        self._decider.tick()
        if clock.elapsed_s() - self._pruned_s > RETENTION_INTERVAL_S:
            self._pruned_s = clock.elapsed_s()
            self._prune()

    def _prune(self) -> None:
        kept_s = self._site.bounds.status_retention_s + RETENTION_MARGIN_S
        for found in self.board.take_expired(kept_s):
            self._decider.drop(found)
            self._ledger.mark(found.job.job_id)

    def _reported(
        self,
        session: session_module.Session,
        report: model.Report,
        asked_s: float,
    ) -> None:
        self._reports.take(session, report, asked_s)
        if self.registry.announce(session, self._decider.tell):
            self._advice.look_again()

    async def _publish_forever(self) -> None:
        await self._intake.complete.wait()
        while self._election.is_owner:
            await asyncio.sleep(PENDING_INTERVAL_S)
            pending = self.board.pending()
            self._sender.gauge(measures.PENDING, sum(pending.values()))
            if pending != self._published:
                await self._publish(pending)

    async def _publish(self, pending: dict[str, int]) -> None:
        write = model.Write(records.PENDING_KEY, records.dump_pending(pending))
        committed = await self._outside.store.commit(
            model.Commit(
                {records.EPOCH_KEY: self._ownership.revision}, (write,)
            )
        )
        if isinstance(committed, result.Success):
            self._published = pending
        else:
            self._log.info(
                "pending-not-published", why=committed.failure().code
            )
