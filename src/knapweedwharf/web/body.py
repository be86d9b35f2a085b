"""Size limits of request bodies, enforced while they are received."""

from __future__ import annotations

from returns import result

from knapweedwharf import errors
from knapweedwharf.routing import request as request_module


class BodyBudget:
    """Limit on the bytes of request bodies that a node buffers.

    :param max_bytes: limit for all open requests together.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._reserved_bytes = 0

    def reserve(self, count: int) -> bool:
        """Reserve bytes; return False if they exceed the limit."""
        if self._reserved_bytes + count > self._max_bytes:
            return False
        self._reserved_bytes += count
        return True

    def free(self, count: int) -> None:
        """Release reserved bytes."""
        self._reserved_bytes -= count


class Body:
    """Buffer for one request's body that enforces the limits."""

    def __init__(self, *, budget: BodyBudget, max_bytes: int) -> None:
        self._budget = budget
        self._max_bytes = max_bytes
        self._reserved = 0
        self._content = bytearray()

    def reserve_up_to(self, length: int) -> result.Result[None, errors.Fault]:
        """Set the reservation to a length; on failure it is unchanged."""
        if length > self._max_bytes:
            return result.Failure(
                errors.TooLarge(
                    message=f"The body exceeds {self._max_bytes} bytes.",
                    remedy="Send less, or raise --max-body-bytes.",
                )
            )
        if not self._budget.reserve(length - self._reserved):
            return request_module.did_not_run(
                "The node buffers too many bytes of other request bodies."
            )
        self._reserved = length
        return result.Success(None)

    def add(self, chunk: bytes) -> result.Result[None, errors.Fault]:
        """Append a chunk and extend the reservation if necessary."""
        length = len(self._content) + len(chunk)
        if length > self._reserved:
            reserved = self.reserve_up_to(length)
            if isinstance(reserved, result.Failure):
                return reserved
        self._content += chunk
        return result.Success(None)

    def content(self) -> bytes:
        """Return the bytes received so far."""
        return bytes(self._content)

    def release(self) -> None:
        """Drop the content and its reservation; idempotent."""
        self._budget.free(self._reserved)
        self._reserved = 0
        self._content.clear()
