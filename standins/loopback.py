"""HTTP calls on loopback, port reservation and polling for tests."""

from __future__ import annotations

from collections import abc
import dataclasses
import http.client
import json
import socket
import time
import typing
import urllib.error
import urllib.request

HOST = "127.0.0.1"
CALL_TIMEOUT_S = 15.0
WAIT_TIMEOUT_S = 30.0
POLL_S = 0.05

_reserved: list[socket.socket] = []


@dataclasses.dataclass(frozen=True)
class Answer:
    """An HTTP answer; the status is 0 if none was received.

    :ivar headers: header values by lower-case name.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the body, decoded from JSON."""
        return json.loads(self.body)


def free_port() -> int:
    """Reserve a loopback port for the lifetime of this process.

    The reserving socket stays bound without listening, so that the
    kernel assigns the port to no other process; a server that sets
    SO_REUSEADDR can still listen on it, also after a restart.
    """
    reserving = socket.socket()
    reserving.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserving.bind((HOST, 0))
    _reserved.append(reserving)
    return reserving.getsockname()[1]


def call(
    method: str,
    url: str,
    *,
    document: typing.Any = None,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer:
    """Make an HTTP call; a connection error gives status 0."""
    data = body if document is None else json.dumps(document).encode()
    request = urllib.request.Request(
        url, data=data, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as reply:
            return _answer(reply)
    except urllib.error.HTTPError as error:
        return _answer(error)
    except (OSError, ValueError, http.client.HTTPException):
        return Answer(status=0, headers={}, body=b"")


def _answer(reply: typing.Any) -> Answer:
    headers = {name.lower(): value for name, value in reply.headers.items()}
    return Answer(status=reply.status, headers=headers, body=reply.read())


def until(
    condition: abc.Callable[[], typing.Any],
    *,
    what: str,
    timeout_s: float = WAIT_TIMEOUT_S,
) -> typing.Any:
    """Poll until the condition is true and return its value.

    :param what: what is waited for, in the words of the error message.
    :param timeout_s: only ends a hang; it is no limit on performance.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise TimeoutError(f"timed out waiting for: {what}")
