"""Output of a caller's connection, with backpressure."""

import asyncio

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

    def write(self, data: bytes, flush: bool) -> None:
        """Write data, or keep it without ``flush``."""
        self.buffer += data
        if flush and self.buffer:
            self.transport.write(bytes(self.buffer))
            self.buffer.clear()

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
