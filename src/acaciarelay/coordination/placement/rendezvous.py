"""Rendezvous hashing: a key orders agents by a hash of the key and the agent id.

Adding or removing an agent does not change the order of the others.
"""

import heapq
from collections.abc import Iterable

import xxhash

__all__ = ["choose_subset", "rendezvous_agent"]

MASK_64 = (1 << 64) - 1


def _score(agent_id: str, seed: int) -> int:
    return xxhash.xxh3_64_intdigest(agent_id.encode(), seed)


def rendezvous_agent(key: int, agent_ids: Iterable[str]) -> str | None:
    """Return the agent that a 64-bit key ranks first; ``None`` without agents."""
    seed = key & MASK_64
    return max(agent_ids, key=lambda name: (_score(name, seed), name), default=None)


def choose_subset(entry_id: str, agent_ids: list[str], size: int) -> list[str]:
    """Choose the agents that an entry connects to, best ranked first.

    When an agent joins or leaves, the subset changes by at most that one agent and
    its replacement.
    """
    seed = xxhash.xxh3_64_intdigest(entry_id.encode())
    return heapq.nlargest(size, agent_ids, key=lambda name: (_score(name, seed), name))
