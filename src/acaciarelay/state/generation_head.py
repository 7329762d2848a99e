"""The newest generation in the configuration table, across eras of the store."""

import enum
from collections.abc import Iterator

import attrs

from acaciarelay.state.store_era import FIRST_ERA, NO_ERA

__all__ = ["GenerationGap", "GenerationHead", "Recovery", "plan_recovery"]

# The generations of an era begin at a multiple of this number, above all former ones.
ERA_STRIDE = 1_000_000
MAX_GAPS = 64


@attrs.frozen
class GenerationGap:
    """Generations left out between ``last`` and ``first``, those of two eras."""

    last: int
    first: int

    def contains(self, generation: int) -> bool:
        return self.last < generation < self.first


@attrs.frozen(kw_only=True)
class GenerationHead:
    """Content of the generation row.

    ``committed`` is the newest operator's commit that the table contains; a later
    ``generation`` has the same records, written again after a restore. ``era`` is that
    of the row. ``gaps`` are in ascending order; the ``last`` generation of each is the
    newest one of the former era that the table contains.
    """

    generation: int = 0
    committed: int = 0
    era: int = FIRST_ERA
    gaps: tuple[GenerationGap, ...] = ()

    def next(self, era: int) -> "GenerationHead":
        """Return the head after an operator's commit."""
        following = self.next_recovered(self.committed, era)
        return attrs.evolve(following, committed=following.generation)

    def next_recovered(self, committed: int, era: int) -> "GenerationHead":
        """Return the head after a lost commit was written again, with all before it."""
        gaps = tuple(
            attrs.evolve(gap, last=committed) if gap.contains(committed) else gap
            for gap in self.gaps
        )
        generation = self.generation + 1
        if era != NO_ERA and self.era < era:
            last = max(self.generation, committed)
            generation = max(last + 1, (era - FIRST_ERA) * ERA_STRIDE)
            gaps = (*gaps, GenerationGap(last, generation))[-MAX_GAPS:]
        return GenerationHead(
            generation=generation,
            committed=max(self.committed, committed),
            era=max(self.era, era),
            gaps=gaps,
        )

    def descending(self, top: int) -> Iterator[int]:
        """Yield the generations up to ``top``, newest first, without the gaps."""
        upper = min(top, self.generation)
        for gap in reversed(self.gaps):
            yield from range(upper, gap.first - 1, -1)
            upper = min(upper, gap.last)
        yield from range(upper, 0, -1)


class Recovery(enum.Enum):
    """What a process does with the table, given the generation in force there."""

    NONE = enum.auto()  # The table has it.
    REWRITE = enum.auto()  # The table has lost it; it is to be written again.
    LOST = enum.auto()  # The table has lost it; an operator's commit came since.


def plan_recovery(committed: int, head: GenerationHead, era: int) -> Recovery:
    """Compare the commit in force with the table's head in the store's era."""
    if committed > head.generation:
        return Recovery.REWRITE if head.era < era else Recovery.NONE
    for gap in head.gaps:
        if not gap.contains(committed):
            continue
        return Recovery.REWRITE if head.committed <= gap.last else Recovery.LOST
    return Recovery.NONE
