"""Eras of the platform's store, and the order of its versions over them.

Each return of the store from an older copy begins an era, in which it gives out again
the versions that followed the copy.
"""

import attrs

__all__ = ["FIRST_ERA", "NO_ERA", "NO_VERSION", "UNKNOWN_ERA", "StoreVersion"]

# Era of an answer or a row whose sender names none; it comes before all others.
UNKNOWN_ERA = -1
# Era of a store that names none.
NO_ERA = 0
# Era of a store that has never been restored.
FIRST_ERA = 1


@attrs.frozen(order=True)
class StoreVersion:
    """Version of a row or a table: the store's era, then its counter in that era."""

    era: int = NO_ERA
    number: int = 0


NO_VERSION = StoreVersion()
