"""Authenticated request and reply frames between entry VMs.

A frame is a 4-byte length, a 32-byte HMAC-SHA256 of the payload and
the payload: an ``Envelope`` in thrift's compact protocol. Each request
gets one reply with the same sequence number.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import struct
import time
import typing

from returns import result
from thrift.protocol import TCompactProtocol
from thrift import Thrift
from thrift.transport import TTransport
from thrift import TSerialization
from tornado import iostream
from tornado import tcpclient
from tornado import tcpserver

from knapweedwharf import errors
from knapweedwharf import log
from knapweedwharf.peer.messages import ttypes

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_CLOCK_SKEW_MS = 60_000
_HEADER = struct.Struct("!I32s")
_PROTOCOL = TCompactProtocol.TCompactProtocolAcceleratedFactory()

Handler = typing.Callable[
    [ttypes.Envelope], typing.Awaitable[ttypes.Body | None]
]


class BadFrame(Exception):
    """The frame is malformed, too long or not authentic."""


def encode(envelope: ttypes.Envelope, key: bytes) -> bytes:
    """Return the frame of an envelope."""
    payload = TSerialization.serialize(envelope, _PROTOCOL)
    digest = hmac.digest(key, payload, hashlib.sha256)
    return _HEADER.pack(len(payload), digest) + payload


def decode(payload: bytes, digest: bytes, key: bytes) -> ttypes.Envelope:
    """Check a payload's digest and age and return its envelope."""
    expected = hmac.digest(key, payload, hashlib.sha256)
    if not hmac.compare_digest(expected, digest):
        raise BadFrame("the digest does not match the shared key")
    try:
        envelope = TSerialization.deserialize(
            ttypes.Envelope(), payload, _PROTOCOL
        )
        envelope.validate()
    except (Thrift.TException, TTransport.TTransportException) as error:
        raise BadFrame(f"not an envelope: {error}") from error
    if abs(_now_ms() - envelope.sent_at_ms) > MAX_CLOCK_SKEW_MS:
        raise BadFrame("sent too long ago; check the VM's clock")
    return envelope


def _now_ms() -> int:
    return int(time.time() * 1000)


async def _read(stream: iostream.IOStream, key: bytes) -> ttypes.Envelope:
    header = await stream.read_bytes(_HEADER.size)
    length, digest = _HEADER.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise BadFrame(f"{length} bytes announced")
    return decode(await stream.read_bytes(length), digest, key)


class PeerServer(tcpserver.TCPServer):
    """Takes frames from peers and answers each."""

    def __init__(self, *, node_id: str, key: bytes, handler: Handler) -> None:
        super().__init__(max_buffer_size=2 * MAX_FRAME_BYTES)
        self._node_id = node_id
        self._key = key
        self._handler = handler
        self._streams: set[iostream.IOStream] = set()
        self._log = log.get("peer-server")

    def close(self) -> None:
        """Stop listening and drop connections."""
        self.stop()
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple
    ) -> None:
        """Serve one connection until it closes or misbehaves."""
        self._streams.add(stream)
        try:
            while True:
                await self._answer(stream, await _read(stream, self._key))
        except iostream.StreamClosedError:
            pass
        except BadFrame as error:
            self._log.warning("frame-refused", why=str(error))
        finally:
            self._streams.discard(stream)
            stream.close()

    async def _answer(
        self, stream: iostream.IOStream, request: ttypes.Envelope
    ) -> None:
        body = await self._handler(request)
        reply = ttypes.Envelope(
            sender=self._node_id,
            sent_at_ms=_now_ms(),
            sequence=request.sequence,
            body=body,
        )
        await stream.write(encode(reply, self._key))


class PeerClient:
    """One connection to one peer; exchanges take turns on it.

    After a timeout or a mismatch the connection is dropped, so a late
    reply can never be taken for another.
    """

    def __init__(self, *, node_id: str, address: str, key: bytes) -> None:
        self._node_id = node_id
        self.address = address
        self._key = key
        self._stream: iostream.IOStream | None = None
        self._sequence = 0
        self._turn = asyncio.Lock()
        self.bytes_sent = 0

    def close(self) -> None:
        """Drop the connection."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    async def call(
        self, body: ttypes.Body, *, timeout_s: float
    ) -> result.Result[ttypes.Body, errors.Fault]:
        """Send one body and return the peer's reply."""
        async with self._turn:
            try:
                return await asyncio.wait_for(self._call(body), timeout_s)
            except asyncio.TimeoutError:
                problem = "timed out"
            except (OSError, iostream.StreamClosedError, BadFrame) as error:
                problem = str(error)
            self.close()
        return result.Failure(
            errors.Unreachable(
                message=f"Peer {self.address} did not answer: {problem}.",
                remedy="Check the peer, the network and the shared key.",
            )
        )

    async def _call(
        self, body: ttypes.Body
    ) -> result.Result[ttypes.Body, errors.Fault]:
        stream = await self._connected()
        self._sequence += 1
        request = ttypes.Envelope(
            sender=self._node_id,
            sent_at_ms=_now_ms(),
            sequence=self._sequence,
            body=body,
        )
        frame = encode(request, self._key)
        self.bytes_sent += len(frame)
        await stream.write(frame)
        reply = await _read(stream, self._key)
        if reply.sequence != self._sequence:
            raise BadFrame("the reply belongs to another request")
        return result.Success(reply.body)

    async def _connected(self) -> iostream.IOStream:
        if self._stream is None or self._stream.closed():
            host, port = self.address.rsplit(":", 1)
            client = tcpclient.TCPClient()
            self._stream = await client.connect(host, int(port))
        return self._stream
