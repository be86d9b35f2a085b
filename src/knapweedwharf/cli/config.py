"""``knapweedwharf config``: check, diff, apply, show, history."""

from __future__ import annotations

import datetime
import difflib
import pathlib

import click
from returns import result

from knapweedwharf.cli import client as client_module
from knapweedwharf.cli import output
from knapweedwharf.configuration import folder as folder_module

_PAGE_SIZE = 500
_SHORT_ID_LENGTH = 12
_FOLDER_ARGUMENT = click.argument(
    "folder", type=click.Path(path_type=pathlib.Path, file_okay=False)
)


@click.group()
def config() -> None:
    """Check, compare and apply configuration folders."""


def _read(folder: pathlib.Path) -> folder_module.Files:
    files = folder_module.read(folder)
    if isinstance(files, result.Failure):
        _exit_with_faults(files.failure())
    return files.unwrap()


def _exit_with_faults(faults: folder_module.Faults) -> None:
    for fault in faults:
        click.echo(f"error: {fault}", err=True)
    raise SystemExit(output.EXIT_REFUSED)


@config.command()
@_FOLDER_ARGUMENT
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def check(folder: pathlib.Path, as_json: bool) -> None:
    """Validate a folder and show which file each setting comes from."""
    files = _read(folder)
    loaded = folder_module.load(files, revision=0)
    if isinstance(loaded, result.Failure):
        _exit_with_faults(loaded.failure())
    merged = folder_module.merge(files).unwrap()
    document = {}
    lines = []
    for kind, name, field in sorted(merged.sources):
        source = merged.sources[(kind, name, field)]
        value = merged.tables[kind][name][field]
        document[f"{kind}.{name}.{field}"] = {"value": value, "file": source}
        earlier = merged.overridden.get((kind, name, field), [])
        document[f"{kind}.{name}.{field}"]["overrides"] = earlier
        override_note = f", over {', '.join(earlier)}" if earlier else ""
        lines.append(
            f"{kind}.{name}.{field} = {value!r}  ({source}{override_note})"
        )
    lines.append(f"ok: {len(files)} files")
    output.show(document, lines, as_json=as_json)


@config.command()
@_FOLDER_ARGUMENT
@client_module.options
def diff(folder: pathlib.Path, url: str, token: str, as_json: bool) -> None:
    """Show the changes that applying a folder would make."""
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
@_FOLDER_ARGUMENT
@client_module.options
@click.option(
    "--message", default="", help="reason for the change, for the audit trail"
)
@click.option("--base", type=int, help="revision that the change is based on")
@click.option("--dry-run", is_flag=True, help="validate without applying")
@click.option(
    "--force", is_flag=True, help="apply even if it locks operators out"
)
def apply(
    folder: pathlib.Path,
    url: str,
    token: str,
    as_json: bool,
    message: str,
    base: int | None,
    dry_run: bool,
    force: bool,
) -> None:
    """Publish a folder as the next revision, unless nothing changed."""
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
            "dry_run": dry_run,
            "force": force,
        },
    )
    output.show(answer, [_outcome_line(answer, changed)], as_json=as_json)


def _outcome_line(answer: dict, changed: dict[str, str | None]) -> str:
    names = ", ".join(sorted(changed))
    if answer["dry_run"]:
        return f"may be applied on revision {answer['revision']}: {names}"
    if not answer["accepted"]:
        return f"no changes; revision {answer['revision']} is in force"
    return (
        f"revision {answer['revision']} accepted: {names}; in force on this "
        f"VM and {answer['peers_in_force']} of its {answer['peers']} peers"
    )


@config.command("show")
@client_module.options
def show_files(url: str, token: str, as_json: bool) -> None:
    """Show the files in force."""
    answer = client_module.Client(url=url, token=token).call(
        "GET", "/v1/config"
    )
    lines = [f"# revision {answer['revision']}"]
    for name, text in sorted(answer["files"].items()):
        lines += [f"# {name}", *text.splitlines()]
    output.show(answer, lines, as_json=as_json)


@config.command()
@client_module.options
@click.option(
    "--after", type=int, default=0, help="only revisions after this one"
)
@click.option("--limit", type=int, help="maximum number of revisions")
def history(
    url: str, token: str, as_json: bool, after: int, limit: int | None
) -> None:
    """Show the accepted revisions, oldest first."""
    answer = read_history(url, token, after=after, limit=limit)
    output.show(answer, history_lines(answer), as_json=as_json)


def read_history(
    url: str, token: str, *, after: int, limit: int | None
) -> dict:
    """Read the audit trail page by page."""
    client = client_module.Client(url=url, token=token)
    revisions: list[dict] = []
    next_after: int | None = after
    while next_after is not None:
        left = (
            _PAGE_SIZE
            if limit is None
            else min(_PAGE_SIZE, limit - len(revisions))
        )
        path = f"/v1/config/history?after={next_after}&limit={left}"
        page = client.call("GET", path)
        revisions.extend(page["revisions"])
        next_after = page["next_after"]
        if limit is not None and len(revisions) >= limit:
            break
    return {**page, "revisions": revisions, "next_after": next_after}


def history_lines(answer: dict) -> list[str]:
    """Format the audit trail, one line per revision."""
    lines = [
        f"{item['revision']:>6}  {_time(item['at_s'])}  {item['actor']}  "
        f"{', '.join(item['files'])}  {item['message']}  "
        f"[{item['write_id'][:_SHORT_ID_LENGTH]}]"
        for item in answer["revisions"]
    ]
    if not answer["complete"]:
        lines.append("incomplete: the store does not answer this VM")
    elif answer["first_kept"] > 1:
        lines.append(f"kept from revision {answer['first_kept']}")
    return lines


def _time(at_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(at_s, datetime.timezone.utc)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def changes(
    in_force: folder_module.Files, wanted: folder_module.Files
) -> dict[str, str | None]:
    """Return the files to change; None stands for a file to remove."""
    changed: dict[str, str | None] = {
        name: text
        for name, text in wanted.items()
        if in_force.get(name) != text
    }
    changed.update({name: None for name in in_force.keys() - wanted.keys()})
    return changed
