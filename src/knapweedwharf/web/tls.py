"""TLS of the HTTP interface, from the settings' two files.

Without them the node speaks plain HTTP, as behind a balancer that
ends TLS itself. A renewed certificate is taken at the next start.
"""

from __future__ import annotations

import ssl

from returns import result

from knapweedwharf import errors
from knapweedwharf import settings as settings_module


def server_context(
    settings: settings_module.Settings,
) -> result.Result[ssl.SSLContext | None, errors.Fault]:
    """Return the server's context; None without a certificate."""
    if not settings.tls_certificate_file:
        return result.Success(None)
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(
            settings.tls_certificate_file, settings.tls_key_file
        )
    except OSError as error:
        return result.Failure(_unusable(settings, error))
    return result.Success(context)


def _unusable(
    settings: settings_module.Settings, error: OSError
) -> errors.InvalidField:
    return errors.InvalidField(
        message=f"The certificate or its key cannot be used: {error}.",
        remedy="Name a PEM certificate chain and the key that belongs to it.",
        source="settings",
        field="tls_certificate_file",
        value=repr(settings.tls_certificate_file),
    )
