"""Output of callers' connections that buffers answers within a common budget."""

import asyncio
from collections.abc import Callable

from acaciarelay.coordination.answer_buffers import AnswerBuffer, AnswerBuffers
from acaciarelay.transport.chunk_buffer import ChunkBuffer
from acaciarelay.transport.response_output import (
    CallerDisconnectedError,
    ResponseOutput,
)
from acaciarelay.transport.sockets import limit_unread_bytes, unacknowledged_bytes

__all__ = ["AnswerOutputs", "BufferedOutput"]

# Interval at which pauses and cuts are decided while there is not enough room.
CHECK_INTERVAL_S = 0.02


class BufferedOutput(ResponseOutput):
    """Write to a transport as fast as the caller reads, and buffer the rest.

    Room is asked for before data is taken from an endpoint. What the transport itself
    buffers, up to 64 KiB and a chunk, is not counted.
    """

    def __init__(self, transport: asyncio.Transport, outputs: "AnswerOutputs") -> None:
        super().__init__(transport)
        self.outputs = outputs
        self.loop = asyncio.get_running_loop()
        self.answer: AnswerBuffer = outputs.buffers.open(self.loop.time())
        self.backlog = ChunkBuffer()
        self.transport_full = False
        self.eof_pending = False
        # Present while the connection waits for the backlog to be empty.
        self.on_flushed: Callable[[], None] | None = None
        # Present while the answer is paused.
        self.room: asyncio.Future | None = None
        # Bytes written, and how many of them the caller's host has acknowledged.
        self.written = 0
        self.acknowledged = 0
        limit_unread_bytes(transport)

    @property
    def backlog_bytes(self) -> int:
        return self.backlog.size

    @property
    def unsent_bytes(self) -> int:
        return super().unsent_bytes + self.backlog.size

    def write(self, data: bytes, flush: bool) -> None:
        self.buffer += data
        if not flush or not self.buffer:
            return
        self.written += len(self.buffer)
        self.answer.write(len(self.buffer), self.loop.time())
        self.answer.drop_reserved()
        self.backlog.append(self.buffer)
        self.buffer.clear()
        self.feed()

    def feed(self) -> None:
        """Pass on the backlog until the kernel takes no more."""
        passed = 0
        while self.backlog.size and not self.transport_full and self.is_open:
            chunk = self.backlog.pop()
            passed += len(chunk)
            self.transport.write(chunk)
        if passed:
            self.answer.read(passed, self.loop.time())
        if self.backlog.size or not self.is_open:
            return
        if self.eof_pending:
            self.eof_pending = False
            self.transport.write_eof()
        if self.on_flushed is not None:
            on_flushed, self.on_flushed = self.on_flushed, None
            self.loop.call_soon(on_flushed)

    def write_eof(self) -> None:
        self.eof_pending = True
        self.feed()

    def call_when_flushed(self, on_flushed: Callable[[], None]) -> bool:
        if not self.backlog.size or not self.is_open:
            return False
        self.on_flushed = on_flushed
        return True

    # Room.

    def try_reserve(self, size: int) -> bool:
        # What is written to a closed connection is dropped, and must not be counted.
        if not self.is_open or self.answer.reserve(size, self.loop.time()):
            return True
        self.outputs.watch()
        return False

    async def wait_for_room(self, size: int) -> None:
        if not self.is_open:
            raise CallerDisconnectedError
        self.room = self.loop.create_future()
        self.answer.wait(size)
        self.outputs.record_pause()
        room = self.room
        try:
            await room
        except asyncio.CancelledError:
            if not room.cancelled():
                self.answer.drop_reserved(size)
            raise
        finally:
            self.room = None
            self.answer.resume()
        if not self.is_open:
            raise CallerDisconnectedError

    def drop_reserved(self, size: int | None = None) -> None:
        self.answer.drop_reserved(size)

    def record_progress(self) -> None:
        """Record that the caller's host has acknowledged more since the last check.

        The kernel passes on much less often that it has room again, so that a caller
        with a slow link would seem to make no progress.
        """
        unacknowledged = unacknowledged_bytes(self.transport) + self.backlog.size
        acknowledged = self.written - unacknowledged
        if acknowledged > self.acknowledged:
            self.answer.progress_at = self.loop.time()
        self.acknowledged = acknowledged

    def end_wait(self) -> None:
        """Let ``wait_for_room`` return, as its room is reserved."""
        if self.room is not None and not self.room.done():
            self.room.set_result(None)

    # Backpressure of the transport.

    async def drain(self) -> None:
        if not self.is_open:
            raise CallerDisconnectedError

    def collect(self, size: int) -> None:
        """Do nothing, as the budget decides what is collected."""

    def pause(self) -> None:
        self.transport_full = True

    def resume(self) -> None:
        self.transport_full = False
        self.feed()

    def close(self) -> None:
        self.backlog.clear()
        self.buffer.clear()
        self.on_flushed = None
        self.answer.close()
        self.outputs.remove(self)


class AnswerOutputs:
    """The outputs that share a budget; their pauses and cuts while it is short.

    ``on_overdue`` is called with the output of each caller that has to be cut.
    """

    def __init__(
        self, limit_bytes: int, on_overdue: Callable[[BufferedOutput], None]
    ) -> None:
        self.buffers = AnswerBuffers(limit_bytes)
        self.on_overdue = on_overdue
        self.loop = asyncio.get_running_loop()
        self.outputs: dict[AnswerBuffer, BufferedOutput] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.pause_count = 0

    def open(self, transport: asyncio.Transport) -> BufferedOutput:
        """Return the output of a connection that was opened."""
        output = BufferedOutput(transport, self)
        self.outputs[output.answer] = output
        return output

    def remove(self, output: BufferedOutput) -> None:
        """Forget a closed connection."""
        self.outputs.pop(output.answer, None)

    def record_pause(self) -> None:
        """Count the pause of an answer."""
        self.pause_count += 1
        self.watch()

    def watch(self) -> None:
        """Decide on pauses and cuts again and again until there is room."""
        if self.timer is None:
            self.timer = self.loop.call_later(CHECK_INTERVAL_S, self.check)

    def check(self) -> None:
        """End pauses for which there is room now, and cut callers that are overdue."""
        self.timer = None
        now = self.loop.time()
        for answer in {**self.buffers.paused, **self.buffers.large}:
            self.outputs[answer].record_progress()
        for answer in self.buffers.resumed(now):
            self.outputs[answer].end_wait()
        overdue = self.buffers.overdue(now)
        if overdue is not None:
            self.on_overdue(self.outputs[overdue])
        if self.buffers.is_short(now):
            self.watch()
