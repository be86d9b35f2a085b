"""Connections between entry VMs: authentication, replay, limits."""

from __future__ import annotations

import asyncio
from collections import abc

import pytest
from returns import result
from tornado import iostream
from tornado import netutil
from tornado import tcpclient

from knapweedwharf import errors
from knapweedwharf.peer import frame
from knapweedwharf.peer import link
from knapweedwharf.peer.messages import ttypes

KEY = b"the-shared-key-of-the-tests"
OTHER_KEY = b"another-key-of-the-tests"
HEARTBEAT = ttypes.Body(heartbeat=ttypes.Heartbeat(revision=7))


class LinkHarness:
    """A server that records the heartbeats it handles, and its clients.

    :ivar effects: revisions of the heartbeats that reached the handler.
    :ivar hold: job calls wait until it is set.
    """

    def __init__(self, *, keys: list[bytes] | None = None) -> None:
        self.effects: list[int] = []
        self.hold = asyncio.Event()
        self.server = link.PeerServer(
            keys=keys or [KEY],
            hello_handler=lambda hello: ttypes.HelloReply(node_id="server"),
            handler=self._handle,
            traffic=link.Traffic(),
        )
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self.traffic = link.Traffic()

    async def _handle(
        self, hello: ttypes.Hello, body: ttypes.Body
    ) -> ttypes.Body:
        if body.job_call is not None:
            await self.hold.wait()
        if body.heartbeat is not None:
            self.effects.append(body.heartbeat.revision)
        return ttypes.Body(
            acknowledgement=ttypes.Acknowledgement(revision=len(self.effects))
        )

    def client(self, *, address: str = "", key: bytes = KEY):
        """Return a client of the server, or of a proxy at ``address``."""
        return link.PeerClient(
            hello=lambda nonce: ttypes.Hello("client", "a", "", nonce),
            address=address or self.address,
            key=key,
            traffic=self.traffic,
            on_hello_reply=lambda reply: None,
        )

    async def connect(self) -> iostream.IOStream:
        """Open a raw TCP connection to the server."""
        host, port = self.address.split(":")
        return await tcpclient.TCPClient().connect(host, int(port))


class RecordingProxy:
    """TCP proxy that records the bytes that the client sends."""

    def __init__(self, target: str) -> None:
        self.sent = b""
        self._target = target.split(":")

    async def start(self) -> str:
        """Listen and return the address."""
        server = await asyncio.start_server(self._proxy, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _proxy(self, reader, writer) -> None:
        up_reader, up_writer = await asyncio.open_connection(*self._target)
        await asyncio.gather(
            self._copy(reader, up_writer, keep=True),
            self._copy(up_reader, writer, keep=False),
        )

    async def _copy(self, reader, writer, *, keep: bool) -> None:
        while chunk := await reader.read(65_536):
            if keep:
                self.sent += chunk
            writer.write(chunk)
            await writer.drain()
        writer.close()


def _run(scenario: abc.Callable[[], abc.Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_captured_frames_have_no_effect_on_another_connection() -> None:
    async def scenario() -> None:
        harness = LinkHarness()
        proxy = RecordingProxy(harness.address)
        client = harness.client(address=await proxy.start())
        assert isinstance(
            await client.call(HEARTBEAT, timeout_s=5.0), result.Success
        )
        assert harness.effects == [7]
        replay = await harness.connect()
        await replay.read_bytes(frame.NONCE_BYTES)
        await replay.write(proxy.sent)
        with pytest.raises(iostream.StreamClosedError):
            await replay.read_bytes(1)
        assert harness.effects == [7]

    _run(scenario)


async def _open(
    harness: LinkHarness,
) -> tuple[iostream.IOStream, frame.FrameAuthenticator]:
    """Do the handshake; return the stream and its request signer."""
    stream = await harness.connect()
    nonce = await stream.read_bytes(frame.NONCE_BYTES)
    hello = ttypes.Hello("client", "a", "", frame.new_nonce())
    envelope = ttypes.Envelope(sequence=0, body=ttypes.Body(hello=hello))
    payload = frame.serialize(envelope)
    await stream.write(frame.hello_frame(payload, KEY, nonce))
    session = frame.session_key(KEY, nonce, hello.nonce)
    return stream, frame.FrameAuthenticator(
        key=session, direction=frame.FROM_CLIENT
    )


def _signed_heartbeat(signer: frame.FrameAuthenticator) -> bytes:
    request = ttypes.Envelope(sequence=1, body=HEARTBEAT)
    return signer.sign(frame.serialize(request))


def test_frame_sent_twice_on_its_own_connection_ends_it() -> None:
    async def scenario() -> None:
        harness = LinkHarness()
        stream, signer = await _open(harness)
        signed = _signed_heartbeat(signer)
        await stream.write(signed + signed)
        await stream.read_until_close()
        assert harness.effects == [7]

    _run(scenario)


def test_frame_of_one_connection_is_void_in_another_that_is_open() -> None:
    async def scenario() -> None:
        harness = LinkHarness()
        _stream, signer = await _open(harness)
        other, _signer = await _open(harness)
        await other.write(_signed_heartbeat(signer))
        await other.read_until_close()
        assert harness.effects == []

    _run(scenario)


def test_wrong_key_is_refused_and_logged_once() -> None:
    async def scenario() -> None:
        harness = LinkHarness()
        logged = []
        harness.server._log = type(
            "Log", (), {"warning": lambda self, *a, **k: logged.append(k)}
        )()
        for _try in range(5):
            client = harness.client(key=OTHER_KEY)
            outcome = await client.call(HEARTBEAT, timeout_s=5.0)
            assert isinstance(outcome.failure(), errors.Unreachable)
        assert harness.effects == []
        assert len(logged) == 1

    _run(scenario)


def test_key_can_be_replaced_while_both_are_accepted() -> None:
    async def scenario() -> None:
        harness = LinkHarness(keys=[OTHER_KEY, KEY])
        for key in (KEY, OTHER_KEY):
            outcome = await harness.client(key=key).call(
                HEARTBEAT, timeout_s=5.0
            )
            assert isinstance(outcome, result.Success)

    _run(scenario)


@pytest.mark.parametrize(
    "sent",
    [
        frame.HEADER.pack(frame.MAX_HELLO_BYTES + 1, b"d" * 16),
        frame.HEADER.pack(4, b"d" * 16) + b"none",
        b"\0" * 200,
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    ],
)
def test_bytes_that_are_no_hello_end_the_connection(sent: bytes) -> None:
    async def scenario() -> None:
        harness = LinkHarness()
        stream = await harness.connect()
        await stream.read_bytes(frame.NONCE_BYTES)
        await stream.write(sent)
        with pytest.raises(iostream.StreamClosedError):
            await stream.read_bytes(1)

    _run(scenario)


def test_silent_connection_is_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(link, "FRAME_TIMEOUT_S", 0.05)
        harness = LinkHarness()
        stream = await harness.connect()
        await stream.read_bytes(frame.NONCE_BYTES)
        with pytest.raises(iostream.StreamClosedError):
            await stream.read_bytes(1)

    _run(scenario)


def test_connections_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(link, "MAX_CONNECTIONS", 2)
        harness = LinkHarness()
        streams = [await harness.connect() for _number in range(2)]
        for stream in streams:
            await stream.read_bytes(frame.NONCE_BYTES)
        third = await harness.connect()
        with pytest.raises(iostream.StreamClosedError):
            await third.read_bytes(1)

    _run(scenario)


def test_slow_request_does_not_hold_up_others() -> None:
    async def scenario() -> None:
        harness = LinkHarness()
        client = harness.client()
        job = ttypes.JobCall(operation="x", body_json="{}")
        slow = asyncio.create_task(
            client.call(ttypes.Body(job_call=job), timeout_s=20.0)
        )
        await asyncio.sleep(0)
        quick = await client.call(HEARTBEAT, timeout_s=20.0)
        assert isinstance(quick, result.Success)
        assert not slow.done()
        harness.hold.set()
        assert isinstance(await slow, result.Success)

    _run(scenario)


def test_dead_peer_is_not_tried_again_at_once() -> None:
    async def scenario() -> None:
        client = LinkHarness().client(address="127.0.0.1:1")
        for _try in range(5):
            outcome = await client.call(HEARTBEAT, timeout_s=5.0)
            assert isinstance(outcome.failure(), errors.Unreachable)
        assert "backing off" in outcome.failure().message

    _run(scenario)


def test_calls_do_not_put_off_the_next_try(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        clock = [0.0]
        monkeypatch.setattr(link.time, "monotonic", lambda: clock[0])
        harness = LinkHarness()
        harness.server.stop()
        client = harness.client()
        tries = 0
        for _call in range(100):
            clock[0] += 0.2
            outcome = await client.call(HEARTBEAT, timeout_s=5.0)
            tries += "backing off" not in outcome.failure().message
        assert tries >= 3

    _run(scenario)
