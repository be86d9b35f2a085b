"""One request's story, put together from the log lines of several VMs."""

from __future__ import annotations

from collections import abc
import dataclasses
import json

HIDDEN_FIELDS = frozenset(
    {"event", "timestamp", "node_id", "level", "component", "job_id"}
)

CAUSES = {
    "call-refused": "The call was refused: {why} ({detail})",
    "start-not-confirmed": "A start was not confirmed: {why}",
    "run-ended": "A run ended: {how}",
    "part-placed": "Part {part} waited {waited_s} s for {waited_for}",
    "part-stopping": "Its run was stopped: {why}",
    "job-cancelled": "The caller cancelled it",
    "job-failed": "A part failed {failures} of {max_attempts} times",
    "job-completed": "It completed {after_s} s after it was stored",
}
"""What an event says of an outcome; the later ones go first."""

LONG_WAIT_S = 0.5
"""A part is placed within some hundredths of a second where room is."""

OVERRUN = 1.5
"""A run as much longer than declared is late by itself."""

DECISIVE = ("job-completed", "job-failed", "job-cancelled", "call-refused")


@dataclasses.dataclass(frozen=True, order=True)
class Line:
    """One line about a request.

    :ivar timestamp: by the clock of the VM that wrote it.
    """

    timestamp: str
    node_id: str
    event: str
    fields: tuple[tuple[str, str], ...]

    def __str__(self) -> str:
        pairs = " ".join(f"{name}={value}" for name, value in self.fields)
        return f"{self.timestamp} {self.node_id} {self.event} {pairs}"


def read(texts: abc.Iterable[str], request_id: str) -> list[Line]:
    """Return the lines that touch a request, in the order of their time.

    Text before a line's JSON object is let pass; half lines are left
    out.
    """
    found = set()
    for text in texts:
        if request_id not in text:
            continue
        document = _parse(text)
        if document is not None and _touches(document, request_id):
            found.add(_line(document))
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


def _touches(document: dict, request_id: str) -> bool:
    values = (
        str(document.get(name, "")) for name in ("job_id", "task", "path")
    )
    return any(request_id in value for value in values)


def _line(document: dict) -> Line:
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


def cause(lines: list[Line]) -> str:
    """Return what decided the request's outcome, in one sentence."""
    for event in DECISIVE:
        for line in reversed(lines):
            if line.event == event:
                return _sentence(line, lines)
    if not lines:
        return "No line touches it: it reached none of these VMs."
    return f"Still open; the last line is {lines[-1].event}."


def _sentence(line: Line, lines: list[Line]) -> str:
    text = CAUSES[line.event].format_map(_Fields(line.fields))
    setbacks = [
        CAUSES[other.event].format_map(_Fields(other.fields))
        for other in lines
        if _is_setback(other)
    ]
    if line.event != "call-refused":
        setbacks = [*_refusals(lines), *setbacks, *_overrun(line, lines)]
    takers = {other.node_id for other in lines if other.event == "job-taken"}
    if len(takers) > 1:
        setbacks.append(f"{len(takers)} owners scheduled it in turn")
    if not setbacks:
        return f"{text}."
    counted = dict.fromkeys(setbacks)
    return f"{text}. On the way: {'; '.join(counted)}."


def _refusals(lines: list[Line]) -> list[str]:
    """Return what became of tries before the one that was stored."""
    reasons = [
        dict(line.fields).get("detail", "?")
        for line in lines
        if line.event == "call-refused"
    ]
    if not reasons:
        return []
    return [f"{len(reasons)} calls were refused before ({reasons[-1]})"]


def _overrun(last: Line, lines: list[Line]) -> list[str]:
    """Return by how much the longest run exceeds what was declared."""
    declared_s = _number(dict(last.fields).get("declared_s", ""))
    runs = (dict(li.fields) for li in lines if li.event == "run-ended")
    longest_s = max((_number(r.get("ran_s", "")) for r in runs), default=0.0)
    if not declared_s or longest_s < OVERRUN * declared_s:
        return []
    return [f"a run took {longest_s} s, {declared_s} s were declared"]


def _is_setback(line: Line) -> bool:
    fields = dict(line.fields)
    if line.event == "run-ended":
        return fields.get("how") != "done"
    if line.event == "part-placed":
        return _number(fields.get("waited_s", "")) >= LONG_WAIT_S
    return line.event in ("part-stopping", "start-not-confirmed")


def _number(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        # A line of another version; it is told as it stands.
        return 0.0


class _Fields(dict):
    """Fields of a line; a missing one is shown as a question mark."""

    def __missing__(self, name: str) -> str:
        return "?"
