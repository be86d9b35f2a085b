"""Steps of the configuration feature."""

from __future__ import annotations

import functools

import pytest_bdd

from standins import loopback
from standins import oracle
from testing.features import context as context_module

Context = context_module.Context
DROPPED_EVENTS = 4

pytest_bdd.scenarios("configuration.feature")


@pytest_bdd.when("two operators change the folder at once through both VMs")
def _race(context: Context) -> None:
    base_revision = context.revision()
    context_module.run_concurrently(
        *(
            functools.partial(
                context.change,
                f"change through {node.node_id}",
                base_revision=base_revision,
                node=node,
            )
            for node in context.fleet.nodes
        )
    )


@pytest_bdd.when("chimal is partitioned from all others")
def _cut(context: Context) -> None:
    context.fleet.isolate("chimal")


@pytest_bdd.when("mostrador asks for a booking check in chimal")
def _check_there(context: Context) -> None:
    node = next(n for n in context.fleet.nodes if n.data_centre == "chimal")
    response = context.callers.send(
        "booking-check", account="mostrador", body="ladder 8", node=node
    )
    assert response.complete


@pytest_bdd.when("the partition of chimal ends")
def _join(context: Context) -> None:
    context.fleet.heal_partitions()


@pytest_bdd.when("the store drops its next events")
def _drop_events(context: Context) -> None:
    context.fleet.faults(drop_events=DROPPED_EVENTS)


@pytest_bdd.then("exactly one change was accepted")
def _one_accepted(context: Context) -> None:
    assert sorted(context.callers.changes.values()) == [200, 409]


@pytest_bdd.then("the audit trail holds each accepted change once")
def _audited(context: Context) -> None:
    assert (
        oracle.check_audit_trail(context.history(), context.callers.changes)
        == []
    )


@pytest_bdd.then("every VM has the latest revision in force")
def _in_force(context: Context) -> None:
    accepted = [m for m, s in context.callers.changes.items() if s == 200]
    assert accepted
    for node in context.fleet.nodes:
        loopback.until(
            lambda node=node: context.status(node).get("revision", 0)
            >= 1 + len(accepted),
            what=f"the latest revision on {node.node_id}",
        )
