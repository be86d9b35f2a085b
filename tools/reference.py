"""Makes the reference pages that come from the code.

``make reference`` writes them; with ``--check`` the exit code is 1
when a page is stale.
"""

from __future__ import annotations

from collections import abc
import dataclasses
import importlib
import pathlib
import pkgutil
import sys

import click

import knapweedwharf
from knapweedwharf.charts import chart
from knapweedwharf.cli import main as cli_main
from knapweedwharf import metrics
from knapweedwharf import registry
from knapweedwharf import settings as settings_module
from tools import log_events
from tools import meanings

FOLDER = pathlib.Path("docs/reference")
SOURCE = pathlib.Path("src/knapweedwharf")
_MADE = "This page is made by `make reference`; change the code instead.\n"
_UNITS = {"_s": "seconds", "_bytes": "bytes", "_ms": "milliseconds"}

Page = abc.Callable[[], str]
PAGES: registry.Registry[Page] = registry.Registry(subject="page")


def main(arguments: list[str]) -> int:
    """Write the pages, or check them."""
    stale = 0
    for name in PAGES.names():
        path = FOLDER / f"{name}.md"
        text = PAGES.get(name)()
        if "--check" in arguments:
            current = path.read_text("utf-8") if path.exists() else ""
            if current != text:
                print(f"{path} is stale: run 'make reference'")
                stale = 1
        else:
            path.write_text(text, "utf-8")
    return stale


@PAGES.register("cli")
def command_line() -> str:
    """Page of every command with its options."""
    lines = ["# Command line", "", _MADE]
    lines += _command("knapweedwharf", cli_main.cli)
    return "\n".join(lines)


def _command(path: str, command: click.Command) -> list[str]:
    lines = [f"## `{path}`", "", click_text(command), ""]
    if path.endswith(" serve"):
        lines += ["Its flags stand in [settings](settings.md).", ""]
    else:
        lines += _options(command)
    for name, child in sorted(getattr(command, "commands", {}).items()):
        lines += _command(f"{path} {name}", child)
    return lines


def click_text(command: click.Command) -> str:
    """Return a command's help text with its lines joined."""
    paragraphs = (command.help or "").split("\n\n")
    return "\n\n".join(" ".join(p.split()) for p in paragraphs)


def _options(command: click.Command) -> list[str]:
    rows = []
    for parameter in command.params:
        if isinstance(parameter, click.Option):
            names = ", ".join(f"`{name}`" for name in parameter.opts)
            rows.append(f"| {names} | {parameter.help or ''} |")
        else:
            rows.append(f"| `{parameter.name.upper()}` | argument |")
    if not rows:
        return []
    return ["| option | meaning |", "|---|---|", *rows, ""]


@PAGES.register("settings")
def settings_page() -> str:
    """Page of every setting with its unit and default."""
    lines = [
        "# Settings of `knapweedwharf serve`",
        "",
        _MADE,
        "Each is a flag and an environment variable; the flag wins.",
        "",
        "| flag | environment | unit | default | meaning |",
        "|---|---|---|---|---|",
    ]
    for field in dataclasses.fields(settings_module.Settings):
        lines.append(_setting(field))
    return "\n".join(lines) + "\n"


def _setting(field: dataclasses.Field) -> str:
    required = field.default is dataclasses.MISSING
    default = "required" if required else f"`{field.default!r}`"
    unit = next((u for e, u in _UNITS.items() if field.name.endswith(e)), "")
    cells = [
        f"`{settings_module.flag_name(field.name)}`",
        f"`{settings_module.environment_name(field.name)}`",
        unit,
        default,
        meanings.SETTINGS.get(field.name, ""),
    ]
    return "| " + " | ".join(cells) + " |"


@PAGES.register("metrics")
def metrics_page() -> str:
    """Page of every metric."""
    for module in pkgutil.walk_packages(
        knapweedwharf.__path__, "knapweedwharf."
    ):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    lines = [
        "# Metrics",
        "",
        _MADE,
        f"Sent by statsd over UDP with the prefix `{metrics.PREFIX}.`.",
        "",
        "| metric | kind | unit | meaning |",
        "|---|---|---|---|",
    ]
    for name in sorted(metrics.DEFINED):
        metric = metrics.DEFINED[name]
        lines.append(
            f"| `{name}` | {metric.kind} | {metric.unit} | {metric.text} |"
        )
    return "\n".join(lines) + "\n"


@PAGES.register("log-events")
def log_events_page() -> str:
    """Page of every log event."""
    lines = [
        "# Log events",
        "",
        _MADE,
        "Logs are JSON lines on standard error. Each line has `event`,",
        "`level`, `timestamp` and the fields of its row.",
        "",
        "| event | level | module | fields |",
        "|---|---|---|---|",
    ]
    for logged in log_events.find(SOURCE):
        fields = ", ".join(f"`{name}`" for name in logged.fields)
        lines.append(
            f"| `{logged.name}` | {logged.level} | `{logged.module}` "
            f"| {fields} |"
        )
    return "\n".join(lines) + "\n"


@PAGES.register("charts")
def charts_page() -> str:
    """Page of the state charts as pictures."""
    lines = ["# State charts", "", _MADE]
    lines.append("The pictures are drawn from `src/knapweedwharf/charts`.\n")
    for path in sorted((SOURCE / "charts").glob("*.yaml")):
        lines += _picture(path.stem)
    return "\n".join(lines)


def _picture(name: str) -> list[str]:
    loaded = chart.load(name)
    lines = [f"## {name}", "", "```mermaid", "stateDiagram-v2"]
    lines.append(f"    [*] --> {loaded.initial}")
    for state, event, target in loaded.edges():
        lines.append(f"    {state} --> {target}: {event}")
    for state in sorted(loaded.final):
        lines.append(f"    {state} --> [*]")
    return [*lines, "```", ""]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
