"""Software versions that have served lately, by a list that is surely current."""

import time
from collections.abc import Awaitable, Callable

from acaciarelay.coordination.software_history import SoftwareHistory
from acaciarelay.platform.configuration import ENDPOINT_TABLE
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.state.relayed_request import RelayedRequest

__all__ = ["ServedVersions"]

# How long the store may take to tell whether the list of endpoints is current.
CONFIRM_TIMEOUT_S = 0.5


class ServedVersions:
    """Tell whether one version alone can have begun the streams of a service.

    An entry that is cut off or has stood still may know nothing of a version that
    serves meanwhile. ``confirm`` asks the store for the changes of a table within some
    seconds, and returns whether it has told all of them up to the call.
    """

    def __init__(
        self, cache: StateCache, confirm: Callable[[str, float], Awaitable[bool]]
    ) -> None:
        self.cache = cache
        self.confirm = confirm
        self.history = SoftwareHistory()
        cache.on_endpoints.append(self.update)
        cache.on_gap.append(self.begin)

    def begin(self, table: str) -> None:
        """Begin the history anew, as versions may have come and gone unseen."""
        if table == ENDPOINT_TABLE:
            self.history.begin(time.monotonic())

    def update(self) -> None:
        self.history.update(self.cache.endpoints.all(), time.monotonic())

    async def only_version(self, relayed: RelayedRequest) -> str | None:
        """Return the only version that can have begun a stream of this service."""
        if self._known_version(relayed) is None:
            return None
        if not await self.confirm(ENDPOINT_TABLE, CONFIRM_TIMEOUT_S):
            return None
        return self._known_version(relayed)

    def _known_version(self, relayed: RelayedRequest) -> str | None:
        if not self.cache.tables[ENDPOINT_TABLE].readable:
            return None
        self.update()
        return self.history.only_version(
            relayed.service, relayed.route.timeout_s, time.monotonic()
        )
