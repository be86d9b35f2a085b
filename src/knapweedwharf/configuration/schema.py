"""Schemas that validate the operators' files.

Each table kind of the folder has a registered schema that loads a table
into a data class of :mod:`knapweedwharf.core.model`.
"""

from __future__ import annotations

import re

import marshmallow
from marshmallow import fields
from marshmallow import validate

from knapweedwharf.core import model
from knapweedwharf import registry

NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")
_SHA256 = validate.Regexp(
    r"^[0-9a-f]{64}$", error="Not a SHA-256 in 64 lower-case hex digits."
)
_POSITIVE_COUNT = validate.Range(min=1, max=100_000)
_MEMORY_MIB = validate.Range(min=1, max=100_000_000)
_NON_NEGATIVE_COUNT = validate.Range(min=0, max=100_000_000)
_POSITIVE_NUMBER = validate.Range(min=0, min_inclusive=False, max=1_000_000)
_SHARE = validate.Range(min=0, max=1)

TABLES: registry.Registry[type[marshmallow.Schema]] = registry.Registry(
    subject="table kind"
)


class _StrictSchema(marshmallow.Schema):
    """Base schema that rejects unknown keys."""

    name = fields.Str(required=True)

    class Meta:
        """Marshmallow options."""

        unknown = marshmallow.RAISE


def _strict_int(rule: validate.Validator, **options) -> fields.Int:
    return fields.Int(strict=True, validate=rule, **options)


class _StrictNumber(fields.Float):
    """A number; rejects booleans and numbers written as text."""

    def _deserialize(self, value, attr, data, **kwargs):
        if isinstance(value, (bool, str)):
            raise self.make_error("invalid", input=value)
        return super()._deserialize(value, attr, data, **kwargs)


class _StrictBool(fields.Bool):
    """A boolean; accepts only ``true`` and ``false``."""

    def _deserialize(self, value, attr, data, **kwargs):
        if not isinstance(value, bool):
            raise self.make_error("invalid", input=value)
        return value


@TABLES.register("data_centre")
class DataCentreSchema(_StrictSchema):
    """``[data_centre.NAME]``."""

    region = fields.Str(
        required=True,
        validate=validate.Regexp(
            NAME_PATTERN, error="Use lower-case letters, digits and hyphens."
        ),
    )

    @marshmallow.post_load
    def _build(self, data: dict, **_kwargs) -> model.DataCentreSpec:
        return model.DataCentreSpec(**data)


@TABLES.register("rack")
class RackSchema(_StrictSchema):
    """``[rack.NAME]``: declared hardware of a rack."""

    data_centre = fields.Str(required=True)
    workers = _strict_int(_POSITIVE_COUNT, required=True)
    accelerators_per_worker = _strict_int(_NON_NEGATIVE_COUNT, required=True)
    cores_per_worker = _strict_int(_POSITIVE_COUNT, required=True)
    memory_mib_per_worker = _strict_int(_MEMORY_MIB, required=True)

    @marshmallow.post_load
    def _build(self, data: dict, **_kwargs) -> model.RackSpec:
        return model.RackSpec(**data)


@TABLES.register("account")
class AccountSchema(_StrictSchema):
    """``[account.NAME]``: a client account or an operator."""

    token_sha256 = fields.Str(required=True, validate=_SHA256)
    role = fields.Str(
        validate=validate.OneOf([model.ROLE_CALLER, model.ROLE_OPERATOR])
    )
    quota_accelerators = _strict_int(_NON_NEGATIVE_COUNT)
    request_share = _strict_int(_POSITIVE_COUNT)
    request_rate_per_s = _StrictNumber(validate=_POSITIVE_NUMBER)
    request_burst = _strict_int(_POSITIVE_COUNT)

    @marshmallow.post_load
    def _build(self, data: dict, **_kwargs) -> model.AccountSpec:
        return model.AccountSpec(**data)


@TABLES.register("guarantee")
class GuaranteeSchema(_StrictSchema):
    """``[guarantee.NAME]``: resources that an account may reclaim."""

    account = fields.Str(required=True)
    data_centre = fields.Str(required=True)
    accelerators = _strict_int(_POSITIVE_COUNT, required=True)
    within = fields.Str(
        required=True, validate=validate.OneOf(model.WITHIN_LEVELS)
    )
    count = _strict_int(_POSITIVE_COUNT)
    cores_per_accelerator = _strict_int(_POSITIVE_COUNT)
    memory_mib_per_accelerator = _strict_int(_MEMORY_MIB)
    reclaim_within_s = _StrictNumber(validate=_POSITIVE_NUMBER)

    @marshmallow.post_load
    def _build(self, data: dict, **_kwargs) -> model.GuaranteeSpec:
        return model.GuaranteeSpec(**data)


@TABLES.register("service")
class ServiceSchema(_StrictSchema):
    """``[service.NAME]``: a kind of request."""

    urgency = fields.Str(validate=validate.OneOf(model.URGENCIES))
    idempotent = _StrictBool()
    timeout_s = _StrictNumber(validate=_POSITIVE_NUMBER)

    @marshmallow.post_load
    def _build(self, data: dict, **_kwargs) -> model.ServiceSpec:
        return model.ServiceSpec(**data)


@TABLES.register("rule")
class RuleSchema(_StrictSchema):
    """``[rule.scheduling]``: weights and times of the scheduling policy."""

    name = fields.Str(required=True, validate=validate.Equal("scheduling"))
    fragmentation_weight = _StrictNumber(validate=_SHARE)
    reserve_after_s = _StrictNumber(validate=_POSITIVE_NUMBER)
    ageing_s = _StrictNumber(validate=_POSITIVE_NUMBER)
    urgent_start_s = _StrictNumber(validate=_POSITIVE_NUMBER)
    quarantine_share = _StrictNumber(validate=_SHARE)
    quarantine_failures = _strict_int(_POSITIVE_COUNT)
    quarantine_s = _StrictNumber(validate=_POSITIVE_NUMBER)
    max_attempts = _strict_int(_POSITIVE_COUNT)

    @marshmallow.post_load
    def _build(self, data: dict, **_kwargs) -> model.PolicySpec:
        del data["name"]
        return model.PolicySpec(**data)
