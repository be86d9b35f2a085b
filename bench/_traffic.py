"""Folders, callers and processor time for the request benchmarks."""

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

SAMPLE = pathlib.Path("examples/escaleras/folder")
CHECKER = "mostrador"
AUDITOR = "citricos-norte"
_MAX_ANSWER_BYTES = 1_000_000
_LOADED_ACCOUNT = "request_rate_per_s = 100000\nrequest_burst = 100000\n"
_SERVICES = """
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
def folder() -> abc.Iterator[pathlib.Path]:
    """Yield the sample folder with loose rates and more services."""
    with tempfile.TemporaryDirectory() as scratch:
        copy = pathlib.Path(scratch) / "folder"
        shutil.copytree(SAMPLE, copy)
        for path in copy.glob("30-account-*.toml"):
            path.write_text(path.read_text() + _LOADED_ACCOUNT)
        (copy / "55-service-bench.toml").write_text(_SERVICES)
        workload = SAMPLE.parent / "workload.json"
        shutil.copy(workload, copy.parent / "workload.json")
        yield copy


def processor_s(process_id: int) -> float:
    """Return the processor time a process has used."""
    text = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass
class Caller:
    """Callers of one account, each with a kept connection.

    :ivar elapsed_s: completion time of each whole answer.
    :ivar refused: answers that said "did not run".
    :ivar wrong: answers that were cut, foreign or of no outcome.
    """

    url: str
    token: str
    elapsed_s: list[float] = dataclasses.field(default_factory=list)
    refused: int = 0
    wrong: int = 0

    async def send(
        self, client: transport.HttpTransport, path: str, body: bytes
    ) -> None:
        """Send one request and file what became of it."""
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
        word = reply.headers.get("knapweedwharf-outcome")
        if word == "ran" and body in reply.body:
            self.elapsed_s.append(elapsed_s)
        elif word in ("did-not-run", "unknown"):
            self.refused += 1
        else:
            self.wrong += 1

    async def run(
        self, path: str, *, callers: int, until: asyncio.Event
    ) -> None:
        """Send by so many callers, one request after the other each."""
        client = transport.HttpTransport(
            max_body_bytes=_MAX_ANSWER_BYTES, reuse=True
        )

        async def call(number: int) -> None:
            count = 0
            while not until.is_set():
                count += 1
                await self.send(client, path, f"{number}.{count}!".encode())

        await asyncio.gather(*(call(number) for number in range(callers)))
        client.close()


def start(
    path: pathlib.Path, *, executors: int = 1, **options: str
) -> fleet_module.Fleet:
    """Return a fleet of one entry VM; use it as a context."""
    return fleet_module.Fleet(
        folder=path,
        data_centres=["antigua"],
        executors_per_data_centre=executors,
        node_options=options or None,
    )
