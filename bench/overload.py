"""Booking checks while audits flood, and retries in a slow data centre."""

from __future__ import annotations

import asyncio
import statistics

import bench
from bench import _traffic
from standins import fleet as fleet_module

EXECUTORS = 2
RUN_S = 0.05
PHASE_S = 4.0
CHECKERS = 4
AUDITORS = 64
SLOW_RUN_S = 0.8
SLOW_CALLERS = 12
MAX_AMPLIFICATION = 1.2
MAX_SLOWDOWN = 1.5


@bench.BENCHES.register("overload")
def overload() -> list[bench.Figure]:
    """Measure completion times in and out of a flood."""
    with (
        _traffic.folder() as folder,
        _traffic.start(folder, executors=EXECUTORS) as fleet,
    ):
        fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
        for vm_id in fleet.executor_urls:
            fleet.executor_faults(vm_id, delay_s=RUN_S)
        quiet = asyncio.run(_phase(fleet, check="booking-check", audit=""))
        ordered = asyncio.run(
            _phase(fleet, check="booking-check", audit="audit")
        )
        plain = asyncio.run(
            _phase(
                fleet,
                check="plain-check",
                audit="plain-audit",
                auditor=_traffic.CHECKER,
            )
        )
    return list(_figures(quiet, ordered, plain))


async def _phase(
    fleet: fleet_module.Fleet,
    *,
    check: str,
    audit: str,
    auditor: str = _traffic.AUDITOR,
) -> tuple[_traffic.Caller, _traffic.Caller]:
    tokens = fleet.workload()["tokens"]
    url = fleet.nodes[0].url
    checks = _traffic.Caller(url, tokens[_traffic.CHECKER])
    audits = _traffic.Caller(url, tokens[auditor])
    until = asyncio.Event()
    running = [
        checks.run(f"/v1/services/{check}", callers=CHECKERS, until=until)
    ]
    if audit:
        path = f"/v1/services/{audit}"
        running.append(audits.run(path, callers=AUDITORS, until=until))
    asyncio.get_running_loop().call_later(PHASE_S, until.set)
    await asyncio.gather(*running)
    return checks, audits


def _figures(quiet, ordered, plain):
    base_s = statistics.median(quiet[0].elapsed_s)
    phases = {"unloaded": quiet, "in the flood": ordered}
    phases["in the flood, no order"] = plain
    for name, (checks, audits) in phases.items():
        median_s = statistics.median(checks.elapsed_s)
        last_s = statistics.quantiles(checks.elapsed_s, n=20)[-1]
        yield bench.Figure(f"check {name}, median", median_s * 1000, "ms")
        yield bench.Figure(f"check {name}, 95 %", last_s * 1000, "ms")
        target = ""
        met = None
        if name == "in the flood":
            target = f"at most {MAX_SLOWDOWN}"
            met = median_s / base_s <= MAX_SLOWDOWN
        ratio = median_s / base_s
        yield bench.Figure(
            f"check {name} over unloaded", ratio, "times", target, met
        )
        ran_per_s = len(audits.elapsed_s) / PHASE_S
        yield bench.Figure(f"audits {name}", ran_per_s, "1/s")
    wrong = sum(c.wrong for pair in phases.values() for c in pair)
    yield bench.Figure("wrong answers", wrong, "", "0", wrong == 0)


@bench.BENCHES.register("retries")
def retries() -> list[bench.Figure]:
    """Measure what a slow data centre does to executors' arrivals."""
    with (
        _traffic.folder() as folder,
        _traffic.start(folder, executors=EXECUTORS) as fleet,
    ):
        fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
        for vm_id in fleet.executor_urls:
            fleet.executor_faults(vm_id, delay_s=SLOW_RUN_S)
        sent = asyncio.run(_slow(fleet))
        arrivals = sum(
            fleet_module.http("GET", url + "/log").json()["arrivals"]
            for url in fleet.executor_urls.values()
        )
    ratio = arrivals / sent
    return [
        bench.Figure("requests in a slow data centre", sent, ""),
        bench.Figure("arrivals at executors", arrivals, ""),
        bench.Figure(
            "retry amplification",
            ratio,
            "times",
            f"at most {MAX_AMPLIFICATION}",
            ratio <= MAX_AMPLIFICATION,
        ),
    ]


async def _slow(fleet: fleet_module.Fleet) -> int:
    token = fleet.workload()["tokens"][_traffic.CHECKER]
    caller = _traffic.Caller(fleet.nodes[0].url, token)
    until = asyncio.Event()
    asyncio.get_running_loop().call_later(3 * PHASE_S, until.set)
    await caller.run(
        "/v1/services/slow-check", callers=SLOW_CALLERS, until=until
    )
    return len(caller.elapsed_s) + caller.refused + caller.wrong
