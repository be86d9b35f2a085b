"""Steps of the shutdown feature."""

from __future__ import annotations

import functools
import threading

import pytest_bdd
from pytest_bdd import parsers

from standins import loopback
from testing.features import context as context_module

Context = context_module.Context
SERVICES = {"bookings": "booking", "booking checks": "booking-check"}

pytest_bdd.scenarios("shutdown.feature")


@pytest_bdd.when(
    parsers.re(
        r"a VM is asked to stop while (?P<count>\d) "
        r"(?P<what>bookings|booking checks) are in flight$"
    )
)
def _stop(context: Context, count: str, what: str) -> None:
    node = context.fleet.nodes[0]
    sends = [
        functools.partial(
            context.callers.send,
            SERVICES[what],
            account="valle-cafe",
            body=f"ladder {number}",
            key=f"key-{number}",
            node=node,
        )
        for number in range(int(count))
    ]
    sending = threading.Thread(
        target=context_module.run_concurrently, args=sends
    )
    sending.start()
    loopback.until(
        lambda: len(context.fleet.executions()) == int(count),
        what="requests in flight",
    )
    context.fleet.drain(node)
    sending.join()


@pytest_bdd.then("every request in flight was answered with its own answer")
def _answered(context: Context) -> None:
    assert [r for r in context.callers.responses if not r.complete] == []
