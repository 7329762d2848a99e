"""Encode and decode the store's rows that entries send each other."""

import base64

import attrs

from acaciarelay.protocol.link_messages import PeerRow
from acaciarelay.state.cached_table import StoreRow
from acaciarelay.state.store_era import UNKNOWN_ERA, StoreVersion

__all__ = ["decode_row", "encode_row"]


def encode_row(table: str, row: StoreRow) -> PeerRow:
    """Encode a row of a table for a peer."""
    return PeerRow(
        table=table,
        key=row.key,
        value=_encode_value(row.value),
        version=row.version.number,
        era=row.version.era,
        removed_value=_encode_value(row.removed_value),
        lapsed=row.lapsed,
    )


def _encode_value(value: bytes | None) -> str | None:
    return base64.b64encode(value).decode() if value else None


def decode_row(row: PeerRow, era: int) -> StoreRow:
    """Decode a peer's row; raises ``binascii.Error``.

    A peer that knows no eras may speak of any, unless the store has none: ``era`` is
    the newest known one.
    """
    if row.era is None:
        row = attrs.evolve(row, era=UNKNOWN_ERA if era else 0)
    assert row.era is not None
    return StoreRow(
        key=row.key,
        value=_decode_value(row.value),
        version=StoreVersion(row.era, row.version),
        removed_value=_decode_value(row.removed_value),
        lapsed=row.lapsed,
    )


def _decode_value(value: str | None) -> bytes | None:
    return base64.b64decode(value) if value else None
