"""Build ``dist/knapweedwharf``: one executable zip, one process.

Every runtime dependency is pure Python or falls back to it, so the
interpreter imports straight from the zip and unpacks nothing. The
dependencies are copied from the environment that ``make`` pinned.
"""

from __future__ import annotations

import importlib.metadata
import pathlib
import re
import shutil
import sys
import tempfile
import zipapp

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_TARGET = _ROOT / "dist" / "knapweedwharf"
_PINNED = _ROOT / "requirements" / "runtime.txt"
# Only sismic's own command line and its test tools need these.
_UNUSED = ("behave", "cucumber-expressions", "cucumber-tag-expressions")
_UNUSED += ("parse", "parse-type", "colorama")
_LEFT_OUT = re.compile(r"\.(so|pyc|pyi)$|^\.\./|/tests?/|/scripts/")


def main(target: pathlib.Path = _TARGET) -> None:
    """Stage the package with its dependencies and zip them."""
    with tempfile.TemporaryDirectory() as scratch:
        stage = pathlib.Path(scratch)
        for name in _dependencies():
            _stage_distribution(stage, name)
        shutil.copytree(
            _ROOT / "src" / "knapweedwharf",
            stage / "knapweedwharf",
            ignore=shutil.ignore_patterns("__pycache__"),
        )
        target.parent.mkdir(exist_ok=True)
        zipapp.create_archive(
            stage,
            target,
            interpreter="/usr/bin/env python3",
            main="knapweedwharf.cli.main:run",
            compressed=True,
        )
    print(f"{target.name}: {target.stat().st_size} bytes")


def _dependencies() -> list[str]:
    lines = _PINNED.read_text("utf-8").split()
    names = [line.split("==")[0] for line in lines]
    return [name for name in names if name not in _UNUSED]


def _stage_distribution(stage: pathlib.Path, name: str) -> None:
    for file in importlib.metadata.distribution(name).files or ():
        if _LEFT_OUT.search(str(file)):
            continue
        copy = stage / file
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), copy)


if __name__ == "__main__":
    main(*map(pathlib.Path, sys.argv[1:]))
