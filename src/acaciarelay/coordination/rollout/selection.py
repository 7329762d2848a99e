"""Which endpoints of a service may get the next request during a rollout."""

import collections
from collections.abc import Sequence

from acaciarelay.coordination.placement.rendezvous import choose_subset
from acaciarelay.coordination.rollout.permission import Permission
from acaciarelay.coordination.rollout.share import ShareLimit
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.rollout import Phase, RolloutOrder, RolloutState

__all__ = ["majority_endpoints", "usable_endpoints"]

# The engines on trial change after this time, so that a version is not judged by the
# speed of one or two engines, which differ by a factor of up to 3. Each of them has
# enough time to be loaded like the old ones.
TRIAL_S = 1.5
# Time for which registrations of stopped engines may stay listed.
STOPPED_LISTED_S = 10.0


def majority_endpoints(endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the endpoints of the version that most of a service's endpoints have.

    Used by an entry that has not read the orders yet. Of two versions with as many
    endpoints, the one whose endpoints started first is taken.
    """
    by_version: dict[str, list[Endpoint]] = collections.defaultdict(list)
    for endpoint in endpoints:
        by_version[endpoint.version].append(endpoint)
    return max(
        by_version.values(),
        key=lambda group: (len(group), -min(one.started_ms for one in group)),
        default=[],
    )


def usable_endpoints(
    endpoints: Sequence[Endpoint],
    order: RolloutOrder | None,
    permission: Permission | None,
    share: ShareLimit | None,
    now: float,
    *,
    first_attempt: bool = True,
) -> list[Endpoint]:
    """Return the endpoints of a service that may get the next request.

    Without an order all may. A repeat of a request goes to the old version as long as
    the new one is on trial. The result is empty where only engines that must not be
    used are left.
    """
    if order is None or permission is None or share is None:
        return list(endpoints)
    new: list[Endpoint] = []
    old: list[Endpoint] = []
    for endpoint in endpoints:
        (new if endpoint.version == order.version else old).append(endpoint)
    if not old and not permission.epoch:
        # All engines have the version already, and nobody coordinates a trial.
        return new
    match permission.phase(now):
        case Phase.ENDED if permission.state is RolloutState.ROLLED_BACK:
            return old
        case Phase.ENDED:
            # Later on, engines of other versions are those of a plain replacement.
            if now - permission.ended_at >= STOPPED_LISTED_S:
                return list(endpoints)
            return new or old
        case Phase.FULL:
            return new or old
        case Phase.SHARE if new and first_attempt and share.may_send_new():
            return _on_trial(new, len(old), order, permission.age_s(now), share)
        case _:
            return old


def _on_trial(
    new: list[Endpoint],
    old_count: int,
    order: RolloutOrder,
    age_s: float,
    share: ShareLimit,
) -> list[Endpoint]:
    """Return the new engines that get the share.

    They are so few that each gets as many requests as an old one. All entries choose
    the same ones as long as they list the same.
    """
    loaded = share.used_share * old_count / max(0.01, 1.0 - share.used_share)
    count = min(len(new), max(1, round(loaded)))
    by_id = {endpoint.endpoint_id: endpoint for endpoint in new}
    key = f"{order.service}/{order.revision.era}/{order.revision.number}"
    ids = choose_subset(key, sorted(by_id), len(by_id))
    first = int(age_s / TRIAL_S) * count
    return [by_id[ids[(first + index) % len(ids)]] for index in range(count)]
