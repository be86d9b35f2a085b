"""``knapweedwharf platform``: run one VM's process on the platform."""

from __future__ import annotations

import asyncio

import click
from returns import result

from knapweedwharf import log
from knapweedwharf.platform import program
from knapweedwharf.platform import settings

EXIT_SETTINGS = 2


@click.command("platform")
@click.option(
    "--settings",
    "path",
    envvar=settings.PATH_VARIABLE,
    default=settings.DEFAULT_PATH,
    show_default=True,
    help="The platform's settings file.",
)
@click.option("--log-level", default="info", show_default=True)
def platform(path: str, log_level: str) -> None:
    """Serve callers and take part in scheduling on the platform."""
    read = settings.read(path)
    if isinstance(read, result.Failure):
        for fault in read.failure():
            click.echo(str(fault), err=True)
        raise SystemExit(EXIT_SETTINGS)
    site = read.unwrap()
    log.configure(level=log_level, node_id=site.node_id)
    asyncio.run(_serve(site, path))


async def _serve(site, path: str) -> None:
    await program.Program(site, settings_path=path).run()
