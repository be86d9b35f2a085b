"""Crowds of clients that stop just short of the end and stay open.

A crowd works on a server in a process of its own; what is observed of
that process doesn't depend on the machine's speed.
"""

from __future__ import annotations

from collections import abc
import dataclasses
import os
import pathlib
import selectors
import socket
import subprocess
import time

from standins import loopback

CONNECTIONS = 300
BODY_BYTES = 262_144
PIECE_BYTES = 4_096
LARGE_CHUNK_BYTES = 65_536
SMALL_CHUNKS = 500
HANG_S = 120.0
"""Only ends a hang; it is no limit on performance."""


def _head(start: str, framing: str) -> bytes:
    return f"{start}{framing}\r\n\r\n".encode()


def _sized(start: str) -> bytes:
    return _head(start, f"Content-Length: {BODY_BYTES}")


def _chunked(start: str) -> bytes:
    return _head(start, "Transfer-Encoding: chunked")


def _whole(start: str) -> list[bytes]:
    return [_sized(start) + b"x" * (BODY_BYTES - 1)]


def _pieces(start: str) -> list[bytes]:
    body = b"x" * (BODY_BYTES - 1)
    pieces = range(0, len(body), PIECE_BYTES)
    return [_sized(start)] + [body[at : at + PIECE_BYTES] for at in pieces]


def _large_chunks(start: str) -> list[bytes]:
    chunk = b"%x\r\n" % LARGE_CHUNK_BYTES + b"x" * LARGE_CHUNK_BYTES + b"\r\n"
    count = BODY_BYTES // LARGE_CHUNK_BYTES
    return [_chunked(start) + (chunk * count)[:-3]]


def _small_chunks(start: str) -> list[bytes]:
    return [_chunked(start) + b"1\r\nx\r\n" * SMALL_CHUNKS]


def _half_head(start: str) -> list[bytes]:
    return [start.encode()]


def _silent(_start: str) -> list[bytes]:
    return []


PATTERNS: dict[str, abc.Callable[[str], list[bytes]]] = {
    "whole": _whole,
    "pieces": _pieces,
    "large chunks": _large_chunks,
    "small chunks": _small_chunks,
    "half a head": _half_head,
    "silent": _silent,
}
"""What each client sends, in parts, by the start of its request's head."""


class Crowd:
    """Connections that have sent their parts and stay open.

    :param parts: what each connection sends; all take turns, part by part.
    """

    def __init__(self, port: int, parts: list[bytes]) -> None:
        self._parts = parts
        self._open: list[socket.socket] = []
        try:
            for _number in range(CONNECTIONS):
                self._open.append(
                    socket.create_connection(
                        (loopback.HOST, port), timeout=HANG_S
                    )
                )
        except BaseException:
            self.close()
            raise

    def __enter__(self) -> Crowd:
        return self

    def __exit__(self, *_error) -> None:
        self.close()

    def close(self) -> None:
        """Close all connections."""
        for connection in self._open:
            connection.close()

    def send(self) -> None:
        """Send all parts; TimeoutError if the server reads no further.

        What the server refuses or cuts off sends no more.
        """
        with selectors.DefaultSelector() as selector:
            for connection in self._open:
                connection.setblocking(False)
                if self._parts:
                    unsent = [memoryview(part) for part in self._parts]
                    selector.register(
                        connection, selectors.EVENT_WRITE, unsent
                    )
            deadline_s = time.monotonic() + HANG_S
            while selector.get_map():
                if time.monotonic() > deadline_s:
                    raise TimeoutError("the server reads no further")
                for key, _events in selector.select(1.0):
                    if not _send_some(key.fileobj, key.data):
                        selector.unregister(key.fileobj)


def _send_some(connection: socket.socket, unsent: list[memoryview]) -> bool:
    """Send what fits of the next part; return whether something is left."""
    try:
        sent = connection.send(unsent[0])
    except BlockingIOError:
        return True
    except OSError:
        return False
    unsent[0] = unsent[0][sent:]
    if not unsent[0]:
        unsent.pop(0)
    return bool(unsent)


@dataclasses.dataclass(frozen=True)
class Bounds:
    """What a server's process must stay within.

    :ivar memory_bytes: most resident memory, at any time.
    :ivar sockets: most open sockets and pipes.
    """

    memory_bytes: float
    sockets: int


class Watched:
    """A server's process, and what breaks its bounds."""

    def __init__(self, process: subprocess.Popen, bounds: Bounds) -> None:
        self._process = process
        self._bounds = bounds
        self._folder = pathlib.Path(f"/proc/{process.pid}")
        self.broken: list[str] = []

    def check(self, what: str, answered: bool) -> None:
        """Note an ordinary call, and the process beside it."""
        if not answered:
            self.broken.append(f"{what}: no answer")
        if self._process.poll() is not None:
            self.broken.append(f"{what}: the process has ended")
            return
        sockets = len(list(self._sockets()))
        if sockets > self._bounds.sockets:
            self.broken.append(f"{what}: {sockets} sockets")
        peak_bytes = memory_bytes(self._process, "VmHWM")
        if peak_bytes > self._bounds.memory_bytes:
            self.broken.append(f"{what}: {peak_bytes / 1e6:.0f} MB")

    def _sockets(self) -> abc.Iterator[str]:
        for path in (self._folder / "fd").iterdir():
            try:
                target = os.readlink(path)
            except FileNotFoundError:
                # It was closed while the folder was listed.
                continue
            if target.startswith(("socket:", "pipe:")):
                yield target


def memory_bytes(process: subprocess.Popen, field: str) -> int:
    """Return the resident memory of a process, or its peak."""
    path = pathlib.Path(f"/proc/{process.pid}/status")
    for line in path.read_text("ascii").splitlines():
        name, _colon, value = line.partition(":")
        if name == field:
            return int(value.split()[0]) * 1024
    raise LookupError(field)
