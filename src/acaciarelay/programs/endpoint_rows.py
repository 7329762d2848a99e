"""Apply the rows of the endpoint table to the list of endpoints."""

import time

from acaciarelay.platform.configuration import ENDPOINT_TABLE, FormatError
from acaciarelay.platform.endpoints import (
    decode_endpoint,
    is_drain,
    registration_order,
)
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.row_logs import log_changed_endpoint, log_unreadable_row
from acaciarelay.state.cached_table import StoreRow
from acaciarelay.state.endpoints import EndpointList

__all__ = ["EndpointRows"]


class EndpointRows:
    """Keep the list of endpoints by the rows that are put in force."""

    def __init__(self) -> None:
        self.endpoints = EndpointList()

    def apply(self, row: StoreRow, after_outage: bool, source: str) -> bool:
        """Put a row that ``source`` told in force; ``True`` when the list changed.

        With ``after_outage`` a removed endpoint stays listed, as it may have lapsed.
        """
        if row.value is None:
            return self._remove(row, after_outage, source)
        try:
            endpoint = decode_endpoint(row.key, row.value)
        except FormatError as error:
            log_unreadable_row(ENDPOINT_TABLE, row, error)
            # Some other writer's row has replaced the registration.
            return self.endpoints.remove(row.key)
        changed = self.endpoints.upsert(endpoint)
        if changed:
            log_changed_endpoint(row, endpoint, source)
        return changed

    def apply_newest(self, row: StoreRow) -> bool:
        """Heed a drain in the newest row of a key, though another one is in force.

        Whether the row is a late one of a former start can't be told yet. The next ping
        of a runner that does not drain says so.
        """
        order = registration_order(row.value) if row.value is not None else None
        draining = order is not None and is_drain(order)
        changed = self.endpoints.report_drain(row.key, draining)
        if changed:
            log_event(
                "endpoint_drain_reported",
                endpoint=row.key,
                draining=draining,
                version=row.version.number,
            )
        return changed

    def _remove(self, row: StoreRow, after_outage: bool, source: str) -> bool:
        version = row.version.number
        if after_outage:
            self.endpoints.mark_missing(row.key, time.monotonic())
            log_event(
                "endpoint_missing", endpoint=row.key, source=source, version=version
            )
            return False
        removed = self.endpoints.remove(row.key)
        if removed:
            log_event(
                "endpoint_removed", endpoint=row.key, source=source, version=version
            )
        return removed
