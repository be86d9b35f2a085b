"""A few fixed schedules of faults; ``make faults`` runs many."""

from __future__ import annotations

import pytest

from testing.faults import seeds

FIXED_SEEDS = (1, 2)


@pytest.mark.parametrize("seed", FIXED_SEEDS)
def test_promises_hold_under_random_faults(seed: int) -> None:
    assert seeds.run(seed) == []


def test_schedule_of_a_seed_is_always_the_same() -> None:
    assert seeds.draw(7) == seeds.draw(7)
    assert seeds.draw(7) != seeds.draw(8)
