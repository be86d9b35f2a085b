"""A store in memory whose answers can be lost, delayed or refused."""

from __future__ import annotations

import asyncio

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf import errors

DONE = "done"
LOST = "lost"
UNSENT = "unsent"
DROPPED = "dropped"

_UNKNOWN = errors.OutcomeUnknown(message="No answer.", remedy="Ask again.")
_UNREACHABLE = errors.Unreachable(message="Nothing sent.", remedy="Wait.")


class MemoryStore:
    """The part of the store interface that the log of revisions uses.

    :ivar script: what becomes of the next calls; done when empty.
    :ivar down: no call is answered.
    :ivar calls: names of the calls so far.
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

    def _fate(self, call: str) -> str:
        self.calls.append(call)
        if self.down:
            return UNSENT
        return self.script.pop(0) if self.script else DONE

    async def get(self, key: str) -> result.Result:
        """Read one key."""
        if self._fate("read") != DONE:
            return result.Failure(_UNREACHABLE)
        entry = self.entries.get(key)
        self.sizes_bytes.append(len(entry.value) if entry else 0)
        return result.Success(entry)

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int = 0
    ) -> result.Result:
        """Read keys in order."""
        if self._fate("read") != DONE:
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
        """Compare and swap."""
        fate = self._fate("write")
        if fate == UNSENT:
            return result.Failure(_UNREACHABLE)
        if fate == DROPPED:
            return result.Failure(_UNKNOWN)
        held = self.entries.get(key)
        if (held.version if held else 0) != expected_version:
            conflict = errors.Conflict(message="Changed.", remedy="Read.")
            return result.Failure(_UNKNOWN if fate == LOST else conflict)
        self.version += 1
        entry = store_module.Entry(key, value, self.version)
        self.entries[key] = entry
        self._report(entry)
        return result.Failure(_UNKNOWN) if fate == LOST else _done(entry)

    async def delete(self, key: str, *, expected_version: int):
        """Compare and delete."""
        if self._fate("write") != DONE:
            return result.Failure(_UNREACHABLE)
        held = self.entries.get(key)
        if held is not None and held.version == expected_version:
            self.version += 1
            del self.entries[key]
        return result.Success(None)

    async def watch(self, prefix: str, *, after_version: int, callback):
        """Report changes until the watch is cut."""
        self._fate("watch")
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
        """Nothing is open."""


def _done(entry: store_module.Entry) -> result.Result:
    return result.Success(entry)
