"""Settings of a node, read from flags and environment and validated."""

from __future__ import annotations

import dataclasses
import re

import marshmallow
from marshmallow import fields
from marshmallow import validate
from returns import result

from knapweedwharf import errors

ENVIRONMENT_PREFIX = "KNAPWEEDWHARF"
MINIMUM_KEY_LENGTH = 16
SECRET_FIELDS = frozenset({"peer_key", "peer_key_previous"})

_ADDRESS = re.compile(r"^[0-9.]+:[0-9]{1,5}$|^\[[0-9a-f:]+\]:[0-9]{1,5}$")
_NAME = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")
_ADDRESS_RULE = validate.Regexp(_ADDRESS, error="Not an IP:port address.")
_NAME_RULE = validate.Regexp(
    _NAME, error="Use lower-case letters, digits and hyphens."
)
_URL_RULE = validate.URL(
    schemes={"http"}, require_tld=False, error="Not an http:// address."
)


_KEY_RULE = validate.Length(min=MINIMUM_KEY_LENGTH)


def _positive(maximum: float) -> validate.Range:
    return validate.Range(min=0, max=maximum, min_inclusive=False)


@dataclasses.dataclass(frozen=True)
class Settings:
    """Startup settings of a node.

    Times are in seconds, sizes in bytes and addresses of the form IP:port.
    """

    node_id: str
    data_centre: str
    http_address: str
    peer_address: str
    platform_url: str
    peer_key: str = dataclasses.field(repr=False)
    peer_key_previous: str = dataclasses.field(default="", repr=False)
    store_kind: str = "etcd-json"
    directory_kind: str = "http-json"
    worker_kind: str = "http-json"
    executor_kind: str = "http"
    tls_certificate_file: str = ""
    tls_key_file: str = ""
    statsd_address: str = ""
    operator_token_sha256: str = ""
    log_level: str = "info"
    owner_lease_s: float = 10.0
    worker_lease_s: float = 180.0
    worker_renewal_s: float = 60.0
    gang_hold_s: float = 10.0
    heartbeat_interval_s: float = 2.0
    directory_interval_s: float = 1.0
    store_timeout_s: float = 2.0
    worker_timeout_s: float = 2.0
    checkpoint_timeout_s: float = 4.0
    job_retention_s: float = 86_400.0
    job_retention_count: int = 1_000
    drain_wait_s: float = 2.0
    drain_timeout_s: float = 30.0
    max_body_bytes: int = 1_048_576
    max_header_bytes: int = 16_384
    max_connections: int = 1_024
    max_buffered_bytes: int = 16_777_216
    max_waiting_requests: int = 512
    claim_retention_s: float = 86_400.0
    routing_policy: str = "least-of-two"

    def peer_keys(self) -> list[str]:
        """Return the keys that are accepted from peers."""
        return [key for key in (self.peer_key, self.peer_key_previous) if key]


class SettingsSchema(marshmallow.Schema):
    """Validates the raw values and builds :class:`Settings`."""

    node_id = fields.Str(required=True, validate=_NAME_RULE)
    data_centre = fields.Str(required=True, validate=_NAME_RULE)
    http_address = fields.Str(required=True, validate=_ADDRESS_RULE)
    peer_address = fields.Str(required=True, validate=_ADDRESS_RULE)
    platform_url = fields.Str(required=True, validate=_URL_RULE)
    peer_key = fields.Str(required=True, validate=_KEY_RULE)
    peer_key_previous = fields.Str(
        validate=lambda value: value == "" or _KEY_RULE(value)
    )
    store_kind = fields.Str()
    directory_kind = fields.Str()
    worker_kind = fields.Str()
    executor_kind = fields.Str()
    tls_certificate_file = fields.Str()
    tls_key_file = fields.Str()
    statsd_address = fields.Str(
        validate=lambda value: value == "" or _ADDRESS_RULE(value)
    )
    operator_token_sha256 = fields.Str(
        validate=validate.Regexp(r"^([0-9a-f]{64})?$")
    )
    log_level = fields.Str(
        validate=validate.OneOf(["debug", "info", "warning", "error"])
    )
    owner_lease_s = fields.Float(validate=_positive(3600))
    worker_lease_s = fields.Float(validate=_positive(3600))
    worker_renewal_s = fields.Float(validate=_positive(3600))
    gang_hold_s = fields.Float(validate=_positive(600))
    heartbeat_interval_s = fields.Float(validate=_positive(60))
    directory_interval_s = fields.Float(validate=_positive(60))
    store_timeout_s = fields.Float(validate=_positive(60))
    worker_timeout_s = fields.Float(validate=_positive(60))
    checkpoint_timeout_s = fields.Float(validate=_positive(600))
    job_retention_s = fields.Float(validate=_positive(31_536_000))
    job_retention_count = fields.Int(validate=_positive(10_000))
    drain_wait_s = fields.Float(validate=validate.Range(0, 600))
    drain_timeout_s = fields.Float(validate=_positive(3600))
    max_body_bytes = fields.Int(validate=_positive(16_777_216))
    max_header_bytes = fields.Int(validate=_positive(1_048_576))
    max_connections = fields.Int(validate=_positive(65_536))
    max_buffered_bytes = fields.Int(validate=_positive(1_073_741_824))
    max_waiting_requests = fields.Int(validate=_positive(65_536))
    claim_retention_s = fields.Float(validate=_positive(2_592_000))
    routing_policy = fields.Str()

    @marshmallow.validates_schema
    def _lease_outlives_renewal(self, data: dict, **_kwargs) -> None:
        lease_s = data.get("worker_lease_s", Settings.worker_lease_s)
        renewal_s = data.get("worker_renewal_s", Settings.worker_renewal_s)
        if lease_s < 2 * renewal_s:
            raise marshmallow.ValidationError(
                "Must be at least twice worker_renewal_s.", "worker_lease_s"
            )

    @marshmallow.validates_schema
    def _certificate_has_key(self, data: dict, **_kwargs) -> None:
        certificate = data.get("tls_certificate_file", "")
        if bool(certificate) != bool(data.get("tls_key_file", "")):
            raise marshmallow.ValidationError(
                "Set both the certificate and its key, or neither.",
                "tls_key_file",
            )

    @marshmallow.post_load
    def _build(self, data: dict, **_kwargs) -> Settings:
        return Settings(**data)


def environment_name(field: str) -> str:
    """Return the environment variable that sets a field."""
    return f"{ENVIRONMENT_PREFIX}_{field.upper()}"


def flag_name(field: str) -> str:
    """Return the command-line flag that sets a field."""
    return "--" + field.replace("_", "-")


def load(
    raw: dict[str, object], *, sources: dict[str, str] | None = None
) -> result.Result[Settings, errors.Fault]:
    """Validate raw values; fails with the first invalid field.

    :param sources: field name to the origin of its value, for the error.
    """
    try:
        return result.Success(SettingsSchema().load(raw))
    except marshmallow.ValidationError as error:
        messages = error.normalized_messages()
    field = next(iter(messages))
    return result.Failure(
        errors.InvalidField(
            message=" ".join(map(str, messages[field])),
            remedy=f"Set {flag_name(field)} or {environment_name(field)}.",
            source=(sources or {}).get(field, "settings"),
            field=field,
            value=_display_value(field, raw),
        )
    )


def _display_value(field: str, raw: dict[str, object]) -> str:
    if field not in raw:
        return "(missing)"
    return "[hidden]" if field in SECRET_FIELDS else repr(raw[field])
