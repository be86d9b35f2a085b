"""``knapweedwharf status``: a node's role, revision and peers."""

from __future__ import annotations

import click

from knapweedwharf.cli import client as client_module
from knapweedwharf.cli import output


@click.command()
@client_module.options
def status(url: str, token: str, as_json: bool) -> None:
    """Show what a node is and what it hears of the others."""
    client = client_module.Client(url=url, token=token)
    answer = client.call("GET", "/v1/status")
    lines = [
        f"{key}: {value}" for key, value in answer.items() if key != "peers"
    ]
    for peer in answer["peers"]:
        heard_s_ago = peer["heard_s_ago"]
        heard = "never" if heard_s_ago is None else f"{heard_s_ago} s ago"
        marks = [] if peer["live"] else ["silent"]
        marks += ["draining"] if peer["draining"] else []
        marks += [] if peer["store_reachable"] else ["no store"]
        lines.append(
            f"peer {peer['node_id']} ({peer['data_centre']}): revision "
            f"{peer['revision']}, heard {heard} {', '.join(marks)}".rstrip()
        )
    output.show(answer, lines, as_json=as_json)
