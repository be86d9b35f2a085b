"""Clients of the platform's services that a VM uses."""

from __future__ import annotations

import dataclasses
import typing

from knapweedwharf.fleet import model


@dataclasses.dataclass(frozen=True)
class PlatformClients:
    """Clients of the platform's services.

    :ivar store: durable key-value store with transactions and watches.
    :ivar executors: starts, stops and renews runs of tasks.
    :ivar advisor: approves executors for a step.
    :ivar machines: moves and maintains the executors' machines.
    :ivar store_schema: keys and decoders of entries that others write.
    """

    store: typing.Any
    executors: typing.Any
    advisor: typing.Any
    machines: typing.Any
    store_schema: model.StoreSchema
