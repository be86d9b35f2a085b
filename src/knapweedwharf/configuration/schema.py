"""Validated models of the operators' files.

Each table kind of the folder is a registered schema that loads into a
data class of :mod:`knapweedwharf.core.model`.
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
    r"^[0-9a-f]{64}$", error="Not a SHA-256 in 64 hex digits."
)
_COUNT = validate.Range(min=1, max=100_000)
_MEMORY_MIB = validate.Range(min=1, max=100_000_000)
_AMOUNT = validate.Range(min=0, max=100_000_000)
_POSITIVE = validate.Range(min=0, min_inclusive=False, max=1_000_000)
_SHARE = validate.Range(min=0, max=1)

TABLES: registry.Registry[type[marshmallow.Schema]] = registry.Registry(
    subject="table kind"
)


class _Strict(marshmallow.Schema):
    """Unknown keys are refused; numbers are not read from text."""

    name = fields.Str(required=True)

    class Meta:
        """Options of marshmallow."""

        unknown = marshmallow.RAISE


def _int(rule: validate.Validator, **options) -> fields.Int:
    return fields.Int(strict=True, validate=rule, **options)


class _Number(fields.Float):
    """A number that is written as one, not as text."""

    def _deserialize(self, value, attr, data, **kwargs):
        if isinstance(value, (bool, str)):
            raise self.make_error("invalid", input=value)
        return super()._deserialize(value, attr, data, **kwargs)


class _Bool(fields.Bool):
    """``true`` or ``false`` and nothing else."""

    def _deserialize(self, value, attr, data, **kwargs):
        if not isinstance(value, bool):
            raise self.make_error("invalid", input=value)
        return value


@TABLES.register("data_centre")
class DataCentreSchema(_Strict):
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
class RackSchema(_Strict):
    """``[rack.NAME]``: hardware declared for a rack."""

    data_centre = fields.Str(required=True)
    workers = _int(_COUNT, required=True)
    accelerators_per_worker = _int(_AMOUNT, required=True)
    cores_per_worker = _int(_COUNT, required=True)
    memory_mib_per_worker = _int(_MEMORY_MIB, required=True)

    @marshmallow.post_load
    def _build(self, data: dict, **_kwargs) -> model.RackSpec:
        return model.RackSpec(**data)


@TABLES.register("account")
class AccountSchema(_Strict):
    """``[account.NAME]``: a client account or an operator."""

    token_sha256 = fields.Str(required=True, validate=_SHA256)
    role = fields.Str(
        validate=validate.OneOf([model.ROLE_CALLER, model.ROLE_OPERATOR])
    )
    quota_accelerators = _int(_AMOUNT)
    request_share = _int(_COUNT)
    request_rate_per_s = _Number(validate=_POSITIVE)
    request_burst = _int(_COUNT)

    @marshmallow.post_load
    def _build(self, data: dict, **_kwargs) -> model.AccountSpec:
        return model.AccountSpec(**data)


@TABLES.register("guarantee")
class GuaranteeSchema(_Strict):
    """``[guarantee.NAME]``: a shape an account may reclaim."""

    account = fields.Str(required=True)
    data_centre = fields.Str(required=True)
    accelerators = _int(_COUNT, required=True)
    within = fields.Str(
        required=True, validate=validate.OneOf(model.WITHIN_LEVELS)
    )
    count = _int(_COUNT)
    cores_per_accelerator = _int(_COUNT)
    memory_mib_per_accelerator = _int(_MEMORY_MIB)
    reclaim_within_s = _Number(validate=_POSITIVE)

    @marshmallow.post_load
    def _build(self, data: dict, **_kwargs) -> model.GuaranteeSpec:
        return model.GuaranteeSpec(**data)


@TABLES.register("service")
class ServiceSchema(_Strict):
    """``[service.NAME]``: a kind of request."""

    urgency = fields.Str(validate=validate.OneOf(model.URGENCIES))
    idempotent = _Bool()
    timeout_s = _Number(validate=_POSITIVE)

    @marshmallow.post_load
    def _build(self, data: dict, **_kwargs) -> model.ServiceSpec:
        return model.ServiceSpec(**data)


@TABLES.register("rule")
class RuleSchema(_Strict):
    """``[rule.scheduling]``: the policy's weights and times."""

    name = fields.Str(required=True, validate=validate.Equal("scheduling"))
    fragmentation_weight = _Number(validate=_SHARE)
    reserve_after_s = _Number(validate=_POSITIVE)
    ageing_s = _Number(validate=_POSITIVE)
    urgent_start_s = _Number(validate=_POSITIVE)
    quarantine_share = _Number(validate=_SHARE)
    quarantine_failures = _int(_COUNT)
    quarantine_s = _Number(validate=_POSITIVE)
    max_attempts = _int(_COUNT)

    @marshmallow.post_load
    def _build(self, data: dict, **_kwargs) -> model.PolicySpec:
        del data["name"]
        return model.PolicySpec(**data)
