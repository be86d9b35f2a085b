"""TLS of the HTTP interface, from the certificate and key files.

Without a certificate file in the settings the node serves plain HTTP,
for use behind a load balancer that terminates TLS. A renewed certificate
takes effect at the next start.
"""

from __future__ import annotations

import ssl

from returns import result

from knapweedwharf import errors
from knapweedwharf import settings as settings_module


def server_context(
    settings: settings_module.Settings,
) -> result.Result[ssl.SSLContext | None, errors.Fault]:
    """Return the server's TLS context; None without a certificate file."""
    if not settings.tls_certificate_file:
        return result.Success(None)
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(
            settings.tls_certificate_file, settings.tls_key_file
        )
    except OSError as error:
        return result.Failure(_invalid_certificate(settings, error))
    return result.Success(context)


def _invalid_certificate(
    settings: settings_module.Settings, error: OSError
) -> errors.InvalidField:
    return errors.InvalidField(
        message=f"Cannot load the TLS certificate or its key: {error}.",
        remedy="Set a PEM certificate chain and its matching private key.",
        source="settings",
        field="tls_certificate_file",
        value=repr(settings.tls_certificate_file),
    )
