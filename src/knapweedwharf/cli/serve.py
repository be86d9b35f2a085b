"""``knapweedwharf serve``: run the process of an entry VM."""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import typing

import click
from click import core
from returns import result

from knapweedwharf.cli import output
from knapweedwharf import log
from knapweedwharf import node as node_module
from knapweedwharf import settings as settings_module
from knapweedwharf.web import tls


def _with_settings_options(command: abc.Callable) -> abc.Callable:
    for field in reversed(dataclasses.fields(settings_module.Settings)):
        required = field.default is dataclasses.MISSING
        default = "required" if required else f"default {field.default!r}"
        variable = settings_module.environment_name(field.name)
        command = click.option(
            settings_module.flag_name(field.name),
            field.name,
            envvar=variable,
            help=f"{default}; environment {variable}",
        )(command)
    return command


@click.command()
@_with_settings_options
@click.pass_context
def serve(context: click.Context, **given: typing.Any) -> None:
    """Serve callers and schedule this VM's data centre."""
    raw = {name: value for name, value in given.items() if value is not None}
    sources = {name: _source(context, name) for name in raw}
    loaded = settings_module.load(raw, sources=sources).bind(
        node_module.check_kinds
    )
    if isinstance(loaded, result.Failure):
        output.fail(loaded.failure(), exit_code=output.EXIT_USAGE)
    settings = loaded.unwrap()
    context = tls.server_context(settings)
    if isinstance(context, result.Failure):
        output.fail(context.failure(), exit_code=output.EXIT_USAGE)
    log.configure(level=settings.log_level, node_id=settings.node_id)
    raise SystemExit(asyncio.run(_serve(settings)))


def _source(context: click.Context, field: str) -> str:
    source = context.get_parameter_source(field)
    if source is core.ParameterSource.ENVIRONMENT:
        return f"environment {settings_module.environment_name(field)}"
    return f"flag {settings_module.flag_name(field)}"


async def _serve(settings: settings_module.Settings) -> int:
    return await node_module.Node(settings).run()
