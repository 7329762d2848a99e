"""Values by name, with the round in which each last changed."""

from collections.abc import Mapping

__all__ = ["ChangeLog"]


class ChangeLog:
    """Keep values over numbered rounds, to send only those that changed lately.

    A name that is no longer given has the value 0 from then on.
    """

    def __init__(self) -> None:
        self.values: dict[str, float] = {}
        self.changed_in: dict[str, int] = {}

    def update(self, values: Mapping[str, float], round_number: int) -> None:
        """Replace the values in a round."""
        for name in self.values.keys() | values.keys():
            value = values.get(name, 0.0)
            if self.values.get(name) != value:
                self.values[name] = value
                self.changed_in[name] = round_number

    def since(self, round_number: int) -> dict[str, float]:
        """Return the values that changed in this round or later."""
        return {
            name: value
            for name, value in self.values.items()
            if self.changed_in[name] >= round_number
        }
