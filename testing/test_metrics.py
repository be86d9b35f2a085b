"""Metrics are sent to the statsd address, and discarded without one."""

from __future__ import annotations

import socket

import pytest

from knapweedwharf import metrics
from knapweedwharf import settings as settings_module
from knapweedwharf import telemetry
from testing import test_settings

STATUS = {
    "revision": 7,
    "revision_age_s": 0.5,
    "requests_in_flight": 2,
    "free_accelerators": 40,
    "queued_jobs": 3,
}


def _settings(**changed: str) -> settings_module.Settings:
    return settings_module.load(
        {**test_settings.VALID_SETTINGS, **changed}
    ).unwrap()


def test_gauges_reach_the_address() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        port = receiver.getsockname()[1]
        sender = metrics.create(_settings(statsd_address=f"127.0.0.1:{port}"))
        telemetry.Telemetry(sender=sender, status=lambda: STATUS).send()
        received = {receiver.recv(512).decode() for _number in range(6)}
    assert "knapweedwharf.node.revision:7|g" in received
    assert "knapweedwharf.scheduling.free_accelerators:40|g" in received


def test_without_an_address_nothing_is_sent() -> None:
    sender = metrics.create(_settings())
    telemetry.Telemetry(sender=sender, status=lambda: STATUS).send()


def test_a_name_is_defined_once() -> None:
    with pytest.raises(ValueError, match="node.revision"):
        metrics.define("node.revision", kind="gauge", unit="", text="")
