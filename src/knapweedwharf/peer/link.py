"""Request and reply connections between entry VMs.

Requests on one connection run concurrently; a reply carries the
sequence number of its request. A connection is closed when it is idle
or slow for too long or sends a malformed frame.
"""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing

from returns import result
from tornado import iostream
from tornado import tcpclient
from tornado import tcpserver

from knapweedwharf import backoff
from knapweedwharf import errors
from knapweedwharf import log
from knapweedwharf.peer import frame
from knapweedwharf.peer.messages import ttypes

MAX_CONNECTIONS = 256
MAX_CONCURRENT_REQUESTS = 32
CONNECT_TIMEOUT_S = 1.0
FRAME_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 120.0
REFUSAL_LOG_INTERVAL_S = 10.0
_FIRST_RETRY_DELAY_S = 0.5
_MAX_RETRY_DELAY_S = 8.0

Handler = typing.Callable[
    [ttypes.Hello, ttypes.Body], typing.Awaitable[ttypes.Body]
]
HelloHandler = typing.Callable[[ttypes.Hello], ttypes.HelloReply]


@dataclasses.dataclass
class Traffic:
    """Bytes of frames sent and received, for the control-traffic budget."""

    sent_bytes: int = 0
    received_bytes: int = 0


async def _read_frame(
    stream: iostream.IOStream, *, limit_bytes: int, idle_s: float
) -> tuple[bytes, bytes]:
    """Return the next frame's payload and digest."""
    head = await asyncio.wait_for(stream.read_bytes(frame.HEADER.size), idle_s)
    length, digest = frame.HEADER.unpack(head)
    if length > limit_bytes:
        raise frame.BadFrame(
            f"the frame length of {length} bytes exceeds the limit"
        )
    body = await asyncio.wait_for(stream.read_bytes(length), FRAME_TIMEOUT_S)
    return body, digest


class PeerServer(tcpserver.TCPServer):
    """Accepts connections from peers and answers their requests."""

    def __init__(
        self,
        *,
        keys: list[bytes],
        hello_handler: HelloHandler,
        handler: Handler,
        traffic: Traffic,
    ) -> None:
        super().__init__(max_buffer_size=2 * frame.MAX_FRAME_BYTES)
        self._keys = keys
        self._hello_handler = hello_handler
        self._handler = handler
        self._traffic = traffic
        self._streams: set[iostream.IOStream] = set()
        self._unlogged_refusals = 0
        self._refusal_logged_at_s = -REFUSAL_LOG_INTERVAL_S
        self._log = log.get("peer-server")

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop()
        self.close_connections()

    def close_connections(self) -> None:
        """Close every connection; peers will reconnect."""
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple
    ) -> None:
        """Serve one connection until it closes, times out or is invalid."""
        if len(self._streams) >= MAX_CONNECTIONS:
            self._log_refusal(address, "too many connections")
            stream.close()
            return
        self._streams.add(stream)
        try:
            await self._serve(stream)
        except (iostream.StreamClosedError, OSError, asyncio.TimeoutError):
            pass
        except (frame.BadFrame, iostream.UnsatisfiableReadError) as error:
            self._log_refusal(address, str(error))
        finally:
            self._streams.discard(stream)
            stream.close()

    async def _serve(self, stream: iostream.IOStream) -> None:
        nonce = frame.new_nonce()
        await stream.write(nonce)
        payload, digest = await _read_frame(
            stream, limit_bytes=frame.MAX_HELLO_BYTES, idle_s=FRAME_TIMEOUT_S
        )
        key = frame.verify_hello(payload, digest, self._keys, nonce)
        hello = frame.parse(payload).body.hello
        if hello is None:
            raise frame.BadFrame("the first frame is not a hello")
        session = frame.session_key(key, nonce, hello.nonce)
        replies = frame.FrameAuthenticator(
            key=session, direction=frame.FROM_SERVER
        )
        requests = frame.FrameAuthenticator(
            key=session, direction=frame.FROM_CLIENT
        )
        greeting = ttypes.Body(hello_reply=self._hello_handler(hello))
        await self._send(stream, replies, 0, greeting)
        slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        while True:
            payload, digest = await _read_frame(
                stream,
                limit_bytes=frame.MAX_FRAME_BYTES,
                idle_s=IDLE_TIMEOUT_S,
            )
            requests.verify(payload, digest)
            self._traffic.received_bytes += len(payload) + frame.HEADER.size
            request = frame.parse(payload)
            await slots.acquire()
            task = asyncio.create_task(
                self._answer(stream, replies, hello, request)
            )
            task.add_done_callback(lambda _task: slots.release())

    async def _answer(
        self,
        stream: iostream.IOStream,
        replies: frame.FrameAuthenticator,
        hello: ttypes.Hello,
        request: ttypes.Envelope,
    ) -> None:
        try:
            body = await self._handler(hello, request.body)
            await self._send(stream, replies, request.sequence, body)
        except iostream.StreamClosedError:
            pass
        except Exception:
            self._log.exception("request-failed", peer=hello.node_id)
            stream.close()

    async def _send(
        self,
        stream: iostream.IOStream,
        replies: frame.FrameAuthenticator,
        sequence: int,
        body: ttypes.Body,
    ) -> None:
        envelope = ttypes.Envelope(sequence=sequence, body=body)
        signed = replies.sign(frame.serialize(envelope))
        self._traffic.sent_bytes += len(signed)
        await stream.write(signed)

    def _log_refusal(self, address: tuple, why: str) -> None:
        self._unlogged_refusals += 1
        now_s = time.monotonic()
        if now_s - self._refusal_logged_at_s < REFUSAL_LOG_INTERVAL_S:
            return
        self._refusal_logged_at_s = now_s
        self._log.warning(
            "peer-refused",
            address=address[0],
            why=why,
            refusals=self._unlogged_refusals,
            remedy="Check peer_key and peer_key_previous of that VM.",
        )
        self._unlogged_refusals = 0


class _Session:
    """One established connection of a client."""

    def __init__(self, stream: iostream.IOStream, key: bytes) -> None:
        self.stream = stream
        self.requests = frame.FrameAuthenticator(
            key=key, direction=frame.FROM_CLIENT
        )
        self.replies = frame.FrameAuthenticator(
            key=key, direction=frame.FROM_SERVER
        )
        self.pending: dict[int, asyncio.Future] = {}
        self.received_at_s = time.monotonic()
        self.reader: asyncio.Task | None = None

    def close(self) -> None:
        """Close the connection and fail its pending requests."""
        self.stream.close()
        for future in self.pending.values():
            if not future.done():
                future.set_exception(iostream.StreamClosedError())
        self.pending.clear()


class PeerClient:
    """A connection to one peer, reopened with exponential backoff.

    :ivar sessions: connections opened so far.
    """

    def __init__(
        self,
        *,
        hello: typing.Callable[[bytes], ttypes.Hello],
        address: str,
        key: bytes,
        traffic: Traffic,
        on_hello_reply: typing.Callable[[ttypes.HelloReply], None],
    ) -> None:
        self._hello = hello
        self.address = address
        self._key = key
        self._traffic = traffic
        self._on_hello_reply = on_hello_reply
        self._session: _Session | None = None
        self._sequence = 0
        self._connect_lock = asyncio.Lock()
        self._backoff = backoff.Backoff(
            initial_s=_FIRST_RETRY_DELAY_S, max_s=_MAX_RETRY_DELAY_S
        )
        self._retry_at_s = 0.0
        self._tasks: set[asyncio.Task] = set()
        self.sessions = 0

    def close(self) -> None:
        """Close the connection."""
        if self._session is not None:
            self._session.close()
            self._session = None

    def reset_backoff(self) -> None:
        """Allow a reconnect at once, as the peer was heard from."""
        self._backoff.reset()
        self._retry_at_s = 0.0

    async def call(
        self, body: ttypes.Body, *, timeout_s: float
    ) -> result.Result[ttypes.Body, errors.Fault]:
        """Send a request and return the peer's reply.

        Fails with ``Unreachable`` if nothing was sent, and with
        ``OutcomeUnknown`` if the peer may have acted on the request.
        """
        try:
            session = await asyncio.wait_for(self._open_session(), timeout_s)
        except (OSError, asyncio.TimeoutError, frame.BadFrame) as error:
            return result.Failure(self._unreachable(error))
        started_s = time.monotonic()
        self._sequence += 1
        sequence = self._sequence
        try:
            return result.Success(
                await asyncio.wait_for(
                    self._exchange(session, sequence, body), timeout_s
                )
            )
        except (OSError, asyncio.TimeoutError) as error:
            if session.received_at_s < started_s:
                self._close_session(session)
            return result.Failure(self._outcome_unknown(error))
        finally:
            session.pending.pop(sequence, None)

    async def _exchange(
        self, session: _Session, sequence: int, body: ttypes.Body
    ) -> ttypes.Body:
        future = asyncio.get_running_loop().create_future()
        session.pending[sequence] = future
        envelope = ttypes.Envelope(sequence=sequence, body=body)
        signed = session.requests.sign(frame.serialize(envelope))
        self._traffic.sent_bytes += len(signed)
        await session.stream.write(signed)
        return await future

    async def _open_session(self) -> _Session:
        async with self._connect_lock:
            session = self._session
            if session is not None and not session.stream.closed():
                return session
            if time.monotonic() < self._retry_at_s:
                raise OSError("backing off before the next connection attempt")
            self._retry_at_s = time.monotonic() + self._backoff.next_s()
            self._session = await self._connect()
            self.reset_backoff()
            self.sessions += 1
            return self._session

    async def _connect(self) -> _Session:
        host, port = self.address.rsplit(":", 1)
        stream = await tcpclient.TCPClient().connect(
            host, int(port), timeout=CONNECT_TIMEOUT_S
        )
        try:
            nonce = await stream.read_bytes(frame.NONCE_BYTES)
            own_nonce = frame.new_nonce()
            envelope = ttypes.Envelope(
                sequence=0, body=ttypes.Body(hello=self._hello(own_nonce))
            )
            payload = frame.serialize(envelope)
            await stream.write(frame.hello_frame(payload, self._key, nonce))
            session = _Session(
                stream, frame.session_key(self._key, nonce, own_nonce)
            )
            reply = await self._next_reply(session, FRAME_TIMEOUT_S)
            if reply.body.hello_reply is None:
                raise frame.BadFrame("the peer did not reply with a hello")
        except BaseException:
            stream.close()
            raise
        self._on_hello_reply(reply.body.hello_reply)
        session.reader = asyncio.create_task(self._read_replies(session))
        self._tasks.add(session.reader)
        session.reader.add_done_callback(self._tasks.discard)
        return session

    async def _next_reply(
        self, session: _Session, idle_s: float
    ) -> ttypes.Envelope:
        payload, digest = await _read_frame(
            session.stream, limit_bytes=frame.MAX_FRAME_BYTES, idle_s=idle_s
        )
        session.replies.verify(payload, digest)
        session.received_at_s = time.monotonic()
        self._traffic.received_bytes += len(payload) + frame.HEADER.size
        return frame.parse(payload)

    async def _read_replies(self, session: _Session) -> None:
        try:
            while True:
                reply = await self._next_reply(session, IDLE_TIMEOUT_S)
                future = session.pending.get(reply.sequence)
                if future is not None and not future.done():
                    future.set_result(reply.body)
        except (OSError, asyncio.TimeoutError, frame.BadFrame):
            self._close_session(session)

    def _close_session(self, session: _Session) -> None:
        session.close()
        if self._session is session:
            self._session = None

    def _unreachable(self, error: BaseException) -> errors.Unreachable:
        return errors.Unreachable(
            message=f"No connection to peer {self.address}: {error!r}.",
            remedy="Check the peer, the network and the shared key.",
        )

    def _outcome_unknown(self, error: BaseException) -> errors.OutcomeUnknown:
        return errors.OutcomeUnknown(
            message=f"Peer {self.address} did not answer: {error!r}.",
            remedy="Query the request by its id; it may have taken effect.",
        )
