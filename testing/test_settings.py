"""Defaults, validation errors and hidden secrets of the settings."""

from __future__ import annotations

import pytest

from knapweedwharf import settings as settings_module

VALID_SETTINGS = {
    "node_id": "antigua-entry-1",
    "data_centre": "antigua",
    "http_address": "127.0.0.1:8080",
    "peer_address": "127.0.0.1:8081",
    "platform_url": "http://127.0.0.1:2379",
    "peer_key": "a-key-of-sixteen-or-more",
}


def test_required_values_suffice() -> None:
    settings = settings_module.load(VALID_SETTINGS).unwrap()
    assert settings.worker_lease_s == settings_module.Settings.worker_lease_s


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("node_id", "Antigua 1"),
        ("http_address", "localhost:8080"),
        ("platform_url", "ftp://127.0.0.1"),
        ("owner_lease_s", "ten"),
        ("owner_lease_s", "-1"),
        ("max_body_bytes", "1.5"),
        ("log_level", "loud"),
        ("worker_lease_s", "61"),
        ("operator_token_sha256", "abc"),
    ],
)
def test_wrong_value_names_flag_and_variable(field: str, value: str) -> None:
    fault = settings_module.load({**VALID_SETTINGS, field: value}).failure()
    assert fault.field == field
    assert settings_module.flag_name(field) in fault.remedy
    assert settings_module.environment_name(field) in fault.remedy


@pytest.mark.parametrize("field", sorted(VALID_SETTINGS))
def test_missing_required_value_is_named(field: str) -> None:
    raw = {
        name: value for name, value in VALID_SETTINGS.items() if name != field
    }
    assert settings_module.load(raw).failure().field == field


def test_short_key_is_refused_without_showing_it() -> None:
    fault = settings_module.load(
        {**VALID_SETTINGS, "peer_key": "hunter2"}
    ).failure()
    assert "hunter2" not in str(fault)


def test_key_is_not_in_the_settings_text() -> None:
    settings = settings_module.load(VALID_SETTINGS).unwrap()
    assert VALID_SETTINGS["peer_key"] not in repr(settings)
