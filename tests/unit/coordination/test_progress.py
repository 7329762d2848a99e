"""Guard against streams that hold resources for ever or are cut while they advance."""

from acaciarelay.coordination.progress import ProgressLimit


def test_a_stream_stalls_only_without_progress() -> None:
    """Guards against a limit on the whole duration in place of the pause."""
    limit = ProgressLimit(5.0)
    for second in range(0, 100, 4):
        assert not limit.stalled(float(second))
        limit.advanced(float(second))
    assert not limit.stalled(100.9)
    assert limit.stalled(101.0)


def test_a_stream_that_never_starts_stalls() -> None:
    """Guards against a limit that begins with the first byte only."""
    limit = ProgressLimit(5.0)
    assert not limit.stalled(50.0)
    assert limit.stalled(55.0)
