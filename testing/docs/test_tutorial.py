"""The commands of the tutorial page run and give its results."""

from __future__ import annotations

import os
import pathlib
import shlex
import subprocess
import sys

from standins import fleet as fleet_module
from standins import loopback

ROOT = pathlib.Path(__file__).parent.parent.parent
PAGE = ROOT / "docs" / "tutorial" / "first-job.md"
FOLDER = ROOT / "examples" / "escaleras" / "folder"
PROGRAM = "knapweedwharf "


def _commands() -> list[str]:
    lines = PAGE.read_text("utf-8").splitlines()
    return [line for line in lines if line.startswith((PROGRAM, "export K"))]


def _run(line: str, environment: dict[str, str]) -> str:
    program = [sys.executable, "-m", "knapweedwharf"]
    done = subprocess.run(
        program + shlex.split(line)[1:],
        cwd=ROOT,
        env={**os.environ, **environment, "PYTHONPATH": "src"},
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, f"{line}: {done.stderr}"
    return done.stdout


def test_tutorial_runs() -> None:
    with fleet_module.Fleet(
        folder=FOLDER, data_centres=["antigua"], nodes_per_data_centre=2
    ) as fleet:
        environment = {}
        shown = []
        for line in _commands():
            if line.startswith("export "):
                name, value = line.removeprefix("export ").split("=", 1)
                environment[name] = value
                environment["KNAPWEEDWHARF_URL"] = fleet.nodes[0].url
                continue
            shown.append(_run(line, environment))
            if " apply " in line:
                fleet.wait_revision(1)
        assert shown[0].splitlines()[-1].startswith("ok:")
        assert "revision 1 accepted" in shown[1]
        loopback.until(
            lambda: "finished"
            in _run("knapweedwharf job show first", environment),
            what="the tutorial's job to finish",
        )
