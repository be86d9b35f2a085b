"""HTTP server that bounds what its clients hold."""

from __future__ import annotations

import asyncio
import json
import socket
import typing

from tornado import httpserver
from tornado import httputil
from tornado import ioloop
from tornado import iostream
from tornado import netutil
from tornado import web

from knapweedwharf import errors
from knapweedwharf.web import connections as connections_module
from knapweedwharf.web import limits as limits_module

OUTCOME_HEADER = "Knapweedwharf-Outcome"

ADMIT_INTERVAL_S = 0.02
"""How often a connection that waits for a place asks again."""

SWEEP_INTERVAL_S = 1.0
"""How late a time limit of a connection may be enforced."""


class _ObservedStream:
    """Reports reads, writes and chunks to the connection's state."""

    opened: connections_module.OpenConnection

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read, and report the number of bytes."""
        count = super().read_from_fd(buf)
        if count:
            self.opened.received(count)
        return count

    def write_to_fd(self, data: memoryview) -> int:
        """Write, and report that something was written."""
        count = super().write_to_fd(data)
        if count:
            self.opened.sent()
        return count

    async def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> bytes:
        """Wait for room to parse; Tornado reads each head with this."""
        head = await super().read_until_regex(regex, max_bytes)
        fields = head.count(b"\n") + head.count(b"&")
        if not await self.opened.may_parse(fields):
            raise iostream.StreamClosedError()
        return head

    def read_until(self, delimiter: bytes, max_bytes: int | None = None):
        """Report a chunk; Tornado reads each chunk's size with this."""
        if not self.opened.chunk_begins():
            raise iostream.StreamClosedError()
        return super().read_until(delimiter, max_bytes)


class _Stream(_ObservedStream, iostream.IOStream):
    """Stream of a plain connection."""


class _TlsStream(_ObservedStream, iostream.SSLIOStream):
    """Stream of a TLS connection."""


class _ObservedRequest(httputil.HTTPMessageDelegate):
    """Reports a request's phases to the connection's state."""

    def __init__(
        self,
        delegate: httputil.HTTPMessageDelegate,
        opened: connections_module.OpenConnection,
        group: connections_module.Connections,
    ) -> None:
        self._delegate = delegate
        self._opened = opened
        self._group = group
        self.data_received = delegate.data_received
        self.on_connection_close = delegate.on_connection_close

    def headers_received(self, start_line, headers):
        """Report the end of the headers where a body follows."""
        if (
            headers.get("Content-Length", "0") != "0"
            or "Transfer-Encoding" in headers
        ):
            self._group.enter(self._opened, connections_module.BODY)
        return self._delegate.headers_received(start_line, headers)

    def finish(self) -> None:
        """Report the end of the request."""
        self._group.enter(self._opened, connections_module.ANSWER)
        return self._delegate.finish()


class LimitedServer(httpserver.HTTPServer):
    """HTTP server with limits on its connections.

    :ivar connections: the open connections.
    """

    def initialize(
        self,
        request_callback: web.Application,
        *,
        limits: limits_module.Limits,
        connections: connections_module.Connections,
        **options: typing.Any,
    ) -> None:
        """Accept the limits in addition to Tornado's options."""
        super().initialize(
            request_callback,
            max_body_size=limits.max_body_bytes,
            max_buffer_size=limits.max_unread_bytes,
            max_header_size=limits.max_header_bytes,
            chunk_size=limits_module.CHUNK_BYTES,
            **options,
        )
        # The sweep enforces the limit, without a timer for each request.
        self.conn_params.header_timeout = None
        self.connections = connections
        self._listening: list[socket.socket] = []
        self._remove_handlers: list[typing.Callable[[], None]] = []
        self._waiting: list[tuple[socket.socket, typing.Any]] = []
        self._admission: asyncio.TimerHandle | None = None
        self._sweeper = ioloop.PeriodicCallback(
            connections.sweep, SWEEP_INTERVAL_S * 1000
        )

    def add_sockets(self, sockets: typing.Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        self._listening.extend(sockets)
        self._accept_more()
        self._sweeper.start()

    def stop(self) -> None:
        """Close the listening sockets; open connections stay open."""
        self._accept_no_more()
        for listening in self._listening:
            listening.close()
        self._listening.clear()

    def close(self) -> None:
        """Stop, and end the sweep."""
        self.stop()
        self._sweeper.stop()
        if self._admission is not None:
            self._admission.cancel()
        for accepted, _address in self._waiting:
            accepted.close()
        self._waiting.clear()

    def _accept_more(self) -> None:
        self._remove_handlers = [
            netutil.add_accept_handler(listening, self._accept)
            for listening in self._listening
        ]

    def _accept_no_more(self) -> None:
        for remove in self._remove_handlers:
            remove()
        self._remove_handlers.clear()

    def _accept(self, accepted: socket.socket, address: typing.Any) -> None:
        if not self.connections.is_full:
            self._serve(accepted, address)
            return
        # Others stay in the kernel's queue. What was received on open
        # connections is read before one of them is closed.
        self._accept_no_more()
        self._waiting.append((accepted, address))
        self._admit_after(0.0)

    def _admit_after(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._admission = loop.call_later(delay_s, self._admit_waiting)

    def _admit_waiting(self) -> None:
        while self._waiting:
            admitted = self.connections.admit()
            if admitted == connections_module.WAIT:
                self._admit_after(ADMIT_INTERVAL_S)
                return
            accepted, address = self._waiting.pop(0)
            if admitted == connections_module.ADMIT:
                self._serve(accepted, address)
            else:
                _refuse(accepted, tls=self.ssl_options is not None)
        self._accept_more()

    def _serve(self, accepted: socket.socket, address: typing.Any) -> None:
        options = {
            "max_buffer_size": self.max_buffer_size,
            "read_chunk_size": self.read_chunk_size,
        }
        if self.ssl_options is None:
            stream = _Stream(accepted, **options)
        else:
            try:
                wrapped = netutil.ssl_wrap_socket(
                    accepted,
                    self.ssl_options,
                    server_side=True,
                    do_handshake_on_connect=False,
                )
            except OSError:
                # The client has closed the connection already.
                accepted.close()
                return
            stream = _TlsStream(wrapped, **options)
        stream.opened = self.connections.open(stream)
        self.handle_stream(stream, address)

    def start_request(
        self, server_conn: typing.Any, request_conn: typing.Any
    ) -> httputil.HTTPMessageDelegate:
        """Observe the next request of a connection."""
        opened = server_conn.stream.opened
        opened.next_request()
        delegate = super().start_request(server_conn, request_conn)
        return _ObservedRequest(delegate, opened, self.connections)

    def on_close(self, server_conn: typing.Any) -> None:
        """Forget a closed connection."""
        self.connections.forget(server_conn.stream.opened)
        super().on_close(server_conn)


def opened_by(
    request: httputil.HTTPServerRequest,
) -> connections_module.OpenConnection:
    """Return the state of the connection that a request came on."""
    return request.connection.stream.opened


def _refuse(accepted: socket.socket, *, tls: bool) -> None:
    """Refuse a connection; nothing of its requests was read."""
    try:
        accepted.setblocking(False)
        if not tls:
            accepted.send(_REFUSAL)
    except OSError:
        # The client has closed the connection, or doesn't read.
        pass
    finally:
        accepted.close()


def _refusal() -> bytes:
    fault = errors.DidNotRun(
        message="Too many connections are open. The request did not run.",
        remedy="Retry with the same key after the given time.",
        retry_after_s=connections_module.RETRY_AFTER_S,
    )
    body = json.dumps(fault.to_dict()).encode()
    return (
        b"HTTP/1.1 503 Service Unavailable\r\n"
        b"%s: did-not-run\r\n"
        b"Retry-After: %d\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\nConnection: close\r\n\r\n"
        % (OUTCOME_HEADER.encode(), fault.retry_after_s, len(body))
    ) + body


_REFUSAL = _refusal()
