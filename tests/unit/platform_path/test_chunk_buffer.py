"""Guards against bytes of a backlog that are lost, repeated or out of order."""

from hypothesis import given, strategies as st

from acaciarelay.transport.chunk_buffer import CHUNK_BYTES, ChunkBuffer


@given(st.lists(st.one_of(st.none(), st.integers(1, 3 * CHUNK_BYTES)), max_size=40))
def test_bytes_come_out_as_they_went_in(steps):
    """``None`` takes a chunk, and a number adds so many bytes."""
    buffer = ChunkBuffer()
    added, taken = bytearray(), bytearray()
    for count, size in enumerate(steps):
        if size is not None:
            data = bytes([count]) * size
            added += data
            buffer.append(data)
        elif buffer.size:
            chunk = buffer.pop()
            assert 0 < len(chunk) <= CHUNK_BYTES
            taken += chunk
        assert buffer.size == len(added) - len(taken)
    while buffer.size:
        taken += buffer.pop()
    assert taken == added


def test_small_pieces_share_a_chunk():
    """Guards against a backlog of events that takes much more than its bytes."""
    buffer = ChunkBuffer()
    for _ in range(CHUNK_BYTES // 8):
        buffer.append(b"x" * 8)
    assert len(buffer.pop()) == CHUNK_BYTES
    assert not buffer.size
