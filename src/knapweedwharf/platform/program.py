"""The process on the users' platform: its servers, signals and settings."""

from __future__ import annotations

import asyncio
import os
import signal

from returns import result

from knapweedwharf.fleet import door as door_module
from knapweedwharf.fleet import measures
from knapweedwharf.fleet import model
from knapweedwharf.fleet import node as node_module
from knapweedwharf.fleet import outside as outside_module
from knapweedwharf import log
from knapweedwharf import metrics
from knapweedwharf.platform import advisor as advisor_module
from knapweedwharf.platform import decode
from knapweedwharf.platform import executors as executors_module
from knapweedwharf.platform import ingress as ingress_module
from knapweedwharf.platform import machines as machines_module
from knapweedwharf.platform import settings as settings_module
from knapweedwharf.platform import store as store_module

STORE_TIMEOUT_S = 1.0
"""A hundred times the store's usual answer, also while it is slow."""

ORDER_TIMEOUT_S = 0.7
"""A hundred times an executor's usual answer."""

MACHINES_TIMEOUT_S = 1.0
"""As for the store; the service may be slow."""

EXIT_MARGIN_S = 0.8
"""How long before SIGKILL the process ends by itself."""

SETTINGS_CHECK_S = 2.0
"""The file may change without a signal; nothing in it is urgent."""

MAX_AGE_S = 86_400.0
"""Shown as the age of a desired state that was never read."""

CATALOGUE = model.Catalogue(
    config_key="op/config",
    operator_prefix="op/",
    executor_prefix="servers/",
    decode_desired=decode.desired,
    decode_executor=decode.executor,
    wave_prefix="op/wave/",
    decode_wave=decode.wave,
    wave_status=decode.wave_status,
)


class Program:
    """Composition of the process; every VM runs the same.

    :ivar draining: a SIGTERM was received.
    :ivar in_flight: calls that were read and not yet answered.
    :ivar stopped: the process has served long enough after SIGTERM.
    """

    def __init__(
        self,
        site: model.Site,
        *,
        settings_path: str = "",
        metrics_port: int = 0,
    ) -> None:
        self.site = site
        self._metrics_port = metrics_port
        self._scraped = metrics.Scraped()
        sender = metrics.Metrics(self._scraped)
        self._settings_path = settings_path
        self._log = log.get("program")
        self.draining = False
        self.in_flight = 0
        self._store = store_module.Store(
            site.store_address, timeout_s=STORE_TIMEOUT_S
        )
        self._executors = executors_module.Executors(timeout_s=ORDER_TIMEOUT_S)
        self._advisor = advisor_module.Advisor(site.advisor_address)
        self._machines = machines_module.Machines(
            site.machines_address,
            holder=site.node_id,
            timeout_s=MACHINES_TIMEOUT_S,
        )
        self.node = node_module.Node(
            site,
            outside=outside_module.Outside(
                store=self._store,
                executors=self._executors,
                advisor=self._advisor,
                machines=self._machines,
                catalogue=CATALOGUE,
            ),
            sender=sender,
        )
        self._sender = sender
        self._frontend = ingress_module.frontend(self)
        self._readiness = ingress_module.readiness(self)
        self._metrics = ingress_module.metrics(self)
        self.stopped = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    @property
    def door(self) -> door_module.Door:
        """What callers' calls are answered by."""
        return self.node.door

    @property
    def is_ready(self) -> bool:
        """Whether new connections are welcome."""
        return not self.draining and self.node.desired.is_fresh

    def metrics_text(self) -> bytes:
        """Return the values of all metrics."""
        age_s = min(self.node.desired.age_s, MAX_AGE_S)
        self._sender.gauge(measures.DESIRED_AGE, age_s * 1000)
        return self._scraped.text()

    async def start(self) -> None:
        """Start every part."""
        _listen(self._frontend, self.site.frontend_address)
        _listen(self._readiness, self.site.readiness_address)
        if self._metrics_port:
            self._metrics.listen(self._metrics_port, self.site.ip_address)
        await self.node.start()
        self._log.info(
            "started",
            data_centre=self.site.data_centre,
            address=self.site.frontend_address,
        )

    async def run(self) -> None:
        """Serve until a signal has drained the process."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.terminate)
        loop.add_signal_handler(signal.SIGINT, self.terminate)
        loop.add_signal_handler(signal.SIGHUP, self._reload, "signal")
        await self.start()
        self._tasks.append(asyncio.create_task(self._follow_settings()))
        await self.stopped.wait()
        await self.close()

    async def close(self) -> None:
        """Close every part."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.node.close()
        self._frontend.stop()
        self._readiness.stop()
        self._metrics.stop()
        self._executors.close()
        self._advisor.close()
        self._machines.close()
        self._store.close()
        self._log.info("stopped", in_flight=self.in_flight)

    # Signals

    def terminate(self) -> None:
        """Begin to drain; ``stopped`` is set in time before SIGKILL."""
        if self.draining:
            return
        self.draining = True
        self._log.info("draining", in_flight=self.in_flight)
        self._tasks.append(asyncio.create_task(self._drain()))

    async def _drain(self) -> None:
        """Hand the ownership over; serve until shortly before the end.

        Callers use open connections until the process is gone.
        """
        self._tasks.append(asyncio.create_task(self.node.resign()))
        await asyncio.sleep(self.site.bounds.grace_period_s - EXIT_MARGIN_S)
        self.stopped.set()

    def _reload(self, why: str) -> None:
        read = settings_module.read(self._settings_path)
        if isinstance(read, result.Failure):
            for fault in read.failure():
                self._log.error("settings-refused", why=str(fault))
            return
        changed = read.unwrap() != self.site
        self._log.info("settings-read", why=why, changed=changed)
        self.site = read.unwrap()

    async def _follow_settings(self) -> None:
        changed_at = self._changed_at()
        while True:
            await asyncio.sleep(SETTINGS_CHECK_S)
            now = self._changed_at()
            if now != changed_at:
                changed_at = now
                self._reload("file")

    def _changed_at(self) -> float:
        try:
            return os.stat(self._settings_path).st_mtime
        except OSError:
            # The file is being replaced; the settings in hand hold.
            return 0.0


def _listen(server, address: str) -> None:
    host, _colon, port = address.rpartition(":")
    server.listen(int(port), host)
