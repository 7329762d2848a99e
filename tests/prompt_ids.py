"""Parts of prompts by the ids that tests give them."""

import functools
from collections.abc import Iterable

from acaciarelay.coordination.prompt_parts import PromptParts, part_digest

__all__ = ["digests_of", "ids_of", "prompt", "prompt_of"]

_IDS: dict[int, str] = {}


def digests_of(ids: Iterable[str]) -> list[int]:
    """Return the digests of some ids, in their order."""
    digests = []
    for part_id in ids:
        digest = part_digest(part_id)
        _IDS[digest] = part_id
        digests.append(digest)
    return digests


def prompt(*ids: str) -> PromptParts:
    """Return the parts of a prompt."""
    return prompt_of(frozenset(ids))


@functools.cache
def prompt_of(ids: frozenset[str]) -> PromptParts:
    """Return the parts of a prompt with these ids."""
    return PromptParts.of_digests(digests_of(ids))


def ids_of(digests: Iterable[int]) -> list[str]:
    """Return the ids of digests that were made here, in their order."""
    return sorted(_IDS[digest] for digest in digests)
