"""Reported outcomes compared with the execution logs of executors.

Entry VMs run as processes against stand-ins of the platform and the
executors; failures are injected from a seed.
"""

from __future__ import annotations

import collections
from collections import abc
from concurrent import futures
import json
import pathlib
import random
import signal
import socket
import time

import pytest

from knapweedwharf import node as node_module
from knapweedwharf.routing import health
from standins import fleet as fleet_module

FOLDER = pathlib.Path("examples/escaleras/folder")
TOKEN = "sample-mostrador-token"
CHECK = "/v1/services/booking-check"
BOOKING = "/v1/services/booking"
OUTCOME = "knapweedwharf-outcome"
SEEDS = range(3)
STOP_TIMEOUT_S = 20.0
FAULTS = ("drop_before", "drop_after", "truncated", "crossed")


@pytest.fixture
def fleet() -> abc.Iterator[fleet_module.Fleet]:
    """Start two entry VMs and three executors in one data centre."""
    with fleet_module.Fleet(
        folder=FOLDER,
        data_centres=["antigua"],
        nodes_per_data_centre=2,
        executors_per_data_centre=3,
    ) as running:
        running.wait_revision(running.apply_folder(running.nodes[0]))
        yield running


def _send_request(
    fleet: fleet_module.Fleet,
    node: fleet_module.NodeProcess,
    path: str,
    *,
    body: bytes,
    key: str | None = None,
    **headers: str,
) -> fleet_module.Answer:
    sent = {name.replace("_", "-"): value for name, value in headers.items()}
    if key is not None:
        sent["Idempotency-Key"] = key
    return fleet.call(node, "POST", path, token=TOKEN, body=body, headers=sent)


def _run_counts(fleet: fleet_module.Fleet) -> collections.Counter:
    return collections.Counter(e["request_id"] for e in fleet.executions())


def _set_faults(fleet: fleet_module.Fleet, **switches) -> None:
    for vm_id in fleet.executor_urls:
        fleet.executor_faults(vm_id, **switches)


@pytest.mark.parametrize("seed", SEEDS)
def test_reported_outcomes_match_executions_under_faults(
    fleet, seed: int
) -> None:
    generator = random.Random(seed)
    names = [f"key-{n}" for n in range(40)]
    reported: dict[str, str] = {}

    def send(name: str) -> None:
        path = generator.choice([CHECK, BOOKING])
        node = generator.choice(fleet.nodes)
        answer = _send_request(fleet, node, path, body=name.encode(), key=name)
        reported[name] = answer.headers.get(OUTCOME, "none")
        if answer.status == 200:
            assert answer.json()["echo"] == name
            assert answer.json()["request_id"] == name

    with futures.ThreadPoolExecutor(6) as threads:
        for start in range(0, len(names), 10):
            for vm_id in fleet.executor_urls:
                switches = {n: generator.choice([0, 1]) for n in FAULTS}
                fleet.executor_faults(vm_id, **switches)
            list(threads.map(send, names[start : start + 10]))
    runs = _run_counts(fleet)
    assert "none" not in reported.values()
    for name, word in reported.items():
        assert not (word == "did-not-run" and runs[name])
        assert not (word == "ran" and not runs[name])


def test_same_key_on_both_nodes_runs_once(fleet) -> None:
    _set_faults(fleet, delay_s=0.05)
    names = [f"key-{n}" for n in range(20)]
    pairs = [(node, name) for name in names for node in fleet.nodes]

    def send(sent: tuple[fleet_module.NodeProcess, str]):
        node, name = sent
        return _send_request(
            fleet, node, BOOKING, body=name.encode(), key=name
        )

    fleet.faults(lose_answers=15)
    with futures.ThreadPoolExecutor(8) as threads:
        first = list(threads.map(send, pairs))
        again = list(threads.map(send, pairs))
    assert max(_run_counts(fleet).values()) == 1
    assert {a.headers[OUTCOME] for a in first} <= {"ran", "did-not-run"}
    assert {a.headers[OUTCOME] for a in again} == {"ran"}
    assert [a.json()["request_id"] for a in again[::2]] == names
    assert [a.body for a in again[::2]] == [a.body for a in again[1::2]]


def test_killed_node_leaves_unknown_and_nothing_runs_again(fleet) -> None:
    _set_faults(fleet, delay_s=2.0)
    first, second = fleet.nodes
    with futures.ThreadPoolExecutor(1) as threads:
        lost = threads.submit(
            _send_request, fleet, first, BOOKING, body=b"x", key="key"
        )
        fleet_module.until(lambda: _run_counts(fleet)["key"], what="a run")
        fleet.kill(first)
        assert lost.result().status == 0
    looked_up = fleet.call(second, "GET", "/v1/requests/key", token=TOKEN)
    assert looked_up.headers[OUTCOME] == "unknown"
    again = _send_request(
        fleet, second, BOOKING, body=b"x", key="key", Request_Timeout_S="1"
    )
    assert again.headers[OUTCOME] == "unknown"
    assert _run_counts(fleet)["key"] == 1


def test_outage_refuses_bookings_and_serves_checks(fleet) -> None:
    node = fleet.nodes[0]
    fleet.faults(outage=True)
    for number in range(3):
        check = _send_request(fleet, node, CHECK, body=b"x")
        assert check.headers[OUTCOME] == "ran"
        booking = _send_request(
            fleet, node, BOOKING, body=b"x", key=f"key-{number}"
        )
        assert booking.headers[OUTCOME] == "did-not-run"
        assert int(booking.headers["retry-after"]) >= 1
    looked_up = fleet.call(node, "GET", "/v1/requests/key-0", token=TOKEN)
    assert looked_up.headers[OUTCOME] == "unknown"
    assert "booking" not in {e["service"] for e in fleet.executions()}
    fleet.faults(outage=False)
    later = _send_request(
        fleet, fleet.nodes[1], BOOKING, body=b"x", key="key-0"
    )
    assert later.headers[OUTCOME] == "ran"


def _received_count(fleet: fleet_module.Fleet, vm_id: str) -> int:
    url = fleet.executor_urls[vm_id]
    return fleet_module.http("GET", url + "/log").json()["arrivals"]


def test_leaving_executor_gets_nothing_while_the_list_lags(fleet) -> None:
    node = fleet.nodes[0]
    leaving, *others = fleet.executor_urls
    for _request in range(12):
        _send_request(fleet, node, CHECK, body=b"x")
    fleet.executor_faults(leaving, leaving=True)
    time.sleep(health.MAX_SIGNAL_AGE_S)
    before = _received_count(fleet, leaving)
    for number in range(40):
        if number == 20:
            fleet.faults(outage=True)
        answer = _send_request(
            fleet, fleet.nodes[number % 2], CHECK, body=b"x"
        )
        assert answer.headers[OUTCOME] == "ran"
    assert _received_count(fleet, leaving) == before
    assert all(_received_count(fleet, vm_id) for vm_id in others)


def test_live_executors_are_used_after_the_list_empties(fleet) -> None:
    fleet.platform("POST", "/control", {"vms": []})
    time.sleep(1.5)
    for node in fleet.nodes:
        answer = _send_request(fleet, node, CHECK, body=b"x")
        assert answer.headers[OUTCOME] == "ran"


class _Load:
    """Six callers that send requests until they are stopped."""

    def __init__(
        self, fleet: fleet_module.Fleet, node: fleet_module.NodeProcess
    ) -> None:
        self._fleet = fleet
        self._node = node
        self._threads = futures.ThreadPoolExecutor(6)
        self._stopping = False
        self._sent = [self._threads.submit(self._send, n) for n in range(6)]

    def _send(self, caller: int) -> list[fleet_module.Answer]:
        answers = []
        path = [CHECK, BOOKING][caller % 2]
        while not self._stopping:
            answers.append(
                _send_request(self._fleet, self._node, path, body=b"x")
            )
        return answers

    def stop(self) -> list[fleet_module.Answer]:
        """Stop the callers and return all answers."""
        self._stopping = True
        answers = [a for sent in self._sent for a in sent.result()]
        self._threads.shutdown()
        return answers


def _exit_code(node: fleet_module.NodeProcess) -> int:
    return node.process.wait(STOP_TIMEOUT_S)


def test_shutdown_under_load_cuts_nothing(fleet) -> None:
    _set_faults(fleet, delay_s=0.05)
    node = fleet.nodes[0]
    load = _Load(fleet, node)
    fleet_module.until(
        lambda: sum(_run_counts(fleet).values()) > 50, what="load"
    )
    fleet.signal(node, signal.SIGTERM)
    fleet_module.until(
        lambda: fleet_module.http("GET", node.url + "/readyz").status == 503,
        what="readiness off",
    )
    answers = load.stop()
    assert {a.headers.get(OUTCOME) for a in answers} == {"ran"}
    assert _exit_code(node) == 0


def test_shutdown_waits_for_a_long_request_in_an_outage(fleet) -> None:
    _set_faults(fleet, delay_s=1.5)
    node = fleet.nodes[0]
    with futures.ThreadPoolExecutor(1) as threads:
        long = threads.submit(_send_request, fleet, node, CHECK, body=b"long")
        fleet_module.until(lambda: _run_counts(fleet), what="a run")
        fleet.faults(outage=True)
        fleet.signal(node, signal.SIGTERM)
        assert long.result().json()["echo"] == "long"
    assert _exit_code(node) == 0


def test_second_signal_ends_the_drain_and_says_so(fleet) -> None:
    _set_faults(fleet, delay_s=10.0)
    node = fleet.nodes[0]
    with futures.ThreadPoolExecutor(1) as threads:
        cut = threads.submit(
            _send_request, fleet, node, BOOKING, body=b"x", key="cut"
        )
        fleet_module.until(lambda: _run_counts(fleet), what="a run")
        fleet.signal(node, signal.SIGTERM)
        log = fleet.scratch / f"{node.node_id}.log"
        fleet_module.until(
            lambda: '"draining"' in log.read_text(), what="the drain"
        )
        fleet.signal(node, signal.SIGTERM)
        assert cut.result().headers[OUTCOME] == "unknown"
    assert _exit_code(node) == node_module.EXIT_REQUESTS_ABORTED
    lines = [json.loads(line) for line in log.read_text().splitlines()]
    drained = next(line for line in lines if line["event"] == "drained")
    assert drained["cut"] == 1
    looked_up = fleet.call(
        fleet.nodes[1], "GET", "/v1/requests/cut", token=TOKEN
    )
    assert looked_up.headers[OUTCOME] == "unknown"


def _exchange(kept: socket.socket, body: bytes) -> bytes:
    """Send a request on an open connection; return the answer."""
    head = (
        f"POST {CHECK} HTTP/1.1\r\nHost: node\r\n"
        f"Authorization: Bearer {TOKEN}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    kept.sendall(head.encode() + body)
    received = b""
    while body not in received:
        received += kept.recv(4096)
    return received


def test_draining_node_answers_late_requests_and_closes() -> None:
    with fleet_module.Fleet(
        folder=FOLDER,
        data_centres=["antigua"],
        node_options={"drain-wait-s": "3"},
    ) as fleet:
        node = fleet.nodes[0]
        fleet.wait_revision(fleet.apply_folder(node))
        address = ("127.0.0.1", node.http_port)
        kept = socket.create_connection(address, STOP_TIMEOUT_S)
        assert b"Connection: close" not in _exchange(kept, b"one")
        fleet.signal(node, signal.SIGTERM)
        fleet_module.until(
            lambda: fleet_module.http("GET", node.url + "/readyz").status
            != 200,
            what="readiness off",
        )
        assert b"Connection: close" in _exchange(kept, b"two")
        assert kept.recv(1) == b""
        kept.close()
        late = _send_request(fleet, node, CHECK, body=b"three")
        assert late.headers.get(OUTCOME) == "ran"
        assert _exit_code(node) == 0
