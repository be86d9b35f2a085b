"""Decoding of the platform's documents into the product's types.

Each function takes a parsed JSON document and raises ``Malformed`` on
one that does not hold what it should.
"""

from __future__ import annotations

import json
import typing

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model

_MILLI = 1000.0

Document = dict[str, typing.Any]


class Malformed(ValueError):
    """A document does not have the shape its place demands."""


def parse(text: bytes) -> Document:
    """Return the JSON object in ``text``."""
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise Malformed("the text is not JSON") from error
    if not isinstance(document, dict):
        raise Malformed("the document is not an object")
    return document


def _field(document: Document, name: str, kind: type, default=None):
    value = document.get(name, default)
    if kind is float and isinstance(value, int):
        value = float(value)
    wrong_bool = isinstance(value, bool) and kind is not bool
    if wrong_bool or not isinstance(value, kind):
        raise Malformed(f"field {name} is missing or of another type")
    return value


def _whole(document: Document, name: str, default: int = 0) -> int:
    value = document.get(name, default)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise Malformed(f"field {name} is not a whole number of 0 or more")
    return value


def desired(text: bytes, revision: int) -> model.Desired:
    """Decode the operator's desired state."""
    document = parse(text)
    accounts = {
        account.name: account
        for account in map(_account, document.get("tenants") or ())
    }
    services = {
        service.name: service
        for service in map(_service, document.get("services") or ())
    }
    return model.Desired(
        revision=revision,
        version=_whole(document, "version"),
        routes=tuple(map(_route, document.get("routes") or ())),
        services=services,
        accounts=accounts,
        account_by_key={
            key: account.name
            for account in accounts.values()
            for key in account.keys
        },
    )


def _account(document: Document) -> model.Account:
    guaranteed = document.get("guaranteed") or {}
    return model.Account(
        name=_field(document, "name", str),
        keys=frozenset(document.get("api_keys") or ()),
        guaranteed_accelerators=_whole(guaranteed, "gpu"),
    )


def _service(document: Document) -> model.Service:
    return model.Service(
        name=_field(document, "name", str),
        enforces_capacity=bool(document.get("enforces_capacity", False)),
        is_standby=bool(document.get("standby", False)),
    )


def _advice_terms(document: Document | None) -> model.AdviceTerms | None:
    if not isinstance(document, dict):
        return None
    return model.AdviceTerms(
        decision_s=_field(document, "decision_ms", float, 0.0) / _MILLI,
        per_executor_s=_field(document, "per_worker_ms", float, 0.0) / _MILLI,
        validity_s=_field(document, "validity_ms", float, 0.0) / _MILLI,
    )


def _route(document: Document) -> model.Route:
    return model.Route(
        name=_field(document, "name", str),
        host=_field(document, "host", str, ""),
        prefix=_field(document, "prefix", str, ""),
        service=_field(document, "service", str, ""),
        priority=_whole(document, "priority", 1),
        max_attempts=max(1, _whole(document, "max_attempts", 1)),
        is_public=bool(document.get("public", False)),
        slowdown=_field(document, "slowdown_factor", float, 0.0),
        target_s=_field(document, "target_latency_ms", float, 0.0) / _MILLI,
        advice=_advice_terms(document.get("advisor")),
    )


def executor(executor_id: str, text: bytes) -> model.Executor:
    """Decode an executor's entry about itself."""
    document = parse(text)
    state = _field(document, "state", str)
    if state not in (model.READY, model.DRAINING):
        raise Malformed(f"state {state!r} is not known")
    capacity = _field(document, "capacity", dict)
    labels = document.get("labels") or []
    if not all(isinstance(label, str) for label in labels):
        raise Malformed("field labels holds something else than text")
    address = _field(document, "address", str)
    if ":" not in address:
        raise Malformed("field address is no IP:port")
    return model.Executor(
        executor_id=executor_id,
        address=address,
        service=_field(document, "service", str),
        data_centre=_field(document, "zone", str, ""),
        state=state,
        cores_milli=_whole(capacity, "cpu"),
        memory_mib=_whole(capacity, "mem_mb"),
        accelerators=_whole(capacity, "gpu"),
        labels=tuple(labels),
        incarnation_ms=_whole(document, "born"),
        remaining_s=_field(document, "remaining_ms", float, 0.0) / _MILLI,
        machine_id=_label(document.get("machine")),
    )


def approval(document: Document) -> model.Approval:
    """Decode the advisor's answer: rows of executor and ticket."""
    rows = document.get("approved") or []
    try:
        tickets = {str(row[0]): str(row[1]) for row in rows}
    except (TypeError, IndexError, KeyError) as error:
        raise Malformed("a row of approved executors is broken") from error
    return model.Approval(
        tickets=tickets,
        validity_s=_field(document, "validity_ms", float, 0.0) / _MILLI,
    )


_MACHINE_STATES = {
    "up": model.MACHINE_UP,
    "moving": model.MACHINE_MOVING,
    "upkeep": model.MACHINE_MAINTAINED,
    "down": model.MACHINE_DOWN,
}


def machines(document: Document) -> list[model.Machine]:
    """Decode one page of the list of machines."""
    rows = document.get("machines") or []
    if not all(isinstance(row, dict) for row in rows):
        raise Malformed("a machine is not an object")
    return [_machine(row) for row in rows]


def _machine(document: Document) -> model.Machine:
    capacity = document.get("capacity") or {}
    # A state of a later version is a machine that cannot be used now.
    state = _field(document, "state", str)
    return model.Machine(
        machine_id=_field(document, "machine", str),
        pool=_field(document, "pool", str, ""),
        state=_MACHINE_STATES.get(state, model.MACHINE_DOWN),
        cores_milli=_whole(capacity, "cpu"),
        memory_mib=_whole(capacity, "mem_mb"),
        accelerators=_whole(capacity, "gpu"),
        labels=tuple(map(_label, document.get("labels") or ())),
        executor_id=_label(document.get("id")),
    )


def wave(text: bytes) -> model.Wave:
    """Decode a wave of maintenance."""
    document = parse(text)
    machine_ids = _field(document, "machines", list)
    return model.Wave(
        number=_whole(document, "wave"),
        machine_ids=tuple(map(_label, machine_ids)),
        within_s=_field(document, "duration_s", float, 0.0),
        # A cap of 0 would keep the wave from ever being done.
        most_at_once=max(1, _whole(document, "cap", 1)),
    )


def wave_status(number: int, completed: bool) -> tuple[str, bytes]:
    """Return the entry that tells the operator how a wave is."""
    state = "completed" if completed else "active"
    return f"status/wave/{number}", json.dumps({"state": state}).encode()


def submission(document: Document) -> dict[str, typing.Any]:
    """Decode a submission into the keywords of ``Door.submit``."""
    return {
        "specification": _field(document, "specification", str, ""),
        "steps": steps(document),
        "repetitions": _whole(document, "repetitions"),
        "first_run_s": _whole(document, "first_run_ms") / _MILLI,
        "interval_s": _whole(document, "interval_ms") / _MILLI,
    }


def steps(document: Document) -> tuple[workflow.Step, ...]:
    """Decode the steps of a submission."""
    listed = document.get("phases")
    if not isinstance(listed, list) or not listed:
        raise Malformed("field phases is missing or empty")
    return tuple(_step(number, step) for number, step in enumerate(listed))


def _step(number: int, document: Document) -> workflow.Step:
    if not isinstance(document, dict):
        raise Malformed(f"step {number} is not an object")
    after = document.get("after") or []
    if not all(isinstance(n, int) and 0 <= n < number for n in after):
        raise Malformed(f"step {number} comes after a step not before it")
    run_ms = _field(document, "estimated_runtime_ms", float, 0.0)
    # The wire names: gang_scheduled, same_rack, requirements (a label),
    # affinity (a rack), anti_affinity (a count), fill_count (a flag).
    return workflow.Step(
        tasks=max(1, _whole(document, "count", 1)),
        cores_milli=_whole(document, "cpu"),
        memory_mib=_whole(document, "mem_mb"),
        accelerators=_whole(document, "gpu"),
        expected_run_s=run_ms / _MILLI,
        after=tuple(after),
        saves_progress=bool(document.get("checkpointing")),
        is_gang=bool(document.get("gang_scheduled")),
        wants_one_rack=bool(document.get("same_rack")),
        label=_label(document.get("requirements")),
        data_rack=_label(document.get("affinity")),
        max_per_executor=_whole(document, "anti_affinity"),
        is_speculative=bool(document.get("speculative")),
        is_lasting=bool(document.get("long_running")),
        allowed_misses=_whole(document, "allowed_misses"),
        image=_label(document.get("image")),
        tail_target_ms=_whole(document, "target_ms"),
        fills_spare=bool(document.get("fill_count")),
    )


def _label(value: object) -> str:
    if isinstance(value, list):
        value = value[0] if value else ""
    if value is None:
        return ""
    if not isinstance(value, str):
        raise Malformed("a label is not text")
    return value


def report(document: Document) -> model.Report:
    """Decode an executor's lists of runs and of ends."""
    try:
        return model.Report(
            clock_ms=_whole(document, "clock_ms"),
            incarnation_ms=_whole(document, "born"),
            runs=tuple(_run(row) for row in document.get("running") or ()),
            ends=tuple(_end(row) for row in document.get("finished") or ()),
        )
    except (TypeError, ValueError, IndexError) as error:
        raise Malformed("a row of runs or ends is broken") from error


def _run(row: list) -> model.Run:
    load = row[4] if len(row) > 4 else 0
    return model.Run(
        str(row[0]), int(row[1]), row[2] or "", int(row[3]), int(load or 0)
    )


def _end(row: list) -> model.End:
    return model.End(
        int(row[0]), str(row[1]), int(row[2]), str(row[3]), row[4] or ""
    )
