"""``knapweedwharf audit``: who changed what and when."""

from __future__ import annotations

import click

from knapweedwharf.cli import client as client_module
from knapweedwharf.cli import config
from knapweedwharf.cli import output


@click.command()
@client_module.options
@click.option("--after", type=int, default=0, help="revisions after this one")
@click.option("--limit", type=int, help="at most so many")
def audit(
    url: str, token: str, as_json: bool, after: int, limit: int | None
) -> None:
    """Show the audit trail of changes."""
    answer = config.read_history(url, token, after=after, limit=limit)
    output.show(answer, config.history_lines(answer), as_json=as_json)
