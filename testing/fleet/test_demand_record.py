"""What work with precedence used is handed on to the next owner."""

from __future__ import annotations

import asyncio

import pytest
from returns import result

from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import demand_record
from knapweedwharf.fleet import election
from knapweedwharf.fleet import records
from standins import fleet_store
from testing.fleet import scene as scene_module


def _engine(in_use: int) -> engine_module.Engine:
    engine = engine_module.Engine(data_centre="pool", attempt_prefix="a")
    engine.state.headroom.in_use = in_use
    engine.state.headroom.sample(0.0, memory_s=10.0)
    return engine


class _Owner:
    """An owner's record, with what it tells the engines."""

    def __init__(self, scene, epoch_revision: int, in_use: int = 0) -> None:
        self.store = fleet_store.FakeStore(scene.store)
        self.told: list[tuple[str, event.Event]] = []
        self.record = demand_record.DemandRecord(
            store=self.store,
            ownership=election.Ownership(1, epoch_revision),
            engines={"pool": _engine(in_use)},
            tell=lambda service, happened: self.told.append(
                (service, happened)
            ),
        )


async def _write_epoch(scene) -> int:
    scene._time = asyncio.create_task(scene.pool.run_forever())
    return await scene.store.external_write(records.EPOCH_KEY, b"1")


def _stored(scene) -> dict[str, tuple[float, float]]:
    return records.load_demand(scene.store.items[records.DEMAND_KEY].value)[0]


def test_the_next_owner_is_told_what_the_former_stored(monkeypatch):
    async def main(scene):
        epoch = await _write_epoch(scene)
        first = _Owner(scene, epoch, in_use=24)
        await first.record.start()
        await asyncio.sleep(3.0)
        await first.record.close()
        assert first.told == []
        epoch = await scene.store.external_write(records.EPOCH_KEY, b"2")
        second = _Owner(scene, epoch, in_use=40)
        await second.record.start()
        assert second.told == [("pool", event.DemandRecalled(24.0, 576.0))]
        await asyncio.sleep(3.0)
        await second.record.close()
        assert _stored(scene) == {"pool": (40.0, 1600.0)}

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_former_owner_replaces_nothing(monkeypatch):
    async def main(scene):
        former = _Owner(scene, await _write_epoch(scene), in_use=24)
        await former.record.start()
        await scene.store.external_write(records.EPOCH_KEY, b"2")
        await asyncio.sleep(10.0)
        await former.record.close()
        assert records.DEMAND_KEY not in scene.store.items

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_use_that_hardly_changes_is_stored_once(monkeypatch):
    async def main(scene):
        owner = _Owner(scene, await _write_epoch(scene), in_use=24)
        await owner.record.start()
        await asyncio.sleep(30.0)
        await owner.record.close()
        assert scene.store.commits == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b'{"at_s": 1}',
        b'{"at_s": "x", "averages": {"pool": [1, 1]}}',
        b'{"at_s": 1, "averages": {"pool": [1]}}',
    ],
)
def test_a_malformed_record_is_replaced(monkeypatch, value):
    async def main(scene):
        epoch = await _write_epoch(scene)
        await scene.store.external_write(records.DEMAND_KEY, value)
        owner = _Owner(scene, epoch, in_use=24)
        await owner.record.start()
        assert owner.told == []
        await asyncio.sleep(3.0)
        await owner.record.close()
        assert _stored(scene) == {"pool": (24.0, 576.0)}

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("age_s, is_told", [(50.0, True), (70.0, False)])
def test_averages_that_would_have_faded_are_not_used(
    monkeypatch, age_s, is_told
):
    async def main(scene):
        epoch = await _write_epoch(scene)
        value = records.dump_demand({"pool": (8.0, 64.0)}, clock.unix_s())
        await scene.store.external_write(records.DEMAND_KEY, value)
        await asyncio.sleep(age_s)
        owner = _Owner(scene, epoch)
        await owner.record.start()
        await owner.record.close()
        assert bool(owner.told) is is_told

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_owner_that_cannot_read_it_goes_on(monkeypatch):
    async def main(scene):
        owner = _Owner(scene, await _write_epoch(scene), in_use=24)
        owner.store.path.silent = True
        async with asyncio.timeout(1.0):
            await owner.record.start()
        assert owner.told == []
        owner.store.path.silent = False
        await asyncio.sleep(5.0)
        await owner.record.close()
        assert isinstance(
            await owner.store.read(records.DEMAND_KEY), result.Success
        )
        assert _stored(scene) == {"pool": (24.0, 576.0)}

    scene_module.run_on_virtual_time(main, monkeypatch)
