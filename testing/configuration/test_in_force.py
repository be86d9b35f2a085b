"""Accepted configuration on real processes, with faults of the store.

An accepted revision must take force on every node and must never be
lost or taken back when answers or watch events are lost, the store is
unreachable, or a node is paused or restarted.
"""

from __future__ import annotations

from collections import abc
import pathlib
import signal
import threading

import pytest

from standins import fleet as fleet_module

FOLDER = pathlib.Path("examples/escaleras/folder")
DATA_CENTRES = ["antigua", "chimal"]
FILE = "70-service-extra.toml"


@pytest.fixture(scope="module")
def fleet() -> abc.Iterator[fleet_module.Fleet]:
    """Two data centres of two entry VMs, with the sample folder applied."""
    with fleet_module.Fleet(
        folder=FOLDER, data_centres=DATA_CENTRES, nodes_per_data_centre=2
    ) as running:
        running.wait_revision(running.apply_folder(running.nodes[0]))
        yield running


def _call(fleet, node, method: str, path: str, document=None):
    token = fleet.operator_token()
    return fleet.call(node, method, path, token=token, document=document)


def _status(fleet, node) -> dict | None:
    answer = _call(fleet, node, "GET", "/v1/status")
    return answer.json() if answer.status == 200 else None


def _change(fleet, node, number: int, base: int):
    text = f"[service.extra]\ntimeout_s = {number + 1}\n"
    document = {"base_revision": base, "changed": {FILE: text}}
    return _call(fleet, node, "POST", "/v1/config", document)


def _revision(fleet, node) -> int:
    return _status(fleet, node)["revision"]


def _history(fleet, node) -> dict:
    return _call(fleet, node, "GET", "/v1/config/history").json()


def _until_revision(fleet, node, revision: int) -> None:
    fleet_module.until(
        lambda: (_status(fleet, node) or {}).get("revision") == revision,
        what=f"revision {revision} on {node.node_id}",
    )


def test_two_operators_at_once_on_two_vms(fleet) -> None:
    accepted: list[str] = []
    nodes = (fleet.nodes[0], fleet.nodes[3])

    def operator(node, offset: int) -> None:
        for number in range(8):
            base = _revision(fleet, node)
            answer = _change(fleet, node, offset + number, base)
            if answer.status == 200:
                accepted.append(answer.json()["write_id"])
            else:
                fault = answer.json()["error"]
                assert answer.status == 409, fault
                assert "config apply" in fault["remedy"]

    threads = [
        threading.Thread(target=operator, args=(node, 100 * index))
        for index, node in enumerate(nodes)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    history = _history(fleet, nodes[0])
    written = [item["write_id"] for item in history["revisions"]]
    assert history["complete"]
    assert sorted(written[1:]) == sorted(accepted)
    for node in fleet.nodes:
        _until_revision(fleet, node, len(written))


def test_lost_answer_is_found_again(fleet) -> None:
    node = fleet.nodes[0]
    base = _revision(fleet, node)
    fleet.faults(lose_answers=1)
    answer = _change(fleet, node, 300, base)
    fleet.faults(lose_answers=0)
    if answer.status != 200:
        assert answer.status == 504, answer.json()
        assert "write_id" in answer.json()["error"]["message"]
    numbers = [i["revision"] for i in _history(fleet, node)["revisions"]]
    assert numbers == list(range(1, base + 2))


def test_lost_events_are_made_good(fleet) -> None:
    base = _revision(fleet, fleet.nodes[0])
    fleet.faults(drop_events=100, compact=True)
    assert _change(fleet, fleet.nodes[0], 400, base).status == 200
    for node in fleet.nodes:
        _until_revision(fleet, node, base + 1)
    fleet.faults(drop_events=0)


def test_cut_data_centre_follows_by_its_peers(fleet) -> None:
    base = _revision(fleet, fleet.nodes[0])
    fleet.faults(cut=["chimal"])
    assert _change(fleet, fleet.nodes[0], 500, base).status == 200
    for node in fleet.nodes:
        _until_revision(fleet, node, base + 1)
    refused = _change(fleet, fleet.nodes[2], 501, base + 1)
    assert refused.status in (503, 504)
    fleet.faults(cut=[])
    answer = fleet_module.until(
        lambda: _accepted(_change(fleet, fleet.nodes[2], 501, base + 1)),
        what="the store to be reached again",
    )
    assert answer["revision"] == base + 2
    for node in fleet.nodes:
        _until_revision(fleet, node, base + 2)


def _accepted(answer) -> dict | None:
    return answer.json() if answer.status == 200 else None


def test_node_that_was_paused_catches_up_before_it_appends(fleet) -> None:
    paused = fleet.nodes[2]
    base = _revision(fleet, fleet.nodes[0])
    fleet.signal(paused, signal.SIGSTOP)
    for number in range(2):
        answer = _change(fleet, fleet.nodes[0], 650 + number, base + number)
        assert answer.status == 200
    fleet.signal(paused, signal.SIGCONT)
    late = _change(fleet, paused, 660, base)
    assert late.status == 409
    assert f"{base + 1} by head-office" in late.json()["error"]["message"]
    answer = _change(fleet, paused, 661, base + 2)
    assert answer.json()["revision"] == base + 3


def test_table_of_operations_in_an_outage(fleet) -> None:
    """Checks the configuration rows of docs/explanation/membership.md."""
    node = fleet.nodes[0]
    base = _revision(fleet, node)
    before = _history(fleet, node)["revisions"]
    fleet.faults(outage=True)
    applied = _change(fleet, node, 700, base)
    shown = _call(fleet, node, "GET", "/v1/config")
    remembered = _history(fleet, node)
    ready = fleet_module.http("GET", node.url + "/readyz")
    status = _status(fleet, node)
    fleet.faults(outage=False)
    assert applied.status in (503, 504)
    message = applied.json()["error"]["message"]
    assert "Nothing was applied" in message or "write_id" in message
    assert shown.json()["revision"] == base
    assert not remembered["complete"]
    assert (ready.status, status["store_reachable"]) == (200, False)
    after = fleet_module.until(
        lambda: _complete(_history(fleet, node)), what="the store to return"
    )
    assert after == before
    answer = fleet_module.until(
        lambda: _accepted(_change(fleet, node, 700, base)),
        what="the change to be taken after the outage",
    )
    assert answer["revision"] == base + 1


def _complete(history: dict) -> list[dict] | None:
    return history["revisions"] if history["complete"] else None


def test_node_restarted_in_an_outage_never_goes_back(fleet) -> None:
    node = fleet.nodes[1]
    base = _revision(fleet, fleet.nodes[0])
    assert _change(fleet, fleet.nodes[0], 600, base).status == 200
    for other in fleet.nodes:
        _until_revision(fleet, other, base + 1)
    fleet.faults(outage=True)
    fleet.kill(node)
    fleet.start_node(node)
    seen: list[int] = []

    def confirmed_by_peers() -> bool:
        status = _status(fleet, node)
        if status is not None:
            seen.append(status["revision"])
        return status is not None

    fleet_module.until(confirmed_by_peers, what="peers to answer")
    assert set(seen) == {base + 1}
    status = _status(fleet, node)
    assert not status["revision_confirmed"]
    assert not status["store_reachable"]
    fleet.faults(outage=False)
    fleet_module.until(
        lambda: _status(fleet, node)["revision_confirmed"],
        what="the store to confirm",
    )
    assert _revision(fleet, node) == base + 1


def test_node_without_store_and_peers_is_not_ready(fleet) -> None:
    node = fleet.nodes[3]
    base = _revision(fleet, fleet.nodes[0])
    fleet.faults(outage=True)
    for other in fleet.nodes:
        fleet.kill(other)
    fleet.start_node(node)
    fleet_module.until(
        lambda: fleet_module.http("GET", node.url + "/healthz").status == 200,
        what="the process to answer",
    )
    ready = fleet_module.http("GET", node.url + "/readyz")
    refused = _call(fleet, node, "GET", "/v1/status")
    assert (ready.status, refused.status) == (503, 503)
    assert "no configuration" in refused.json()["error"]["message"]
    fleet.faults(outage=False)
    _until_revision(fleet, node, base)
