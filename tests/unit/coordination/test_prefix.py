"""Guard against hints that point at evicted prefixes, raise or grow without bound."""

from hypothesis import given, strategies as st

from acaciarelay.coordination.prefix import (
    BLOCK_BYTES,
    GAP_GRACE_S,
    MAX_REORDER,
    PrefixIndex,
    prefix_hash,
)


def test_the_hash_covers_model_and_first_block_only() -> None:
    """Guards against split caches and against one model's cache used for another."""
    block = b"x" * BLOCK_BYTES
    assert prefix_hash("m", block + b"1") == prefix_hash("m", block + b"2")
    assert prefix_hash("m", block) != prefix_hash("n", block)
    assert prefix_hash("m", b"1") != prefix_hash("m", b"2")
    assert prefix_hash("m", b"") == 0 < prefix_hash("m", block) < 1 << 64


def test_late_events_do_not_undo_newer_ones() -> None:
    """Guards against a late store that revives an evicted prefix."""
    index = PrefixIndex(10)
    index.record_evicted("e", 5, 7, 0.0)
    index.record_stored("e", 4, 7, 0.0)
    assert index.holders(7, 0.0) == []
    index.record_stored("e", 6, 7, 0.0)
    index.record_evicted("e", 3, 7, 0.0)
    index.record_stored("f", 0, 7, 0.0)
    assert index.holders(7, 0.0) == ["e", "f"]
    index.record_evicted("e", 7, 7, 0.0)
    assert index.holders(7, 0.0) == ["f"]


def test_a_gap_makes_older_hints_expire() -> None:
    """Guards against hints whose eviction was among the missing events."""
    index = PrefixIndex(10)
    for sequence, prefix in [(0, 7), (1, 8), (5, 9), (6, 8)]:
        index.record_stored("e", sequence, prefix, 1.0)
    assert index.holders(7, 0.9 + GAP_GRACE_S) == ["e"]
    assert index.holders(7, 1.0 + GAP_GRACE_S) == []
    assert index.holders(8, 60.0) == index.holders(9, 60.0) == ["e"]


def test_a_restarted_engine_starts_with_no_hints() -> None:
    """Guards against events ignored until the old sequence number is reached."""
    index = PrefixIndex(10)
    index.record_stored("e", MAX_REORDER + 2, 7, 0.0)
    index.record_stored("e", 1, 8, 0.0)
    assert index.holders(7, 0.0) == [] and index.holders(8, 0.0) == ["e"]


EVENT = st.tuples(
    st.sampled_from(["record_stored", "record_evicted"]),
    st.integers(-2, 2) | st.integers(-20_000, 20_000),
    st.integers(0, 9),
)


@given(st.lists(EVENT), st.lists(st.floats(0, 99), min_size=1))
def test_no_order_of_events_raises_or_exceeds_the_bound(events, times) -> None:
    """Guards against an event stream that crashes the agent."""
    index = PrefixIndex(4)
    for number, (kind, jump, prefix) in enumerate(events):
        now, sequence = times[number % len(times)], 2 * number + jump
        getattr(index, kind)(f"e{sequence % 2}", sequence, prefix, now)
        index.holders(prefix, now)
        assert len(index) <= 4
