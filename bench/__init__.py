"""Benchmarks: each measures figures and compares some with targets."""

from __future__ import annotations

import dataclasses
import typing

from knapweedwharf import registry


@dataclasses.dataclass(frozen=True)
class Figure:
    """One measured figure.

    :ivar target: description of the target, or empty if there is none.
    :ivar met: whether the target is met; None if there is none.
    """

    name: str
    value: float
    unit: str
    target: str = ""
    met: bool | None = None


Benchmark = typing.Callable[[], list[Figure]]
BENCHMARKS: registry.Registry[Benchmark] = registry.Registry(subject="bench")
