"""Decoding of the platform's documents into the types of ``fleet.model``.

The functions raise ``Malformed`` if a field is missing, has another type
or is out of range.
"""

from __future__ import annotations

import json
import typing

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model

_MS_PER_S = 1000.0

Document = dict[str, typing.Any]


class Malformed(ValueError):
    """A document does not match its schema."""


def parse(text: bytes) -> Document:
    """Parse a JSON object."""
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
    is_unexpected_bool = isinstance(value, bool) and kind is not bool
    if is_unexpected_bool or not isinstance(value, kind):
        raise Malformed(f"field {name} is missing or has the wrong type")
    return value


def _non_negative_int(document: Document, name: str, default: int = 0) -> int:
    value = document.get(name, default)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise Malformed(f"field {name} is not a non-negative integer")
    return value


def desired(text: bytes, revision: int) -> model.DesiredSnapshot:
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
    return model.DesiredSnapshot(
        revision=revision,
        version=_non_negative_int(document, "version"),
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
        guaranteed_accelerators=_non_negative_int(guaranteed, "gpu"),
    )


def _service(document: Document) -> model.Service:
    return model.Service(
        name=_field(document, "name", str),
        enforces_capacity=bool(document.get("enforces_capacity", False)),
        is_standby=bool(document.get("standby", False)),
    )


def _advice_terms(document: Document | None) -> model.AdvisorTerms | None:
    if not isinstance(document, dict):
        return None
    return model.AdvisorTerms(
        decision_s=_field(document, "decision_ms", float, 0.0) / _MS_PER_S,
        per_executor_s=_field(document, "per_worker_ms", float, 0.0)
        / _MS_PER_S,
        validity_s=_field(document, "validity_ms", float, 0.0) / _MS_PER_S,
    )


def _route(document: Document) -> model.Route:
    return model.Route(
        name=_field(document, "name", str),
        host=_field(document, "host", str, ""),
        prefix=_field(document, "prefix", str, ""),
        service=_field(document, "service", str, ""),
        priority=_non_negative_int(document, "priority", 1),
        max_attempts=max(1, _non_negative_int(document, "max_attempts", 1)),
        is_public=bool(document.get("public", False)),
        slowdown=_field(document, "slowdown_factor", float, 0.0),
        target_s=_field(document, "target_latency_ms", float, 0.0) / _MS_PER_S,
        advice=_advice_terms(document.get("advisor")),
    )


def executor(executor_id: str, text: bytes) -> model.Executor:
    """Decode the entry that an executor writes about itself."""
    document = parse(text)
    state = _field(document, "state", str)
    if state not in (model.READY, model.DRAINING):
        raise Malformed(f"state {state!r} is unknown")
    capacity = _field(document, "capacity", dict)
    labels = document.get("labels") or []
    if not all(isinstance(label, str) for label in labels):
        raise Malformed("field labels contains a value that is not a string")
    address = _field(document, "address", str)
    if ":" not in address:
        raise Malformed("field address is not of the form IP:port")
    return model.Executor(
        executor_id=executor_id,
        address=address,
        service=_field(document, "service", str),
        data_centre=_field(document, "zone", str, ""),
        state=state,
        cores_milli=_non_negative_int(capacity, "cpu"),
        memory_mib=_non_negative_int(capacity, "mem_mb"),
        accelerators=_non_negative_int(capacity, "gpu"),
        labels=tuple(labels),
        incarnation_ms=_non_negative_int(document, "born"),
        remaining_s=_field(document, "remaining_ms", float, 0.0) / _MS_PER_S,
        machine_id=_first_text(document.get("machine")),
    )


def approval(document: Document) -> model.Approval:
    """Decode the advisor's response: rows of executor id and ticket."""
    rows = document.get("approved") or []
    try:
        tickets = {str(row[0]): str(row[1]) for row in rows}
    except (TypeError, IndexError, KeyError) as error:
        raise Malformed("a row of approved executors is malformed") from error
    return model.Approval(
        tickets=tickets,
        validity_s=_field(document, "validity_ms", float, 0.0) / _MS_PER_S,
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
    # A state that this version does not know counts as unavailable.
    state = _field(document, "state", str)
    return model.Machine(
        machine_id=_field(document, "machine", str),
        pool=_field(document, "pool", str, ""),
        state=_MACHINE_STATES.get(state, model.MACHINE_DOWN),
        cores_milli=_non_negative_int(capacity, "cpu"),
        memory_mib=_non_negative_int(capacity, "mem_mb"),
        accelerators=_non_negative_int(capacity, "gpu"),
        labels=tuple(map(_first_text, document.get("labels") or ())),
        executor_id=_first_text(document.get("id")),
    )


def wave(text: bytes) -> model.MaintenanceWave:
    """Decode a maintenance wave."""
    document = parse(text)
    machine_ids = _field(document, "machines", list)
    return model.MaintenanceWave(
        number=_non_negative_int(document, "wave"),
        machine_ids=tuple(map(_first_text, machine_ids)),
        within_s=_field(document, "duration_s", float, 0.0),
        # With a cap of 0 the wave would never complete.
        most_at_once=max(1, _non_negative_int(document, "cap", 1)),
    )


def wave_status(number: int, completed: bool) -> tuple[str, bytes]:
    """Return key and value of the entry that reports a wave's state."""
    state = "completed" if completed else "active"
    return f"status/wave/{number}", json.dumps({"state": state}).encode()


def submission(document: Document) -> dict[str, typing.Any]:
    """Decode a submission into keyword arguments of ``JobApi.submit``."""
    return {
        "specification": _field(document, "specification", str, ""),
        "steps": steps(document),
        "repetitions": _non_negative_int(document, "repetitions"),
        "first_run_s": _non_negative_int(document, "first_run_ms") / _MS_PER_S,
        "interval_s": _non_negative_int(document, "interval_ms") / _MS_PER_S,
    }


def steps(document: Document) -> tuple[workflow.Step, ...]:
    """Decode the steps of a submission."""
    step_documents = document.get("phases")
    if not isinstance(step_documents, list) or not step_documents:
        raise Malformed("field phases is missing or empty")
    return tuple(
        _step(number, step) for number, step in enumerate(step_documents)
    )


def _step(number: int, document: Document) -> workflow.Step:
    if not isinstance(document, dict):
        raise Malformed(f"step {number} is not an object")
    after = document.get("after") or []
    if not all(isinstance(n, int) and 0 <= n < number for n in after):
        raise Malformed(
            f"step {number} depends on a step that is not before it"
        )
    run_ms = _field(document, "estimated_runtime_ms", float, 0.0)
    # Wire names: gang_scheduled and same_rack are flags, requirements is a
    # label, affinity a rack, anti_affinity a count and fill_count a flag.
    return workflow.Step(
        tasks=max(1, _non_negative_int(document, "count", 1)),
        cores_milli=_non_negative_int(document, "cpu"),
        memory_mib=_non_negative_int(document, "mem_mb"),
        accelerators=_non_negative_int(document, "gpu"),
        expected_run_s=run_ms / _MS_PER_S,
        after=tuple(after),
        saves_progress=bool(document.get("checkpointing")),
        is_gang=bool(document.get("gang_scheduled")),
        wants_one_rack=bool(document.get("same_rack")),
        label=_first_text(document.get("requirements")),
        data_rack=_first_text(document.get("affinity")),
        max_per_executor=_non_negative_int(document, "anti_affinity"),
        is_speculative=bool(document.get("speculative")),
        is_lasting=bool(document.get("long_running")),
        allowed_misses=_non_negative_int(document, "allowed_misses"),
        image=_first_text(document.get("image")),
        tail_target_ms=_non_negative_int(document, "target_ms"),
        fills_spare=bool(document.get("fill_count")),
    )


def _first_text(value: object) -> str:
    if isinstance(value, list):
        value = value[0] if value else ""
    if value is None:
        return ""
    if not isinstance(value, str):
        raise Malformed("a label is not a string")
    return value


def report(document: Document) -> model.Report:
    """Decode an executor's report of current and ended runs."""
    try:
        return model.Report(
            clock_ms=_non_negative_int(document, "clock_ms"),
            incarnation_ms=_non_negative_int(document, "born"),
            runs=tuple(_run(row) for row in document.get("running") or ()),
            ends=tuple(
                _ended_run(row) for row in document.get("finished") or ()
            ),
        )
    except (TypeError, ValueError, IndexError) as error:
        raise Malformed(
            "a row of running or finished runs is malformed"
        ) from error


def _run(row: list) -> model.RunStatus:
    load = row[4] if len(row) > 4 else 0
    return model.RunStatus(
        str(row[0]), int(row[1]), row[2] or "", int(row[3]), int(load or 0)
    )


def _ended_run(row: list) -> model.RunEnd:
    return model.RunEnd(
        int(row[0]), str(row[1]), int(row[2]), str(row[3]), row[4] or ""
    )
