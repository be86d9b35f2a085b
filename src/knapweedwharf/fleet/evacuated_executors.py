"""Keeps new work off the executors of evacuated data centres."""

from __future__ import annotations

from collections import abc

from knapweedwharf.fleet import clock
from knapweedwharf.fleet import evacuations as evacuations_module
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import session as session_module
from knapweedwharf import log
from knapweedwharf import metrics

REPORT_INTERVAL_S = 2.0
"""A new owner sees the executors within a second; bounds the log lines while
executors come and go."""

SessionCallback = abc.Callable[[session_module.Session], None]


class EvacuatedExecutors:
    """Tells the owner's components of executors that an evacuation concerns.

    :param sessions: by executor id.
    :param cordon: called with an executor that must get no new work; it
        has no effect on one that gets none anyway.
    :param announce: called with an executor that may get work again, if
        nothing else forbids it.
    """

    def __init__(
        self,
        *,
        evacuations: evacuations_module.Evacuations,
        sessions: abc.Mapping[str, session_module.Session],
        cordon: SessionCallback,
        announce: SessionCallback,
        sender: metrics.Metrics,
    ) -> None:
        self._evacuations = evacuations
        self._sessions = sessions
        self._cordon = cordon
        self._announce = announce
        self._sender = sender
        self._log = log.get("evacuations")
        self._has_reported = False
        self._kept_off = 0
        self._checked_s = clock.elapsed_s()

    def start(self) -> None:
        """Follow the evacuations; those in force are known to the others."""
        self._evacuations.subscribe(self._changed)
        if self._evacuations.in_force:
            self._report()

    def tick(self) -> None:
        """Report again if executors have come or gone since."""
        now_s = clock.elapsed_s()
        if not self._evacuations.in_force:
            return
        if now_s - self._checked_s < REPORT_INTERVAL_S:
            return
        self._checked_s = now_s
        if self._count_kept_off() != self._kept_off:
            self._report()

    def close(self) -> None:
        """Stop following the evacuations."""
        self._evacuations.unsubscribe(self._changed)
        if self._has_reported:
            self._send_gauges(0, 0)

    def _changed(self) -> None:
        for session in list(self._sessions.values()):
            if self._is_evacuated(session):
                self._cordon(session)
            elif session.sealed and not session.is_silent:
                self._announce(session)
        self._report()

    def _is_evacuated(self, session: session_module.Session) -> bool:
        return self._evacuations.forbids(session.executor.data_centre)

    def _count_kept_off(self) -> int:
        return sum(map(self._is_evacuated, self._sessions.values()))

    def _report(self) -> None:
        kept_off = self._kept_off = self._count_kept_off()
        in_force = self._evacuations.in_force
        self._has_reported = True
        self._send_gauges(len(in_force), kept_off)
        self._log.info(
            "evacuation-applied",
            data_centres=dict(sorted(in_force.items())),
            age_s=round(self._evacuations.age_s, 3),
            executors=len(self._sessions),
            kept_off=kept_off,
        )

    def _send_gauges(self, in_force: int, kept_off: int) -> None:
        self._sender.gauge(metric_definitions.EVACUATIONS, in_force)
        self._sender.gauge(metric_definitions.EXECUTORS_EVACUATED, kept_off)
