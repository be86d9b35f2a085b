"""HTTP client of the commands, and the options that they share."""

from __future__ import annotations

import asyncio
from collections import abc
import json
import typing

import click
from returns import result

from knapweedwharf.adapters import transport
from knapweedwharf.cli import output
from knapweedwharf import errors
from knapweedwharf import settings as settings_module

_TIMEOUT_S = 10.0
_MAX_ANSWER_BYTES = 16 * 1024 * 1024


class Client:
    """Sends requests to an entry VM or to the load balancer."""

    def __init__(self, *, url: str, token: str) -> None:
        self._url = url.rstrip("/")
        self._token = token

    def call(
        self, method: str, path: str, document: object | None = None
    ) -> typing.Any:
        """Return the JSON response; on failure print the fault and exit."""
        outcome = asyncio.run(self._exchange(method, path, document))
        if isinstance(outcome, result.Failure):
            _exit_on_transport_fault(outcome.failure())
        reply = outcome.unwrap()
        answer = json.loads(reply.body or b"{}")
        if reply.status >= 400:
            _exit_on_refusal(answer)
        return answer

    async def _exchange(
        self, method: str, path: str, document: object | None
    ) -> result.Result[transport.Reply, errors.Fault]:
        client = transport.HttpTransport(max_body_bytes=_MAX_ANSWER_BYTES)
        body = None if document is None else json.dumps(document).encode()
        try:
            return await client.exchange(
                method=method,
                url=self._url + path,
                headers={"Authorization": f"Bearer {self._token}"},
                body=body,
                timeout_s=_TIMEOUT_S,
            )
        finally:
            client.close()


def _exit_on_transport_fault(fault: errors.Fault) -> None:
    unreachable = isinstance(fault, errors.Unreachable)
    code = output.EXIT_UNREACHABLE if unreachable else output.EXIT_UNKNOWN
    output.fail(fault, exit_code=code)


def _exit_on_refusal(answer: dict) -> None:
    faults = answer.get("faults", [answer["error"]])
    for fault in faults:
        place = ""
        if "field" in fault:
            place = f"{fault['source']}: {fault['field']} = {fault['value']}: "
        click.echo(
            f"error: {place}{fault['message']} {fault['remedy']}", err=True
        )
    unknown = answer["error"]["code"] == errors.OutcomeUnknown.code
    raise SystemExit(output.EXIT_UNKNOWN if unknown else output.EXIT_REFUSED)


def options(command: abc.Callable) -> abc.Callable:
    """Add the options ``--url``, ``--token`` and ``--json``."""
    prefix = settings_module.ENVIRONMENT_PREFIX
    command = click.option(
        "--json", "as_json", is_flag=True, help="print JSON"
    )(command)
    command = click.option(
        "--token",
        required=True,
        envvar=f"{prefix}_TOKEN",
        help=f"the account's token; environment {prefix}_TOKEN",
    )(command)
    return click.option(
        "--url",
        required=True,
        envvar=f"{prefix}_URL",
        help=f"an entry VM or the load balancer; environment {prefix}_URL",
    )(command)
