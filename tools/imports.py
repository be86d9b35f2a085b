"""Sort import lines by their full dotted path, as H306 wants them."""

from __future__ import annotations

import pathlib
import re
import sys

_IMPORT = re.compile(r"^(?:import (\S+)|from (\S+) import (\S+))")


def main(folders: list[str]) -> None:
    """Rewrite files whose import blocks are out of order."""
    for folder in folders:
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            if "peer/messages" not in path.as_posix():
                _sort_file(path)


def _sort_file(path: pathlib.Path) -> None:
    lines = path.read_text("utf-8").split("\n")
    ordered: list[str] = []
    block: list[str] = []
    for line in lines:
        if _IMPORT.match(line):
            block.append(line)
            continue
        ordered.extend(sorted(block, key=_key))
        block = []
        ordered.append(line)
    ordered.extend(sorted(block, key=_key))
    if ordered != lines:
        path.write_text("\n".join(ordered), "utf-8")


def _key(line: str) -> str:
    plain, package, name = _IMPORT.match(line).groups()
    return (plain or f"{package}.{name}").lower()


if __name__ == "__main__":
    main(sys.argv[1:])
