"""Crowds of clients at a node's HTTP server."""

from __future__ import annotations

from collections import abc
import pathlib

import pytest

from standins import fleet as fleet_module
from testing.web import crowd as crowd_module

FOLDER = pathlib.Path("examples/escaleras/folder")
TOKEN = "sample-mostrador-token"
PATH = "/v1/services/booking-check"
START = (
    f"POST {PATH} HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer {TOKEN}\r\n"
)
MAX_CONNECTIONS = 150
MAX_BUFFERED_BYTES = 4 * 1_048_576
CONNECTION_BYTES = 65_536
"""Memory of one connection beside its body."""

OWN_SOCKETS = 40
"""More than a node opens to the store, its peers and executors here."""

NODE_OPTIONS = {
    "max-body-bytes": str(crowd_module.BODY_BYTES),
    "max-buffered-bytes": str(MAX_BUFFERED_BYTES),
    "max-connections": str(MAX_CONNECTIONS),
}


@pytest.fixture
def fleet() -> abc.Iterator[fleet_module.Fleet]:
    """Run a node with small limits."""
    with fleet_module.Fleet(
        folder=FOLDER, data_centres=["antigua"], node_options=NODE_OPTIONS
    ) as running:
        running.wait_revision(running.apply_folder(running.nodes[0]))
        yield running


def _is_served(fleet: fleet_module.Fleet) -> bool:
    answer = fleet.call(
        fleet.nodes[0], "POST", PATH, token=TOKEN, body=b"ladder 12"
    )
    return answer.status == 200


@pytest.mark.parametrize("pattern", crowd_module.PATTERNS)
def test_a_crowd_ends_no_node(fleet, pattern):
    node = fleet.nodes[0]
    assert _is_served(fleet)
    # A body is held as it was received and, while it is served, once more.
    bounds = crowd_module.Bounds(
        memory_bytes=crowd_module.memory_bytes(node.process, "VmRSS")
        + 2 * MAX_BUFFERED_BYTES
        + MAX_CONNECTIONS * CONNECTION_BYTES,
        sockets=MAX_CONNECTIONS + OWN_SOCKETS,
    )
    watched = crowd_module.Watched(node.process, bounds)
    parts = crowd_module.PATTERNS[pattern](START)
    with crowd_module.Crowd(node.http_port, parts) as crowd:
        watched.check("beside open connections", _is_served(fleet))
        crowd.send()
        watched.check("beside the crowd", _is_served(fleet))
    watched.check("after the crowd", _is_served(fleet))
    assert not watched.broken, "; ".join(watched.broken)
