"""Job records as JSON, in packed pages and in worker descriptors."""

from __future__ import annotations

import dataclasses
import json

from knapweedwharf.core import engine
from knapweedwharf.core import model


def to_dict(record: engine.JobRecord) -> dict:
    """Return a record as JSON values."""
    document = dataclasses.asdict(record)
    document["ended_tasks"] = sorted(record.ended_tasks)
    return document


def from_dict(document: dict) -> engine.JobRecord:
    """Build a record from its JSON values."""
    return engine.JobRecord(
        **{
            **document,
            "job": model.JobSpec(**document["job"]),
            "assignments": tuple(
                _assignment(item) for item in document["assignments"]
            ),
            "ended_tasks": frozenset(document["ended_tasks"]),
            "reasons": tuple(
                model.Reason(**item) for item in document["reasons"]
            ),
        }
    )


def _assignment(item: dict) -> model.Assignment:
    accelerators = tuple(item["accelerators"])
    return model.Assignment(**{**item, "accelerators": accelerators})


def describe(record: engine.JobRecord) -> str:
    """Return the descriptor a worker keeps with an attempt."""
    return json.dumps(to_dict(record), separators=(",", ":"))
