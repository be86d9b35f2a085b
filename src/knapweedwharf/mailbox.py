"""Actors: tasks that own their state and process messages in order."""

from __future__ import annotations

import asyncio
import typing

from knapweedwharf import log

Message = typing.TypeVar("Message")


class Actor(typing.Generic[Message]):
    """Base class: one task that handles the messages of one mailbox."""

    name = "actor"

    def __init__(self) -> None:
        self._mailbox: asyncio.Queue[Message] = asyncio.Queue()
        self._task: asyncio.Task | None = None
        self._children: set[asyncio.Task] = set()
        self._log = log.get(self.name)

    async def start(self) -> None:
        """Start handling messages."""
        self._task = asyncio.create_task(self._run(), name=self.name)

    async def close(self) -> None:
        """Cancel the actor's task and its child tasks and wait for them."""
        running = [*self._children]
        if self._task is not None:
            running.append(self._task)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def post(self, message: Message) -> None:
        """Put a message into the mailbox; never blocks."""
        self._mailbox.put_nowait(message)

    def spawn(self, coroutine: typing.Coroutine) -> asyncio.Task:
        """Run a coroutine as a child task, cancelled when the actor closes."""
        task = asyncio.create_task(coroutine)
        self._children.add(task)
        task.add_done_callback(self._on_child_done)
        return task

    def _on_child_done(self, task: asyncio.Task) -> None:
        self._children.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._log.error("child-failed", exc_info=task.exception())

    async def _run(self) -> None:
        while True:
            message = await self._mailbox.get()
            try:
                await self.handle(message)
            except Exception:
                self._log.exception("message-failed", message=repr(message))

    async def handle(self, message: Message) -> None:
        """Handle one message."""
        raise NotImplementedError
