"""Authenticated frames between entry VMs.

A frame is a 4-byte length, a 16-byte digest and an ``Envelope`` in
thrift's compact protocol. The digest is HMAC-SHA256 under a key of the
connection, made from the shared key and a random value of each side.
It covers the direction and the frame's place in it, which do not
travel: a frame that is captured and sent again has no effect, neither
on its own connection nor on another.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
import struct

from thrift.protocol import TCompactProtocol
from thrift import Thrift
from thrift.transport import TTransport
from thrift import TSerialization

from knapweedwharf.peer.messages import ttypes

MAX_FRAME_BYTES = 2 * 1024 * 1024
MAX_HELLO_BYTES = 4 * 1024
NONCE_BYTES = 16
DIGEST_BYTES = 16
HEADER = struct.Struct(f"!I{DIGEST_BYTES}s")
FROM_CLIENT = b"client"
FROM_SERVER = b"server"
_PLACE = struct.Struct("!Q")
_PROTOCOL = TCompactProtocol.TCompactProtocolAcceleratedFactory()


class BadFrame(Exception):
    """The frame is malformed, too long or not authentic."""


def new_nonce() -> bytes:
    """Return a random value that is used once."""
    return secrets.token_bytes(NONCE_BYTES)


def session_key(
    shared_key: bytes, server_nonce: bytes, client_nonce: bytes
) -> bytes:
    """Return the key of one connection."""
    return _digest(shared_key, b"session", server_nonce + client_nonce)


def serialize(envelope: ttypes.Envelope) -> bytes:
    """Return the encoded envelope."""
    return TSerialization.serialize(envelope, _PROTOCOL)


def parse(payload: bytes) -> ttypes.Envelope:
    """Read an envelope; ``BadFrame`` if it is none."""
    try:
        envelope = TSerialization.deserialize(
            ttypes.Envelope(), payload, _PROTOCOL
        )
        envelope.validate()
        if envelope.body is None:
            raise BadFrame("an envelope without a body")
        return envelope
    except (
        Thrift.TException,
        TTransport.TTransportException,
        EOFError,
        TypeError,
        ValueError,
    ) as error:
        raise BadFrame(f"not an envelope: {error}") from error


def hello_frame(payload: bytes, key: bytes, server_nonce: bytes) -> bytes:
    """Return a connection's first frame."""
    digest = _digest(key, b"hello", server_nonce + payload)
    return HEADER.pack(len(payload), digest[:DIGEST_BYTES]) + payload


def hello_key(
    payload: bytes, digest: bytes, keys: list[bytes], server_nonce: bytes
) -> bytes:
    """Return which shared key a first frame was made with."""
    for key in keys:
        expected = _digest(key, b"hello", server_nonce + payload)
        if hmac.compare_digest(expected[:DIGEST_BYTES], digest):
            return key
    raise BadFrame("the digest does not match a shared key")


class Direction:
    """Signs or checks the frames of one direction, in their order."""

    def __init__(self, *, key: bytes, name: bytes) -> None:
        self._key = key
        self._name = name
        self._place = 0

    def sign(self, payload: bytes) -> bytes:
        """Return the next frame."""
        return HEADER.pack(len(payload), self._next_digest(payload)) + payload

    def check(self, payload: bytes, digest: bytes) -> None:
        """Accept the next frame's payload or raise ``BadFrame``."""
        if not hmac.compare_digest(self._next_digest(payload), digest):
            raise BadFrame("the digest does not match the connection's key")

    def _next_digest(self, payload: bytes) -> bytes:
        place = _PLACE.pack(self._place)
        self._place += 1
        return _digest(self._key, self._name, place + payload)[:DIGEST_BYTES]


def _digest(key: bytes, purpose: bytes, content: bytes) -> bytes:
    return hmac.digest(key, purpose + b":" + content, hashlib.sha256)
