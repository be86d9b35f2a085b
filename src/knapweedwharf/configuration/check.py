"""Checks across the whole configuration: references and guarantees.

Reference checks verify that names and tokens are consistent. Guarantee
checks verify that the declared hardware can meet all guarantees at once.
"""

from __future__ import annotations

from collections import abc
import typing

from knapweedwharf.core import guarantee_conflict
from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf import registry

SourceOf = typing.Callable[[str, str, str], str]
"""Maps (table kind, name, field) to the file that set the field."""

Check = typing.Callable[
    [model.Configuration, SourceOf], abc.Iterable[errors.InvalidField]
]
REFERENCE_CHECKS: registry.Registry[Check] = registry.Registry(
    subject="reference check"
)
GUARANTEE_CHECKS: registry.Registry[Check] = registry.Registry(
    subject="guarantee check"
)


def run(
    configuration: model.Configuration,
    source_of: SourceOf,
    *,
    before: model.Configuration | None = None,
) -> list[errors.InvalidField]:
    """Return all faults; check guarantees only if references are valid.

    :param before: an accepted configuration; if it has the same
        guarantees and hardware, they are not checked again.
    """
    stages = [REFERENCE_CHECKS, GUARANTEE_CHECKS]
    if before is not None and _same_guarantee_inputs(before, configuration):
        stages.remove(GUARANTEE_CHECKS)
    for stage in stages:
        faults = [
            fault
            for name in stage.names()
            for fault in stage.get(name)(configuration, source_of)
        ]
        if faults:
            return faults
    return []


def _same_guarantee_inputs(
    before: model.Configuration, after: model.Configuration
) -> bool:
    return (
        before.guarantees == after.guarantees
        and before.racks == after.racks
        and before.data_centres == after.data_centres
    )


@REFERENCE_CHECKS.register("names")
def _references(
    configuration: model.Configuration, source_of: SourceOf
) -> abc.Iterator[errors.InvalidField]:
    for rack in configuration.racks.values():
        if rack.data_centre not in configuration.data_centres:
            yield _unknown_reference(source_of, "rack", rack, "data_centre")
    for guarantee in configuration.guarantees.values():
        if guarantee.account not in configuration.accounts:
            yield _unknown_reference(
                source_of, "guarantee", guarantee, "account"
            )
        if guarantee.data_centre not in configuration.data_centres:
            yield _unknown_reference(
                source_of, "guarantee", guarantee, "data_centre"
            )


def _unknown_reference(
    source_of: SourceOf, kind: str, spec: typing.Any, field: str
) -> errors.InvalidField:
    return errors.InvalidField(
        message=f"No such {field}.",
        remedy=f"Add [{field}.{getattr(spec, field)}] or correct the name.",
        source=source_of(kind, spec.name, field),
        field=f"{kind}.{spec.name}.{field}",
        value=getattr(spec, field),
    )


@REFERENCE_CHECKS.register("tokens")
def _shared_tokens(
    configuration: model.Configuration, source_of: SourceOf
) -> abc.Iterator[errors.InvalidField]:
    owners: dict[str, str] = {}
    for account in configuration.accounts.values():
        other = owners.setdefault(account.token_sha256, account.name)
        if other != account.name:
            yield errors.InvalidField(
                message=f"Account {other} has the same token.",
                remedy="Give each account a token of its own.",
                source=source_of("account", account.name, "token_sha256"),
                field=f"account.{account.name}.token_sha256",
                value="[hidden]",
            )


@GUARANTEE_CHECKS.register("guarantees")
def _guarantee_conflicts(
    configuration: model.Configuration, source_of: SourceOf
) -> abc.Iterator[errors.InvalidField]:
    for data_centre in configuration.data_centres:
        conflict = guarantee_conflict.smallest_conflict(
            configuration, data_centre
        )
        if conflict:
            names = ", ".join(guarantee.name for guarantee in conflict)
            last = conflict[-1]
            yield errors.InvalidField(
                message=f"Hardware in {data_centre} cannot meet: {names}.",
                remedy="Lower a guarantee or declare more hardware.",
                source=source_of("guarantee", last.name, "accelerators"),
                field=f"guarantee.{last.name}.accelerators",
                value=str(last.accelerators * last.count),
            )
