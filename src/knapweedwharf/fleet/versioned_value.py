"""A key that only the owner writes, with its newest revision.

A transaction without an answer may be carried out seconds later. Each
write is conditional on the revision before it, so that a late one never
replaces a newer value.
"""

from __future__ import annotations

from returns import result

from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records


class VersionedValue:
    """Writes one key of the store.

    :param epoch_revision: revision of the epoch's key; a condition of
        every write.
    :param revision: the key's revision, if known; 0 if it doesn't exist.
    """

    def __init__(
        self, store, key: str, *, epoch_revision: int, revision: int = 0
    ) -> None:
        self._store = store
        self._key = key
        self._epoch_revision = epoch_revision
        self._revision = revision

    async def write(self, value: bytes) -> result.Result[int, errors.Fault]:
        """Write a value.

        A ``Conflict`` means that an earlier write without an answer was
        carried out, or that a former owner wrote the key; the next write
        replaces it.
        """
        expected = {
            records.EPOCH_KEY: self._epoch_revision,
            self._key: self._revision,
        }
        written = await self._store.commit(
            model.Commit(expected, (model.Write(self._key, value),))
        )
        if isinstance(written, result.Success):
            self._revision = written.unwrap()
        elif isinstance(written.failure(), errors.Conflict):
            item = written.failure().mismatch.current.get(self._key)
            self._revision = item.revision if item else 0
        return written
