"""Metrics sent by statsd over UDP.

Every metric is defined once, with its unit and meaning; the reference
page is made from these definitions.
"""

from __future__ import annotations

import dataclasses
import typing

import statsd

from knapweedwharf import settings as settings_module

PREFIX = "knapweedwharf"

COUNTER = "counter"
GAUGE = "gauge"
TIMING = "timing"


@dataclasses.dataclass(frozen=True)
class Metric:
    """Definition of one metric.

    :ivar kind: ``counter``, ``gauge`` or ``timing`` (milliseconds).
    """

    name: str
    kind: str
    unit: str
    text: str


DEFINED: dict[str, Metric] = {}


def define(name: str, *, kind: str, unit: str, text: str) -> Metric:
    """Define a metric; ValueError if the name is taken."""
    if name in DEFINED:
        raise ValueError(f"metric {name!r} is defined twice")
    DEFINED[name] = Metric(name=name, kind=kind, unit=unit, text=text)
    return DEFINED[name]


class _Client(typing.Protocol):
    def incr(self, stat: str, count: int = 1) -> None: ...

    def gauge(self, stat: str, value: float) -> None: ...

    def timing(self, stat: str, delta: float) -> None: ...


class Metrics:
    """Sends values of defined metrics; drops them without an address."""

    def __init__(self, client: _Client | None) -> None:
        self._client = client

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(metric.name, amount)

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(metric.name, value)

    def timing(self, metric: Metric, value_ms: float) -> None:
        """Report a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(metric.name, value_ms)


def create(settings: settings_module.Settings) -> Metrics:
    """Return the metrics of a node."""
    if not settings.statsd_address:
        return Metrics(None)
    host, port = settings.statsd_address.rsplit(":", 1)
    return Metrics(statsd.StatsClient(host, int(port), prefix=PREFIX))
