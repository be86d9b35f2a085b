"""``knapweedwharf audit``: the audit trail of configuration changes."""

from __future__ import annotations

import click

from knapweedwharf.cli import client as client_module
from knapweedwharf.cli import config
from knapweedwharf.cli import output


@click.command()
@client_module.options
@click.option(
    "--after", type=int, default=0, help="only revisions after this one"
)
@click.option("--limit", type=int, help="maximum number of revisions")
def audit(
    url: str, token: str, as_json: bool, after: int, limit: int | None
) -> None:
    """Show the audit trail: who changed what and when."""
    answer = config.read_history(url, token, after=after, limit=limit)
    output.show(answer, config.history_lines(answer), as_json=as_json)
