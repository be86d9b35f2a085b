"""Job records as JSON, for pages in the store and worker descriptors.

A descriptor is the copy of its record that a worker keeps with an attempt.
A new owner adopts a running gang from it when the store has no record.
"""

from __future__ import annotations

import dataclasses
import json

from knapweedwharf import codec
from knapweedwharf.core import engine


def to_dict(record: engine.JobRecord) -> dict:
    """Convert a record to JSON values."""
    return codec.encode(record)


def from_dict(document: dict) -> engine.JobRecord:
    """Convert JSON values to a record."""
    return codec.decode(engine.JobRecord, document)


def to_descriptor(record: engine.JobRecord) -> str:
    """Return the descriptor that a worker keeps with an attempt."""
    without_reasons = dataclasses.replace(record, reasons=())
    return json.dumps(to_dict(without_reasons), separators=(",", ":"))


def parse_descriptor(descriptor: str) -> engine.JobRecord | None:
    """Parse a descriptor; None if it is not a valid one."""
    try:
        return from_dict(json.loads(descriptor))
    except codec.UNDECODABLE:
        return None
