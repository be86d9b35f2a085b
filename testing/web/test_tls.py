"""TLS of the HTTP interface, with verification by the client."""

from __future__ import annotations

import asyncio
import pathlib

import pytest
from returns import result
from tornado import httpserver
from tornado import testing
from tornado import web

from knapweedwharf.adapters import transport
from knapweedwharf import settings as settings_module
from knapweedwharf.web import tls
from testing import test_settings

FOLDER = pathlib.Path(__file__).parent / "tls"
CERTIFICATE = str(FOLDER / "loopback.pem")
KEY = str(FOLDER / "loopback-key.pem")


def _settings(**changed: str) -> settings_module.Settings:
    return settings_module.load(
        {**test_settings.VALID_SETTINGS, **changed}
    ).unwrap()


class _Hello(web.RequestHandler):
    def get(self) -> None:
        self.write("hello")


async def _fetch() -> result.Result:
    settings = _settings(tls_certificate_file=CERTIFICATE, tls_key_file=KEY)
    server = httpserver.HTTPServer(
        web.Application([("/", _Hello)]),
        ssl_options=tls.server_context(settings).unwrap(),
    )
    socket, port = testing.bind_unused_port()
    server.add_socket(socket)
    client = transport.HttpTransport(max_body_bytes=1000)
    try:
        return await client.exchange(
            method="GET", url=f"https://127.0.0.1:{port}/", timeout_s=5.0
        )
    finally:
        client.close()
        server.stop()


def test_client_that_trusts_the_certificate_gets_the_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("SSL_CERT_FILE", CERTIFICATE)
    assert asyncio.run(_fetch()).unwrap().body == b"hello"


def test_client_that_does_not_trust_it_sends_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.delenv("SSL_CERT_FILE", raising=False)
    assert asyncio.run(_fetch()).failure().code == "unreachable"


def test_certificate_that_cannot_be_read_is_refused() -> None:
    settings = _settings(tls_certificate_file="none.pem", tls_key_file=KEY)
    fault = tls.server_context(settings).failure()
    assert fault.field == "tls_certificate_file"


def test_certificate_without_its_key_is_refused() -> None:
    raw = {**test_settings.VALID_SETTINGS, "tls_certificate_file": CERTIFICATE}
    assert settings_module.load(raw).failure().field == "tls_key_file"
