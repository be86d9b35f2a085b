"""Build ``dist/knapweedwharf``, a single-file executable zip archive.

Every runtime dependency is pure Python or falls back to it, so the
interpreter imports directly from the archive without unpacking it.
The dependencies are copied from the environment that ``make`` installs
from the pinned requirements.
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
_REQUIREMENTS = _ROOT / "requirements" / "runtime.txt"
# Needed only by sismic's command line and its test tools.
_UNUSED_DEPENDENCIES = (
    "behave",
    "cucumber-expressions",
    "cucumber-tag-expressions",
)
_UNUSED_DEPENDENCIES += ("parse", "parse-type", "colorama")
_EXCLUDED_FILES = re.compile(r"\.(so|pyc|pyi)$|^\.\./|/tests?/|/scripts/")


def main(target: pathlib.Path = _TARGET) -> None:
    """Copy the package and its dependencies and archive them."""
    with tempfile.TemporaryDirectory() as scratch:
        staging_folder = pathlib.Path(scratch)
        for name in _dependency_names():
            _copy_distribution(staging_folder, name)
        shutil.copytree(
            _ROOT / "src" / "knapweedwharf",
            staging_folder / "knapweedwharf",
            ignore=shutil.ignore_patterns("__pycache__"),
        )
        target.parent.mkdir(exist_ok=True)
        zipapp.create_archive(
            staging_folder,
            target,
            interpreter="/usr/bin/env python3",
            main="knapweedwharf.cli.main:run",
            compressed=True,
        )
    print(f"{target.name}: {target.stat().st_size} bytes")


def _dependency_names() -> list[str]:
    lines = _REQUIREMENTS.read_text("utf-8").split()
    names = [line.split("==")[0] for line in lines]
    return [name for name in names if name not in _UNUSED_DEPENDENCIES]


def _copy_distribution(staging_folder: pathlib.Path, name: str) -> None:
    for file in importlib.metadata.distribution(name).files or ():
        if _EXCLUDED_FILES.search(str(file)):
            continue
        destination = staging_folder / file
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), destination)


if __name__ == "__main__":
    main(*map(pathlib.Path, sys.argv[1:]))
