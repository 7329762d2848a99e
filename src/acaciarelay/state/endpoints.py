"""Endpoints as they register themselves, and the list of those that may be used."""

import attrs

__all__ = ["Endpoint", "EndpointList"]

# An endpoint removed while the store was away registers again within this time of its
# return, if it lives.
REAPPEAR_S = 2.2


@attrs.frozen(kw_only=True)
class Endpoint:
    """Hold one lifetime of an endpoint as it describes itself."""

    endpoint_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    started_ms: int

    @property
    def host(self) -> str:
        return self.address.rpartition(":")[0]


@attrs.define
class _Listed:
    endpoint: Endpoint
    lost_at: float | None = None


class EndpointList:
    """Keep the endpoints by id and say which may get new work."""

    def __init__(self) -> None:
        self._listed: dict[str, _Listed] = {}

    def put(self, endpoint: Endpoint) -> bool:
        """Store an endpoint; ``True`` when it changed."""
        known = self._listed.get(endpoint.endpoint_id)
        if known is not None and known.endpoint == endpoint and known.lost_at is None:
            return False
        self._listed[endpoint.endpoint_id] = _Listed(endpoint)
        return True

    def remove(self, endpoint_id: str) -> bool:
        """Drop an endpoint that left; ``True`` when it was listed."""
        return self._listed.pop(endpoint_id, None) is not None

    def lose(self, endpoint_id: str, now: float) -> None:
        """Keep an endpoint that went missing in an outage until it may be back."""
        known = self._listed.get(endpoint_id)
        if known is not None and known.lost_at is None:
            known.lost_at = now

    def expire(self, now: float) -> list[str]:
        """Drop the endpoints that did not return in time and give their ids."""
        gone = []
        for endpoint_id, listed in list(self._listed.items()):
            if listed.lost_at is None or now - listed.lost_at < REAPPEAR_S:
                continue
            del self._listed[endpoint_id]
            gone.append(endpoint_id)
        return gone

    def get(self, endpoint_id: str) -> Endpoint | None:
        listed = self._listed.get(endpoint_id)
        return listed.endpoint if listed is not None else None

    def of_service(self, service: str) -> list[Endpoint]:
        """List the endpoints of a service that may get new work.

        Of several lifetimes at one address only the newest can be there.
        """
        newest: dict[str, Endpoint] = {}
        for listed in self._listed.values():
            endpoint = listed.endpoint
            known = newest.get(endpoint.address)
            if known is None or endpoint.started_ms >= known.started_ms:
                newest[endpoint.address] = endpoint
        found = []
        for endpoint in newest.values():
            if endpoint.service != service or endpoint.draining:
                continue
            found.append(endpoint)
        return found

    def all(self) -> list[Endpoint]:
        return [listed.endpoint for listed in self._listed.values()]
