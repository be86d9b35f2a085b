"""Finds the log events of the code, for the reference page."""

from __future__ import annotations

import ast
from collections import abc
import dataclasses
import pathlib

LOGGERS = frozenset({"_log", "_logger", "log"})
LEVELS = frozenset({"debug", "info", "warning", "error", "exception"})


@dataclasses.dataclass(frozen=True, order=True)
class LogEvent:
    """One call that logs.

    :ivar fields: names of the event's fields, sorted.
    """

    name: str
    level: str
    module: str
    fields: tuple[str, ...]


def find(folder: pathlib.Path) -> list[LogEvent]:
    """Return every log event below a folder, sorted."""
    return sorted(
        {
            logged
            for path in folder.rglob("*.py")
            for logged in _of_module(path, folder)
        }
    )


def _of_module(
    path: pathlib.Path, folder: pathlib.Path
) -> abc.Iterator[LogEvent]:
    module = path.relative_to(folder).with_suffix("").as_posix()
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Call) and _logs(node):
            yield LogEvent(
                name=node.args[0].value,
                level=node.func.attr,
                module=module,
                fields=tuple(sorted(k.arg for k in node.keywords if k.arg)),
            )


def _logs(node: ast.Call) -> bool:
    function = node.func
    return (
        isinstance(function, ast.Attribute)
        and function.attr in LEVELS
        and ast.unparse(function.value).rsplit(".", 1)[-1] in LOGGERS
        and bool(node.args)
        and isinstance(node.args[0], ast.Constant)
    )
