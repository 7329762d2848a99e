"""Registered endpoints, and the selection of those that may get new requests."""

import collections

import attrs

__all__ = ["Endpoint", "EndpointList"]

# A live endpoint whose row was removed during a store outage registers again within
# this time after the store is back.
REREGISTRATION_TIMEOUT_S = 2.2
# Endpoints that are remembered to have said that they leave.
MAX_LEAVING = 1024


@attrs.frozen(kw_only=True)
class Endpoint:
    """Registration of an endpoint, as written by the endpoint itself.

    ``slots`` is the number of requests that it runs at once. ``started_ms`` is the Unix
    time of its start in milliseconds, 0 if the registration has none. ``version`` is
    that of its software, empty if the registration has none.
    """

    endpoint_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    started_ms: int
    version: str = ""

    @property
    def host(self) -> str:
        return self.address.rpartition(":")[0]


@attrs.define
class _Listed:
    endpoint: Endpoint
    missing_since: float | None = None


class EndpointList:
    """Endpoints by id.

    An endpoint whose row was removed during a store outage stays listed until it
    expires or registers again.

    ``leaving`` holds id and start of the endpoints that have said themselves that they
    leave, the oldest first. Their registrations may still say that they are ready.
    ``drain_reported`` holds the ids whose newest row says that they drain, whichever
    row is in force.
    """

    def __init__(self) -> None:
        self._listed: dict[str, _Listed] = {}
        self.leaving: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self.drain_reported: set[str] = set()

    def upsert(self, endpoint: Endpoint) -> bool:
        """Add or replace an endpoint; ``True`` when it changed."""
        listed = self._listed.get(endpoint.endpoint_id)
        if (
            listed is not None
            and listed.endpoint == endpoint
            and listed.missing_since is None
        ):
            return False
        self._listed[endpoint.endpoint_id] = _Listed(endpoint)
        return True

    def remove(self, endpoint_id: str) -> bool:
        """Remove an endpoint; ``True`` when it was listed."""
        return self._listed.pop(endpoint_id, None) is not None

    def mark_missing(self, endpoint_id: str, now: float) -> None:
        """Mark an endpoint as missing.

        Its row was removed during a store outage, so it may be alive and stays listed
        until ``expire`` removes it.
        """
        listed = self._listed.get(endpoint_id)
        if listed is not None and listed.missing_since is None:
            listed.missing_since = now

    def expire(self, now: float) -> list[str]:
        """Remove endpoints missing for too long and return their ids."""
        expired = []
        for endpoint_id, listed in list(self._listed.items()):
            if (
                listed.missing_since is None
                or now - listed.missing_since < REREGISTRATION_TIMEOUT_S
            ):
                continue
            del self._listed[endpoint_id]
            expired.append(endpoint_id)
        return expired

    def mark_leaving(self, endpoint: Endpoint) -> bool:
        """Use an endpoint for no new requests; ``True`` when it was in use."""
        incarnation = (endpoint.endpoint_id, endpoint.started_ms)
        if incarnation in self.leaving:
            return False
        self.leaving[incarnation] = None
        if len(self.leaving) > MAX_LEAVING:
            self.leaving.popitem(last=False)
        return True

    def report_drain(self, endpoint_id: str, draining: bool) -> bool:
        """Record what the newest row of an id says; ``True`` when that changed."""
        if draining == (endpoint_id in self.drain_reported):
            return False
        if draining:
            self.drain_reported.add(endpoint_id)
        else:
            self.drain_reported.discard(endpoint_id)
        return True

    def is_usable(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get new requests."""
        if endpoint.endpoint_id in self.drain_reported:
            return False
        incarnation = (endpoint.endpoint_id, endpoint.started_ms)
        return not endpoint.draining and incarnation not in self.leaving

    def get(self, endpoint_id: str) -> Endpoint | None:
        listed = self._listed.get(endpoint_id)
        return listed.endpoint if listed is not None else None

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that may get new requests.

        Of several registrations with one address only the newest can be in use.
        """
        newest: dict[str, Endpoint] = {}
        for listed in self._listed.values():
            endpoint = listed.endpoint
            latest = newest.get(endpoint.address)
            if latest is None or endpoint.started_ms >= latest.started_ms:
                newest[endpoint.address] = endpoint
        usable = []
        for endpoint in newest.values():
            if endpoint.service == service and self.is_usable(endpoint):
                usable.append(endpoint)
        return usable

    def all(self) -> list[Endpoint]:
        return [listed.endpoint for listed in self._listed.values()]
