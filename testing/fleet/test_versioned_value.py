"""Writes of a key by its owner."""

from __future__ import annotations

import asyncio

from returns import result

from knapweedwharf import errors
from knapweedwharf.fleet import records
from knapweedwharf.fleet import versioned_value
from standins import fleet_store
from standins import virtual_time

KEY = "published/value"


async def _value(state) -> versioned_value.VersionedValue:
    await state.external_write(records.EPOCH_KEY, b"1")
    return versioned_value.VersionedValue(
        fleet_store.FakeStore(state),
        KEY,
        epoch_revision=state.items[records.EPOCH_KEY].revision,
    )


def test_a_late_write_replaces_no_newer_one():
    async def main() -> None:
        state = fleet_store.StoreState()
        value = await _value(state)
        path = value._store.path
        path.lose_answers, path.late_s = 1, 3.0
        lost = await value.write(b"old")
        assert isinstance(lost.failure(), errors.OutcomeUnknown)
        assert isinstance(await value.write(b"new"), result.Success)
        await asyncio.sleep(4.0)
        assert state.items[KEY].value == b"new"

    virtual_time.run(main())


def test_a_write_that_was_carried_out_unheard_is_replaced():
    async def main() -> None:
        state = fleet_store.StoreState()
        value = await _value(state)
        path = value._store.path
        path.lose_answers, path.late_s = 1, 0.0
        await value.write(b"old")
        await asyncio.sleep(1.0)
        conflict = await value.write(b"new")
        assert isinstance(conflict.failure(), errors.Conflict)
        assert isinstance(await value.write(b"new"), result.Success)
        assert state.items[KEY].value == b"new"

    virtual_time.run(main())


def test_a_former_owner_writes_nothing():
    async def main() -> None:
        state = fleet_store.StoreState()
        value = await _value(state)
        await state.external_write(records.EPOCH_KEY, b"2")
        written = await value.write(b"old")
        assert isinstance(written.failure(), errors.Conflict)
        assert KEY not in state.items

    virtual_time.run(main())
