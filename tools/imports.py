"""Sort import lines by full dotted path, as the linter rule H306 requires."""

from __future__ import annotations

import pathlib
import re
import sys

_IMPORT_LINE = re.compile(r"^(?:import (\S+)|from (\S+) import (\S+))")


def main(folders: list[str]) -> None:
    """Rewrite files whose import blocks are out of order."""
    for folder in folders:
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            if "peer/messages" not in path.as_posix():
                _sort_file(path)


def _sort_file(path: pathlib.Path) -> None:
    lines = path.read_text("utf-8").split("\n")
    sorted_lines: list[str] = []
    block: list[str] = []
    for line in lines:
        if _IMPORT_LINE.match(line):
            block.append(line)
            continue
        sorted_lines.extend(sorted(block, key=_sort_key))
        block = []
        sorted_lines.append(line)
    sorted_lines.extend(sorted(block, key=_sort_key))
    if sorted_lines != lines:
        path.write_text("\n".join(sorted_lines), "utf-8")


def _sort_key(line: str) -> str:
    module, package, name = _IMPORT_LINE.match(line).groups()
    return (module or f"{package}.{name}").lower()


if __name__ == "__main__":
    main(sys.argv[1:])
