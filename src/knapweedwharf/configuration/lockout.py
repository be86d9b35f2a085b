"""Refuses changes that would lock operators out."""

from __future__ import annotations

from knapweedwharf.core import model
from knapweedwharf import errors


def check(
    before: model.Configuration, after: model.Configuration, *, actor: str
) -> errors.Forbidden | None:
    """Return why a change would lock operators out, or None.

    Until the folder defines an operator account, changes are made with
    the bootstrap token. It is not an account and is not checked.
    """
    if _operators(before) and not _operators(after):
        return _refusal("The change removes the last operator account.")
    current = before.accounts.get(actor)
    if current is None:
        return None
    changed = after.accounts.get(actor)
    if changed is None or changed.role != model.ROLE_OPERATOR:
        return _refusal(f"The change removes the operator role of {actor}.")
    if changed.token_sha256 != current.token_sha256:
        return _refusal(f"The change replaces the token of {actor}.")
    return None


def _operators(configuration: model.Configuration) -> set[str]:
    return {
        account.name
        for account in configuration.accounts.values()
        if account.role == model.ROLE_OPERATOR
    }


def _refusal(message: str) -> errors.Forbidden:
    return errors.Forbidden(
        message=message,
        remedy="Have another operator apply it, or repeat it with --force.",
    )
