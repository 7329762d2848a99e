"""Parts of prompts, known by digests of fixed size.

The ids of parts come from callers and have any length and form.
"""

import struct
from collections.abc import Iterable

import attrs
import xxhash

__all__ = ["PromptParts", "part_digest", "part_name", "prompt_masks"]

DIGEST_BYTES = 8


def part_digest(part_id: str) -> int:
    """Return the digest of a part's id."""
    return xxhash.xxh3_64_intdigest(part_id.encode("utf-8", "surrogateescape"))


def part_name(digest: int) -> str:
    """Return the name of a part in logs and messages."""
    return f"{digest:016x}"


@attrs.frozen(order=True)
class PromptParts:
    """The parts of a prompt that other prompts may share.

    ``packed`` holds their digests in ascending order, which takes an eighth of the
    memory that a set of them does.
    """

    packed: bytes = b""

    @classmethod
    def of_digests(cls, digests: Iterable[int]) -> "PromptParts":
        """Build the parts from their digests, each of them once."""
        ordered = sorted(set(digests))
        return cls(struct.pack(f"<{len(ordered)}Q", *ordered))

    @classmethod
    def of_ids(cls, ids: Iterable[str]) -> "PromptParts":
        """Build the parts from their ids."""
        return cls.of_digests(map(part_digest, ids))

    @property
    def digests(self) -> tuple[int, ...]:
        return struct.unpack(f"<{len(self)}Q", self.packed)

    def __len__(self) -> int:
        return len(self.packed) // DIGEST_BYTES


def prompt_masks(prompts: Iterable[PromptParts]) -> dict[int, int]:
    """Return the prompts that each part is in, as a bit mask of them in their order."""
    masks: dict[int, int] = {}
    for number, prompt in enumerate(sorted(prompts)):
        bit = 1 << number
        for part in prompt.digests:
            masks[part] = masks.get(part, 0) | bit
    return masks
