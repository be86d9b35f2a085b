"""HTTP/1.1 client connection that carries one exchange at a time.

A channel belongs to one caller from the first byte of a request to the
last byte of the response. It can be reused only after a complete
response whose length the server announced; otherwise it is closed.
"""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import ssl
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import netutil
from tornado import tcpclient

_MAX_HEADER_BYTES = 65_536
_NO_BODY_STATUSES = frozenset({204, 304})

ChunkCallback = typing.Callable[[bytes], None]
ProgressCallback = typing.Callable[[], None]


class Broken(Exception):
    """The exchange ended without a complete response."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """A complete HTTP response.

    :ivar status: HTTP status code.
    :ivar headers: headers by lower-case name.
    :ivar body: complete body; its length has been checked.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class _ResponseReader(httputil.HTTPMessageDelegate):
    """Collects one response; rejects one that announces no length."""

    def __init__(
        self,
        on_chunk: ChunkCallback | None,
        on_progress: ProgressCallback | None,
    ) -> None:
        self._on_chunk = on_chunk
        self._on_progress = on_progress
        self._body = bytearray()
        self.finished = False
        self.keeps_alive = False
        self.status = 0
        self.headers: dict[str, str] = {}

    def headers_received(self, start_line, headers) -> None:
        if not 100 <= start_line.code < 600:
            raise httputil.HTTPInputError("HTTP status is out of range")
        if self._on_progress is not None:
            self._on_progress()
        self.status = start_line.code
        self.headers = {k.lower(): v for k, v in headers.items()}
        has_no_body = self.status < 200 or self.status in _NO_BODY_STATUSES
        chunked = "transfer-encoding" in self.headers
        if not (has_no_body or chunked or "content-length" in self.headers):
            raise httputil.HTTPInputError("response announces no length")
        connection = self.headers.get("connection", "").lower()
        self.keeps_alive = (
            start_line.version == "HTTP/1.1" and connection != "close"
        )

    def data_received(self, chunk: bytes) -> None:
        if self._on_progress is not None:
            self._on_progress()
        if self._on_chunk is None:
            self._body += chunk
        else:
            self._on_chunk(chunk)

    def finish(self) -> None:
        self.finished = True

    def reply(self) -> Reply:
        return Reply(self.status, self.headers, bytes(self._body))


class Channel:
    """A connection to one address.

    :ivar may_have_sent: whether any byte of the current request may have
        been sent.
    :ivar reusable: whether the last exchange was complete, so that the
        connection can carry another one.
    :ivar idle_since_s: monotonic time at which it became idle.
    """

    def __init__(
        self, stream: iostream.IOStream, *, max_body_bytes: int
    ) -> None:
        self._stream = stream
        self._parameters = http1connection.HTTP1ConnectionParameters(
            max_header_size=_MAX_HEADER_BYTES, max_body_size=max_body_bytes
        )
        self.may_have_sent = False
        self.reusable = False
        self.idle_since_s = 0.0

    def close(self) -> None:
        """Close the connection."""
        self.reusable = False
        self._stream.close()

    def is_open_and_idle(self) -> bool:
        """Return whether it is open and no unsolicited byte has arrived."""
        if self._stream.closed():
            return False
        try:
            self._stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def exchange(
        self,
        *,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        on_chunk: ChunkCallback | None = None,
        on_progress: ProgressCallback | None = None,
    ) -> Reply:
        """Send one request and return the complete response.

        :param on_progress: called whenever a part of the response arrives.
        """
        self.reusable = False
        self.may_have_sent = False
        connection = http1connection.HTTP1Connection(
            self._stream, is_client=True, params=self._parameters
        )
        reader = _ResponseReader(on_chunk, on_progress)
        length = {"Content-Length": str(len(body))}
        start_line = httputil.RequestStartLine(method, path, "HTTP/1.1")
        self.may_have_sent = True
        try:
            connection.write_headers(
                start_line, httputil.HTTPHeaders({**headers, **length}), body
            )
        except ValueError as error:
            # It is raised before anything is written.
            self.may_have_sent = False
            raise Broken("the request can't be encoded") from error
        connection.finish()
        await connection.read_response(reader)
        if not reader.finished:
            self.close()
            raise Broken(_failure_reason(reader))
        self.reusable = reader.keeps_alive and not self._stream.closed()
        return reader.reply()


def _failure_reason(reader: _ResponseReader) -> str:
    if reader.status:
        return "the response is truncated, malformed or too long"
    return "the connection was closed before a response"


async def connect(
    host: str,
    port: int,
    *,
    timeout_s: float,
    max_body_bytes: int,
    tls: ssl.SSLContext | None = None,
) -> Channel:
    """Open a connection; raise OSError if it fails or times out.

    :param tls: use TLS and verify the host's certificate with this
        context.
    """
    max_buffer_size = max_body_bytes + _MAX_HEADER_BYTES
    async with asyncio.timeout(timeout_s):
        stream = await _connect_plain(host, port, max_buffer_size)
        if tls is not None:
            stream = await stream.start_tls(
                False, ssl_options=tls, server_hostname=host
            )
    return Channel(stream, max_body_bytes=max_body_bytes)


async def _connect_plain(
    host: str, port: int, max_buffer_size: int
) -> iostream.IOStream:
    """Connect; an IP address needs no resolver thread."""
    if not netutil.is_valid_ip(host):
        return await tcpclient.TCPClient().connect(
            host, port, max_buffer_size=max_buffer_size
        )
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    stream = iostream.IOStream(
        socket.socket(family), max_buffer_size=max_buffer_size
    )
    try:
        await stream.connect((host, port))
    except BaseException:
        stream.close()
        raise
    stream.set_nodelay(True)
    return stream
