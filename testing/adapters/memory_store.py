"""In-memory store that can lose requests and answers or be down."""

from __future__ import annotations

import asyncio

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf import errors

ANSWERED = "done"
ANSWER_LOST = "lost"
NOT_SENT = "unsent"
REQUEST_LOST = "dropped"

_UNKNOWN = errors.OutcomeUnknown(message="No answer.", remedy="Ask again.")
_UNREACHABLE = errors.Unreachable(message="Nothing sent.", remedy="Wait.")


class MemoryStore:
    """The part of the store interface that the revision log uses.

    :ivar script: outcomes of the next calls; later calls are answered.
    :ivar down: every call fails as not sent.
    :ivar calls: kinds of the calls so far.
    :ivar sizes_bytes: sizes of the values read so far.
    :ivar drop_events: number of watch events to drop.
    """

    def __init__(self) -> None:
        self.entries: dict[str, store_module.Entry] = {}
        self.version = 1
        self.script: list[str] = []
        self.down = False
        self.calls: list[str] = []
        self.sizes_bytes: list[int] = []
        self.drop_events = 0
        self._watches: dict[asyncio.Future, tuple] = {}

    def _next_outcome(self, call: str) -> str:
        self.calls.append(call)
        if self.down:
            return NOT_SENT
        return self.script.pop(0) if self.script else ANSWERED

    async def get(self, key: str) -> result.Result:
        """Read one key."""
        if self._next_outcome("read") != ANSWERED:
            return result.Failure(_UNREACHABLE)
        entry = self.entries.get(key)
        self.sizes_bytes.append(len(entry.value) if entry else 0)
        return result.Success(entry)

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int = 0
    ) -> result.Result:
        """Read keys of a prefix in key order."""
        if self._next_outcome("read") != ANSWERED:
            return result.Failure(_UNREACHABLE)
        found = [
            self.entries[key]
            for key in sorted(self.entries)
            if key.startswith(prefix) and key > after_key
        ][: limit or None]
        self.sizes_bytes.extend(len(entry.value) for entry in found)
        return result.Success(store_module.Page(found, self.version))

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int,
        lease_id: int = 0,
    ) -> result.Result:
        """Write by compare-and-swap."""
        outcome = self._next_outcome("write")
        if outcome == NOT_SENT:
            return result.Failure(_UNREACHABLE)
        if outcome == REQUEST_LOST:
            return result.Failure(_UNKNOWN)
        existing = self.entries.get(key)
        if (existing.version if existing else 0) != expected_version:
            conflict = errors.Conflict(message="Changed.", remedy="Read.")
            return result.Failure(
                _UNKNOWN if outcome == ANSWER_LOST else conflict
            )
        self.version += 1
        entry = store_module.Entry(key, value, self.version)
        self.entries[key] = entry
        self._report(entry)
        return (
            result.Failure(_UNKNOWN)
            if outcome == ANSWER_LOST
            else _success(entry)
        )

    async def delete(self, key: str, *, expected_version: int):
        """Delete if the key still has the expected version."""
        if self._next_outcome("write") != ANSWERED:
            return result.Failure(_UNREACHABLE)
        existing = self.entries.get(key)
        if existing is not None and existing.version == expected_version:
            self.version += 1
            del self.entries[key]
        return result.Success(None)

    async def watch(self, prefix: str, *, after_version: int, callback):
        """Report changes until ``cut_watches`` ends the watch."""
        self._next_outcome("watch")
        for entry in list(self.entries.values()):
            if entry.key.startswith(prefix) and entry.version > after_version:
                callback([entry], [], self.version)
        ended = asyncio.get_running_loop().create_future()
        self._watches[ended] = (prefix, callback)
        await ended
        return _UNREACHABLE

    def cut_watches(self) -> None:
        """End every watch."""
        for ended in self._watches:
            ended.set_result(None)
        self._watches.clear()

    def _report(self, entry: store_module.Entry) -> None:
        for prefix, callback in self._watches.values():
            if not entry.key.startswith(prefix):
                continue
            if self.drop_events:
                self.drop_events -= 1
            else:
                callback([entry], [], self.version)

    def close(self) -> None:
        """Do nothing: no connection is open."""


def _success(entry: store_module.Entry) -> result.Result:
    return result.Success(entry)
