"""``knapweedwharf explain``: trace a request through log lines."""

from __future__ import annotations

import typing

import click

from knapweedwharf import request_trace


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File("r", errors="replace"))
def explain(request_id: str, files: tuple[typing.TextIO, ...]) -> None:
    """Print the log lines of a request and explain its outcome.

    Reads log files or standard input. The lines of all VMs are sorted by
    timestamp; the clocks of the VMs may differ slightly.
    """
    sources = files or (click.get_text_stream("stdin"),)
    lines = request_trace.find_lines(
        (text for source in sources for text in source), request_id
    )
    for line in lines:
        click.echo(str(line))
    click.echo(f"cause: {request_trace.explain_outcome(lines)}")
