"""``knapweedwharf config``: check, diff, apply, history."""

from __future__ import annotations

import difflib
import pathlib

import click
from returns import result

from knapweedwharf.cli import client as client_module
from knapweedwharf.cli import output
from knapweedwharf.configuration import folder as folder_module

_FOLDER = click.argument(
    "folder", type=click.Path(path_type=pathlib.Path, file_okay=False)
)


@click.group()
def config() -> None:
    """Work with the operators' folder."""


def _read(folder: pathlib.Path) -> folder_module.Files:
    files = folder_module.read(folder)
    if isinstance(files, result.Failure):
        _fail(files.failure())
    return files.unwrap()


def _fail(faults: folder_module.Faults) -> None:
    for fault in faults:
        click.echo(f"error: {fault}", err=True)
    raise SystemExit(output.EXIT_REFUSED)


@config.command()
@_FOLDER
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def check(folder: pathlib.Path, as_json: bool) -> None:
    """Check a folder and show which file each setting comes from."""
    files = _read(folder)
    loaded = folder_module.load(files, revision=0)
    if isinstance(loaded, result.Failure):
        _fail(loaded.failure())
    merged = folder_module.merge(files).unwrap()
    document = {}
    lines = []
    for kind, name, field in sorted(merged.sources):
        source = merged.sources[(kind, name, field)]
        value = merged.tables[kind][name][field]
        document[f"{kind}.{name}.{field}"] = {"value": value, "file": source}
        lines.append(f"{kind}.{name}.{field} = {value!r}  ({source})")
    lines.append(f"ok: {len(files)} files")
    output.show(document, lines, as_json=as_json)


@config.command()
@_FOLDER
@client_module.options
def diff(folder: pathlib.Path, url: str, token: str, as_json: bool) -> None:
    """Show what applying a folder would change."""
    in_force = client_module.Client(url=url, token=token).call(
        "GET", "/v1/config"
    )
    changed = changes(in_force["files"], _read(folder))
    lines = []
    for name, text in changed.items():
        before = in_force["files"].get(name, "").splitlines()
        after = (text or "").splitlines()
        lines.extend(
            difflib.unified_diff(
                before, after, f"in force/{name}", name, lineterm=""
            )
        )
    output.show(changed, lines or ["no changes"], as_json=as_json)


@config.command()
@_FOLDER
@client_module.options
@click.option("--message", default="", help="why, for the audit trail")
@click.option("--base", type=int, help="revision the change is made on")
def apply(
    folder: pathlib.Path,
    url: str,
    token: str,
    as_json: bool,
    message: str,
    base: int | None,
) -> None:
    """Make a folder the next revision."""
    files = _read(folder)
    client = client_module.Client(url=url, token=token)
    in_force = client.call("GET", "/v1/config")
    changed = changes(in_force["files"], files)
    if not changed:
        output.show(in_force, ["no changes"], as_json=as_json)
        return
    answer = client.call(
        "POST",
        "/v1/config",
        {
            "base_revision": in_force["revision"] if base is None else base,
            "changed": changed,
            "message": message,
        },
    )
    lines = [f"revision {answer['revision']} accepted"]
    output.show(answer, lines, as_json=as_json)


@config.command()
@client_module.options
def history(url: str, token: str, as_json: bool) -> None:
    """Show the accepted revisions, oldest first."""
    client = client_module.Client(url=url, token=token)
    answer = client.call("GET", "/v1/config/history")
    output.show(answer, history_lines(answer), as_json=as_json)


def history_lines(answer: dict) -> list[str]:
    """Return one line for each revision."""
    return [
        f"{item['revision']:>6}  {item['at_s']:.0f}  {item['actor']}  "
        f"{', '.join(item['files'])}  {item['message']}"
        for item in answer["revisions"]
    ]


def changes(
    in_force: folder_module.Files, wanted: folder_module.Files
) -> dict[str, str | None]:
    """Return files that differ; None where one is to go."""
    changed: dict[str, str | None] = {
        name: text
        for name, text in wanted.items()
        if in_force.get(name) != text
    }
    changed.update({name: None for name in in_force.keys() - wanted.keys()})
    return changed
