"""Refuses changes that would lock the operators out."""

from __future__ import annotations

from knapweedwharf.core import model
from knapweedwharf import errors


def check(
    before: model.Configuration, after: model.Configuration, *, actor: str
) -> errors.Forbidden | None:
    """Return why a change locks operators out, or None.

    Before the folder names an operator, the bootstrap token acts; it
    is no account and is not checked.
    """
    if _operators(before) and not _operators(after):
        return _refusal("The change leaves no operator account.")
    own = before.accounts.get(actor)
    if own is None:
        return None
    now = after.accounts.get(actor)
    if now is None or now.role != model.ROLE_OPERATOR:
        return _refusal(f"The change takes {actor} the operator role.")
    if now.token_sha256 != own.token_sha256:
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
