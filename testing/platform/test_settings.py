"""The platform's settings file."""

from __future__ import annotations

import pytest
from returns import result

from knapweedwharf.fleet import capacity
from knapweedwharf.platform import settings

TEXT = """
node_name=frontend-antigua-1
zone=antigua
ip_address=10.1.0.19
listen_addresses.frontend=10.1.0.19:8521
listen_addresses.ready=10.1.0.19:8523
platform.address=10.200.1.7:8524
platform.min_ttl_ms=1000
bounds.max_hold_ms=6000
bounds.cancel_ms=4000
bounds.status_s=120
bounds.grace_period_s=6
limits.cpu_share=0.7
limits.cores=3
limits.memory_mb=552
limits.file_descriptors=8192
limits.link_mbps=200.0
some.new.field=whatever
"""


def test_known_fields_are_taken_and_others_let_pass():
    process_config = settings.parse(TEXT, source="test").unwrap()
    assert process_config.node_id == "frontend-antigua-1"
    assert process_config.store_address == "10.200.1.7:8524"
    assert process_config.bounds.max_lease_s == 6.0
    assert process_config.bounds.cancel_s == 4.0
    assert process_config.bounds.status_retention_s == 120.0


def test_the_limit_of_an_evacuation_is_optional():
    bare = settings.parse(TEXT, source="test").unwrap()
    assert bare.bounds.evacuation_s == 0.0
    text = TEXT + "bounds.evacuation_ms=5000\n"
    limited = settings.parse(text, source="test").unwrap()
    assert limited.bounds.evacuation_s == 5.0


def test_every_fault_is_named_at_once():
    broken = TEXT.replace("10.200.1.7:8524", "nowhere").replace(
        "bounds.max_hold_ms=6000", "bounds.max_hold_ms=-1"
    )
    faults = settings.parse(broken, source="test").failure()
    named = {fault.field for fault in faults}
    assert named == {"platform.address", "max_hold_ms"}


def test_a_missing_file_names_the_variable():
    read = settings.read("no/such/file")
    assert isinstance(read, result.Failure)
    assert settings.PATH_VARIABLE in read.failure()[0].remedy


def test_the_limits_of_the_vm_are_its_capacity():
    process_config = settings.parse(TEXT, source="test").unwrap()
    assert process_config.capacity.cores == pytest.approx(2.1)
    assert process_config.capacity.link_bps == 200e6
    assert process_config.capacity.memory_bytes == 552e6
    assert process_config.capacity.file_descriptors == 8192


def test_limits_that_are_not_stated_have_defaults():
    bare = "\n".join(
        line for line in TEXT.splitlines() if not line.startswith("limits.")
    )
    process_config = settings.parse(bare, source="test").unwrap()
    assert process_config.capacity == capacity.Capacity()


@pytest.mark.parametrize("value", ["", "0", "-1", "nan", "inf", "many"])
@pytest.mark.parametrize(
    "name",
    ["cpu_share", "cores", "memory_mb", "file_descriptors", "link_mbps"],
)
def test_a_broken_limit_is_refused_with_the_other_faults(name, value):
    broken = TEXT.replace("10.200.1.7:8524", "nowhere")
    broken += f"limits.{name}={value}\n"
    faults = settings.parse(broken, source="test").failure()
    named = {fault.field for fault in faults}
    assert named == {"platform.address", f"limits.{name}"}


@pytest.mark.parametrize("value", ["inf", "-inf", "nan", "1e999", "1e300"])
@pytest.mark.parametrize(
    "name",
    [
        "bounds.max_hold_ms",
        "bounds.status_s",
        "platform.min_ttl_ms",
        "limits.cpu_share",
        "limits.link_mbps",
    ],
)
def test_a_number_that_no_time_out_can_take_is_refused(name, value):
    faults = settings.parse(f"{TEXT}\n{name}={value}", source="test").failure()
    assert [fault.field for fault in faults] == [name.removeprefix("bounds.")]


@pytest.mark.parametrize("port", ["0", "65536", "70000", "99999"])
@pytest.mark.parametrize(
    "name", ["platform.address", "listen_addresses.ready", "advisor"]
)
def test_a_port_out_of_range_is_refused(name, port):
    text = f"{TEXT}\n{name}=10.0.0.1:{port}"
    faults = settings.parse(text, source="test").failure()
    assert [fault.field for fault in faults] == [name]


def test_an_address_that_is_no_ip_is_refused():
    text = f"{TEXT}\nplatform.address=10.0.0.999:80"
    faults = settings.parse(text, source="test").failure()
    assert [fault.field for fault in faults] == ["platform.address"]
