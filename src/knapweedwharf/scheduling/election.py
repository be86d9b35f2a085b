"""Leader election of a data centre: a lease for liveness, an epoch for safety.

The lease only keeps other VMs from competing while the owner is alive.
The epoch is the fencing token: workers refuse orders of an older epoch,
and an older owner's compare-and-swap of a page fails.
"""

from __future__ import annotations

import dataclasses
import json
import typing
import uuid

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf import errors
from knapweedwharf import settings as settings_module


@dataclasses.dataclass(frozen=True)
class Ownership:
    """The owner's epoch and the lease on the owner key."""

    epoch: int
    lease_id: int


class Election:
    """Acquires, renews and resigns the ownership of a data centre."""

    def __init__(
        self, *, store: store_module.Store, settings: settings_module.Settings
    ) -> None:
        self._store = store
        self._settings = settings
        prefix = f"/knapweedwharf/dc/{settings.data_centre}"
        self._owner_key = f"{prefix}/owner"
        self._epoch_key = f"{prefix}/epoch"

    async def try_acquire(self) -> result.Result[Ownership, errors.Fault]:
        """Try once to become the owner; ``Conflict`` if there is one."""
        current = await self._store.get(self._owner_key)
        if isinstance(current, result.Failure):
            return current
        if current.unwrap() is not None:
            return result.Failure(
                errors.Conflict(
                    message="Another VM holds the ownership.",
                    remedy="Wait until its lease lapses.",
                )
            )
        granted = await self._store.grant(self._settings.owner_lease_s)
        if isinstance(granted, result.Failure):
            return granted
        return await self._claim(granted.unwrap())

    async def watch(self, on_vacant: typing.Callable[[], None]) -> None:
        """Call ``on_vacant`` whenever there is no owner.

        Returns when the watch breaks or the store does not answer.
        """

        def changed(
            _entries: list[store_module.Entry],
            deleted: list[str],
            _version: int,
        ) -> None:
            if deleted:
                on_vacant()

        listed = await self._store.list(self._owner_key)
        if isinstance(listed, result.Failure):
            return
        page = listed.unwrap()
        if not page.entries:
            on_vacant()
        await self._store.watch(
            self._owner_key, after_version=page.version, callback=changed
        )

    async def _claim(
        self, lease_id: int
    ) -> result.Result[Ownership, errors.Fault]:
        claimed = await self._write_owner(lease_id)
        if isinstance(claimed, result.Failure):
            return claimed
        raised = await self._raise_epoch()
        if isinstance(raised, result.Failure):
            await self._store.revoke(lease_id)
            return raised
        return result.Success(
            Ownership(epoch=raised.unwrap(), lease_id=lease_id)
        )

    async def _write_owner(
        self, lease_id: int
    ) -> result.Result[store_module.Entry, errors.Fault]:
        return await store_module.write_with_read_back(
            self._store,
            self._owner_key,
            self._owner_document(epoch=0),
            expected_version=store_module.ABSENT_VERSION,
            lease_id=lease_id,
        )

    async def _raise_epoch(self) -> result.Result[int, errors.Fault]:
        found = await self._store.get(self._epoch_key)
        if isinstance(found, result.Failure):
            return found
        entry = found.unwrap()
        epoch = 1 if entry is None else json.loads(entry.value)["epoch"] + 1
        written = await store_module.write_with_read_back(
            self._store,
            self._epoch_key,
            self._owner_document(epoch=epoch),
            expected_version=entry.version if entry else 0,
        )
        return written.map(lambda _entry: epoch)

    def _owner_document(self, *, epoch: int) -> bytes:
        document = {
            "node_id": self._settings.node_id,
            "epoch": epoch,
            "write_id": uuid.uuid4().hex,
        }
        return json.dumps(document).encode()

    async def renew(
        self, ownership: Ownership
    ) -> result.Result[None, errors.Fault]:
        """Renew the lease; ``Fenced`` if it has lapsed."""
        return await self._store.keep_alive(ownership.lease_id)

    async def reclaim(
        self, ownership: Ownership
    ) -> result.Result[Ownership, errors.Fault]:
        """Take a new lease under the same epoch after a store outage.

        Fails with ``Fenced`` or ``Conflict`` if another VM has been elected.
        """
        granted = await self._store.grant(self._settings.owner_lease_s)
        if isinstance(granted, result.Failure):
            return granted
        lease_id = granted.unwrap()
        claimed = await self._write_owner(lease_id)
        if isinstance(claimed, result.Failure):
            await self._store.revoke(lease_id)
            return claimed
        found = await self._store.get(self._epoch_key)
        if isinstance(found, result.Failure):
            await self._store.revoke(lease_id)
            return found
        entry = found.unwrap()
        if entry and json.loads(entry.value)["epoch"] == ownership.epoch:
            return result.Success(
                dataclasses.replace(ownership, lease_id=lease_id)
            )
        await self._store.revoke(lease_id)
        return result.Failure(
            errors.Fenced(
                message="Another VM has raised the epoch.",
                remedy="Step down; the new owner continues.",
            )
        )

    async def resign(self, ownership: Ownership) -> None:
        """Revoke the lease, so that another VM can be elected at once."""
        await self._store.revoke(ownership.lease_id)
