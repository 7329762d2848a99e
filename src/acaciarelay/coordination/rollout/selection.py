"""Which endpoints of a service may get the next request during a rollout."""

from collections.abc import Sequence

from acaciarelay.coordination.rollout.permission import Permission
from acaciarelay.coordination.rollout.share import ShareLimit
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.rollout import RolloutOrder

__all__ = ["majority_endpoints", "usable_endpoints"]


def majority_endpoints(endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the endpoints of the version that most of a service's endpoints have.

    Used by an entry that has not read the orders yet.
    """
    raise NotImplementedError


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
    the new one is on trial.
    """
    raise NotImplementedError
