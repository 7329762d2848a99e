"""Which endpoints may get the next request during a rollout."""

import collections

import pytest

from acaciarelay.coordination.rollout import (
    Permission,
    ShareLimit,
    majority_endpoints,
    usable_endpoints,
)
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.rollout import Phase, RolloutOrder, RolloutState
from acaciarelay.state.store_era import StoreVersion

ORDER = RolloutOrder(
    service="chat", version="2", duration_s=12.0, revision=StoreVersion(1, 7)
)


def make_endpoints(version, count, first=0, started_ms=0):
    return [
        Endpoint(
            endpoint_id=f"v{version}-{number}",
            service="chat",
            address=f"10.{version or 0}.0.{number}:80",
            zone="a",
            slots=6,
            draining=False,
            started_ms=started_ms,
            version=version,
        )
        for number in range(first, first + count)
    ]


OLD = make_endpoints("1", 22)
NEW = make_endpoints("2", 22)


def select(endpoints=None, phase=None, share=None, now=0.0, end=None, **options):
    permission = Permission(ORDER)
    if phase is not None:
        permission.receive(1, phase, now, age_s=options.pop("age_s", 0.0))
    if end is not None:
        permission.receive_end(end, 0.0)
    endpoints = OLD + NEW if endpoints is None else endpoints
    share = share or ShareLimit(0.1)
    return usable_endpoints(endpoints, ORDER, permission, share, now, **options)


def ready_share():
    share = ShareLimit(0.1)
    for _ in range(40):
        share.record_sent(False)
    return share


def test_all_are_used_without_an_order():
    """Guards against a plain replacement whose engines get no requests."""
    assert usable_endpoints(OLD + NEW, None, None, None, 0.0) == OLD + NEW


def test_no_permission_leaves_the_old_version():
    """Guards against an entry that uses a version on trial on its own."""
    assert select(share=ready_share()) == OLD
    assert select(phase=Phase.NONE, share=ready_share()) == OLD


def test_engines_without_a_version_are_old():
    """Guards against engines that state no version and are taken for new ones."""
    plain = make_endpoints("", 3)
    assert select(plain + NEW) == plain


def test_share_goes_to_few_engines():
    """Guards against new engines that are judged without the load of the old ones."""
    chosen = select(phase=Phase.SHARE, share=ready_share())
    assert len(chosen) == 2 and set(chosen) <= set(NEW)
    assert select(phase=Phase.SHARE) == OLD
    one = select(OLD[:6] + NEW[:6], phase=Phase.SHARE, share=ready_share())
    assert len(one) == 1


def test_engines_on_trial_change_with_the_age_of_the_order():
    """Guards against a version that is judged by two slow engines."""
    seen = collections.Counter()
    for second in range(18):
        chosen = select(phase=Phase.SHARE, share=ready_share(), age_s=float(second))
        seen.update(endpoint.endpoint_id for endpoint in chosen)
    assert len(seen) >= 20


def test_entries_choose_the_same_engines_in_any_order():
    """Guards against a share that is spread over all engines by many entries."""
    one = select(OLD + NEW, phase=Phase.SHARE, share=ready_share())
    other = select(NEW[::-1] + OLD, phase=Phase.SHARE, share=ready_share())
    assert one == other


def test_repeat_goes_to_the_old_version_while_on_trial():
    """Guards against a caller whose request fails twice at a bad version."""
    share = ready_share()
    assert select(phase=Phase.SHARE, share=share, first_attempt=False) == OLD
    assert select(phase=Phase.FULL, share=share, first_attempt=False) == NEW


def test_share_without_a_new_engine_leaves_the_old_ones():
    """Guards against requests without an engine when the new ones have gone."""
    assert select(OLD, phase=Phase.SHARE, share=ready_share()) == OLD
    assert select(OLD, phase=Phase.FULL) == OLD


def test_full_traffic_leaves_the_old_engines():
    """Guards against requests that are cut off with the old engines."""
    assert select(phase=Phase.FULL) == NEW


def test_rolled_back_version_is_never_used():
    """Guards against a bad version in use because the old engines have gone."""
    end = RolloutState.ROLLED_BACK
    assert select(end=end, now=500.0) == OLD
    assert select(NEW, phase=Phase.FULL, end=end) == []


def test_stopped_engines_are_avoided_after_a_success():
    """Guards against requests to old engines that are stopped but still listed."""
    end = RolloutState.SUCCEEDED
    assert select(end=end, now=1.0) == NEW
    assert select(OLD, end=end, now=1.0) == OLD


def test_plain_replacement_after_a_success_is_used():
    """Guards against engines of a third version that never get requests."""
    third = make_endpoints("3", 3)
    assert select(NEW + third, end=RolloutState.SUCCEEDED, now=20.0) == NEW + third


def test_service_without_old_engines_goes_on_until_someone_coordinates():
    """Guards against a service that stops because its own version was ordered."""
    assert select(NEW) == NEW
    assert select(NEW, phase=Phase.NONE) == []
    assert select(NEW, phase=Phase.FULL) == NEW


def test_unread_orders_leave_the_majority():
    """Guards against an entry that starts in a rollout and uses both versions alike."""
    assert majority_endpoints(OLD + NEW[:3]) == OLD
    assert majority_endpoints([]) == []


@pytest.mark.parametrize("reverse", [False, True])
def test_majority_of_two_equal_versions_is_the_earlier_one(reverse):
    """Guards against all new engines in use before the orders are read."""
    later = make_endpoints("2", 22, started_ms=5000)
    endpoints = later + OLD if reverse else OLD + later
    assert majority_endpoints(endpoints) == OLD
