"""Process of an entry VM: creates, starts and closes its parts."""

from __future__ import annotations

import asyncio
import random
import signal
import time
import zlib

from returns import result

from knapweedwharf.adapters import directory as directory_module
from knapweedwharf.adapters import etcd as _etcd  # noqa: F401
from knapweedwharf.adapters import executor as executor_module
from knapweedwharf.adapters import observed_store
from knapweedwharf.adapters import store as store_module
from knapweedwharf.adapters import worker as worker_module
from knapweedwharf import backoff
from knapweedwharf.charts import chart
from knapweedwharf.configuration import feed as feed_module
from knapweedwharf.configuration import publish
from knapweedwharf import drain as drain_module
from knapweedwharf import errors
from knapweedwharf import log
from knapweedwharf import metrics
from knapweedwharf.peer import membership as membership_module
from knapweedwharf.peer.messages import ttypes
from knapweedwharf.peer import status as status_module
from knapweedwharf.routing import dispatch
from knapweedwharf.routing import policies
from knapweedwharf.routing import pool as pool_module
from knapweedwharf.routing import share
from knapweedwharf.scheduling import role as role_module
from knapweedwharf.scheduling import view as view_module
from knapweedwharf import settings as settings_module
from knapweedwharf import telemetry as telemetry_module
from knapweedwharf.web import body as body_module
from knapweedwharf.web import server as server_module

EXIT_REQUESTS_ABORTED = 5
_REGISTRIES = {
    "store_kind": store_module.STORES,
    "directory_kind": directory_module.DIRECTORIES,
    "worker_kind": worker_module.WORKERS,
    "executor_kind": executor_module.EXECUTORS,
    "routing_policy": policies.POLICIES,
}


def check_kinds(
    settings: settings_module.Settings,
) -> result.Result[settings_module.Settings, errors.Fault]:
    """Refuse settings that name an unknown adapter or policy."""
    for field, variants in _REGISTRIES.items():
        kind = getattr(settings, field)
        if kind not in variants.names():
            return result.Failure(
                errors.InvalidField(
                    message=f"Unknown {field}.",
                    remedy=f"Use one of {', '.join(variants.names())}.",
                    source="settings",
                    field=field,
                    value=repr(kind),
                )
            )
    return result.Success(settings)


class _ExternalSystems:
    """Clients of external systems, of the kinds that the settings name."""

    def __init__(
        self, settings: settings_module.Settings, *, sender: metrics.Metrics
    ) -> None:
        self.store = observed_store.create(settings, sender=sender)
        self.directory = directory_module.DIRECTORIES.get(
            settings.directory_kind
        )(settings)
        self.worker = worker_module.WORKERS.get(settings.worker_kind)(settings)
        self.executor = executor_module.EXECUTORS.get(settings.executor_kind)(
            settings
        )

    def close(self) -> None:
        """Close all connections."""
        for adapter in (
            self.executor,
            self.worker,
            self.directory,
            self.store,
        ):
            adapter.close()


class Node:
    """Wires up all parts of the process; every VM runs the same ones."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self._log = log.get("node")
        self._chart = chart.load("node")
        self.state = self._chart.initial
        self.metrics = metrics.create(settings)
        self.in_flight = drain_module.InFlight()
        self._external = _ExternalSystems(settings, sender=self.metrics)
        self.store = self._external.store
        self.feed = feed_module.Feed(store=self.store)
        self.publisher = publish.Publisher(store=self.store, feed=self.feed)
        self.role = role_module.Role(
            settings=settings,
            store=self.store,
            worker=self._external.worker,
            peers_reach_store=lambda: self.membership.peers_reach_store(),
        )
        self.pool, self.dispatcher = self._create_routing()
        self.jobs = view_module.JobView(
            role=self.role,
            store=self.store,
            ask_owner=self._ask_owner,
            data_centres=lambda: sorted(self.feed.current.data_centres),
        )
        self.membership = membership_module.Membership(
            settings=settings,
            feed=self.feed,
            get_room_summary=self._own_capacity,
            job_handler=self.jobs.answer,
            store_reachable=lambda: self.store.reachable,
        )
        self._telemetry = telemetry_module.Telemetry(
            sender=self.metrics, status=self.status
        )
        self.body_budget = body_module.BodyBudget(settings.max_buffered_bytes)
        self._server = server_module.create(self)
        self._tasks: list[asyncio.Task] = []
        self._stopped = asyncio.Event()
        self._drain: drain_module.Drain | None = None
        self.exit_code = 0

    def _create_routing(
        self,
    ) -> tuple[pool_module.Pool, dispatch.Dispatcher]:
        seed = zlib.crc32(self.settings.node_id.encode())
        pool = pool_module.Pool(
            node_id=self.settings.node_id,
            data_centre=self.settings.data_centre,
            seed=seed,
            policy=self.settings.routing_policy,
        )
        dispatcher = dispatch.Dispatcher(
            settings=self.settings,
            store=self.store,
            executor=self._external.executor,
            pool=pool,
            metrics=self.metrics,
            seed=seed,
        )
        return pool, dispatcher

    async def start(self) -> None:
        """Start all parts; the node is ready once the HTTP port is open."""
        self.feed.add_listener(self._configuration_changed)
        await self.feed.start()
        await self.role.start()
        await self.membership.start()
        await self._telemetry.start()
        self._tasks.append(asyncio.create_task(self._read_directory()))
        host, port = self.settings.http_address.rsplit(":", 1)
        self._server.listen(int(port), host)
        self.state = self._chart.step(self.state, "ready")
        self._log.info("serving", address=self.settings.http_address)

    async def run(self) -> int:
        """Serve until a signal has drained the node; return the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._handle_signal)
        await self.start()
        await self._stopped.wait()
        await self.close()
        return self.exit_code

    async def close(self) -> None:
        """Close all parts."""
        self._server.close()
        await self.dispatcher.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._telemetry.close()
        await self.role.close()
        await self.membership.close()
        await self.publisher.close()
        await self.feed.close()
        self._external.close()

    def _handle_signal(self) -> None:
        if self._drain is not None:
            self._drain.force()
            return
        self.state = self._chart.step(self.state, "drain")
        self.membership.draining = True
        self._drain = drain_module.Drain(
            settings=self.settings,
            server=self._server,
            in_flight=self.in_flight,
            unsettled=lambda: self.dispatcher.unsettled,
            abort=self._external.executor.close,
        )
        self._tasks.append(asyncio.create_task(self._run_drain(self._drain)))

    async def _run_drain(self, drain: drain_module.Drain) -> None:
        drained = await drain.run()
        self.state = self._chart.step(self.state, drained.event)
        self.exit_code = EXIT_REQUESTS_ABORTED if drained.cut else 0
        self._stopped.set()

    async def _read_directory(self) -> None:
        source = random.Random(self.settings.node_id)
        while True:
            listed = await self._external.directory.list_vms()
            if isinstance(listed, result.Success):
                vms = listed.unwrap()
                self.membership.update_from_directory(vms)
                self._update_executor_shares(vms)
                self.pool.set_listed(vms)
                self.role.post(role_module.VmsListed(tuple(vms)))
            await asyncio.sleep(
                backoff.jittered_s(self.settings.directory_interval_s, source)
            )

    def _update_executor_shares(self, vms: list[directory_module.Vm]) -> None:
        """Divide the executors among the listed and the live entry VMs."""
        listed = {
            share.EntryVm(vm.vm_id, vm.data_centre)
            for vm in vms
            if vm.kind == directory_module.ENTRY_KIND
        }
        live_vms = {
            share.EntryVm(peer.node_id, peer.data_centre)
            for peer in self.membership.live_peers()
        }
        self.pool.set_entry_vms(listed | live_vms)
        self._external.executor.set_connection_limit(
            self.pool.connection_limit
        )

    def _configuration_changed(self, configuration) -> None:
        self.role.post(role_module.ConfigurationInForce(configuration))

    def _own_capacity(self) -> ttypes.RoomSummary | None:
        engine = self.role.engine
        if engine is None:
            return None
        queued = sum(r.state == "queued" for r in engine.records.values())
        return ttypes.RoomSummary(
            data_centre=self.settings.data_centre,
            free_accelerators=engine.topology.free_accelerators(),
            queued_jobs=queued,
            epoch=self.role.ownership.epoch if self.role.ownership else 0,
        )

    async def _ask_owner(
        self, data_centre: str, operation: str, body: dict
    ) -> dict | None:
        peer = self.membership.owner_of(data_centre)
        if peer is None:
            return None
        return await self.membership.call_job(peer, operation, body)

    def status(self) -> dict:
        """Return the node's status for operators."""
        now_s = time.monotonic()
        capacity = self._own_capacity()
        return {
            "node_id": self.settings.node_id,
            "data_centre": self.settings.data_centre,
            "state": self.state,
            "owner_state": self.role.state,
            **status_module.configuration(self.feed, now_s),
            **status_module.store_and_traffic(
                self.store, self.membership, now_s
            ),
            "requests_in_flight": self.in_flight.count,
            "executors": len(self.pool.executors),
            "free_accelerators": (
                capacity.free_accelerators if capacity else None
            ),
            "queued_jobs": capacity.queued_jobs if capacity else None,
            "peers": status_module.peers(self.membership, now_s),
        }
