"""Outgoing messages of one session: control messages have priority over bulk data."""

import asyncio
from collections import deque
from typing import Generic, TypeVar

__all__ = ["OutgoingQueue", "SessionClosed"]

Message = TypeVar("Message")

# Bulk messages that ``put_bulk`` lets wait, enough to keep the connection busy. A
# higher limit would let more data of cancelled requests be sent.
MAX_BULK_MESSAGES = 16
# A session is closed when this many control messages wait to be sent.
MAX_CONTROL_MESSAGES = 20_000


class SessionClosed(Exception):
    """The session ended before the message was sent."""


class OutgoingQueue(Generic[Message]):
    """Queue messages for one writer; control messages never wait for bulk ones."""

    def __init__(self) -> None:
        self.control: deque[Message] = deque()
        self.bulk: deque[Message] = deque()
        self.readable = asyncio.Event()
        self.bulk_space = asyncio.Event()
        self.bulk_space.set()
        self.closed = False

    def put(self, message: Message) -> None:
        """Add a control message; it is dropped when the queue is closed.

        When ``MAX_CONTROL_MESSAGES`` already wait, it is dropped and the queue closed.
        """
        if self.closed:
            return
        if len(self.control) >= MAX_CONTROL_MESSAGES:
            self.close()
            return
        self.control.append(message)
        self.readable.set()

    def put_bulk_nowait(self, message: Message) -> None:
        """Add bulk data without waiting, beyond ``MAX_BULK_MESSAGES`` if needed.

        The caller must limit the amount itself. Data is dropped when the queue is
        closed.
        """
        if self.closed:
            return
        self.bulk.append(message)
        self.readable.set()

    async def put_bulk(self, message: Message) -> None:
        """Wait for space and add bulk data; raises ``SessionClosed`` when closed."""
        while not self.closed and len(self.bulk) >= MAX_BULK_MESSAGES:
            self.bulk_space.clear()
            await self.bulk_space.wait()
        if self.closed:
            raise SessionClosed
        self.bulk.append(message)
        self.readable.set()

    async def get(self) -> Message:
        """Return the next message.

        Raises ``SessionClosed`` once the queue is closed, even if messages remain.
        """
        while True:
            if self.closed:
                raise SessionClosed
            if self.control:
                return self.control.popleft()
            if self.bulk:
                message = self.bulk.popleft()
                self.bulk_space.set()
                return message
            self.readable.clear()
            await self.readable.wait()

    def close(self) -> None:
        """Close the queue and wake all tasks that wait on it."""
        self.closed = True
        self.readable.set()
        self.bulk_space.set()
