"""Benchmarks: each prints figures against a stated target."""

from __future__ import annotations

import dataclasses
import typing

from knapweedwharf import registry


@dataclasses.dataclass(frozen=True)
class Figure:
    """One measured figure.

    :ivar target: the stated target in words, or empty.
    :ivar met: whether the target is met; None without a target.
    """

    name: str
    value: float
    unit: str
    target: str = ""
    met: bool | None = None


Bench = typing.Callable[[], list[Figure]]
BENCHES: registry.Registry[Bench] = registry.Registry(subject="bench")
