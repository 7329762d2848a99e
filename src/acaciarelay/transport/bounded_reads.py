"""Connections that read a bounded number of bytes at once."""

import asyncio

__all__ = ["BoundedReads"]

MAX_READ_BYTES = 65_536
# What was read is copied before the next read, so that all connections share it.
_BUFFER = memoryview(bytearray(MAX_READ_BYTES))


class BoundedReads(asyncio.BufferedProtocol):
    """Call ``data_received`` with at most ``read_bytes`` at once.

    For other protocols a transport reads much more, which takes memory for each
    connection and holds the event loop for longer.
    """

    read_bytes = MAX_READ_BYTES

    def get_buffer(self, sizehint: int) -> memoryview:
        return _BUFFER[: self.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle bytes that the peer sent."""
        raise NotImplementedError
