"""``knapweedwharf platform``: run a VM's process on the users' platform."""

from __future__ import annotations

import asyncio
import dataclasses
import sys

import click
from returns import result

from knapweedwharf.fleet import model
from knapweedwharf import log
from knapweedwharf.platform import program
from knapweedwharf.platform import settings

EXIT_SETTINGS = 2

LOG_LINES_PER_S = 200
"""An owner of 24 executors logs about 30 lines a second on a busy day."""


@click.command("platform")
@click.option(
    "--settings",
    "path",
    envvar=settings.PATH_VARIABLE,
    default=settings.DEFAULT_PATH,
    show_default=True,
    help="The platform's settings file.",
)
@click.option(
    "--log-level",
    default="info",
    show_default=True,
    type=click.Choice(["debug", "info", "warning", "error"]),
    help="Lowest level that is logged.",
)
@click.option(
    "--log-lines-per-s",
    default=LOG_LINES_PER_S,
    show_default=True,
    type=click.IntRange(min=0),
    help="Maximum log lines per second and per burst; 0 means no limit.",
)
@click.option(
    "--metrics-port",
    default=0,
    type=click.IntRange(0, 65_535),
    help="Port that serves /metrics on the VM's address; 0 disables it.",
)
@click.option(
    "--learn-speeds/--no-learn-speeds",
    default=False,
    show_default=True,
    help="Learn how fast each executor is, and place work by that.",
)
def platform(
    path: str,
    log_level: str,
    log_lines_per_s: int,
    metrics_port: int,
    learn_speeds: bool,
) -> None:
    """Serve callers and take part in scheduling on the users' platform."""
    read = settings.read(path)
    if isinstance(read, result.Failure):
        for fault in read.failure():
            click.echo(str(fault), err=True)
        raise SystemExit(EXIT_SETTINGS)
    process_config = dataclasses.replace(
        read.unwrap(), learns_speeds=learn_speeds
    )
    log.configure(
        level=log_level,
        node_id=process_config.node_id,
        stream=log.NonBlockingWriter(sys.stdout.fileno()),
        lines_per_s=log_lines_per_s,
    )
    asyncio.run(_serve(process_config, path, metrics_port))


async def _serve(
    process_config: model.ProcessConfig, path: str, metrics_port: int
) -> None:
    vm_process = program.Program(
        process_config, settings_path=path, metrics_port=metrics_port
    )
    await vm_process.run()
