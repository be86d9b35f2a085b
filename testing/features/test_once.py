"""Steps of the at-most-once feature."""

from __future__ import annotations

import functools
import threading

import pytest_bdd
from pytest_bdd import parsers

from standins import loopback
from testing.features import context as context_module

Context = context_module.Context

pytest_bdd.scenarios("once.feature")


def _send(context: Context, key: str, node=None) -> None:
    context.callers.send(
        context_module.ONCE_SERVICE,
        account="valle-cafe",
        body=f"ladder {key}",
        key=key,
        node=node,
    )


@pytest_bdd.when(
    parsers.parse("one booking is sent to both VMs at once, {count:d} times")
)
def _both(context: Context, count: int) -> None:
    for number in range(count):
        sends = [
            functools.partial(_send, context, f"booking-{number}", node)
            for node in context.fleet.nodes
        ]
        context_module.run_concurrently(*sends)


@pytest_bdd.when(
    "a booking's VM is killed while it runs and the caller tries again"
)
def _killed(context: Context) -> None:
    first, second = context.fleet.nodes
    sending = threading.Thread(
        target=_send, args=(context, "booking-1", first)
    )
    sending.start()
    loopback.until(context.fleet.executions, what="the booking to run")
    context.fleet.kill(first)
    sending.join()
    _send(context, "booking-1", second)
