"""Output and exit codes of the commands."""

from __future__ import annotations

import json
import typing

import click

from knapweedwharf import errors

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_UNKNOWN = 4


def show(document: typing.Any, lines: list[str], *, as_json: bool) -> None:
    """Print the lines, or the document as JSON."""
    if as_json:
        click.echo(json.dumps(document, indent=2, sort_keys=True))
        return
    for line in lines:
        click.echo(line)


def fail(fault: errors.Fault, *, exit_code: int = EXIT_REFUSED) -> None:
    """Print a fault to standard error and exit."""
    click.echo(f"error: {fault}", err=True)
    raise SystemExit(exit_code)
