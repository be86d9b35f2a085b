"""Plain processes of a fleet, each handled by its own id."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys

STOP_TIMEOUT_S = 20.0
ROOT = pathlib.Path(__file__).resolve().parent.parent


class Processes:
    """Starts processes, and ends those that it started.

    :param scratch: folder that takes one log for each name.
    """

    def __init__(self, scratch: pathlib.Path) -> None:
        self._scratch = scratch
        self._started: list[subprocess.Popen] = []

    def start(
        self, module: str, *arguments: str, log_name: str
    ) -> subprocess.Popen:
        """Run ``python -m module`` with its output in a log."""
        environment = {
            **os.environ,
            "PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}",
        }
        with open(self._scratch / f"{log_name}.log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._started.append(process)
        return process

    def alive(self) -> list[int]:
        """Return the ids of processes that have not ended."""
        return [p.pid for p in self._started if p.poll() is None]

    def close(self) -> None:
        """Ask every process to end; kill one that does not."""
        for process in self._started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self._started:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                kill(process)


def kill(process: subprocess.Popen) -> None:
    """Kill a process at once and wait until it is gone."""
    process.kill()
    process.wait()


def freeze(process: subprocess.Popen) -> None:
    """Pause a process at whatever instruction it is."""
    process.send_signal(signal.SIGSTOP)


def thaw(process: subprocess.Popen) -> None:
    """Let a paused process go on."""
    process.send_signal(signal.SIGCONT)
