"""The model's shared table and its messages."""

from typing import Any

import attrs


@attrs.frozen
class Message:
    """A message between an entry's and an agent's process."""

    kind: str
    entry: tuple[str, int]
    agent: tuple[str, int]
    request_id: str
    key: str = ""
    token: str = ""


@attrs.define
class Table:
    """Key-value table with conditional writes: a write names the revision it read."""

    rows: dict[str, tuple[int, Any]] = attrs.field(factory=dict)
    revision: int = 0

    def read(self, key: str) -> tuple[int, Any]:
        return self.rows.get(key, (0, None))

    def write(self, key: str, expected: int, value: Any) -> bool:
        if self.read(key)[0] != expected:
            return False
        self.revision += 1
        self.rows[key] = (self.revision if value is not None else 0, value)
        return True
