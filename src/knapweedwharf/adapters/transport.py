"""One HTTP exchange with an outside system, with a typed outcome.

The outcome tells apart what was surely not sent from what may have
been executed: callers must not repeat the latter blindly.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import socket
import typing

from returns import result
from tornado import httpclient
from tornado import simple_httpclient

from knapweedwharf import errors

_CONNECT_TIMEOUT_S = 1.0
_MAX_CLIENTS = 512


@dataclasses.dataclass(frozen=True)
class Reply:
    """A whole HTTP answer.

    :ivar status: HTTP status code.
    :ivar headers: header names in lower case.
    :ivar body: the whole body, its length checked by the library.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class HttpTransport:
    """Client whose connections serve one exchange each.

    A connection of its own for each exchange rules out that an answer
    reaches another caller.
    """

    def __init__(self, *, max_body_bytes: int) -> None:
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
            max_body_size=max_body_bytes,
        )

    def close(self) -> None:
        """Close the client; running exchanges fail."""
        self._client.close()

    async def exchange(
        self,
        *,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float,
        on_chunk: typing.Callable[[bytes], None] | None = None,
    ) -> result.Result[Reply, errors.Fault]:
        """Send one request; any status is a success."""
        request = httpclient.HTTPRequest(
            url,
            method=method,
            headers=headers,
            body=body,
            connect_timeout=min(_CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
            streaming_callback=on_chunk,
            allow_nonstandard_methods=True,
            decompress_response=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            return result.Failure(_classify(error, url))
        except asyncio.TimeoutError:
            return result.Failure(_unknown(url, "timed out"))
        if response.error is not None and response.code == 599:
            return result.Failure(_classify(response.error, url))
        return result.Success(
            Reply(
                status=response.code,
                headers={k.lower(): v for k, v in response.headers.items()},
                body=response.body or b"",
            )
        )

    async def post_json(
        self, url: str, document: object, *, timeout_s: float
    ) -> result.Result[typing.Any, errors.Fault]:
        """Post a JSON document and return the decoded JSON answer."""
        outcome = await self.exchange(
            method="POST",
            url=url,
            headers={"Content-Type": "application/json"},
            body=json.dumps(document).encode(),
            timeout_s=timeout_s,
        )
        return outcome.bind(_decode_json)

    async def get_json(
        self, url: str, *, timeout_s: float
    ) -> result.Result[typing.Any, errors.Fault]:
        """Fetch a JSON document."""
        outcome = await self.exchange(
            method="GET", url=url, timeout_s=timeout_s
        )
        return outcome.bind(_decode_json)


def _decode_json(reply: Reply) -> result.Result[typing.Any, errors.Fault]:
    if reply.status == 409:
        return result.Failure(
            errors.Fenced(
                message=reply.body.decode(errors="replace")[:200],
                remedy="Read the current state; a newer epoch is in charge.",
            )
        )
    if reply.status != 200:
        return result.Failure(
            errors.OutcomeUnknown(
                message=f"The other side answered status {reply.status}.",
                remedy="Ask again later.",
            )
        )
    try:
        return result.Success(json.loads(reply.body))
    except ValueError:
        return result.Failure(_unknown("answer", "is not JSON"))


def _classify(error: BaseException, url: str) -> errors.Fault:
    unsent = (ConnectionRefusedError, socket.gaierror)
    text = str(error)
    if isinstance(error, unsent) or "while connecting" in text:
        return errors.Unreachable(
            message=f"No connection to {_host(url)}.",
            remedy="Check that it runs and that the network reaches it.",
        )
    return _unknown(url, text or type(error).__name__)


def _unknown(url: str, text: str) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        message=f"No whole answer from {_host(url)}: {text}.",
        remedy="Ask again by its id before repeating it.",
    )


def _host(url: str) -> str:
    return url.split("//", 1)[-1].split("/", 1)[0]
