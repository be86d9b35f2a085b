"""Style checks that the linter has no rules for.

Only modules are imported, not names from them; functions and files
have a maximum length; each module and public class has a docstring.
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
    """Print all findings; return exit code 1 if there are any."""
    findings = [
        finding
        for folder in folders
        for path in sorted(pathlib.Path(folder).rglob("*.py"))
        if GENERATED not in path.as_posix()
        for finding in check_file(path)
    ]
    print("\n".join(findings) or "style: no findings")
    return 1 if findings else 0


def check_file(path: pathlib.Path) -> abc.Iterator[str]:
    """Yield the findings of one file."""
    text = path.read_text("utf-8")
    tree = ast.parse(text)
    if text.strip() and not ast.get_docstring(tree):
        yield f"{path}:1 module has no docstring"
    line_count = sum(1 for line in text.splitlines() if line.strip())
    if line_count > MAX_FILE_LINES:
        yield f"{path}:1 {line_count} non-blank lines (max. {MAX_FILE_LINES})"
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
                location = f"{path}:{node.lineno}"
                yield f"{location} import a module, not the name {name.name}"


def _is_module(package: str, name: str) -> bool:
    try:
        return importlib.util.find_spec(f"{package}.{name}") is not None
    except ModuleNotFoundError:
        return False


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
