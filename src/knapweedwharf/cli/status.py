"""``knapweedwharf status``: a node's role, revision and peers."""

from __future__ import annotations

import click

from knapweedwharf.cli import client as client_module
from knapweedwharf.cli import output


@click.command()
@client_module.options
def status(url: str, token: str, as_json: bool) -> None:
    """Show a node's state and what it knows about its peers."""
    client = client_module.Client(url=url, token=token)
    answer = client.call("GET", "/v1/status")
    lines = [
        f"{key}: {value}" for key, value in answer.items() if key != "peers"
    ]
    for peer in answer["peers"]:
        heard_s_ago = peer["heard_s_ago"]
        heard = "never" if heard_s_ago is None else f"{heard_s_ago} s ago"
        flags = [] if peer["live"] else ["silent"]
        flags += ["draining"] if peer["draining"] else []
        flags += [] if peer["store_reachable"] else ["no store"]
        lines.append(
            f"peer {peer['node_id']} ({peer['data_centre']}): revision "
            f"{peer['revision']}, heard {heard} {', '.join(flags)}".rstrip()
        )
    output.show(answer, lines, as_json=as_json)
