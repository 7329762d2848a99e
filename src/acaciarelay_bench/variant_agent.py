"""Start an agent with one mechanism of the design switched off, for measurement."""

import os
from typing import Any

import attrs

from acaciarelay.coordination.fair_queue import Reservation
from acaciarelay.programs import agent_core, agent_main
from acaciarelay.protocol import relay_pb2 as pb

__all__ = ["VARIANT_VARIABLE", "main"]

VARIANT_VARIABLE = "BENCH_VARIANT"

# Values that make all reservations alike in the respect that the mechanism looks at.
REPLACED: dict[str, dict[str, Any]] = {
    "no_tier_order": {"tier": 0},
    "no_fair_queueing": {"organisation": "all", "weight": 1},
}

read_reservation = agent_core.read_reservation


def main() -> None:
    """Start the agent program with its reservations changed."""
    changes = REPLACED[os.environ[VARIANT_VARIABLE]]

    def read(entry_id: str, message: pb.Reserve, now: float) -> Reservation:
        return attrs.evolve(read_reservation(entry_id, message, now), **changes)

    agent_core.read_reservation = read
    agent_main.main()


if __name__ == "__main__":
    main()
