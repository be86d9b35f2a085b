"""Steps of the leaving feature."""

from __future__ import annotations

import pytest_bdd

from standins import loopback
from testing.features import context as context_module

Context = context_module.Context
MOST_ARRIVALS = 1

pytest_bdd.scenarios("leaving.feature")


def _first(context: Context) -> str:
    return next(iter(context.fleet.executor_urls))


def _arrivals(context: Context) -> int:
    url = context.fleet.executor_urls[_first(context)]
    return len(loopback.call("GET", url + "/log").json()["log"])


@pytest_bdd.when("the platform lists one executor as leaving")
def _listed(context: Context) -> None:
    vms = context.fleet.vms()
    for vm in vms:
        vm["leaving"] = vm["vm_id"] == _first(context)
    context.fleet.list_vms(vms)


@pytest_bdd.when("the platform lists nothing")
def _nothing(context: Context) -> None:
    context.fleet.list_vms([])


@pytest_bdd.when("the VMs have read the list")
def _read(context: Context) -> None:
    def reads() -> int:
        return context.fleet.platform("GET", "/counts").json()["vms"]

    before = reads()
    loopback.until(lambda: reads() >= before + 2, what="reads of the list")


@pytest_bdd.when("one executor signals that it is leaving")
def _says(context: Context) -> None:
    context.fleet.executor_faults(_first(context), leaving=True)


@pytest_bdd.then("the leaving executor got none of them")
def _none(context: Context) -> None:
    assert _arrivals(context) == 0


@pytest_bdd.then("the leaving executor got few of them")
def _few(context: Context) -> None:
    assert _arrivals(context) <= MOST_ARRIVALS
