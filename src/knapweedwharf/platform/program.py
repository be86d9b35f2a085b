"""Process on the users' platform: servers, signals and settings reload."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import signal

from returns import result

from knapweedwharf.fleet import clients as clients_module
from knapweedwharf.fleet import job_api as job_api_module
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import model
from knapweedwharf.fleet import node as node_module
from knapweedwharf import log
from knapweedwharf import metrics
from knapweedwharf.platform import advisor as advisor_module
from knapweedwharf.platform import decode
from knapweedwharf.platform import executors as executors_module
from knapweedwharf.platform import ingress as ingress_module
from knapweedwharf.platform import limits
from knapweedwharf.platform import machines as machines_module
from knapweedwharf.platform import settings as settings_module
from knapweedwharf.platform import store as store_module
from knapweedwharf.web import body

STORE_TIMEOUT_S = 1.0
"""A hundred times the usual response time; still enough for a slow store."""

MACHINES_TIMEOUT_S = 1.0
"""The same as for the store, because this service may be slow too."""

EXIT_MARGIN_S = 0.8
"""How long before the platform's SIGKILL the process exits by itself."""

SETTINGS_CHECK_S = 2.0
"""The file may change without a SIGHUP; no setting in it is urgent."""

MAX_AGE_S = 86_400.0
"""Upper bound of the reported age, also used if none was ever read."""

STORE_SCHEMA = model.StoreSchema(
    config_key="op/config",
    operator_prefix="op/",
    executor_prefix="servers/",
    decode_desired=decode.desired,
    decode_executor=decode.executor,
    wave_prefix="op/wave/",
    decode_wave=decode.wave,
    wave_status=decode.wave_status,
    evacuation_prefix="op/evacuate/",
    decode_evacuation=decode.evacuation,
)


class Program:
    """Wires up all parts of the process; every VM runs the same ones.

    :ivar draining: whether SIGTERM or SIGINT has been received.
    :ivar in_flight: number of requests without a finished response.
    :ivar sender: of all metrics.
    :ivar body_budget: room for the bodies of callers' requests.
    :ivar stopped: set once the drain is over and the process may exit.
    """

    def __init__(
        self,
        process_config: model.ProcessConfig,
        *,
        settings_path: str = "",
        metrics_port: int = 0,
    ) -> None:
        self.process_config = process_config
        self._metrics_port = metrics_port
        self._prometheus = metrics.PrometheusClient()
        sender = metrics.Metrics(self._prometheus)
        self._settings_path = settings_path
        self._log = log.get("program")
        self.draining = False
        self.in_flight = 0
        self._store = store_module.Store(
            process_config.store_address, timeout_s=STORE_TIMEOUT_S
        )
        self._executors = executors_module.Executors()
        self._advisor = advisor_module.Advisor(process_config.advisor_address)
        self._machines = machines_module.Machines(
            process_config.machines_address,
            holder=process_config.node_id,
            timeout_s=MACHINES_TIMEOUT_S,
        )
        self.node = node_module.Node(
            process_config,
            clients=clients_module.PlatformClients(
                store=self._store,
                executors=self._executors,
                advisor=self._advisor,
                machines=self._machines,
                store_schema=STORE_SCHEMA,
            ),
            sender=sender,
        )
        self.sender = sender
        self.body_budget = body.BodyBudget(
            limits.max_buffered_bytes(process_config.capacity)
        )
        self._frontend = ingress_module.frontend(self)
        self._readiness = ingress_module.readiness(self)
        self._metrics = ingress_module.metrics(self)
        self.stopped = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    @property
    def job_api(self) -> job_api_module.JobApi:
        """Handler of callers' requests."""
        return self.node.job_api

    @property
    def is_ready(self) -> bool:
        """Whether the process accepts new connections."""
        return not self.draining and self.node.desired.is_fresh

    def metrics_text(self) -> bytes:
        """Return the values of all metrics."""
        age_s = min(self.node.desired.age_s, MAX_AGE_S)
        self.sender.gauge(metric_definitions.DESIRED_AGE, age_s * 1000)
        return self._prometheus.text()

    async def start(self) -> None:
        """Open the ports and start the node."""
        _listen(self._frontend, self.process_config.frontend_address)
        _listen(self._readiness, self.process_config.readiness_address)
        if self._metrics_port:
            self._metrics.listen(
                self._metrics_port, self.process_config.ip_address
            )
        await self.node.start()
        self._log.info(
            "started",
            data_centre=self.process_config.data_centre,
            address=self.process_config.frontend_address,
        )

    async def run(self) -> None:
        """Serve until a signal has started a drain and the drain is over."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.terminate)
        loop.add_signal_handler(signal.SIGINT, self.terminate)
        loop.add_signal_handler(signal.SIGHUP, self._reload, "signal")
        await self.start()
        self._tasks.append(asyncio.create_task(self._watch_settings_file()))
        await self.stopped.wait()
        await self.close()

    async def close(self) -> None:
        """Stop the servers and the node and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.node.close()
        self._frontend.close()
        self._readiness.close()
        self._metrics.close()
        self._executors.close()
        self._advisor.close()
        self._machines.close()
        self._store.close()
        self._log.info("stopped", in_flight=self.in_flight)

    # Signals

    def terminate(self) -> None:
        """Start to drain; ``stopped`` is set in time before SIGKILL."""
        if self.draining:
            return
        self.draining = True
        self._log.info("draining", in_flight=self.in_flight)
        self._tasks.append(asyncio.create_task(self._drain()))

    async def _drain(self) -> None:
        """Resign the ownership; keep serving until shortly before SIGKILL.

        Callers may use open connections until the process exits.
        """
        self._tasks.append(asyncio.create_task(self.node.resign()))
        await asyncio.sleep(
            self.process_config.bounds.grace_period_s - EXIT_MARGIN_S
        )
        self.stopped.set()

    def _reload(self, why: str) -> None:
        read = settings_module.read(self._settings_path)
        if isinstance(read, result.Failure):
            for fault in read.failure():
                self._log.error("settings-refused", why=str(fault))
            return
        process_config = dataclasses.replace(
            read.unwrap(), learns_speeds=self.process_config.learns_speeds
        )
        changed = process_config != self.process_config
        self._log.info("settings-read", why=why, changed=changed)
        self.process_config = process_config

    async def _watch_settings_file(self) -> None:
        known_mtime = self._settings_mtime()
        while True:
            await asyncio.sleep(SETTINGS_CHECK_S)
            mtime = self._settings_mtime()
            if mtime != known_mtime:
                known_mtime = mtime
                self._reload("file")

    def _settings_mtime(self) -> float:
        try:
            return os.stat(self._settings_path).st_mtime
        except OSError:
            # The file is being replaced; the current settings stay in force.
            return 0.0


def _listen(server, address: str) -> None:
    host, _colon, port = address.rpartition(":")
    server.listen(int(port), host)
