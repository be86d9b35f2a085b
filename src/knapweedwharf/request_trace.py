"""Traces a request through the log lines of several VMs."""

from __future__ import annotations

from collections import abc
import dataclasses
import json

HIDDEN_FIELDS = frozenset(
    {"event", "timestamp", "node_id", "level", "component", "job_id"}
)

EVENT_SENTENCES = {
    "call-refused": "The call was refused: {why} ({detail})",
    "start-not-confirmed": "A start was not confirmed: {why}",
    "start-withheld": "A start was not sent: {data_centre} is evacuated",
    "run-ended": "A run ended: {how}",
    "part-placed": "Part {part} waited {waited_s} s for {waited_for}",
    "part-stopping": "Its run was stopped: {why}",
    "job-cancelled": "The caller cancelled it",
    "job-failed": "A part failed {failures} of {max_attempts} times",
    "task-given-up": "Executors crashed under {task}: {executors}",
    "job-completed": "It completed {after_s} s after it was stored",
}
"""Log event to the sentence that explains it; later ones take precedence."""

LONG_WAIT_S = 0.5
"""With free capacity a part is placed within some hundredths of a second."""

OVERRUN_FACTOR = 1.5
"""A run this many times longer than declared counts as an overrun."""

DECISIVE_EVENTS = (
    "job-completed",
    "job-failed",
    "job-cancelled",
    "call-refused",
)


@dataclasses.dataclass(frozen=True, order=True)
class Line:
    """One log line about a request.

    :ivar timestamp: taken from the clock of the VM that logged the line.
    """

    timestamp: str
    node_id: str
    event: str
    fields: tuple[tuple[str, str], ...]

    def __str__(self) -> str:
        pairs = " ".join(f"{name}={value}" for name, value in self.fields)
        return f"{self.timestamp} {self.node_id} {self.event} {pairs}"


def find_lines(texts: abc.Iterable[str], request_id: str) -> list[Line]:
    """Return the lines that mention a request, sorted by timestamp.

    Text before a line's JSON object is ignored, and so are truncated
    lines.
    """
    found = set()
    for text in texts:
        if request_id not in text:
            continue
        document = _parse(text)
        if document is not None and _mentions(document, request_id):
            found.add(_decode_line(document))
    return sorted(found)


def _parse(text: str) -> dict | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
    except ValueError:
        return None
    return document if isinstance(document, dict) else None


def _mentions(document: dict, request_id: str) -> bool:
    values = (
        str(document.get(name, "")) for name in ("job_id", "task", "path")
    )
    return any(request_id in value for value in values)


def _decode_line(document: dict) -> Line:
    fields = tuple(
        (name, str(value))
        for name, value in sorted(document.items())
        if name not in HIDDEN_FIELDS
    )
    return Line(
        timestamp=str(document.get("timestamp", "")),
        node_id=str(document.get("node_id", "")),
        event=str(document.get("event", "")),
        fields=fields,
    )


def explain_outcome(lines: list[Line]) -> str:
    """Return one sentence that explains the request's outcome."""
    for event in DECISIVE_EVENTS:
        for line in reversed(lines):
            if line.event == event:
                return _sentence(line, lines)
    if not lines:
        return "No line mentions it: it reached none of these VMs."
    return f"Not finished; the last event is {lines[-1].event}."


def _sentence(line: Line, lines: list[Line]) -> str:
    text = EVENT_SENTENCES[line.event].format_map(_Fields(line.fields))
    setbacks = [
        EVENT_SENTENCES[other.event].format_map(_Fields(other.fields))
        for other in lines
        if _is_setback(other)
    ]
    if line.event != "call-refused":
        setbacks = [*_refusals(lines), *setbacks, *_overrun(line, lines)]
    owner_ids = {
        other.node_id for other in lines if other.event == "job-taken"
    }
    if len(owner_ids) > 1:
        setbacks.append(f"{len(owner_ids)} owners scheduled it in turn")
    if not setbacks:
        return f"{text}."
    counted = dict.fromkeys(setbacks)
    return f"{text}. On the way: {'; '.join(counted)}."


def _refusals(lines: list[Line]) -> list[str]:
    """Summarize the refused calls before the one that was stored."""
    reasons = [
        dict(line.fields).get("detail", "?")
        for line in lines
        if line.event == "call-refused"
    ]
    if not reasons:
        return []
    return [f"{len(reasons)} calls were refused before ({reasons[-1]})"]


def _overrun(last: Line, lines: list[Line]) -> list[str]:
    """Describe the longest run if it far exceeds the declared time."""
    declared_s = _to_number(dict(last.fields).get("declared_s", ""))
    runs = (dict(li.fields) for li in lines if li.event == "run-ended")
    longest_s = max(
        (_to_number(r.get("ran_s", "")) for r in runs), default=0.0
    )
    if not declared_s or longest_s < OVERRUN_FACTOR * declared_s:
        return []
    return [f"a run took {longest_s} s, {declared_s} s were declared"]


def _is_setback(line: Line) -> bool:
    fields = dict(line.fields)
    if line.event == "run-ended":
        return fields.get("how") != "done"
    if line.event == "part-placed":
        return _to_number(fields.get("waited_s", "")) >= LONG_WAIT_S
    return line.event in (
        "part-stopping",
        "start-not-confirmed",
        "start-withheld",
        "task-given-up",
    )


def _to_number(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        # A line of another version without a number in this field.
        return 0.0


class _Fields(dict):
    """Fields of a line, with a question mark for missing ones."""

    def __missing__(self, name: str) -> str:
        return "?"
