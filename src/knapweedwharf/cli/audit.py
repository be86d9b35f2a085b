"""``knapweedwharf audit``: who changed what, when."""

from __future__ import annotations

import click

from knapweedwharf.cli import client as client_module
from knapweedwharf.cli import config
from knapweedwharf.cli import output


@click.command()
@client_module.options
def audit(url: str, token: str, as_json: bool) -> None:
    """Show the audit trail of changes."""
    client = client_module.Client(url=url, token=token)
    answer = client.call("GET", "/v1/config/history")
    output.show(answer, config.history_lines(answer), as_json=as_json)
