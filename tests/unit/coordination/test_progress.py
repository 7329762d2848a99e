"""Guard against streams that never time out or are cut off while they progress."""

from acaciarelay.coordination.progress import ProgressLimit


def test_a_stream_stalls_only_without_progress() -> None:
    """Guards against a limit on the whole duration, or one that never starts."""
    limit = ProgressLimit(5.0)
    for second in range(0, 100, 4):
        assert not limit.stalled(float(second))
        limit.record_progress(float(second))
    assert not limit.stalled(100.9) and limit.stalled(101.0)
    silent = ProgressLimit(5.0)
    assert not silent.stalled(50.0) and silent.stalled(55.0)
