"""Log lines about rows of the store."""

from collections.abc import Callable

from acaciarelay.programs.logs import log_event
from acaciarelay.state.cached_table import StoreRow, WriterOrder
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


def log_held_row(
    table: str,
    row: StoreRow,
    held: StoreRow,
    writer_order: Callable[[bytes], WriterOrder | None],
    source: str,
) -> None:
    """Log a row in place of which another one stays in force, and why."""
    log_event(
        "row_held",
        table=table,
        key=row.key,
        source=source,
        era=row.version.era,
        row_version=row.version.number,
        order=_describe_order(row.value, writer_order),
        held_era=held.version.era,
        held_version=held.version.number,
        held_order=_describe_order(held.value or held.removed_value, writer_order),
        held_removed=held.value is None,
    )


def _describe_order(
    value: bytes | None, writer_order: Callable[[bytes], WriterOrder | None]
) -> list[int] | None:
    """Return a writer's incarnation and the position of its write within it."""
    order = writer_order(value) if value is not None else None
    if order is None:
        return None
    return [order.incarnation, *order.position]


def log_changed_endpoint(row: StoreRow, endpoint: Endpoint, source: str) -> None:
    """Log an endpoint that is new or differs from what was known."""
    log_event(
        "endpoint_changed",
        endpoint=row.key,
        source=source,
        service=endpoint.service,
        address=endpoint.address,
        draining=endpoint.draining,
        started_ms=endpoint.started_ms,
        software=endpoint.version,
        era=row.version.era,
        version=row.version.number,
    )
