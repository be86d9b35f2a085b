"""Metrics of requests and claims."""

from __future__ import annotations

from knapweedwharf import metrics

ENDED = {
    "ran": metrics.define(
        "requests.ran",
        kind=metrics.COUNTER,
        unit="requests",
        text="Requests answered with the full answer of an executor.",
    ),
    "did-not-run": metrics.define(
        "requests.did_not_run",
        kind=metrics.COUNTER,
        unit="requests",
        text="Requests that were refused and did not run.",
    ),
    "unknown": metrics.define(
        "requests.unknown",
        kind=metrics.COUNTER,
        unit="requests",
        text="Requests of which it is not known whether they ran.",
    ),
}
SHED = metrics.define(
    "requests.shed",
    kind=metrics.COUNTER,
    unit="requests",
    text="Requests refused by admission control: the queue is full "
    "or there is no slot before the deadline.",
)
RETRIES = metrics.define(
    "requests.retries",
    kind=metrics.COUNTER,
    unit="attempts",
    text="Attempts after the first.",
)
RETRIES_DENIED = metrics.define(
    "requests.retries_denied",
    kind=metrics.COUNTER,
    unit="attempts",
    text="Retries that the retry budget did not allow.",
)
RUN_TIME = metrics.define(
    "requests.run_ms",
    kind=metrics.TIMING,
    unit="milliseconds",
    text="Time from sending an attempt to its full answer.",
)
WAITING = metrics.define(
    "requests.waiting",
    kind=metrics.GAUGE,
    unit="requests",
    text="Requests that wait for a slot.",
)
UNSETTLED = metrics.define(
    "claims.unsettled",
    kind=metrics.GAUGE,
    unit="claims",
    text="Claims whose outcome is not yet stored.",
)
