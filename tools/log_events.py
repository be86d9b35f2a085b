"""Find the log events in the source code, for the reference page."""

from __future__ import annotations

import ast
from collections import abc
import dataclasses
import pathlib

LOGGER_NAMES = frozenset({"_log", "_logger", "log"})
LOG_METHODS = frozenset({"debug", "info", "warning", "error", "exception"})


@dataclasses.dataclass(frozen=True, order=True)
class LogEvent:
    """A log call in the source code.

    :ivar fields: sorted names of the event's fields.
    """

    name: str
    level: str
    module: str
    fields: tuple[str, ...]


def find_log_events(folder: pathlib.Path) -> list[LogEvent]:
    """Return the sorted log events of all modules below a folder."""
    return sorted(
        {
            log_event
            for path in folder.rglob("*.py")
            for log_event in _module_events(path, folder)
        }
    )


def _module_events(
    path: pathlib.Path, folder: pathlib.Path
) -> abc.Iterator[LogEvent]:
    module = path.relative_to(folder).with_suffix("").as_posix()
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Call) and _is_log_call(node):
            yield LogEvent(
                name=node.args[0].value,
                level=node.func.attr,
                module=module,
                fields=tuple(sorted(k.arg for k in node.keywords if k.arg)),
            )


def _is_log_call(node: ast.Call) -> bool:
    function = node.func
    return (
        isinstance(function, ast.Attribute)
        and function.attr in LOG_METHODS
        and ast.unparse(function.value).rsplit(".", 1)[-1] in LOGGER_NAMES
        and bool(node.args)
        and isinstance(node.args[0], ast.Constant)
    )
