"""Reads and validates the platform's settings file."""

from __future__ import annotations

import pathlib
import typing

import marshmallow
from marshmallow import fields
from marshmallow import validate
from returns import result

from knapweedwharf import errors
from knapweedwharf.fleet import capacity
from knapweedwharf.fleet import model
from knapweedwharf.platform import field

PATH_VARIABLE = "KNAPWEEDWHARF_SETTINGS"
DEFAULT_PATH = "/etc/knapweedwharf/node.conf"

_MS_PER_S = 1000.0
_BITS_PER_MEGABIT = 1e6
_BYTES_PER_MB = 1e6
_DEFAULT_CAPACITY = capacity.Capacity()


def _check_address(value: str) -> None:
    try:
        field.address_of(value)
    except field.Malformed as error:
        raise marshmallow.ValidationError("Not an IP:port address.") from error


def _check_optional_address(value: str) -> None:
    if value:
        _check_address(value)


def _positive(**options: typing.Any) -> fields.Float:
    return fields.Float(
        validate=validate.Range(
            min=0, max=field.MAX_DURATION_MS, min_inclusive=False
        ),
        **options,
    )


class _FileSchema(marshmallow.Schema):
    """The fields that this process uses."""

    class Meta:
        """Ignores unknown fields; other contracts add and remove theirs."""

        unknown = marshmallow.EXCLUDE

    node_name = fields.Str(required=True)
    ip_address = fields.Str(required=True)
    zone = fields.Str(required=True)
    frontend = fields.Str(
        required=True,
        data_key="listen_addresses.frontend",
        validate=_check_address,
    )
    ready = fields.Str(
        required=True,
        data_key="listen_addresses.ready",
        validate=_check_address,
    )
    platform = fields.Str(
        required=True, data_key="platform.address", validate=_check_address
    )
    advisor = fields.Str(load_default="", validate=_check_optional_address)
    cloud_api = fields.Str(
        load_default="",
        data_key="cloud_api.address",
        validate=_check_optional_address,
    )
    min_ttl_ms = fields.Float(
        load_default=1000.0,
        data_key="platform.min_ttl_ms",
        validate=validate.Range(min=0, max=field.MAX_DURATION_MS),
    )
    cpu_share = _positive(
        load_default=_DEFAULT_CAPACITY.cores, data_key="limits.cpu_share"
    )
    cores = _positive(load_default=1.0, data_key="limits.cores")
    memory_mb = _positive(
        load_default=_DEFAULT_CAPACITY.memory_bytes / _BYTES_PER_MB,
        data_key="limits.memory_mb",
    )
    file_descriptors = _positive(
        load_default=_DEFAULT_CAPACITY.file_descriptors,
        data_key="limits.file_descriptors",
    )
    link_mbps = _positive(
        load_default=_DEFAULT_CAPACITY.link_bps / _BITS_PER_MEGABIT,
        data_key="limits.link_mbps",
    )
    max_hold_ms = _positive()
    stop_timeout_ms = _positive()
    revocation_ms = _positive()
    lease_duration_ms = _positive()
    cancel_ms = _positive()
    reclaim_timeout_ms = _positive()
    grace_period_s = _positive()
    status_s = _positive()
    maintenance_s = _positive()
    migration_s = _positive()
    evacuation_ms = _positive()


_BOUND_FIELDS = {
    "max_hold_ms": "max_lease_s",
    "stop_timeout_ms": "stop_timeout_s",
    "revocation_ms": "revocation_s",
    "lease_duration_ms": "owner_lease_s",
    "cancel_ms": "cancel_s",
    "reclaim_timeout_ms": "reclaim_timeout_s",
    "grace_period_s": "grace_period_s",
    "status_s": "status_retention_s",
    "maintenance_s": "maintenance_s",
    "migration_s": "migration_s",
    "evacuation_ms": "evacuation_s",
}
"""Field of the settings file to field of ``model.TimeLimits``."""


def read(path: str) -> result.Result[model.ProcessConfig, list[errors.Fault]]:
    """Read and validate the settings file; return all faults on failure."""
    try:
        text = pathlib.Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure(
            [
                errors.InvalidField(
                    message=f"Cannot read the settings file: {error}.",
                    remedy=f"Set {PATH_VARIABLE} to a readable file.",
                    source=path,
                    field="",
                    value="",
                )
            ]
        )
    return parse(text, source=path)


def parse(
    text: str, *, source: str
) -> result.Result[model.ProcessConfig, list[errors.Fault]]:
    """Validate settings, one ``a.b=value`` per line."""
    raw: dict[str, str] = {}
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if equals and not line.lstrip().startswith("#"):
            raw[name.strip().removeprefix("bounds.")] = value.strip()
    try:
        loaded = _FileSchema().load(raw)
    except marshmallow.ValidationError as error:
        return result.Failure(_faults(error, raw, source))
    return result.Success(_process_config(loaded))


def _faults(
    error: marshmallow.ValidationError, raw: dict[str, str], source: str
) -> list[errors.Fault]:
    return [
        errors.InvalidField(
            message=" ".join(map(str, messages)),
            remedy="Correct this line of the settings file.",
            source=source,
            field=name,
            value=repr(raw.get(name, "")),
        )
        for name, messages in error.normalized_messages().items()
    ]


def _process_config(loaded: dict[str, typing.Any]) -> model.ProcessConfig:
    bounds = {
        bound_name: loaded[setting_name]
        / (_MS_PER_S if setting_name.endswith("_ms") else 1.0)
        for setting_name, bound_name in _BOUND_FIELDS.items()
        if setting_name in loaded
    }
    return model.ProcessConfig(
        node_id=loaded["node_name"],
        data_centre=loaded["zone"],
        ip_address=loaded["ip_address"],
        frontend_address=loaded["frontend"],
        readiness_address=loaded["ready"],
        store_address=loaded["platform"],
        min_lease_s=loaded["min_ttl_ms"] / _MS_PER_S,
        advisor_address=loaded["advisor"],
        machines_address=loaded["cloud_api"],
        bounds=model.TimeLimits(**bounds),
        capacity=_capacity(loaded),
    )


def _capacity(loaded: dict[str, typing.Any]) -> capacity.Capacity:
    # The file states a share of one core and how many times faster than
    # a normal core that core is.
    return capacity.Capacity(
        cores=loaded["cpu_share"] * loaded["cores"],
        link_bps=loaded["link_mbps"] * _BITS_PER_MEGABIT,
        memory_bytes=loaded["memory_mb"] * _BYTES_PER_MB,
        file_descriptors=loaded["file_descriptors"],
    )
