"""Operating-system processes of a fleet, each addressed by its pid."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys

STOP_TIMEOUT_S = 20.0
ROOT = pathlib.Path(__file__).resolve().parent.parent


class Processes:
    """Starts processes and ends only the ones that it started.

    :param scratch: folder for the log files, one per log name.
    """

    def __init__(self, scratch: pathlib.Path) -> None:
        self._scratch = scratch
        self._started: list[subprocess.Popen] = []

    def start(
        self, module: str, *arguments: str, log_name: str
    ) -> subprocess.Popen:
        """Run ``python -m module`` with its output in a log file."""
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
        """Return the pids of processes that have not ended."""
        return [p.pid for p in self._started if p.poll() is None]

    def close(self) -> None:
        """Terminate every process; kill those that do not end in time."""
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
    """Kill a process with SIGKILL and wait until it has ended."""
    process.kill()
    process.wait()


def freeze(process: subprocess.Popen) -> None:
    """Suspend a process with SIGSTOP."""
    process.send_signal(signal.SIGSTOP)


def thaw(process: subprocess.Popen) -> None:
    """Resume a suspended process with SIGCONT."""
    process.send_signal(signal.SIGCONT)
