"""What the operator writes and reads of maintenance waves."""

from __future__ import annotations

import json


async def request(
    scene, machines, *, number=3, within_s=40.0, most_at_once=1
) -> None:
    """Let the operator ask for a wave."""
    wave = {
        "number": number,
        "machine_ids": machines,
        "within_s": within_s,
        "most_at_once": most_at_once,
    }
    await scene.store.external_write(
        f"operator/wave/{number}", json.dumps(wave).encode()
    )


def published(scene, number: int = 3) -> bool | None:
    """Return whether a wave is shown as complete; None before."""
    item = scene.store.items.get(f"shown/wave/{number}")
    return json.loads(item.value) if item else None
