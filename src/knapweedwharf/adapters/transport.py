"""HTTP client for external systems, with typed outcomes.

The outcome distinguishes a request that was certainly not sent from
one that may have been executed: callers must not blindly retry the
latter.
"""

from __future__ import annotations

import asyncio
import collections
import json
import ssl
import time
import typing
import urllib.parse

from returns import result
from tornado import iostream

from knapweedwharf.adapters import channel as channel_module
from knapweedwharf import errors

_CONNECT_TIMEOUT_S = 1.0
_MAX_CONNECTIONS_PER_HOST = 512
_IDLE_TIMEOUT_S = 5.0

_CONNECTION_ERRORS = (
    OSError,
    iostream.StreamClosedError,
    channel_module.Broken,
)

Reply = channel_module.Reply


class HttpTransport:
    """HTTP client that runs one exchange at a time on a connection.

    Certificates of https:// addresses are verified against the system's
    certificate store, or the file that SSL_CERT_FILE names.

    :param reuse: keep a connection open for later exchanges after a
        complete response. It is closed after a timeout, a truncated
        response or surplus bytes, and by ``discard``, for example after
        a response to another attempt.
    """

    def __init__(
        self,
        *,
        max_body_bytes: int,
        reuse: bool = False,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._reuse = reuse
        self._idle: dict[str, list[channel_module.Channel]] = {}
        self._busy: dict[str, set[channel_module.Channel]] = {}
        self._opening: collections.Counter[str] = collections.Counter()
        self.max_connections_per_host = _MAX_CONNECTIONS_PER_HOST

    def close(self) -> None:
        """Close all connections; exchanges in progress fail."""
        for channels in (*self._idle.values(), *self._busy.values()):
            for channel in list(channels):
                channel.close()
        self._idle.clear()

    def close_idle(self, url: str) -> None:
        """Close the idle connections to a host."""
        for channel in self._idle.pop(_host(url), []):
            channel.close()

    def open_count(self, url: str) -> int:
        """Return the number of open or opening connections to a host."""
        host = _host(url)
        idle = len(self._idle.get(host, ()))
        busy = len(self._busy.get(host, ()))
        return idle + busy + self._opening[host]

    async def exchange(
        self,
        *,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float,
        silence_s: float | None = None,
        on_chunk: channel_module.ChunkCallback | None = None,
        new_connection: bool = False,
    ) -> result.Result[Reply, errors.Fault]:
        """Send one request; a response with any status is a success.

        :param timeout_s: timeout of the exchange; with ``silence_s``, only
            until the response begins.
        :param silence_s: longest time between two parts of the response.
            Set it for a response whose size has no bound, as its transfer
            takes any time on a slow link.
        :param new_connection: don't reuse an idle connection.
        """
        parts = _split(url)
        if parts is None:
            return result.Failure(_unreachable(url))
        channel = None
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                channel = await self._acquire(
                    parts, timeout_s, new_connection=new_connection
                )
                reply = await channel.exchange(
                    method=method,
                    path=_request_target(parts),
                    headers=self._headers(parts) | (headers or {}),
                    body=body or b"",
                    on_chunk=on_chunk,
                    on_progress=_extension(timeout, silence_s),
                )
        except _CONNECTION_ERRORS as error:
            return result.Failure(_classify(error, url, channel))
        finally:
            self._release(parts.netloc, channel)
        return result.Success(reply)

    def _headers(self, parts: urllib.parse.SplitResult) -> dict[str, str]:
        headers = {"Host": parts.netloc}
        if not self._reuse:
            headers["Connection"] = "close"
        return headers

    async def _acquire(
        self,
        parts: urllib.parse.SplitResult,
        timeout_s: float,
        *,
        new_connection: bool,
    ) -> channel_module.Channel:
        host = parts.netloc
        channel = None if new_connection else self._acquire_idle(host)
        if channel is None:
            channel = await self._open(parts, timeout_s)
        self._busy.setdefault(host, set()).add(channel)
        return channel

    def _acquire_idle(self, host: str) -> channel_module.Channel | None:
        idle = self._idle.get(host, [])
        while idle:
            channel = idle.pop()
            if channel.is_open_and_idle():
                return channel
            channel.close()
        return None

    async def _open(
        self, parts: urllib.parse.SplitResult, timeout_s: float
    ) -> channel_module.Channel:
        idle = self._idle.get(parts.netloc, [])
        if self.open_count(parts.netloc) >= self.max_connections_per_host:
            if not idle:
                raise OSError("all connections to the host are in use")
            idle.pop(0).close()
        secure = parts.scheme == "https"
        self._opening[parts.netloc] += 1
        try:
            return await channel_module.connect(
                parts.hostname or "",
                _port_of(parts),
                timeout_s=min(_CONNECT_TIMEOUT_S, timeout_s),
                max_body_bytes=self._max_body_bytes,
                tls=ssl.create_default_context() if secure else None,
            )
        finally:
            self._opening[parts.netloc] -= 1

    def _release(
        self, host: str, channel: channel_module.Channel | None
    ) -> None:
        if channel is None:
            return
        busy = self._busy[host]
        busy.discard(channel)
        below_limit = self.open_count(host) < self.max_connections_per_host
        if not (self._reuse and channel.reusable and below_limit):
            channel.close()
            return
        channel.idle_since_s = time.monotonic()
        self._idle.setdefault(host, []).append(channel)
        loop = asyncio.get_running_loop()
        loop.call_later(_IDLE_TIMEOUT_S, self._close_expired, host)

    def _close_expired(self, host: str) -> None:
        expired_before_s = time.monotonic() - _IDLE_TIMEOUT_S
        idle = self._idle.get(host, [])
        while idle and idle[0].idle_since_s <= expired_before_s:
            idle.pop(0).close()

    async def post_json(
        self, url: str, document: object, *, timeout_s: float
    ) -> result.Result[typing.Any, errors.Fault]:
        """Post a JSON document and return the decoded JSON response."""
        outcome = await self.exchange(
            method="POST",
            url=url,
            headers={"Content-Type": "application/json"},
            body=json.dumps(document).encode(),
            timeout_s=timeout_s,
        )
        return outcome.bind(_decode_json)


def _extension(
    timeout: asyncio.Timeout, silence_s: float | None
) -> channel_module.ProgressCallback | None:
    """Return a callback that moves a timeout to ``silence_s`` from now."""
    if silence_s is None:
        return None
    now_s = asyncio.get_running_loop().time
    return lambda: timeout.reschedule(now_s() + silence_s)


def _decode_json(reply: Reply) -> result.Result[typing.Any, errors.Fault]:
    if reply.status == 409:
        return result.Failure(
            errors.Fenced(
                message=reply.body.decode(errors="replace")[:200],
                remedy="Read the current state; a newer epoch is active.",
            )
        )
    if reply.status != 200:
        return result.Failure(
            errors.OutcomeUnknown(
                message=f"The server answered with status {reply.status}.",
                remedy="Try again later.",
            )
        )
    try:
        return result.Success(json.loads(reply.body))
    except (ValueError, RecursionError):
        return result.Failure(
            _outcome_unknown("the server", "the body is not JSON")
        )


def _classify(
    error: BaseException, url: str, channel: channel_module.Channel | None
) -> errors.Fault:
    if channel is None or not channel.may_have_sent:
        return _unreachable(url)
    if isinstance(error, TimeoutError):
        return _outcome_unknown(url, "the request timed out")
    return _outcome_unknown(url, str(error) or type(error).__name__)


def _unreachable(url: str) -> errors.Unreachable:
    return errors.Unreachable(
        message=f"No connection to {_host(url)}.",
        remedy="Check that the server runs and can be reached.",
    )


def _split(url: str) -> urllib.parse.SplitResult | None:
    """Split a URL; None if there can't be such a host or port."""
    try:
        parts = urllib.parse.urlsplit(url)
        _port_of(parts)
    except ValueError:
        return None
    return parts


def _port_of(parts: urllib.parse.SplitResult) -> int:
    return parts.port or (443 if parts.scheme == "https" else 80)


def _outcome_unknown(url: str, text: str) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        message=f"No complete response from {_host(url)}: {text}.",
        remedy="Query the request by its id before retrying it.",
    )


def _host(url: str) -> str:
    return url.split("//", 1)[-1].split("/", 1)[0]


def _request_target(parts: urllib.parse.SplitResult) -> str:
    query = f"?{parts.query}" if parts.query else ""
    return (parts.path or "/") + query
