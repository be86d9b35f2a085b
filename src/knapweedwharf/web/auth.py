"""Authentication of callers by bearer token, and the operator role."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac

from returns import result

from knapweedwharf.core import model
from knapweedwharf import errors

BOOTSTRAP_ACCOUNT = "bootstrap"
_SCHEME = "Bearer "


@dataclasses.dataclass(frozen=True)
class Caller:
    """An authenticated account."""

    account: str
    is_operator: bool


def hash_token(token: str) -> str:
    """Return a token's hash as the configuration folder stores it."""
    return hashlib.sha256(token.encode()).hexdigest()


def authenticate(
    configuration: model.Configuration,
    authorization: str,
    *,
    bootstrap_sha256: str,
) -> result.Result[Caller, errors.Fault]:
    """Return the caller that an Authorization header authenticates.

    The token is compared with that of every account, each time in
    constant time. The bootstrap token has the operator role until the
    configuration contains an operator account.
    """
    if not authorization.startswith(_SCHEME):
        return _unauthenticated("The request has no bearer token.")
    presented = hash_token(authorization[len(_SCHEME) :].strip())
    found = None
    has_operator = False
    for account in configuration.accounts.values():
        is_operator = account.role == model.ROLE_OPERATOR
        has_operator |= is_operator
        if hmac.compare_digest(presented, account.token_sha256):
            found = Caller(account=account.name, is_operator=is_operator)
    if found is not None:
        return result.Success(found)
    if not has_operator and bootstrap_sha256:
        if hmac.compare_digest(presented, bootstrap_sha256):
            return result.Success(Caller(BOOTSTRAP_ACCOUNT, True))
    return _unauthenticated("The token belongs to no account.")


def _unauthenticated(message: str) -> result.Result[Caller, errors.Fault]:
    return result.Failure(
        errors.Unauthenticated(
            message=message,
            remedy="Send 'Authorization: Bearer <token>' of an account.",
        )
    )
