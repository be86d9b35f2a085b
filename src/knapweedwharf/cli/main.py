"""Entry point of the command line."""

from __future__ import annotations

import click

from knapweedwharf.cli import audit
from knapweedwharf.cli import config
from knapweedwharf.cli import explain
from knapweedwharf.cli import job
from knapweedwharf.cli import platform
from knapweedwharf.cli import serve
from knapweedwharf.cli import status


@click.group()
@click.version_option(package_name=None, version="0.1.0")
def cli() -> None:
    """Schedule multi-accelerator jobs under guarantees per account.

    Exit codes: 0 success, 1 refused, 2 usage error, 3 unreachable,
    4 outcome unknown.
    """


cli.add_command(serve.serve)
cli.add_command(platform.platform)
cli.add_command(config.config)
cli.add_command(job.job)
cli.add_command(status.status)
cli.add_command(audit.audit)
cli.add_command(explain.explain)


def run() -> None:
    """Run the command line."""
    cli(prog_name="knapweedwharf")
