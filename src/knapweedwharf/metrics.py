"""Metrics sent by statsd over UDP; documented in docs/reference."""

from __future__ import annotations

import statsd

from knapweedwharf import settings as settings_module

PREFIX = "knapweedwharf"


class _Silent:
    """Stands in when no statsd address is set."""

    def incr(self, name: str, count: int = 1) -> None:
        """Drop a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Drop a gauge."""

    def timing(self, name: str, value_ms: float) -> None:
        """Drop a timing."""


def create(settings: settings_module.Settings):
    """Return a statsd client, or one that drops everything."""
    if not settings.statsd_address:
        return _Silent()
    host, port = settings.statsd_address.rsplit(":", 1)
    return statsd.StatsClient(host, int(port), prefix=PREFIX)
