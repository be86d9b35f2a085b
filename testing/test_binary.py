"""The single-file binary runs a node in one process."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest

from standins import fleet as fleet_module
from tools import binary

FOLDER = pathlib.Path("examples/kobberfryd/folder")


@pytest.fixture(scope="module")
def built(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    target = tmp_path_factory.mktemp("dist") / "knapweedwharf"
    binary.main(target)
    return target


def test_binary_checks_a_folder(built: pathlib.Path) -> None:
    # -IS: only the zip file and the standard library can be imported.
    done = subprocess.run(
        [sys.executable, "-IS", built, "config", "check", FOLDER],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout.endswith("ok: 14 files\n")


def test_binary_serves_in_one_process(built: pathlib.Path) -> None:
    port = fleet_module.free_port()
    process = subprocess.Popen(
        [
            *(sys.executable, "-IS", built, "serve"),
            *("--node-id=a-1", "--data-centre=a"),
            f"--http-address=127.0.0.1:{port}",
            f"--peer-address=127.0.0.1:{fleet_module.free_port()}",
            f"--platform-url=http://127.0.0.1:{fleet_module.free_port()}",
            "--peer-key=a-key-of-sixteen-or-more",
        ],
        stderr=subprocess.DEVNULL,
    )
    try:
        url = f"http://127.0.0.1:{port}/healthz"
        fleet_module.until(
            lambda: fleet_module.http("GET", url).status == 200,
            what="the binary to answer",
        )
        tasks = pathlib.Path(f"/proc/{process.pid}/task")
        children = [
            child
            for task in tasks.iterdir()
            for child in (task / "children").read_text().split()
        ]
        assert children == []
    finally:
        process.terminate()
        process.wait()
