"""Style checks that the linter has no rule for.

Modules are imported, not names; functions stay short; every module
and public class has a docstring.
"""

from __future__ import annotations

import ast
from collections import abc
import importlib.util
import pathlib
import sys

MAX_FUNCTION_LINES = 45
MAX_FILE_LINES = 400
GENERATED = "peer/messages"


def main(folders: list[str]) -> int:
    """Print every finding; the exit code is 1 if there are any."""
    findings = [
        finding
        for folder in folders
        for path in sorted(pathlib.Path(folder).rglob("*.py"))
        if GENERATED not in path.as_posix()
        for finding in check(path)
    ]
    print("\n".join(findings) or "style: no findings")
    return 1 if findings else 0


def check(path: pathlib.Path) -> abc.Iterator[str]:
    """Yield the findings of one file."""
    text = path.read_text("utf-8")
    tree = ast.parse(text)
    if text.strip() and not ast.get_docstring(tree):
        yield f"{path}:1 module has no docstring"
    filled = sum(1 for line in text.splitlines() if line.strip())
    if filled > MAX_FILE_LINES:
        yield f"{path}:1 {filled} lines; split it at {MAX_FILE_LINES}"
    for node in ast.walk(tree):
        yield from _check_node(path, node)


def _check_node(path: pathlib.Path, node: ast.AST) -> abc.Iterator[str]:
    if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef)):
        length = node.end_lineno - node.lineno + 1
        if length > MAX_FUNCTION_LINES:
            yield f"{path}:{node.lineno} {node.name} has {length} lines"
    if isinstance(node, ast.ClassDef):
        if not node.name.startswith("_") and not ast.get_docstring(node):
            yield f"{path}:{node.lineno} {node.name} has no docstring"
    if isinstance(node, ast.ImportFrom) and node.module != "__future__":
        for name in node.names:
            if not _is_module(node.module, name.name):
                place = f"{path}:{node.lineno}"
                yield f"{place} import the module of {name.name} instead"


def _is_module(package: str, name: str) -> bool:
    try:
        return importlib.util.find_spec(f"{package}.{name}") is not None
    except ModuleNotFoundError:
        return False


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
