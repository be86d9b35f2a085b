"""One VM's components, without network and signal handling."""

from __future__ import annotations

import asyncio

from knapweedwharf.fleet import clients as clients_module
from knapweedwharf.fleet import desired as desired_module
from knapweedwharf.fleet import election as election_module
from knapweedwharf.fleet import job_api as job_api_module
from knapweedwharf.fleet import loop_monitor as loop_monitor_module
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import model
from knapweedwharf.fleet import take_over as take_over_module
from knapweedwharf.fleet import tenure as tenure_module
from knapweedwharf import metrics


class Node:
    """Answers callers, and schedules while this VM is the owner.

    :param clients: clients of the platform's services.
    :param sender: receives the values of metrics.
    :ivar tenure: scheduling of the current ownership, or None.
    """

    def __init__(
        self,
        process_config: model.ProcessConfig,
        *,
        clients: clients_module.PlatformClients,
        sender: metrics.Metrics,
    ) -> None:
        self._process_config = process_config
        self._clients = clients
        self._sender = sender
        self._tasks: set[asyncio.Task] = set()
        self._take_over = take_over_module.TakeOver(process_config.bounds)
        self.tenure: tenure_module.Tenure | None = None
        self.desired = desired_module.DesiredState(
            store=clients.store,
            store_schema=clients.store_schema,
            bounds=process_config.bounds,
        )
        self.job_api = job_api_module.JobApi(
            store=clients.store,
            desired=self.desired,
            store_schema=clients.store_schema,
            sender=sender,
        )
        self.election = election_module.Election(
            process_config=process_config,
            store=clients.store,
            on_won=self._won,
            on_lost=self._lost,
        )
        self._loop_monitor = loop_monitor_module.LoopMonitor(
            renewal_period_s=self.election.renewal_period_s,
            is_owner=lambda: self.election.ownership is not None,
            sender=sender,
        )

    async def start(self) -> None:
        """Follow the desired state and join the election."""
        await self._loop_monitor.start()
        await self.desired.start()
        await self.election.start()

    async def resign(self) -> None:
        """Give up the ownership and leave the election."""
        await self.election.resign()

    async def close(self) -> None:
        """Close every part."""
        await self.election.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.desired.close()
        await self._loop_monitor.close()

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _won(self, ownership: election_module.Ownership) -> None:
        self._sender.count(metric_definitions.OWNERSHIPS_WON)
        self.tenure = tenure_module.Tenure(
            process_config=self._process_config,
            clients=self._clients,
            desired=self.desired,
            election=self.election,
            ownership=ownership,
            take_over=self._take_over,
            sender=self._sender,
        )
        self._spawn(self.tenure.start())

    def _lost(self, _why: str) -> None:
        tenure, self.tenure = self.tenure, None
        if tenure is not None:
            self._spawn(tenure.close())
