"""Overload: urgent requests in a flood of batch requests, and retries."""

from __future__ import annotations

import asyncio
import statistics

import bench
from bench import _load_generator
from standins import fleet as fleet_module

EXECUTORS = 2
RUN_S = 0.05
PHASE_S = 4.0
CHECK_CALLERS = 4
AUDIT_CALLERS = 64
SLOW_RUN_S = 0.8
SLOW_CALLERS = 12
MAX_AMPLIFICATION = 1.2
MAX_SLOWDOWN = 1.5


@bench.BENCHMARKS.register("overload")
def overload() -> list[bench.Figure]:
    """Measure completion times of checks, with and without many audits."""
    with (
        _load_generator.load_test_folder() as folder,
        _load_generator.create_fleet(folder, executors=EXECUTORS) as fleet,
    ):
        fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
        for vm_id in fleet.executor_urls:
            fleet.executor_faults(vm_id, delay_s=RUN_S)
        unloaded = asyncio.run(
            _run_phase(fleet, check="booking-check", audit="")
        )
        prioritised = asyncio.run(
            _run_phase(fleet, check="booking-check", audit="audit")
        )
        unprioritised = asyncio.run(
            _run_phase(
                fleet,
                check="plain-check",
                audit="plain-audit",
                audit_account=_load_generator.CHECK_ACCOUNT,
            )
        )
    return list(_figures(unloaded, prioritised, unprioritised))


async def _run_phase(
    fleet: fleet_module.Fleet,
    *,
    check: str,
    audit: str,
    audit_account: str = _load_generator.AUDIT_ACCOUNT,
) -> tuple[_load_generator.CallerGroup, _load_generator.CallerGroup]:
    tokens = fleet.workload()["tokens"]
    url = fleet.nodes[0].url
    checks = _load_generator.CallerGroup(
        url, tokens[_load_generator.CHECK_ACCOUNT]
    )
    audits = _load_generator.CallerGroup(url, tokens[audit_account])
    stop = asyncio.Event()
    caller_runs = [
        checks.run(f"/v1/services/{check}", callers=CHECK_CALLERS, stop=stop)
    ]
    if audit:
        path = f"/v1/services/{audit}"
        caller_runs.append(audits.run(path, callers=AUDIT_CALLERS, stop=stop))
    asyncio.get_running_loop().call_later(PHASE_S, stop.set)
    await asyncio.gather(*caller_runs)
    return checks, audits


def _figures(unloaded, prioritised, unprioritised):
    unloaded_s = statistics.median(unloaded[0].elapsed_s)
    phases = {"unloaded": unloaded, "in the flood": prioritised}
    phases["in the flood, no order"] = unprioritised
    for name, (checks, audits) in phases.items():
        median_s = statistics.median(checks.elapsed_s)
        p95_s = statistics.quantiles(checks.elapsed_s, n=20)[-1]
        yield bench.Figure(f"check {name}, median", median_s * 1000, "ms")
        yield bench.Figure(f"check {name}, 95 %", p95_s * 1000, "ms")
        target = ""
        met = None
        if name == "in the flood":
            target = f"at most {MAX_SLOWDOWN}"
            met = median_s / unloaded_s <= MAX_SLOWDOWN
        ratio = median_s / unloaded_s
        yield bench.Figure(
            f"check {name} over unloaded", ratio, "times", target, met
        )
        ran_per_s = len(audits.elapsed_s) / PHASE_S
        yield bench.Figure(f"audits {name}", ran_per_s, "1/s")
    wrong = sum(c.wrong for pair in phases.values() for c in pair)
    yield bench.Figure("wrong answers", wrong, "", "0", wrong == 0)


@bench.BENCHMARKS.register("retries")
def retries() -> list[bench.Figure]:
    """Measure how many requests reach executors that are all slow."""
    with (
        _load_generator.load_test_folder() as folder,
        _load_generator.create_fleet(folder, executors=EXECUTORS) as fleet,
    ):
        fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
        for vm_id in fleet.executor_urls:
            fleet.executor_faults(vm_id, delay_s=SLOW_RUN_S)
        sent = asyncio.run(_send_to_slow(fleet))
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


async def _send_to_slow(fleet: fleet_module.Fleet) -> int:
    token = fleet.workload()["tokens"][_load_generator.CHECK_ACCOUNT]
    caller = _load_generator.CallerGroup(fleet.nodes[0].url, token)
    stop = asyncio.Event()
    asyncio.get_running_loop().call_later(3 * PHASE_S, stop.set)
    await caller.run(
        "/v1/services/slow-check", callers=SLOW_CALLERS, stop=stop
    )
    return len(caller.elapsed_s) + caller.refused + caller.wrong
