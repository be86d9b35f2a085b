"""Metrics, sent to statsd over UDP or kept for Prometheus to scrape.

Each metric is defined once, with its unit and meaning; the reference
page is generated from these definitions.
"""

from __future__ import annotations

import dataclasses
import typing

import prometheus_client
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


LATENCY_BUCKETS_MS = (
    *(1, 2, 5, 10, 20, 50, 100, 200, 500),
    *(1_000, 2_000, 5_000, 10_000, 20_000, 50_000),
)
"""Roughly equal steps on a log scale, from the response time of a store to
the run time of a job."""

DEFINED: dict[str, Metric] = {}


def define(name: str, *, kind: str, unit: str, text: str) -> Metric:
    """Define a metric; ValueError if the name is already defined."""
    if name in DEFINED:
        raise ValueError(f"metric {name!r} is defined twice")
    DEFINED[name] = Metric(name=name, kind=kind, unit=unit, text=text)
    return DEFINED[name]


class _MetricsClient(typing.Protocol):
    def incr(self, stat: str, count: int = 1) -> None: ...

    def gauge(self, stat: str, value: float) -> None: ...

    def timing(self, stat: str, delta: float) -> None: ...


class PrometheusClient:
    """Client that keeps the values for Prometheus to scrape."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._counters = {
            name: prometheus_client.Counter(
                _prometheus_name(name), metric.text, registry=self._registry
            )
            for name, metric in DEFINED.items()
            if metric.kind == COUNTER
        }
        self._gauges = {
            name: prometheus_client.Gauge(
                _prometheus_name(name), metric.text, registry=self._registry
            )
            for name, metric in DEFINED.items()
            if metric.kind == GAUGE
        }
        self._histograms = {
            name: prometheus_client.Histogram(
                _prometheus_name(name),
                metric.text,
                buckets=LATENCY_BUCKETS_MS,
                registry=self._registry,
            )
            for name, metric in DEFINED.items()
            if metric.kind == TIMING
        }

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""
        self._counters[stat].inc(count)

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[stat].set(value)

    def timing(self, stat: str, delta: float) -> None:
        """Observe a duration in milliseconds in a histogram."""
        self._histograms[stat].observe(delta)

    def text(self) -> bytes:
        """Return all values in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)


def _prometheus_name(name: str) -> str:
    return f"{PREFIX}_{name.replace('.', '_')}"


class Metrics:
    """Sends values of defined metrics; discards them without a client."""

    def __init__(self, client: _MetricsClient | None) -> None:
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
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(metric.name, value_ms)


def create(settings: settings_module.Settings) -> Metrics:
    """Create the metrics of a node from its settings."""
    if not settings.statsd_address:
        return Metrics(None)
    host, port = settings.statsd_address.rsplit(":", 1)
    return Metrics(statsd.StatsClient(host, int(port), prefix=PREFIX))
