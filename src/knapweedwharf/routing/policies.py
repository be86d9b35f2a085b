"""Routing policies: choose one of the executors with a free slot."""

from __future__ import annotations

from collections import abc
import random
import typing

from knapweedwharf import registry

if typing.TYPE_CHECKING:
    from knapweedwharf.routing import pool

Policy = abc.Callable[["list[pool.Executor]", random.Random], "pool.Executor"]
POLICIES: registry.Registry[Policy] = registry.Registry(
    subject="routing policy"
)


@POLICIES.register("least-of-two")
def least_of_two(
    candidates: list[pool.Executor], generator: random.Random
) -> pool.Executor:
    """Return the less loaded of two random executors."""
    pair = generator.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda executor: executor.load)


@POLICIES.register("random")
def at_random(
    candidates: list[pool.Executor], generator: random.Random
) -> pool.Executor:
    """Return a random executor; the baseline that policies are compared to."""
    return generator.choice(candidates)
