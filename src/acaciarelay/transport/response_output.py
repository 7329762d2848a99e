"""Output of a caller's connection, with backpressure."""

import asyncio
from collections.abc import Callable

__all__ = ["CallerDisconnectedError", "ResponseOutput"]


class CallerDisconnectedError(Exception):
    """The caller's connection closed before the response was complete."""


class ResponseOutput:
    """Write to a transport; what is not flushed is written with what follows."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.buffer = bytearray()
        # Present while the transport has paused writing; done when it resumes.
        self.resumed: asyncio.Future | None = None
        # Unsent bytes below which ``drain`` doesn't wait.
        self.collect_bytes = 0

    @property
    def is_open(self) -> bool:
        return not self.transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Return the number of written bytes that the kernel hasn't accepted yet."""
        return self.transport.get_write_buffer_size()

    @property
    def backlog_bytes(self) -> int:
        """Return the number of written bytes that the transport doesn't have yet."""
        return 0

    def write(self, data: bytes, flush: bool) -> None:
        """Write data, or keep it without ``flush``."""
        self.buffer += data
        if flush and self.buffer:
            self.transport.write(bytes(self.buffer))
            self.buffer.clear()

    def write_eof(self) -> None:
        """Half-close the connection once all data has been sent."""
        self.transport.write_eof()

    def call_when_flushed(self, on_flushed: Callable[[], None]) -> bool:
        """Call ``on_flushed`` once there is no backlog; return false without one."""
        return False

    def try_reserve(self, size: int) -> bool:
        """Reserve room for data from an endpoint; return false without room."""
        return True

    async def wait_for_room(self, size: int) -> None:
        """Wait until room for data from an endpoint is reserved.

        Raises ``CallerDisconnectedError`` when the connection is closed.
        """

    def drop_reserved(self, size: int | None = None) -> None:
        """Give back reserved room that is not needed, by default all."""

    async def drain(self) -> None:
        """Wait until the caller accepts more data.

        Raises ``CallerDisconnectedError`` when the connection is closed.
        """
        if not self.is_open:
            raise CallerDisconnectedError
        if self.resumed is not None and self.unsent_bytes >= self.collect_bytes:
            await asyncio.shield(self.resumed)

    def collect(self, size: int) -> None:
        """Let ``drain`` wait only while at least ``size`` bytes are unsent."""
        self.collect_bytes = size
        if self.resumed is not None:
            self.resume()
            self.pause()

    def pause(self) -> None:
        """Let ``drain`` wait."""
        if self.resumed is None:
            self.resumed = asyncio.get_running_loop().create_future()

    def resume(self) -> None:
        """End the waits of ``drain``."""
        if self.resumed is not None and not self.resumed.done():
            self.resumed.set_result(None)
        self.resumed = None

    def close(self) -> None:
        """End the output of a closed connection."""
        self.resume()
