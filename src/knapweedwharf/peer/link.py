"""Connections between entry VMs: requests and their replies.

Requests on one connection run side by side, each reply carries its
request's sequence number. A connection that is silent, slow or
malformed is dropped.
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
MAX_REQUESTS = 32
CONNECT_TIMEOUT_S = 1.0
FRAME_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 120.0
REFUSAL_LOG_S = 10.0
_FIRST_WAIT_S = 0.5
_LONGEST_WAIT_S = 8.0

Handler = typing.Callable[
    [ttypes.Hello, ttypes.Body], typing.Awaitable[ttypes.Body]
]
Greeter = typing.Callable[[ttypes.Hello], ttypes.HelloReply]


@dataclasses.dataclass
class Traffic:
    """Bytes of frames, for the node's control budget."""

    sent_bytes: int = 0
    received_bytes: int = 0


async def _read_frame(
    stream: iostream.IOStream, *, limit_bytes: int, idle_s: float
) -> tuple[bytes, bytes]:
    """Return the next frame's payload and digest."""
    head = await asyncio.wait_for(stream.read_bytes(frame.HEADER.size), idle_s)
    length, digest = frame.HEADER.unpack(head)
    if length > limit_bytes:
        raise frame.BadFrame(f"{length} bytes announced")
    body = await asyncio.wait_for(stream.read_bytes(length), FRAME_TIMEOUT_S)
    return body, digest


class PeerServer(tcpserver.TCPServer):
    """Takes requests from peers and answers each."""

    def __init__(
        self,
        *,
        keys: list[bytes],
        greeter: Greeter,
        handler: Handler,
        traffic: Traffic,
    ) -> None:
        super().__init__(max_buffer_size=2 * frame.MAX_FRAME_BYTES)
        self._keys = keys
        self._greeter = greeter
        self._handler = handler
        self._traffic = traffic
        self._streams: set[iostream.IOStream] = set()
        self._refusals = 0
        self._refusal_logged_at_s = -REFUSAL_LOG_S
        self._log = log.get("peer-server")

    def close(self) -> None:
        """Stop listening and drop connections."""
        self.stop()
        self.drop_connections()

    def drop_connections(self) -> None:
        """Drop every connection; peers connect again."""
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple
    ) -> None:
        """Serve one connection until it closes or misbehaves."""
        if len(self._streams) >= MAX_CONNECTIONS:
            self._refused(address, "too many connections")
            stream.close()
            return
        self._streams.add(stream)
        try:
            await self._serve(stream)
        except (iostream.StreamClosedError, OSError, asyncio.TimeoutError):
            pass
        except (frame.BadFrame, iostream.UnsatisfiableReadError) as error:
            self._refused(address, str(error))
        finally:
            self._streams.discard(stream)
            stream.close()

    async def _serve(self, stream: iostream.IOStream) -> None:
        nonce = frame.new_nonce()
        await stream.write(nonce)
        payload, digest = await _read_frame(
            stream, limit_bytes=frame.MAX_HELLO_BYTES, idle_s=FRAME_TIMEOUT_S
        )
        key = frame.hello_key(payload, digest, self._keys, nonce)
        hello = frame.parse(payload).body.hello
        if hello is None:
            raise frame.BadFrame("the first frame is no hello")
        session = frame.session_key(key, nonce, hello.nonce)
        replies = frame.Direction(key=session, name=frame.FROM_SERVER)
        requests = frame.Direction(key=session, name=frame.FROM_CLIENT)
        greeting = ttypes.Body(hello_reply=self._greeter(hello))
        await self._send(stream, replies, 0, greeting)
        slots = asyncio.Semaphore(MAX_REQUESTS)
        while True:
            payload, digest = await _read_frame(
                stream,
                limit_bytes=frame.MAX_FRAME_BYTES,
                idle_s=IDLE_TIMEOUT_S,
            )
            requests.check(payload, digest)
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
        replies: frame.Direction,
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
        replies: frame.Direction,
        sequence: int,
        body: ttypes.Body,
    ) -> None:
        envelope = ttypes.Envelope(sequence=sequence, body=body)
        signed = replies.sign(frame.serialize(envelope))
        self._traffic.sent_bytes += len(signed)
        await stream.write(signed)

    def _refused(self, address: tuple, why: str) -> None:
        self._refusals += 1
        now_s = time.monotonic()
        if now_s - self._refusal_logged_at_s < REFUSAL_LOG_S:
            return
        self._refusal_logged_at_s = now_s
        self._log.warning(
            "peer-refused",
            address=address[0],
            why=why,
            refusals=self._refusals,
            remedy="Check peer_key and peer_key_previous of that VM.",
        )
        self._refusals = 0


class _Session:
    """One established connection of a client."""

    def __init__(self, stream: iostream.IOStream, key: bytes) -> None:
        self.stream = stream
        self.requests = frame.Direction(key=key, name=frame.FROM_CLIENT)
        self.replies = frame.Direction(key=key, name=frame.FROM_SERVER)
        self.waiting: dict[int, asyncio.Future] = {}
        self.heard_at_s = time.monotonic()
        self.reader: asyncio.Task | None = None

    def close(self) -> None:
        """Drop the connection and fail what waits."""
        self.stream.close()
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(iostream.StreamClosedError())
        self.waiting.clear()


class PeerClient:
    """One connection to one peer, made again after waits that grow.

    :ivar sessions: connections made so far.
    """

    def __init__(
        self,
        *,
        hello: typing.Callable[[bytes], ttypes.Hello],
        address: str,
        key: bytes,
        traffic: Traffic,
        greeted: typing.Callable[[ttypes.HelloReply], None],
    ) -> None:
        self._hello = hello
        self.address = address
        self._key = key
        self._traffic = traffic
        self._greeted = greeted
        self._session: _Session | None = None
        self._sequence = 0
        self._turn = asyncio.Lock()
        self._waits = backoff.Backoff(
            first_s=_FIRST_WAIT_S, longest_s=_LONGEST_WAIT_S
        )
        self._not_before_s = 0.0
        self._tasks: set[asyncio.Task] = set()
        self.sessions = 0

    def close(self) -> None:
        """Drop the connection."""
        if self._session is not None:
            self._session.close()
            self._session = None

    def retry_now(self) -> None:
        """Forget the wait after a failure: the peer was heard."""
        self._waits.reset()
        self._not_before_s = 0.0

    async def call(
        self, body: ttypes.Body, *, timeout_s: float
    ) -> result.Result[ttypes.Body, errors.Fault]:
        """Send one body and return the peer's reply.

        ``Unreachable``: nothing was sent. ``OutcomeUnknown``: the peer
        may have acted on it.
        """
        try:
            session = await asyncio.wait_for(self._connected(), timeout_s)
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
            if session.heard_at_s < started_s:
                self._drop(session)
            return result.Failure(self._unknown(error))
        finally:
            session.waiting.pop(sequence, None)

    async def _exchange(
        self, session: _Session, sequence: int, body: ttypes.Body
    ) -> ttypes.Body:
        future = asyncio.get_running_loop().create_future()
        session.waiting[sequence] = future
        envelope = ttypes.Envelope(sequence=sequence, body=body)
        signed = session.requests.sign(frame.serialize(envelope))
        self._traffic.sent_bytes += len(signed)
        await session.stream.write(signed)
        return await future

    async def _connected(self) -> _Session:
        async with self._turn:
            session = self._session
            if session is not None and not session.stream.closed():
                return session
            if time.monotonic() < self._not_before_s:
                raise OSError("waits before it connects again")
            self._not_before_s = time.monotonic() + self._waits.next_s()
            self._session = await self._connect()
            self.retry_now()
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
                raise frame.BadFrame("the peer did not greet")
        except BaseException:
            stream.close()
            raise
        self._greeted(reply.body.hello_reply)
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
        session.replies.check(payload, digest)
        session.heard_at_s = time.monotonic()
        self._traffic.received_bytes += len(payload) + frame.HEADER.size
        return frame.parse(payload)

    async def _read_replies(self, session: _Session) -> None:
        try:
            while True:
                reply = await self._next_reply(session, IDLE_TIMEOUT_S)
                future = session.waiting.get(reply.sequence)
                if future is not None and not future.done():
                    future.set_result(reply.body)
        except (OSError, asyncio.TimeoutError, frame.BadFrame):
            self._drop(session)

    def _drop(self, session: _Session) -> None:
        session.close()
        if self._session is session:
            self._session = None

    def _unreachable(self, error: BaseException) -> errors.Unreachable:
        return errors.Unreachable(
            message=f"No connection to peer {self.address}: {error!r}.",
            remedy="Check the peer, the network and the shared key.",
        )

    def _unknown(self, error: BaseException) -> errors.OutcomeUnknown:
        return errors.OutcomeUnknown(
            message=f"Peer {self.address} did not answer: {error!r}.",
            remedy="Ask again by id; the peer may have acted on it.",
        )
