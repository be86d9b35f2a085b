"""A gang that lost a member to a cut link starts again without a wait."""

from __future__ import annotations

import structlog

from knapweedwharf.core import workflow
from knapweedwharf.fleet import session
from testing.fleet import scene as scene_module


def test_a_second_start_waits_for_the_lease_and_not_in_the_queue(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=4, guaranteed=32)
        gang = scene_module.step(tasks=16, is_gang=True)
        with structlog.testing.capture_logs() as lines:
            job_id, _outcome = await scene.submit(
                scene.vms[0],
                gang,
                behaviour={"run_s": 10.0, "gang": 16},
                prefix=scene_module.URGENT_PREFIX,
            )
            await scene.until(lambda: len(scene.pool.starts) == 16)
            lost = scene.pool.starts[0][1]
            scene.pool.executors[lost].silent = True
            await scene.until_state(job_id, workflow.COMPLETED, within_s=30.0)
        first, second = [li for li in lines if li["event"] == "part-placed"]
        assert first["queued_s"] == first["waited_s"] < 0.5
        assert lost not in second["executors"]
        assert second["waited_for"][0] == "lease-lapsed"
        assert second["queued_s"] < 0.1
        lapse_s = session.lapse_after_s(scene_module.BOUNDS)
        assert second["waited_s"] <= lapse_s + 1.0

    scene_module.run_on_virtual_time(main, monkeypatch)
