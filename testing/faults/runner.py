"""Runs a schedule of faults on a fleet and returns the violations."""

from __future__ import annotations

import functools
import pathlib
import subprocess
import threading

from standins import caller
from standins import fleet as fleet_module
from standins import loopback
from standins import oracle
from standins import processes
from testing.faults import schedule
from testing.features import context as context_module

FOLDER = pathlib.Path("examples/escaleras/folder")
DATA_CENTRES = ["antigua", "chimal"]
BORROWER = "citricos-norte"
GUARANTEED = "valle-cafe"
SLOW_STORE_S = 0.3
SETTLE_TIMEOUT_S = 120.0


class Runner:
    """Executes steps; work runs in separate threads.

    :ivar revisions: node id to the revisions seen on it, in order.
    """

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self._fleet = fleet
        self._callers = caller.Callers(fleet)
        self._context = context_module.Context(
            fleet=fleet, callers=self._callers
        )
        self._frozen_nodes: set[str] = set()
        self._frozen_processes: list[subprocess.Popen] = []
        self._threads: list[threading.Thread] = []
        self._numbers = iter(range(1, 1000))
        self.revisions: dict[str, list[int]] = {}

    def run(self, steps: list[schedule.Step]) -> list[str]:
        """Run the steps, remove all faults and check the result."""
        for step in steps:
            getattr(self, f"_{step.kind}")(step)
            self._record_revisions()
        self._heal_faults()
        for thread in self._threads:
            thread.join()
        return self._collect_violations()

    # Steps

    def _node(self, step: schedule.Step) -> None:
        node = self._fleet.nodes[step.place % len(self._fleet.nodes)]
        frozen = node.node_id in self._frozen_nodes
        if step.action == "restart" and not node.running:
            self._fleet.start_node(node)
        elif step.action == "thaw" and frozen and node.running:
            self._thaw_node(node)
        elif step.action == "freeze" and node.running:
            self._fleet.freeze(node)
            self._frozen_nodes.add(node.node_id)
        elif step.action == "kill" and node.running:
            self._fleet.kill(node)
        elif step.action == "drain" and node.running and not frozen:
            node.process.terminate()

    def _thaw_node(self, node: fleet_module.NodeProcess) -> None:
        self._fleet.thaw(node)
        self._frozen_nodes.discard(node.node_id)

    def _store(self, step: schedule.Step) -> None:
        switches = {
            "outage": {"outage": True},
            "slow": {"delay_s": SLOW_STORE_S},
            "lose-answers": {"lose_answers": 1 + step.place},
            "drop-events": {"drop_events": 1 + step.place},
            "heal": {"outage": False, "delay_s": 0.0},
        }
        self._fleet.faults(**switches[step.action])

    def _network(self, step: schedule.Step) -> None:
        if step.action == "cut":
            self._fleet.network.cut(*DATA_CENTRES)
        elif step.action == "isolate":
            self._fleet.isolate(DATA_CENTRES[step.place % 2])
        else:
            self._fleet.heal_partitions()

    def _list(self, step: schedule.Step) -> None:
        vms = self._fleet.vms()
        if step.action == "empty":
            vms = []
        elif step.action == "leaving":
            executors = [vm for vm in vms if vm["kind"] == "executor"]
            executors[step.place % len(executors)]["leaving"] = True
        elif step.action == "no-entries":
            vms = [vm for vm in vms if vm["kind"] != "entry"]
        self._fleet.list_vms(vms)

    def _process(self, step: schedule.Step) -> None:
        if step.action == "thaw":
            self._thaw_processes()
            return
        choices = {
            "freeze-executor": self._fleet.executor_processes,
            "freeze-workers": self._fleet.worker_processes,
        }[step.action]
        names = sorted(choices)
        process = choices[names[step.place % len(names)]]
        processes.freeze(process)
        self._frozen_processes.append(process)

    def _thaw_processes(self) -> None:
        for process in self._frozen_processes:
            processes.thaw(process)
        self._frozen_processes.clear()

    def _executor(self, step: schedule.Step) -> None:
        vm_ids = sorted(self._fleet.executor_urls)
        vm_id = vm_ids[step.place % len(vm_ids)]
        if self._fleet.executor_processes[vm_id] in self._frozen_processes:
            return
        self._fleet.executor_faults(vm_id, **{step.action: 1})

    def _worker(self, step: schedule.Step) -> None:
        worker = self._fleet.workers[step.place]
        place = worker["data_centre"]
        if self._fleet.worker_processes[place] in self._frozen_processes:
            return
        worker_id = worker["worker_id"]
        self._fleet.worker_faults(worker_id, **{step.action: True})

    def _work(self, step: schedule.Step) -> None:
        action = getattr(self, "_" + step.action.replace("-", "_"))
        work = functools.partial(action, step, next(self._numbers))
        self._spawn(work)

    def _spawn(self, action) -> None:
        thread = threading.Thread(target=action)
        thread.start()
        self._threads.append(thread)
        thread.join(0.3)

    def _target(self, place: int) -> fleet_module.NodeProcess:
        return self._fleet.nodes[place % len(self._fleet.nodes)]

    # Work

    def _booking(self, step: schedule.Step, number: int) -> None:
        self._send(f"once-{number}", self._target(step.place))

    def _booking_twice(self, step: schedule.Step, number: int) -> None:
        key = f"twice-{number}"
        for place in (step.place, step.place + 1):
            send = functools.partial(self._send, key, self._target(place))
            self._spawn(send)

    def _send(self, key: str, node: fleet_module.NodeProcess) -> None:
        self._callers.send(
            context_module.ONCE_SERVICE,
            account=GUARANTEED,
            body=f"ladder {key}",
            key=key,
            node=node,
        )

    def _check(self, step: schedule.Step, number: int) -> None:
        self._callers.send(
            "booking-check",
            account="mostrador",
            body=f"orchard {number}",
            node=self._target(step.place),
        )

    def _gang(self, step: schedule.Step, number: int) -> None:
        self._callers.submit(
            f"gang-{number}",
            account=BORROWER,
            node=self._target(step.place),
            data_centre="antigua",
            tasks=1 + step.place,
            accelerators_per_task=8,
            within="rack",
            declared_run_s=1.0,
        )

    def _guaranteed(self, step: schedule.Step, number: int) -> None:
        self._callers.submit(
            f"guaranteed-{number}",
            account=GUARANTEED,
            node=self._target(step.place),
            data_centre="antigua",
            tasks=2,
            accelerators_per_task=8,
            within="rack",
            declared_run_s=0.5,
        )

    def _cancel(self, step: schedule.Step, _number: int) -> None:
        jobs = sorted(self._callers.accepted_jobs)
        if jobs:
            self._callers.cancel(jobs[step.place % len(jobs)])

    def _change(self, step: schedule.Step, number: int) -> None:
        self._change_through(self._target(step.place), f"change {number}")

    def _change_race(self, step: schedule.Step, number: int) -> None:
        for place in (step.place, step.place + 1):
            node = self._target(place)
            message = f"change {number} through {node.node_id} {place}"
            change = functools.partial(self._change_through, node, message)
            self._spawn(change)

    def _change_through(
        self, node: fleet_module.NodeProcess, message: str
    ) -> None:
        base = self._context.status(node).get("revision")
        if base:
            self._context.change(message, base_revision=base, node=node)

    # Checks

    def _record_revisions(self) -> None:
        for node in self._fleet.nodes:
            if not node.running or node.node_id in self._frozen_nodes:
                continue
            if loopback.call("GET", node.url + "/readyz").status != 200:
                continue
            revision = self._context.status(node).get("revision")
            if revision is not None:
                self.revisions.setdefault(node.node_id, []).append(revision)

    def _heal_faults(self) -> None:
        self._thaw_processes()
        self._fleet.heal_partitions()
        self._fleet.list_vms(self._fleet.vms())
        self._fleet.faults(
            outage=False, delay_s=0.0, lose_answers=0, drop_events=0
        )
        for worker in self._fleet.workers:
            switches = {name: False for name in schedule.WORKER_FAULTS}
            self._fleet.worker_faults(worker["worker_id"], **switches)
        for vm_id in self._fleet.executor_urls:
            switches = {name: 0 for name in schedule.EXECUTOR_FAULTS}
            self._fleet.executor_faults(vm_id, **switches)
        for node in self._fleet.nodes:
            if node.node_id in self._frozen_nodes and node.running:
                self._thaw_node(node)
        for node in self._fleet.nodes:
            self._restart(node)

    def _restart(self, node: fleet_module.NodeProcess) -> None:
        def ready() -> bool:
            if not node.running:
                self._fleet.start_node(node)
            answer = loopback.call("GET", node.url + "/readyz")
            return answer.status == 200

        loopback.until(
            ready,
            what=f"{node.node_id} to be ready after its faults",
            timeout_s=60.0,
        )

    def _collect_violations(self) -> list[str]:
        violations = self._unfinished()
        violations += oracle.check_worker_histories(self._fleet)
        violations += self._context.answer_violations()
        highest = self._context.revision()
        for node in self._fleet.nodes:
            if not self._reaches_revision(node, highest):
                violations.append(
                    f"{node.node_id} does not reach revision {highest}"
                )
            seen = self.revisions.get(node.node_id, [])
            violations += oracle.find_revision_decreases(
                seen + [self._in_force(node)]
            )
            history = self._context.history(node)
            violations += oracle.check_audit_trail(
                history, self._callers.changes
            )
        return violations

    def _in_force(self, node: fleet_module.NodeProcess) -> int:
        return self._context.status(node)["revision"]

    def _reaches_revision(
        self, node: fleet_module.NodeProcess, revision: int
    ) -> bool:
        return _holds_eventually(lambda: self._in_force(node) >= revision)

    def _unfinished(self) -> list[str]:
        violations = []
        for job_id in self._callers.accepted_jobs:
            if not _holds_eventually(lambda: self._final(job_id)):
                state = self._callers.job(job_id)
                violations.append(
                    f"{job_id} does not end: {state or 'unknown'}"
                )
            elif job_id.startswith("guaranteed"):
                violations += self._check_guaranteed(job_id)
        if not violations and not _holds_eventually(
            lambda: not oracle.find_leftover_attempts(self._fleet)
        ):
            violations += oracle.find_leftover_attempts(self._fleet)
        return violations

    def _check_guaranteed(self, job_id: str) -> list[str]:
        state = self._callers.state(job_id)
        if state in ("finished", "cancelled", "failed"):
            return []
        return [f"{job_id} did not get its guarantee: {state}"]

    def _final(self, job_id: str) -> bool:
        return self._callers.state(job_id) in caller.FINAL_STATES


def _holds_eventually(condition) -> bool:
    try:
        loopback.until(condition, what="", timeout_s=SETTLE_TIMEOUT_S)
    except TimeoutError:
        return False
    return True


def run(steps: list[schedule.Step]) -> list[str]:
    """Run a schedule on a fresh fleet."""
    with fleet_module.Fleet(
        folder=FOLDER,
        data_centres=DATA_CENTRES,
        nodes_per_data_centre=2,
    ) as fleet:
        fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
        return Runner(fleet).run(steps)
