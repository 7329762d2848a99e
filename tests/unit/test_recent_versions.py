"""When the last versions of a table became known."""

from acaciarelay.state.recent_versions import MAX_CHANGES, RecentVersions
from acaciarelay.state.store_era import NO_VERSION, StoreVersion


def at(number):
    return StoreVersion(0, number)


def test_the_newest_version_that_is_old_enough_counts():
    """Guards against a series of changes of which none ever counts."""
    recent = RecentVersions()
    for number in range(10):
        recent.record(at(number + 1), 100.0 + 0.2 * number)
    assert recent.known_for(0.4, 100.3) == NO_VERSION
    assert recent.known_for(0.4, 101.85) == at(8)
    assert recent.known_for(0.4, 110.0) == at(10)


def test_a_flood_of_changes_leaves_one_that_is_old_enough():
    """Guards against a memory of changes that a flood empties in a moment."""
    recent = RecentVersions()
    for number in range(20 * MAX_CHANGES):
        recent.record(at(number + 1), 100.0 + 0.001 * number)
    last = 100.0 + 0.001 * 20 * MAX_CHANGES
    assert recent.known_for(0.4, last) >= at(20 * MAX_CHANGES - 500)
