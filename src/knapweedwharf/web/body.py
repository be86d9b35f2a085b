"""Size limits of request bodies, enforced while they are received."""

from __future__ import annotations

from collections import abc

from returns import result
from tornado import httputil

from knapweedwharf import errors
from knapweedwharf.routing import request as request_module

SHARE_BYTES = 16_384
"""Part of each body that needs no reservation, so that small requests are
served while large ones hold all room; counted for each connection."""


def content_length(request: httputil.HTTPServerRequest) -> int:
    """Return the stated length of a request's body; 0 if there is none."""
    text = request.headers.get("Content-Length", "0")
    return int(text) if text.isascii() and text.isdigit() else 0


class BodyBudget:
    """Limit on the bytes that requests hold while they are open.

    :param max_bytes: limit for all open requests together, beyond
        ``SHARE_BYTES`` of each.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._make_room: abc.Callable[[int], None] | None = None
        self.reserved_bytes = 0

    def set_make_room(self, make_room: abc.Callable[[int], None]) -> None:
        """Set what is called, with the bytes, when there is no room."""
        self._make_room = make_room

    def has_room(self, count: int) -> bool:
        """Return whether bytes can be reserved."""
        return self.reserved_bytes + count <= self._max_bytes

    def reserve(self, count: int) -> bool:
        """Reserve bytes; return False if they exceed the limit."""
        if not self.has_room(count) and self._make_room is not None:
            self._make_room(count)
        if not self.has_room(count):
            return False
        self.reserved_bytes += count
        return True

    def free(self, count: int) -> None:
        """Release reserved bytes."""
        self.reserved_bytes -= count


class Body:
    """Buffer for one request's body that enforces the limits.

    :ivar reserved_bytes: its reservation.
    """

    def __init__(self, *, budget: BodyBudget, max_bytes: int) -> None:
        self._budget = budget
        self._max_bytes = max_bytes
        self._room_bytes = SHARE_BYTES
        self.reserved_bytes = 0
        self._content = bytearray()

    def reserve_up_to(self, length: int) -> result.Result[None, errors.Fault]:
        """Set the reservation for a length; on failure it is unchanged."""
        if length > self._max_bytes:
            return result.Failure(
                errors.TooLarge(
                    message=f"The body exceeds {self._max_bytes} bytes.",
                    remedy="Send less, or raise --max-body-bytes.",
                )
            )
        if length <= self._room_bytes:
            return result.Success(None)
        if not self._budget.reserve(length - self._room_bytes):
            return request_module.did_not_run(
                "The node buffers too many bytes of other requests."
            )
        self.reserved_bytes += length - self._room_bytes
        self._room_bytes = length
        return result.Success(None)

    def add(self, chunk: bytes) -> result.Result[None, errors.Fault]:
        """Append a chunk and extend the reservation if necessary."""
        reserved = self.reserve_up_to(len(self._content) + len(chunk))
        if isinstance(reserved, result.Failure):
            return reserved
        self._content += chunk
        return reserved

    def take(self) -> bytes:
        """Return what was received and drop it; its room stays reserved."""
        content = bytes(self._content)
        self._content = bytearray()
        return content

    def release(self) -> None:
        """Drop the content and its reservation; idempotent."""
        self._budget.free(self.reserved_bytes)
        self.reserved_bytes = 0
        self._room_bytes = SHARE_BYTES
        self._content = bytearray()
