"""Job records as JSON, in packed pages and in worker descriptors."""

from __future__ import annotations

import dataclasses
import json

from knapweedwharf import codec
from knapweedwharf.core import engine


def to_dict(record: engine.JobRecord) -> dict:
    """Return a record as JSON values."""
    return codec.plain(record)


def from_dict(document: dict) -> engine.JobRecord:
    """Build a record from its JSON values."""
    return codec.build(engine.JobRecord, document)


def describe(record: engine.JobRecord) -> str:
    """Return the descriptor a worker keeps with an attempt."""
    short = dataclasses.replace(record, reasons=())
    return json.dumps(to_dict(short), separators=(",", ":"))


def parse_descriptor(descriptor: str) -> engine.JobRecord | None:
    """Read a descriptor; None when it is not one."""
    try:
        return from_dict(json.loads(descriptor))
    except (KeyError, TypeError, ValueError):
        return None
