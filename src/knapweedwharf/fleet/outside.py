"""What a VM reaches outside of itself, through clients of one shape."""

from __future__ import annotations

import dataclasses
import typing

from knapweedwharf.fleet import model


@dataclasses.dataclass(frozen=True)
class Outside:
    """Clients of the platform's services.

    :ivar store: what lasts, with transactions and watches.
    :ivar executors: what runs tasks.
    :ivar advisor: knows which executors may run a step.
    :ivar machines: moves and maintains the executors' machines.
    :ivar catalogue: where others' entries lie in the store.
    """

    store: typing.Any
    executors: typing.Any
    advisor: typing.Any
    machines: typing.Any
    catalogue: model.Catalogue
