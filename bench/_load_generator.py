"""Configuration, load and processor time of request benchmarks."""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib
import dataclasses
import os
import pathlib
import shutil
import tempfile
import time

from returns import result

from knapweedwharf.adapters import transport
from standins import fleet as fleet_module

SAMPLE_FOLDER = pathlib.Path("examples/escaleras/folder")
CHECK_ACCOUNT = "mostrador"
AUDIT_ACCOUNT = "citricos-norte"
_MAX_ANSWER_BYTES = 1_000_000
_HIGH_RATE_LIMITS = "request_rate_per_s = 100000\nrequest_burst = 100000\n"
_EXTRA_SERVICES = """
[service.audit]
urgency = "batch"
timeout_s = 20.0

[service.plain-check]
timeout_s = 20.0

[service.plain-audit]
timeout_s = 20.0

[service.slow-check]
timeout_s = 1.0
"""


@contextlib.contextmanager
def load_test_folder() -> abc.Iterator[pathlib.Path]:
    """Yield a copy of the sample folder with high rate limits and more
    services.
    """
    with tempfile.TemporaryDirectory() as scratch:
        copy = pathlib.Path(scratch) / "folder"
        shutil.copytree(SAMPLE_FOLDER, copy)
        for path in copy.glob("30-account-*.toml"):
            path.write_text(path.read_text() + _HIGH_RATE_LIMITS)
        (copy / "55-service-bench.toml").write_text(_EXTRA_SERVICES)
        workload = SAMPLE_FOLDER.parent / "workload.json"
        shutil.copy(workload, copy.parent / "workload.json")
        yield copy


def processor_s(process_id: int) -> float:
    """Return the processor time that a process has used so far."""
    text = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass
class CallerGroup:
    """Load generator: callers of one account with persistent connections.

    :ivar elapsed_s: completion time of each complete answer.
    :ivar refused: answers with the outcome "did not run" or "unknown".
    :ivar wrong: answers that were cut short, belonged to another request
        or had no outcome; and requests without an answer.
    """

    url: str
    token: str
    elapsed_s: list[float] = dataclasses.field(default_factory=list)
    refused: int = 0
    wrong: int = 0

    async def send(
        self, client: transport.HttpTransport, path: str, body: bytes
    ) -> None:
        """Send one request and record its outcome."""
        started_s = time.perf_counter()
        outcome = await client.exchange(
            method="POST",
            url=self.url + path,
            headers={"Authorization": f"Bearer {self.token}"},
            body=body,
            timeout_s=30.0,
        )
        elapsed_s = time.perf_counter() - started_s
        if isinstance(outcome, result.Failure):
            self.wrong += 1
            return
        reply = outcome.unwrap()
        outcome_name = reply.headers.get("knapweedwharf-outcome")
        if outcome_name == "ran" and body in reply.body:
            self.elapsed_s.append(elapsed_s)
        elif outcome_name in ("did-not-run", "unknown"):
            self.refused += 1
        else:
            self.wrong += 1

    async def run(
        self, path: str, *, callers: int, stop: asyncio.Event
    ) -> None:
        """Run concurrent callers that each send requests one by one."""
        client = transport.HttpTransport(
            max_body_bytes=_MAX_ANSWER_BYTES, reuse=True
        )

        async def call(number: int) -> None:
            count = 0
            while not stop.is_set():
                count += 1
                await self.send(client, path, f"{number}.{count}!".encode())

        await asyncio.gather(*(call(number) for number in range(callers)))
        client.close()


def create_fleet(
    path: pathlib.Path, *, executors: int = 1, **options: str
) -> fleet_module.Fleet:
    """Return a fleet of one entry VM, to be used as a context manager."""
    return fleet_module.Fleet(
        folder=path,
        data_centres=["antigua"],
        executors_per_data_centre=executors,
        node_options=options or None,
    )
