"""Guard against commits that are lost, applied twice or only partly validated."""

import asyncio
import random
from collections.abc import Sequence

import pytest
from fakes import FakePeer, FakePlatform
from result import Err, Result

from acaciarelay.programs.config_sync import ConfigSync
from acaciarelay.programs.config_writer import ConfigWriter, WriterLimits
from acaciarelay.protocol.admin_api import (
    ApplyAnswer,
    ApplyRequest,
    RecordChange,
    RecordRefusal,
)
from acaciarelay.protocol.codes import Refusal
from acaciarelay.state.config_state import ChangeSet, ConfigState
from acaciarelay.state.records import Envelope

POLICY = {"tiers": {"default": "a"}}
LIMITS = WriterLimits(resolve_attempts=3, resolve_interval_s=0.0, snapshot_delay_s=0.0)


def new_writer(
    platform: FakePlatform,
    peers: Sequence[FakePeer] = (),
    limits: WriterLimits = LIMITS,
) -> ConfigWriter:
    sync = ConfigSync(platform, ConfigState(), peers, random.Random(1))
    return ConfigWriter(sync, limits, wall_clock=lambda: 12.5)


def tier(rank: object = 1, revision: int = 0, name: str = "a") -> RecordChange:
    return RecordChange(type="tier", name=name, revision=revision, body={"rank": rank})


async def apply(
    writer: ConfigWriter, *changes: RecordChange, token: str = ""
) -> Result[ApplyAnswer, Refusal]:
    request = ApplyRequest(changes=list(changes), operator="op", token=token)
    return await writer.apply(request)


def number(answer: Result[ApplyAnswer, Refusal]) -> int:
    return answer.err_value.code.number if isinstance(answer, Err) else 0


def stored_rank(platform: FakePlatform, name: str = "a") -> int:
    return platform.tables["config"][f"record/tier/{name}/1"].value["body"]["rank"]


async def test_a_commit_writes_record_history_and_generation_together() -> None:
    platform = FakePlatform()
    writer = new_writer(platform)
    assert (await apply(writer, tier(1))).unwrap().generation == 1
    answer = (await apply(writer, tier(2, revision=1))).unwrap()
    assert answer.committed and answer.generation == 2
    assert writer.sync.snapshot.tiers["a"].rank == 2
    request = ApplyRequest(changes=[tier(3, revision=2)], dry_run=True)
    preview = (await writer.apply(request)).unwrap()
    assert len(preview.changes) == 1 and not preview.committed
    assert (await apply(writer, tier(2, revision=2))).unwrap().changes == []
    assert platform.commits == 2
    newest, oldest = (await writer.history(10)).unwrap()
    assert (newest.operator, newest.time, newest.token) == ("op", 12.5, answer.token)
    assert newest.changes[0].before == oldest.changes[0].after


async def test_the_second_of_two_operators_sees_both_versions() -> None:
    platform = FakePlatform()
    one, two = new_writer(platform), new_writer(platform)
    await apply(one, tier(1))
    answers = await asyncio.gather(
        apply(one, tier(2, revision=1)), apply(two, tier(3, revision=1))
    )
    assert sorted(number(answer) for answer in answers) == [0, 702]
    refusal = next(a.err_value for a in answers if isinstance(a, Err))
    assert isinstance(refusal, RecordRefusal)
    (conflict,) = refusal.conflicts
    ranks = {conflict.expected[0].body["rank"], conflict.stored[0].body["rank"]}
    assert ranks == {2, 3}
    assert stored_rank(platform) == conflict.stored[0].body["rank"]


async def test_commits_of_different_records_do_not_conflict() -> None:
    platform = FakePlatform()
    one, two = new_writer(platform), new_writer(platform)
    answers = await asyncio.gather(
        apply(one, tier(1)), apply(two, tier(2, name="b")), apply(one, tier(name="c"))
    )
    assert sorted(a.unwrap().generation for a in answers) == [1, 2, 3]


async def test_a_lost_answer_is_resolved_by_reading_back_the_token() -> None:
    platform = FakePlatform(lost_answers=1)
    assert (await apply(new_writer(platform), tier(1))).unwrap().committed
    assert platform.commits == 1


async def test_a_lost_request_takes_effect_once() -> None:
    """Guards against a first request that arrives and takes effect after its retry."""
    platform = FakePlatform(lost_requests=1)
    writer = new_writer(platform)
    assert (await apply(writer, tier(1))).unwrap().generation == 1
    await apply(writer, tier(2, revision=1))
    assert isinstance(platform.execute(platform.in_flight[0]), Err)
    assert stored_rank(platform) == 2


async def test_a_request_that_arrives_during_the_read_back_is_accepted() -> None:
    platform = FakePlatform(lost_requests=1)
    writer = new_writer(platform)
    commit = platform.commit

    async def late_commit(transaction):
        if platform.in_flight:
            platform.execute(platform.in_flight.pop())
        return await commit(transaction)

    platform.commit = late_commit
    assert (await apply(writer, tier(1))).unwrap().committed
    assert platform.commits == 1


async def test_a_lost_request_after_another_commit_is_a_conflict() -> None:
    platform = FakePlatform()
    one, two = new_writer(platform), new_writer(platform)
    await apply(one, tier(1))
    read = platform.read
    platform.lost_requests = 1

    other_committed: list[bool] = []

    async def read_after_another(table: str, key: str):
        if platform.in_flight and not other_committed:
            other_committed.append(True)
            assert (await apply(two, tier(7, revision=1))).is_ok()
        return await read(table, key)

    platform.read = read_after_another
    assert number(await apply(one, tier(2, revision=1))) == 702
    assert stored_rank(platform) == 7


async def test_outcome_is_unknown_only_when_it_cannot_be_read_back() -> None:
    platform = FakePlatform()
    writer = new_writer(platform)
    platform.lost_answers = 1
    platform.before_commit = lambda: setattr(platform, "reads_down", True)
    assert number(await apply(writer, tier(1))) == 601
    platform.reads_down = False
    platform.before_commit = lambda: setattr(platform, "down", True)
    assert number(await apply(writer, tier(1, name="b"))) == 600
    assert number(await apply(writer, tier(1, name="b"))) == 600
    assert platform.commits == 1


@pytest.mark.parametrize("delete", [False, True])
async def test_a_retried_token_is_answered_with_its_commit(delete: bool) -> None:
    """Guards against a second commit by a request that a client retries.

    A client whose answer was lost retries the request at another entry.
    """
    platform = FakePlatform()
    one, two = new_writer(platform), new_writer(platform)
    await apply(one, tier(1))
    change = RecordChange(
        type="tier", name="a", revision=1, delete=delete, body={"rank": 2}
    )
    first = await apply(one, change, token="t1")
    await apply(one, tier(3, name="b"))
    assert await apply(two, change, token="t1") == first
    assert number(await apply(two, change, token="t2")) == 702


async def test_all_problems_are_reported_at_once() -> None:
    platform = FakePlatform()
    writer = new_writer(platform)
    answer = await apply(
        writer,
        tier(-1),
        tier("x", name="b"),
        RecordChange(type="quota", name="c"),
        RecordChange(type="tier", name="d/e", body={"rank": 0}),
        RecordChange(type="tier", name="f", schema=9, body={"rank": 0}),
        RecordChange(type="endpoint", name="g", body={"pool": "none"}),
        tier(1, revision=4, name="h"),
    )
    assert number(answer) == 701 and platform.commits == 0
    assert isinstance(answer, Err) and len(answer.err_value.problems) == 7


async def test_references_are_checked_for_writes_and_deletions() -> None:
    writer = new_writer(FakePlatform())
    policy = RecordChange(type="policy", name="p", body=POLICY)
    assert number(await apply(writer, policy)) == 705
    assert number(await apply(writer, policy, tier(1))) == 0
    gone = RecordChange(type="tier", name="a", revision=1, delete=True)
    assert number(await apply(writer, gone)) == 705
    both = RecordChange(type="policy", name="p", revision=1, delete=True)
    assert number(await apply(writer, gone, both)) == 0
    absent = RecordChange(type="tier", name="a", delete=True)
    assert number(await apply(writer, absent)) == 703


async def test_a_change_that_omits_a_stored_schema_is_refused() -> None:
    """Guards against a change that processes with the other stored schema don't see."""
    writer = new_writer(FakePlatform())
    await apply(writer, tier(1), RecordChange(type="policy", name="p", body=POLICY))
    key_hash = "aa" * 32
    old = {"key_hash": key_hash, "policy": "p"}
    new = {"key_hashes": [key_hash], "policy": "p"}

    def organisation_change(schema: int, revision: int, body: dict) -> RecordChange:
        return RecordChange(
            type="organisation", name="o", schema=schema, revision=revision, body=body
        )

    assert number(await apply(writer, organisation_change(3, 0, new))) == 704
    assert number(await apply(writer, organisation_change(1, 0, old))) == 0
    assert number(await apply(writer, organisation_change(2, 2, new))) == 0
    changed = {**old, "weight": 2}
    assert number(await apply(writer, organisation_change(1, 3, changed))) == 701
    both = [
        organisation_change(1, 3, changed),
        organisation_change(2, 3, {**new, "weight": 2}),
    ]
    assert number(await apply(writer, *both)) == 0
    assert writer.sync.snapshot.organisations["o"].weight == 2
    newer = Envelope("organisation", "o", 9, 4, {})
    writer.sync.apply_change(ChangeSet(generation=5, base=4, changed=[newer]))
    writer.sync.platform.tables["config"]["generation"].value["generation"] = 5
    again = [organisation_change(1, 4, old), organisation_change(2, 4, new)]
    assert number(await apply(writer, *again)) == 704


async def test_commits_are_pushed_and_gaps_filled_after_the_commit_is_known() -> None:
    """Guards against peers without access to the platform that miss a commit.

    They get it only by a push.
    """
    up_to_date, behind = FakePeer(ConfigState()), FakePeer(ConfigState())
    up_to_date.state.apply(ChangeSet(generation=0, whole=True))
    down = FakePeer(ConfigState(), down=True)
    platform = FakePlatform(lost_answers=1)
    writer = new_writer(platform, [up_to_date, behind, down])
    await apply(writer, tier(1))
    await writer.close()
    assert [len(peer.pushed) for peer in (up_to_date, behind)] == [1, 2]
    assert up_to_date.state.snapshot.tiers == behind.state.snapshot.tiers != {}
    platform.down = True
    await apply(writer, tier(2, revision=1))
    await writer.close()
    assert up_to_date.state.generation == 1


async def test_history_is_bounded() -> None:
    """Guards against a history that slows down the start of an entry.

    A starting entry reads the complete table, including the history.
    """
    platform = FakePlatform()
    writer = new_writer(platform, limits=WriterLimits(history_limit=2))
    for rank in range(4):
        await apply(writer, tier(rank, revision=rank))
    entries = (await writer.history(10)).unwrap()
    assert [entry.generation for entry in entries] == [4, 3]
    assert [e.generation for e in (await writer.history(1, before=4)).unwrap()] == [3]


async def test_a_table_behind_the_generation_in_force_is_not_written() -> None:
    platform = FakePlatform()
    writer = new_writer(platform)
    writer.sync.apply_change(ChangeSet(generation=9, whole=True))
    assert number(await apply(writer, tier(1))) == 600
    assert platform.commits == 0


async def test_a_plain_key_is_refused_as_key_hash() -> None:
    """Guards against a plain key that is stored in place of its hash.

    It would be readable and would authenticate no caller. The refusal names every
    malformed hash.
    """
    writer = new_writer(FakePlatform())
    await apply(writer, tier(1), RecordChange(type="policy", name="p", body=POLICY))
    body = {"key_hashes": ["plain-key", "aa" * 32, "AA" * 32], "policy": "p"}
    change = RecordChange(type="organisation", name="o", body=body)
    match await apply(writer, change):
        case Err(RecordRefusal(problems=problems)):
            assert [text.split(" is not ")[0] for text in problems] == [
                "organisation o: key hash 1",
                "organisation o: key hash 3",
            ]
        case other:
            pytest.fail(str(other))
