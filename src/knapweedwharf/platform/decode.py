"""Decoding of the platform's documents into the types of ``fleet.model``.

The functions raise ``Malformed`` if a field is missing, has another type
or is out of range. In lists of rows, one odd row hides no other.
"""

from __future__ import annotations

from collections import abc
import json
import typing

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from knapweedwharf.platform import field

MAX_TASKS = 10_000
"""Tasks of a job in all of its occurrences. Its progress takes up to 100 bytes
a task and must fit into a value of the store (1 MB)."""

MAX_CHECKPOINT_CHARS = 4_000
"""As long as a specification, which a start carries as well."""

MAX_LISTED_ENDS = 500
"""An executor lists at most so many ends at once; the others follow once
these are acknowledged."""

_FULL_PERCENT = 100

_MS_PER_S = 1000.0

Document = field.Document
Malformed = field.Malformed
parse = field.parse


@field.border
def desired(text: bytes, revision: int) -> model.DesiredSnapshot:
    """Decode the operator's desired state, which counts as a whole."""
    document = parse(text)
    accounts = {
        account.name: account
        for account in map(_account, field.rows(document, "tenants"))
    }
    services = {
        service.name: service
        for service in map(_service, field.rows(document, "services"))
    }
    return model.DesiredSnapshot(
        revision=revision,
        version=field.whole(document, "version"),
        routes=tuple(map(_route, field.rows(document, "routes"))),
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
        name=field.text(document, "name"),
        keys=frozenset(map(field.text_of, field.rows(document, "api_keys"))),
        guaranteed_accelerators=field.amount(guaranteed, "gpu"),
    )


def _service(document: Document) -> model.Service:
    return model.Service(
        name=field.text(document, "name"),
        enforces_capacity=bool(document.get("enforces_capacity", False)),
        is_standby=bool(document.get("standby", False)),
    )


def _advice_terms(document: Document | None) -> model.AdvisorTerms | None:
    if not isinstance(document, dict):
        return None
    return model.AdvisorTerms(
        decision_s=field.seconds(document, "decision_ms"),
        per_executor_s=field.seconds(document, "per_worker_ms"),
        validity_s=field.seconds(document, "validity_ms"),
    )


def _route(document: Document) -> model.Route:
    return model.Route(
        name=field.text(document, "name"),
        host=field.text(document, "host", ""),
        prefix=field.text(document, "prefix", ""),
        service=field.text(document, "service", ""),
        priority=field.whole(document, "priority", 1),
        max_attempts=max(1, field.whole(document, "max_attempts", 1)),
        is_public=bool(document.get("public", False)),
        slowdown=field.number(
            document, "slowdown_factor", most=field.MAX_AMOUNT
        ),
        target_s=field.seconds(document, "target_latency_ms"),
        advice=_advice_terms(document.get("advisor")),
    )


@field.border
def executor(executor_id: str, text: bytes) -> model.Executor:
    """Decode the entry that an executor writes about itself."""
    document = parse(text)
    state = document.get("state")
    if state not in (model.READY, model.DRAINING):
        raise Malformed("field state is missing or unknown")
    capacity = document.get("capacity")
    if not isinstance(capacity, dict):
        raise Malformed("field capacity is missing or has the wrong type")
    return model.Executor(
        executor_id=field.id_of(executor_id),
        address=field.address_of(document.get("address")),
        service=field.text(document, "service"),
        data_centre=field.text(document, "zone", ""),
        state=state,
        cores_milli=field.amount(capacity, "cpu"),
        memory_mib=field.amount(capacity, "mem_mb"),
        accelerators=field.amount(capacity, "gpu"),
        labels=tuple(map(field.text_of, field.rows(document, "labels"))),
        incarnation_ms=field.whole(document, "born"),
        remaining_s=_remaining_s(document),
        machine_id=field.first_text(document.get("machine")),
        cold_s=_cold_s(document),
    )


def _cold_s(document: Document) -> float:
    """Read for how long an executor stays slow; 0 for what is no time.

    It is a hint, for which an executor isn't left out.
    """
    value = document.get("cold_remaining_ms")
    if type(value) not in (int, float):
        return 0.0
    if not 0 <= value <= field.MAX_DURATION_MS:
        return 0.0
    return value / _MS_PER_S


def _remaining_s(document: Document) -> float:
    """Read the least time that is left; one that has passed is 0."""
    value = document.get("remaining_ms", 0.0)
    if type(value) in (int, float) and -field.MAX_DURATION_MS <= value < 0:
        return 0.0
    return field.seconds(document, "remaining_ms")


@field.border
def approval(document: Document) -> model.Approval:
    """Decode the advisor's response: rows of executor id and ticket."""
    tickets, odd = _decode_rows(_ticket, field.rows(document, "approved"))
    return model.Approval(
        tickets=dict(tickets),
        validity_s=field.seconds(document, "validity_ms"),
        odd_rows=odd,
    )


def _ticket(row: list) -> tuple[str, str]:
    if not isinstance(row, list):
        raise Malformed("a row is not a list")
    return field.text_of(row[0]), field.text_of(row[1])


def _decode_rows(
    decoder: abc.Callable, rows: list
) -> tuple[list[typing.Any], int]:
    """Decode each row; return the result and how many could not be."""
    found = []
    for row in rows:
        try:
            found.append(decoder(row))
        except (TypeError, ValueError, LookupError, AttributeError):
            # Counted; the caller logs how many rows were left out.
            continue
    return found, len(rows) - len(found)


_MACHINE_STATES = {
    "up": model.MACHINE_UP,
    "moving": model.MACHINE_MOVING,
    "upkeep": model.MACHINE_MAINTAINED,
    "down": model.MACHINE_DOWN,
}


@field.border
def machines(document: Document) -> tuple[list[model.Machine], int]:
    """Decode one page of the list of machines.

    :returns: the machines, and how many rows could not be decoded.
    """
    return _decode_rows(_machine, field.rows(document, "machines"))


@field.border
def next_token(document: Document) -> str:
    """Decode the token of the next page; empty after the last."""
    token = document.get("next_token")
    if isinstance(token, int):
        token = str(token) if token else ""
    return field.text_of(token or "")


def _machine(document: Document) -> model.Machine:
    capacity = document.get("capacity") or {}
    # A state that this version does not know counts as unavailable.
    state = field.text(document, "state")
    return model.Machine(
        machine_id=field.text(document, "machine"),
        pool=field.text(document, "pool", ""),
        state=_MACHINE_STATES.get(state, model.MACHINE_DOWN),
        cores_milli=field.amount(capacity, "cpu"),
        memory_mib=field.amount(capacity, "mem_mb"),
        accelerators=field.amount(capacity, "gpu"),
        labels=tuple(map(field.first_text, field.rows(document, "labels"))),
        executor_id=field.first_text(document.get("id")),
        data_centre=_text_or_none(document.get("zone")),
    )


def _text_or_none(value: object) -> str:
    """Return a name that may be missing; an odd one is as good as none."""
    try:
        return field.first_text(value)
    except Malformed:
        return ""


@field.border
def wave(text: bytes) -> model.MaintenanceWave:
    """Decode a maintenance wave."""
    document = parse(text)
    if "machines" not in document:
        raise Malformed("field machines is missing")
    machine_ids = field.rows(document, "machines")
    return model.MaintenanceWave(
        number=field.whole(document, "wave"),
        machine_ids=tuple(map(field.first_text, machine_ids)),
        within_s=field.number(
            document, "duration_s", most=field.MAX_DURATION_MS / _MS_PER_S
        ),
        # With a cap of 0 the wave would never complete.
        most_at_once=max(1, field.whole(document, "cap", 1)),
    )


@field.border
def evacuation(text: bytes) -> None:
    """Check a request to evacuate a data centre; its key says which."""
    parse(text)


def wave_status(number: int, completed: bool) -> tuple[str, bytes]:
    """Return key and value of the entry that reports a wave's state."""
    state = "completed" if completed else "active"
    return f"status/wave/{number}", json.dumps({"state": state}).encode()


@field.border
def submission(document: Document) -> dict[str, typing.Any]:
    """Decode a submission into keyword arguments of ``JobApi.submit``."""
    repetitions = field.whole(document, "repetitions", most=MAX_TASKS)
    steps = _steps(document)
    if sum(step.tasks for step in steps) * max(1, repetitions) > MAX_TASKS:
        raise Malformed(f"the job has over {MAX_TASKS} tasks")
    return {
        "specification": field.text(
            document, "specification", "", most_chars=field.MAX_WHOLE
        ),
        "steps": steps,
        "repetitions": repetitions,
        "first_run_s": field.whole(document, "first_run_ms") / _MS_PER_S,
        "interval_s": field.whole(
            document, "interval_ms", most=int(field.MAX_DURATION_MS)
        )
        / _MS_PER_S,
    }


def _steps(document: Document) -> tuple[workflow.Step, ...]:
    step_documents = field.rows(document, "phases")
    if not step_documents:
        raise Malformed("field phases is missing or empty")
    return tuple(
        _step(number, step) for number, step in enumerate(step_documents)
    )


def _step(number: int, document: Document) -> workflow.Step:
    if not isinstance(document, dict):
        raise Malformed(f"step {number} is not an object")
    after = tuple(map(field.whole_of, field.rows(document, "after")))
    if any(earlier >= number for earlier in after):
        raise Malformed(
            f"step {number} depends on a step that is not before it"
        )
    # Wire names: gang_scheduled and same_rack are flags, requirements is a
    # label, affinity a rack, anti_affinity a count and fill_count a flag.
    return workflow.Step(
        tasks=max(1, field.whole(document, "count", 1, most=MAX_TASKS)),
        cores_milli=field.amount(document, "cpu"),
        memory_mib=field.amount(document, "mem_mb"),
        accelerators=field.amount(document, "gpu"),
        expected_run_s=field.seconds(document, "estimated_runtime_ms"),
        after=after,
        saves_progress=bool(document.get("checkpointing")),
        is_gang=bool(document.get("gang_scheduled")),
        wants_one_rack=bool(document.get("same_rack")),
        label=field.first_text(document.get("requirements")),
        data_rack=field.first_text(document.get("affinity")),
        max_per_executor=field.amount(document, "anti_affinity"),
        is_speculative=bool(document.get("speculative")),
        is_lasting=bool(document.get("long_running")),
        allowed_misses=field.amount(document, "allowed_misses"),
        image=field.first_text(document.get("image")),
        tail_target_ms=field.amount(document, "target_ms"),
        fills_spare=bool(document.get("fill_count")),
    )


@field.border
def report(document: Document) -> model.Report:
    """Decode an executor's report of current and ended runs."""
    runs, odd_runs = _decode_rows(_run, field.rows(document, "running"))
    end_rows = field.rows(document, "finished")
    ends, odd_ends = _decode_rows(_ended_run, end_rows)
    return model.Report(
        clock_ms=field.whole(document, "clock_ms"),
        incarnation_ms=field.whole(document, "born"),
        runs=tuple(runs),
        ends=tuple(ends),
        has_all_runs=not odd_runs,
        has_all_ends=len(end_rows) < MAX_LISTED_ENDS,
        odd_rows=odd_runs + odd_ends,
    )


def _run(row: list) -> model.RunStatus:
    """Decode a run; the rest of a row whose run is known may be odd."""
    size = len(row)
    return model.RunStatus(
        field.text_of(row[0]),
        field.whole_of(row[1]),
        _checkpoint(row[2]) if size > 2 else "",
        _figure(row[3], _FULL_PERCENT) if size > 3 else 0,
        _figure(row[4], field.MAX_AMOUNT) if size > 4 else 0,
    )


def _checkpoint(value: object) -> str:
    """Return a checkpoint; an odd one is as good as none."""
    if not value:
        return ""
    if isinstance(value, str) and len(value) <= MAX_CHECKPOINT_CHARS:
        return value
    return ""


def _figure(value: object, most: int) -> int:
    """Return a rough figure within its bounds; 0 for what is none."""
    if type(value) is int and 0 <= value <= most:
        return value
    if type(value) not in (int, float) or not 0 <= value:
        return 0
    return int(min(value, most))


def _ended_run(row: list) -> model.RunEnd:
    return model.RunEnd(
        field.whole_of(row[0]),
        field.text_of(row[1]),
        field.whole_of(row[2]),
        field.text_of(row[3]),
        _checkpoint(row[4]) if len(row) > 4 else "",
    )
