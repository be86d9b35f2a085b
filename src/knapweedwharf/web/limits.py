"""Limits on what the clients of an HTTP server hold."""

from __future__ import annotations

import dataclasses

CHUNK_BYTES = 16_384
"""Read from a connection at once: a usual request in one piece."""


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of one server; times in seconds.

    :ivar max_connections: connections that are open at once.
    :ivar max_header_bytes: request line and headers of a request.
    :ivar max_body_bytes: Tornado's limit on a body; where handlers
        receive bodies in pieces they enforce their own.
    :ivar header_timeout_s: from a request's first byte to the end of its
        headers.
    :ivar body_timeout_s: without progress of an incomplete body.
    :ivar idle_timeout_s: between two requests, or before the first.
    :ivar answer_timeout_s: without progress of an answer that the client
        does not read.
    """

    max_connections: int
    max_header_bytes: int = 16_384
    max_body_bytes: int = 1 << 62
    header_timeout_s: float = 30.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0
    answer_timeout_s: float = 30.0

    @property
    def max_unread_bytes(self) -> int:
        """Bytes of a connection that are received and not yet parsed."""
        return CHUNK_BYTES + self.max_header_bytes
