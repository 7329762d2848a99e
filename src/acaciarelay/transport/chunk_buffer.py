"""Bytes that wait to be sent, in chunks that are freed one by one."""

import collections

__all__ = ["ChunkBuffer"]

CHUNK_BYTES = 16_384


class ChunkBuffer:
    """A queue of bytes; small pieces share a chunk, so that each costs little."""

    def __init__(self) -> None:
        self.size = 0
        self._chunks: collections.deque[bytearray] = collections.deque()

    def append(self, data: bytes | bytearray) -> None:
        """Add bytes at the end."""
        self.size += len(data)
        start = 0
        if self._chunks:
            start = CHUNK_BYTES - len(self._chunks[-1])
            self._chunks[-1] += data[:start]
        for at in range(start, len(data), CHUNK_BYTES):
            self._chunks.append(bytearray(data[at : at + CHUNK_BYTES]))

    def pop(self) -> bytes:
        """Remove and return the first chunk, up to 16 KiB."""
        chunk = self._chunks.popleft()
        self.size -= len(chunk)
        return bytes(chunk)

    def clear(self) -> None:
        """Remove all bytes."""
        self._chunks.clear()
        self.size = 0
