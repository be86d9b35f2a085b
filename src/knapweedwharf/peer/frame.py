"""Authenticated frames between entry VMs.

A frame is a 4-byte length, a 16-byte digest and an ``Envelope`` in
Thrift's compact protocol. The digest is HMAC-SHA256 truncated to 16
bytes, under a session key that is derived from the shared key and a
nonce of each side. It also covers the frame's direction and sequence
number, which both sides count and do not transmit. This prevents
replay: a captured frame is rejected on its own connection and on any
other.
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
_SEQUENCE_NUMBER = struct.Struct("!Q")
_PROTOCOL = TCompactProtocol.TCompactProtocolAcceleratedFactory()


class BadFrame(Exception):
    """The frame is malformed, too long or fails authentication."""


def new_nonce() -> bytes:
    """Return a random nonce."""
    return secrets.token_bytes(NONCE_BYTES)


def session_key(
    shared_key: bytes, server_nonce: bytes, client_nonce: bytes
) -> bytes:
    """Derive the session key of one connection."""
    return _digest(shared_key, b"session", server_nonce + client_nonce)


def serialize(envelope: ttypes.Envelope) -> bytes:
    """Encode an envelope."""
    return TSerialization.serialize(envelope, _PROTOCOL)


def parse(payload: bytes) -> ttypes.Envelope:
    """Decode an envelope or raise ``BadFrame``."""
    try:
        envelope = TSerialization.deserialize(
            ttypes.Envelope(), payload, _PROTOCOL
        )
        envelope.validate()
        if envelope.body is None:
            raise BadFrame("the envelope has no body")
        return envelope
    except (
        Thrift.TException,
        TTransport.TTransportException,
        EOFError,
        TypeError,
        ValueError,
    ) as error:
        raise BadFrame(f"cannot decode the envelope: {error}") from error


def hello_frame(payload: bytes, key: bytes, server_nonce: bytes) -> bytes:
    """Return the signed hello, the first frame of a connection."""
    digest = _digest(key, b"hello", server_nonce + payload)
    return HEADER.pack(len(payload), digest[:DIGEST_BYTES]) + payload


def verify_hello(
    payload: bytes, digest: bytes, keys: list[bytes], server_nonce: bytes
) -> bytes:
    """Return the shared key that signed a hello or raise ``BadFrame``.

    :param keys: accepted shared keys; two during a key rotation.
    """
    for key in keys:
        expected = _digest(key, b"hello", server_nonce + payload)
        if hmac.compare_digest(expected[:DIGEST_BYTES], digest):
            return key
    raise BadFrame("the hello's digest matches no shared key")


class FrameAuthenticator:
    """Signs or verifies the frames of one direction, in order.

    :param direction: ``FROM_CLIENT`` or ``FROM_SERVER``.
    """

    def __init__(self, *, key: bytes, direction: bytes) -> None:
        self._key = key
        self._direction = direction
        self._sequence_number = 0

    def sign(self, payload: bytes) -> bytes:
        """Return the payload as the next signed frame."""
        return HEADER.pack(len(payload), self._next_digest(payload)) + payload

    def verify(self, payload: bytes, digest: bytes) -> None:
        """Raise ``BadFrame`` unless the next frame is authentic."""
        if not hmac.compare_digest(self._next_digest(payload), digest):
            raise BadFrame("the frame's digest does not match the session key")

    def _next_digest(self, payload: bytes) -> bytes:
        sequence_number = _SEQUENCE_NUMBER.pack(self._sequence_number)
        self._sequence_number += 1
        return _digest(self._key, self._direction, sequence_number + payload)[
            :DIGEST_BYTES
        ]


def _digest(key: bytes, purpose: bytes, content: bytes) -> bytes:
    return hmac.digest(key, purpose + b":" + content, hashlib.sha256)
