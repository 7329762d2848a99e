"""Log lines about rows of the store."""

from acaciarelay.programs.logs import log_event
from acaciarelay.state.cached_table import StoreRow
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.store_era import StoreVersion

__all__ = [
    "log_changed_endpoint",
    "log_held_row",
    "log_stale_read",
    "log_unreadable_row",
]


def log_stale_read(table: str, version: StoreVersion, known: StoreVersion) -> None:
    """Log an answer of the store that is older than what is known."""
    log_event(
        "stale_read_ignored",
        table=table,
        era=version.era,
        version=version.number,
        known_era=known.era,
        known_version=known.number,
    )


def log_unreadable_row(table: str, row: StoreRow, error: Exception) -> None:
    """Log a row that can't be decoded."""
    log_event(
        "row_unreadable",
        table=table,
        key=row.key,
        era=row.version.era,
        row_version=row.version.number,
        detail=str(error),
    )


def log_held_row(table: str, row: StoreRow, held: StoreRow) -> None:
    """Log a row of a new era in place of which another one stays in force."""
    log_event(
        "row_held",
        table=table,
        key=row.key,
        era=row.version.era,
        row_version=row.version.number,
        held_era=held.version.era,
        held_version=held.version.number,
    )


def log_changed_endpoint(row: StoreRow, endpoint: Endpoint) -> None:
    """Log an endpoint that is new or differs from what was known."""
    log_event(
        "endpoint_changed",
        endpoint=row.key,
        service=endpoint.service,
        address=endpoint.address,
        draining=endpoint.draining,
        software=endpoint.version,
        era=row.version.era,
        version=row.version.number,
    )
