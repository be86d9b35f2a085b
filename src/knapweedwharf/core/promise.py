"""Whether a data centre's hardware can meet all guarantees at once."""

from __future__ import annotations

from knapweedwharf.core import model


def smallest_conflict(
    configuration: model.Configuration, data_centre: str
) -> list[model.GuaranteeSpec]:
    """Return guarantees that cannot be met together, or nothing."""
    guarantees = [
        guarantee
        for guarantee in configuration.guarantees.values()
        if guarantee.data_centre == data_centre
    ]
    total = sum(
        rack.workers * rack.accelerators_per_worker
        for rack in configuration.racks.values()
        if rack.data_centre == data_centre
    )
    promised = sum(g.accelerators * g.count for g in guarantees)
    return guarantees if promised > total else []
