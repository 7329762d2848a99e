"""Start an agent with one scheduling mechanism disabled, for measurements."""

import os
from typing import Any

import attrs

from acaciarelay.coordination.fair_queue import Reservation
from acaciarelay.programs import agent_core, agent_main
from acaciarelay.protocol import relay_pb2 as pb

__all__ = ["VARIANT_VARIABLE", "main"]

VARIANT_VARIABLE = "BENCH_VARIANT"

# Reservation fields by variant. They get the same value in all reservations, so that
# the mechanism which compares them has no effect.
OVERRIDES: dict[str, dict[str, Any]] = {
    "no_tier_order": {"tier": 0},
    "no_fair_queueing": {"organisation": "all", "weight": 1},
}

decode_reservation = agent_core.decode_reservation


def main() -> None:
    """Start the agent program with the overrides of the variant."""
    overrides = OVERRIDES[os.environ[VARIANT_VARIABLE]]

    def decode_overridden(
        entry_id: str, message: pb.Reserve, now: float
    ) -> Reservation:
        return attrs.evolve(decode_reservation(entry_id, message, now), **overrides)

    agent_core.decode_reservation = decode_overridden
    agent_main.main()


if __name__ == "__main__":
    main()
