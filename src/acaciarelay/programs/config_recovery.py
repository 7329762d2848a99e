"""Write generations of the configuration again that a restored table has lost."""

from collections.abc import Callable

import eliot
from result import Err, Ok

from acaciarelay.programs.config_sync import (
    CONFIG_TABLE,
    GENERATION_KEY,
    ConfigSync,
    encode_head,
    read_head,
)
from acaciarelay.protocol.admin_api import Diff, HistoryEntry, to_plain
from acaciarelay.protocol.platform_api import (
    Changes,
    Check,
    Platform,
    Row,
    Transaction,
    Write,
)
from acaciarelay.state.config_state import ChangeSet, RowKey, read_row_key
from acaciarelay.state.generation_head import Recovery, plan_recovery
from acaciarelay.state.records import Envelope, read_envelope

__all__ = ["ConfigRecovery", "history_key"]

# Operator in the history of a commit that restores lost generations.
RECOVERY_OPERATOR = "acaciarelay"


def history_key(generation: int) -> str:
    """Return the key of a generation's history row."""
    return f"log/{generation:012d}"


class ConfigRecovery:
    """Commits the configuration in force to a table that has lost it."""

    def __init__(
        self,
        sync: ConfigSync,
        new_token: Callable[[], str],
        wall_clock: Callable[[], float],
    ) -> None:
        self.sync = sync
        self.platform: Platform = sync.platform
        self.new_token = new_token
        self.wall_clock = wall_clock

    async def recover(self) -> None:
        """Write the newest generation known here or at a peer; a poll repeats it."""
        await self.sync.bootstrap()
        match await self.platform.changes(CONFIG_TABLE, 0):
            case Err(error):
                eliot.log_message("config:recovery_failed", detail=error.detail)
            case Ok(changes):
                await self.rewrite(changes)

    async def rewrite(self, changes: Changes) -> None:
        rows = {row.key: row for row in changes.rows}
        head_row = rows.get(GENERATION_KEY)
        head = read_head(head_row)
        committed = self.sync.committed
        envelopes = self.sync.snapshot.envelopes
        if head is None:
            return
        if plan_recovery(committed, head, changes.era) is not Recovery.REWRITE:
            return
        following = head.next_recovered(committed, changes.era)
        diffs = _diffs(envelopes, rows)
        token = self.new_token()
        history = HistoryEntry(
            generation=following.generation,
            operator=RECOVERY_OPERATOR,
            time=self.wall_clock(),
            token=token,
            changes=diffs,
        )
        writes = [
            Write(CONFIG_TABLE, GENERATION_KEY, encode_head(following, token)),
            *(_write_of(diff) for diff in diffs),
            Write(CONFIG_TABLE, history_key(following.generation), to_plain(history)),
        ]
        revision = 0 if head_row is None else head_row.revision
        # Every commit writes the generation row, so its revision covers all rows.
        checks = [Check(CONFIG_TABLE, GENERATION_KEY, revision)]
        match await self.platform.commit(Transaction(checks, writes, changes.era)):
            case Ok():
                eliot.log_message(
                    "config:generation_rewritten",
                    lost=committed,
                    generation=following.generation,
                )
                self.sync.apply_change(
                    ChangeSet(
                        generation=following.generation,
                        changed=envelopes,
                        whole=True,
                    ),
                    following.committed,
                )
            case Err(error):
                # The next poll shows whether this or another commit took effect.
                eliot.log_message("config:recovery_failed", detail=str(error))


def _diffs(envelopes: list[Envelope], rows: dict[str, Row]) -> list[Diff]:
    diffs = []
    wanted = set()
    for envelope in envelopes:
        key = str(RowKey(envelope.type, envelope.name, envelope.schema))
        wanted.add(key)
        stored = _stored(rows.get(key))
        # An envelope without a body stands for a malformed row.
        if stored != envelope and envelope.body:
            diffs.append(Diff(stored, envelope))
    for key, row in rows.items():
        if read_row_key(key) is None or key in wanted:
            continue
        diffs.append(Diff(_stored(row), None))
    return [diff for diff in diffs if diff.before or diff.after]


def _stored(row: Row | None) -> Envelope | None:
    if row is None or row.deleted:
        return None
    try:
        return read_envelope(row.value)
    except ValueError:
        return None


def _write_of(diff: Diff) -> Write:
    envelope = diff.after or diff.before
    assert envelope is not None
    key = str(RowKey(envelope.type, envelope.name, envelope.schema))
    value = None if diff.after is None else to_plain(diff.after)
    return Write(CONFIG_TABLE, key, value)
