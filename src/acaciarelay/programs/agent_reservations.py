"""Decoding of reservation messages at an agent."""

from acaciarelay.coordination.fair_queue import Reservation
from acaciarelay.protocol import relay_pb2 as pb

__all__ = ["decode_reservation"]


def decode_reservation(entry_id: str, message: pb.Reserve, now: float) -> Reservation:
    """Decode a reservation; message times are relative, since clocks differ."""
    return Reservation(
        request_id=message.request_id,
        entry_id=entry_id,
        pool=message.pool,
        tier=message.tier,
        organisation=message.organisation,
        weight=message.weight,
        tokens=message.tokens,
        prompt_tokens=message.prompt_tokens,
        prefix_hash=message.prefix_hash,
        repeatable=message.repeatable,
        last_resort=message.last_resort,
        queued_at=now,
        deadline=now + message.time_left_ms / 1000,
        wait_budget_s=message.wait_budget_ms / 1000,
        waited_s=message.waited_ms / 1000,
    )
