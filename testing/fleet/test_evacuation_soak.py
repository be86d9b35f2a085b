"""Random requests to evacuate data centres beside random faults."""

from __future__ import annotations

import asyncio
import random

import pytest
from returns import result

from knapweedwharf.core import workflow
from testing.fleet import evacuation
from testing.fleet import scene as scene_module

DATA_CENTRES = ("north", "south", "west")
STEPS = 25
STEP_S = 1.0
SEEDS = range(12)


@pytest.fixture(autouse=True)
def _limit_evacuations(monkeypatch):
    monkeypatch.setattr(scene_module, "BOUNDS", evacuation.BOUNDS)


class _Soak:
    """Requests and faults, drawn by a seed.

    :ivar spans: (data centre, acknowledged, lifted) of each evacuation.
    """

    def __init__(self, scene, seed: int) -> None:
        self._scene = scene
        self._random = random.Random(seed)
        self._asked_s: dict[str, float] = {}
        self.spans: list[tuple[str, float, float]] = []
        self.jobs: list[str] = []

    async def run(self) -> None:
        """Draw all steps, and then undo what lasts."""
        for _step in range(STEPS):
            self._heal()
            await self._random.choice(
                [self._ask, self._ask, self._lift, self._disturb, self._skip]
            )()
            await self._work()
            await asyncio.sleep(self._random.uniform(0.2, 2 * STEP_S))
        self._heal()
        for data_centre in list(self._asked_s):
            await self._lift_one(data_centre)

    async def _skip(self) -> None:
        return

    async def _ask(self) -> None:
        data_centre = self._random.choice(DATA_CENTRES)
        if data_centre not in self._asked_s:
            self._asked_s[data_centre] = await evacuation.evacuate(
                self._scene, data_centre
            )

    async def _lift(self) -> None:
        if self._asked_s:
            await self._lift_one(self._random.choice(list(self._asked_s)))

    async def _lift_one(self, data_centre: str) -> None:
        lifted_s = await evacuation.lift(self._scene, data_centre)
        asked_s = self._asked_s.pop(data_centre)
        self.spans.append((data_centre, asked_s, lifted_s))

    async def _disturb(self) -> None:
        path = self._random.choice(self._scene.vms).store.path
        kind = self._random.choice(
            ["silent", "refused", "mute", "connections", "history", "lost"]
        )
        if kind in ("silent", "refused"):
            setattr(path, kind, True)
        elif kind == "mute":
            path.mute_prefix = scene_module.STORE_SCHEMA.operator_prefix
        elif kind == "connections":
            path.mute_open_connections()
        elif kind == "history":
            self._scene.store.compact_history()
        else:
            path.lose_answers = 2

    def _heal(self) -> None:
        for vm in self._scene.vms:
            path = vm.store.path
            path.silent = path.refused = False
            path.mute_prefix = ""

    async def _work(self) -> None:
        for vm in self._scene.vms:
            job_id, outcome = await self._scene.submit(
                vm,
                scene_module.step(
                    tasks=self._random.randint(1, 4),
                    accelerators=self._random.randint(1, 8),
                ),
                behaviour={"run_s": self._random.uniform(0.2, 2.0)},
            )
            if isinstance(outcome, result.Success):
                self.jobs.append(job_id)


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_is_started_there_and_no_work_is_lost(monkeypatch, seed):
    async def main(scene):
        for data_centre in DATA_CENTRES:
            await evacuation.add_executors(scene, data_centre, 2)
        await scene.open(vms=2, executors=0)
        soak = _Soak(scene, seed)
        await soak.run()
        for job_id in soak.jobs:
            await scene.until_state(job_id, workflow.COMPLETED, within_s=90.0)
        assert soak.spans
        for data_centre, asked_s, lifted_s in soak.spans:
            late = [
                start
                for start in evacuation.starts_in(
                    scene,
                    data_centre,
                    after_s=asked_s + evacuation.EVACUATION_S,
                )
                if start[0] < lifted_s
            ]
            assert not late, (data_centre, asked_s, lifted_s, late)

    scene_module.run_on_virtual_time(main, monkeypatch)
