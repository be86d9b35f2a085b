"""Build ``dist/knapweedwharf``: one executable zip, one process.

Every runtime dependency is pure Python or falls back to it, so the
interpreter imports straight from the zip and unpacks nothing.
"""

from __future__ import annotations

import pathlib
import shutil
import subprocess
import sys
import tempfile
import zipapp

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_TARGET = _ROOT / "dist" / "knapweedwharf"
# Only sismic's own command line and tests need these.
_UNUSED = ("behave*", "cucumber*", "parse", "parse.py", "parse_*", "bin")


def main() -> None:
    """Stage the package with its dependencies and zip them."""
    with tempfile.TemporaryDirectory() as scratch:
        stage = pathlib.Path(scratch)
        _install(stage)
        shutil.copytree(
            _ROOT / "src" / "knapweedwharf", stage / "knapweedwharf"
        )
        for pattern in (*_UNUSED, "**/*.so"):
            _remove(stage, pattern)
        _TARGET.parent.mkdir(exist_ok=True)
        zipapp.create_archive(
            stage,
            _TARGET,
            interpreter="/usr/bin/env python3",
            main="knapweedwharf.cli.main:run",
            compressed=True,
        )
    print(f"{_TARGET.relative_to(_ROOT)}: {_TARGET.stat().st_size} bytes")


def _install(stage: pathlib.Path) -> None:
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--disable-pip-version-check", "--target", str(stage)]
    command += ["-r", str(_ROOT / "requirements" / "runtime.txt")]
    subprocess.run(command, check=True)


def _remove(stage: pathlib.Path, pattern: str) -> None:
    for path in list(stage.glob(pattern)):
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink()


if __name__ == "__main__":
    main()
