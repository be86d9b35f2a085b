"""Bounds on the bodies that callers send, kept while they arrive."""

from __future__ import annotations

from returns import result

from knapweedwharf import errors
from knapweedwharf.routing import request as request_module


class BodyBudget:
    """Bytes of bodies that a node holds at once.

    :param max_bytes: bound for all open requests together.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0

    def take(self, count: int) -> bool:
        """Reserve bytes; False when there is no room."""
        if self._held_bytes + count > self._max_bytes:
            return False
        self._held_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Release reserved bytes."""
        self._held_bytes -= count


class Body:
    """One request's body, within the limits."""

    def __init__(self, *, budget: BodyBudget, max_bytes: int) -> None:
        self._budget = budget
        self._max_bytes = max_bytes
        self._reserved = 0
        self._content = bytearray()

    def announce(self, length: int) -> result.Result[None, errors.Fault]:
        """Reserve room for so many bytes, or for none more than now."""
        if length > self._max_bytes:
            return result.Failure(
                errors.TooLarge(
                    message=f"The body exceeds {self._max_bytes} bytes.",
                    remedy="Send less, or raise --max-body-bytes.",
                )
            )
        if not self._budget.take(length - self._reserved):
            return request_module.did_not_run(
                "The node holds too many bytes of other bodies."
            )
        self._reserved = length
        return result.Success(None)

    def add(self, chunk: bytes) -> result.Result[None, errors.Fault]:
        """Take the next bytes."""
        length = len(self._content) + len(chunk)
        if length > self._reserved:
            announced = self.announce(length)
            if isinstance(announced, result.Failure):
                return announced
        self._content += chunk
        return result.Success(None)

    def content(self) -> bytes:
        """Return what has arrived."""
        return bytes(self._content)

    def release(self) -> None:
        """Drop the content and its reservation; may be repeated."""
        self._budget.give_back(self._reserved)
        self._reserved = 0
        self._content.clear()
