"""Which parts of prompts are suspected after crashes, and how a suspicion ends."""

import random
import time

import pytest
from fatal_prompt_model import FleetModel, Load
from prompt_ids import digests_of, ids_of, prompt

from acaciarelay.coordination import crash_memory
from acaciarelay.coordination.crash_memory import (
    FIRST_TRIAL_S,
    MAX_BENIGN_PARTS,
    MAX_CRASHES,
    MAX_REPORTED_PARTS,
    MAX_TRIAL_S,
    CrashMemory,
    reported_parts,
)
from acaciarelay.coordination.crash_suspicion import (
    Crash,
    find_suspicions,
)
from acaciarelay.coordination.recent_times import RecentTimes

CONTACT_S = 3.0
SEEDS = range(8)


def prompts(*parts):
    return frozenset(prompt(*each.split()) for each in parts)


def crash(at, *parts):
    return Crash(key=f"engine@{at}", at=at, prompts=prompts(*parts))


def by_digest(**at):
    return dict(zip(digests_of(at), at.values(), strict=True))


def suspected(crashes, **benign_at):
    found = find_suspicions(crashes, by_digest(**benign_at))
    return sorted(" ".join(ids_of(suspicion.parts)) for suspicion in found)


def test_one_crash_suspects_nothing():
    """Guards against refusals after an ordinary crash."""
    assert suspected([crash(1.0, "a d", "b")]) == []


def test_a_part_in_two_crashes_is_suspected():
    assert suspected([crash(1.0, "d", "a"), crash(2.0, "d", "b")]) == ["d"]


def test_parts_that_always_came_together_are_suspected_together():
    """Guards against refusing benign prompts that share one part with fatal ones."""
    suspicions = CrashMemory()
    for at in (1.0, 2.0, 3.0):
        suspicions.record_crash(crash(at, "first d"), at)
    assert suspicions.suspicion_of(prompt("first", "d")) is not None
    assert suspicions.suspicion_of(prompt("first")) is None


def test_a_benign_prompt_tells_parts_apart():
    suspicions = CrashMemory()
    for at in (1.0, 2.0):
        suspicions.record_crash(crash(at, "first d"), at)
    suspicions.record_benign(prompt("first"), 2.5)
    assert suspicions.suspicion_of(prompt("other", "d")) is not None


def test_a_crash_without_a_part_clears_it():
    crashes = [crash(1.0, "first d"), crash(2.0, "first d"), crash(3.0, "other d")]
    assert suspected(crashes) == ["d"]


def test_parts_of_separate_prompts_are_suspected_separately():
    """Guards against a fatal part that hides behind one that is everywhere."""
    crashes = [crash(at, "d", "everywhere") for at in (1.0, 2.0, 3.0)]
    assert suspected(crashes, everywhere=0.5) == ["d"]
    assert suspected(crashes) == ["d", "everywhere"]


def test_victims_of_a_fatal_prompt_are_not_suspected():
    """Guards against refusing a benign prompt that was retried into the next crash."""
    crashes = [
        crash(1.0, "d", "victim"),
        crash(2.0, "d", "victim"),
        crash(3.0, "d"),
    ]
    assert suspected(crashes) == ["d"]


def test_two_fatal_parts_are_both_suspected():
    crashes = [
        crash(1.0, "d", "a"),
        crash(2.0, "e"),
        crash(3.0, "d"),
        crash(4.0, "e", "b"),
        crash(5.0, "d"),
    ]
    assert suspected(crashes) == ["d", "e"]


def test_two_fatal_parts_stay_suspected_when_one_crashes_another_engine():
    """Guards against a suspicion that ends since a stronger one shares its crashes.

    Both parts were in prompts at the same engines, which crashed together.
    """
    crashes = [
        crash(0.03, "e"),
        crash(0.05, "e", "d"),
        crash(0.06, "d"),
        crash(0.33, "e", "b"),
        crash(0.35, "e", "d"),
    ]
    assert suspected(crashes) == ["d", "e"]
    assert suspected([*crashes, crash(5.45, "e")]) == ["d", "e"]
    assert suspected([*crashes, crash(5.45, "d")]) == ["d", "e"]


def test_engines_lost_at_the_same_time_are_one_crash():
    """Guards against suspicions after a loss of power."""
    crashes = [crash(at, "a b", "c") for at in (1.0, 1.01, 1.02)]
    assert suspected(crashes) == []


def test_an_answer_after_a_crash_clears_its_prompt():
    crashes = [crash(1.0, "a"), crash(2.0, "a"), crash(3.0, "a")]
    assert suspected(crashes, a=2.5) == []


def test_a_part_once_benign_needs_one_more_crash():
    crashes = [crash(1.0, "a"), crash(2.0, "a"), crash(3.0, "a")]
    assert suspected(crashes[:2], a=0.5) == []
    assert suspected(crashes, a=0.5) == ["a"]


def test_a_suspected_prompt_is_tried_seldom_and_ever_less_often():
    """Guards against a wrong suspicion without end, and against many trials."""
    suspicions = CrashMemory()
    intervals = []
    for at in (1.0, 2.0, 3.0, 4.0, 5.0, 6.0):
        suspicions.record_crash(crash(at, "d"), at)
        suspicion = suspicions.suspicion_of(prompt("d"))
        if suspicion is not None:
            intervals.append(suspicions.next_trial_at(suspicion) - at)
    assert intervals[0] == FIRST_TRIAL_S
    assert intervals == sorted(intervals)
    assert intervals[-1] == MAX_TRIAL_S
    suspicions.start_trial(suspicion, 200.0)
    assert suspicions.next_trial_at(suspicion) == 200.0 + MAX_TRIAL_S


def test_a_trial_that_is_answered_ends_the_suspicion_at_all_entries():
    tried, other = CrashMemory(), CrashMemory()
    for suspicions in (tried, other):
        for at in (1.0, 2.0):
            suspicions.record_crash(crash(at, "a"), at)
    tried.record_benign(prompt("a"), 8.0)
    told = tried.take_untold()
    assert told == by_digest(a=8.0)
    assert tried.take_untold() == {}
    other.record_benign_at_peers(told)
    assert other.suspicions == []


def test_benign_prompts_are_told_only_if_peers_would_suspect_them():
    """Guards against messages for each answered prompt."""
    suspicions = CrashMemory()
    suspicions.record_benign(prompt("a", "b"), 0.5)
    suspicions.record_crash(crash(1.0, "a", "b"), 1.0)
    assert suspicions.take_untold() == {}
    suspicions.record_crash(crash(2.0, "a"), 2.0)
    assert suspicions.take_untold() == by_digest(a=0.5)


def test_what_is_remembered_is_bounded():
    """Guards against memory that grows with crashes or prompts."""
    suspicions = CrashMemory()
    for number in range(1000):
        at = float(number)
        parts = [f"p{number}-{part}" for part in range(100)]
        suspicions.record_crash(crash(at, *parts), at)
        suspicions.record_benign(prompt(*parts), at)
    assert len(suspicions.crashes) <= MAX_CRASHES
    assert len(suspicions.benign_at) <= 2 * MAX_BENIGN_PARTS
    assert len(suspicions.told_benign_at) <= MAX_BENIGN_PARTS


def popular(rng):
    """Draw the first part of a prompt; a few are in most prompts."""
    return f"f{int(rng.paretovariate(0.7)) % 60}"


FATAL_PROMPTS = {
    "alone": lambda rng: ["d"],
    "after-the-same-first": lambda rng: ["f50", "d"],
    "after-a-popular-first": lambda rng: [popular(rng), "d"],
    "before-others": lambda rng: ["d", f"g{rng.randrange(20)}"],
    "among-three": lambda rng: [popular(rng), f"s{rng.randrange(4)}", "d"],
}


@pytest.mark.parametrize("fatal_per_s", [0.5, 1.0, 6.0])
@pytest.mark.parametrize("kind", FATAL_PROMPTS)
def test_fatal_prompts_stop_reaching_engines_and_benign_ones_go_on(kind, fatal_per_s):
    """Guards against back ends that crash one after the other (load: 40 prompts/s)."""
    for seed in SEEDS:
        load = Load(
            fatal=FATAL_PROMPTS[kind],
            benign=lambda rng: [popular(rng), f"s{rng.randrange(4)}"],
            fatal_parts=frozenset(["d"]),
            fatal_per_s=fatal_per_s,
            benign_per_s=40.0,
            fatal_from=2.0 + seed,
        )
        fleet = FleetModel(load, seed)
        fleet.run(30.0)
        assert fleet.late_fatal_arrivals(CONTACT_S, "d") <= 3, seed
        since = fleet.crash_times[:5][-1] + 2 * CONTACT_S
        assert fleet.benign_share(frozenset(["f1", "f50", "s1"]), since) > 0.95, seed


def session(rng, count):
    """Draw the parts of a long session's prompt, most of which others share."""
    number = rng.randrange(4)
    return [f"common{n}" for n in range(count // 2)] + [
        f"session{number}-{n}" for n in range(count - count // 2)
    ]


@pytest.mark.parametrize("fatal_per_s", [0.5, 2.0, 6.0])
@pytest.mark.parametrize("count", [2, 17, 100, 1000])
def test_long_prompts_are_told_from_fatal_ones(count, fatal_per_s):
    """Guards against a fatal part that hides among the parts of a long prompt."""
    for seed in SEEDS if count < 100 else range(2):
        load = Load(
            fatal=lambda rng: [*session(rng, count), "d"],
            benign=lambda rng: [*session(rng, count), f"s{rng.randrange(4)}"],
            fatal_parts=frozenset(["d"]),
            fatal_per_s=fatal_per_s,
            benign_per_s=20.0,
        )
        fleet = FleetModel(load, seed)
        fleet.run(30.0)
        assert fleet.late_fatal_arrivals(CONTACT_S, "d") <= 3, seed
        since = fleet.crash_times[:5][-1] + 2 * CONTACT_S
        assert fleet.benign_share(frozenset(["common0"]), since) > 0.95, seed


@pytest.mark.parametrize("seed", SEEDS)
def test_two_kinds_of_fatal_prompts_stop_reaching_engines(seed):
    load = Load(
        fatal=lambda rng: rng.choice([["f50", "d"], [popular(rng), "e"]]),
        benign=lambda rng: [popular(rng), f"s{rng.randrange(4)}"],
        fatal_parts=frozenset("de"),
        fatal_per_s=2.0,
        benign_per_s=40.0,
    )
    fleet = FleetModel(load, seed)
    fleet.run(30.0)
    # Each part may take as many crashes as a single one until it is known.
    assert len(fleet.crash_times) <= 12
    assert sum(at > 15.0 for at, _ in fleet.fatal_arrivals) <= 3


@pytest.mark.parametrize("fatal_per_s", [0.5, 2.0, 6.0])
def test_trials_of_two_fatal_parts_crash_few_engines(fatal_per_s):
    """Guards against trials of each of several suspicions, again and again."""
    for seed in SEEDS:
        load = Load(
            fatal=lambda rng: rng.choice([["f50", "d"], [popular(rng), "e"]]),
            benign=lambda rng: [popular(rng), f"s{rng.randrange(4)}"],
            fatal_parts=frozenset("de"),
            fatal_per_s=fatal_per_s,
            benign_per_s=20.0,
            fatal_to=100.0,
        )
        fleet = FleetModel(load, seed)
        fleet.run(100.0)
        assert fleet.late_fatal_arrivals(CONTACT_S, "d") <= 3, seed
        assert fleet.late_fatal_arrivals(CONTACT_S, "e") <= 3, seed
        since = fleet.crash_times[:5][-1] + 2 * CONTACT_S
        assert fleet.benign_share(frozenset(["f1", "f50"]), since) > 0.9, seed


@pytest.mark.parametrize("seed", SEEDS)
def test_ordinary_crashes_of_a_busy_fleet_refuse_few_prompts(seed):
    """Guards against suspicions of what was at an engine by chance."""
    load = Load(
        fatal=lambda rng: [popular(rng)],
        benign=lambda rng: [popular(rng), f"s{rng.randrange(4)}"],
        fatal_parts=frozenset(["none"]),
        fatal_per_s=1.0,
        benign_per_s=40.0,
    )
    fleet = FleetModel(load, seed)
    for number in range(10):
        fleet.at(3.0 + 2.1 * number, fleet.crash, number % 5)
    fleet.run(30.0)
    refused = sum(request.refused for request in fleet.requests)
    assert refused <= 0.01 * len(fleet.requests)


def test_answers_after_a_crash_cost_little(monkeypatch):
    """Guards against a search of all crashes for each answered prompt."""
    searches = []

    def counted(crashes, benign_at):
        searches.append(1)
        return find_suspicions(crashes, benign_at)

    monkeypatch.setattr(crash_memory, "find_suspicions", counted)
    suspicions = CrashMemory()
    for number in range(MAX_CRASHES):
        at = float(number)
        suspicions.record_crash(crash(at, *(f"p{part}" for part in range(20))), at)
    searches.clear()
    for number in range(1000):
        suspicions.record_benign(prompt(f"p{number % 20}"), 100.0 + number)
        suspicions.take_untold()
    # One for each part, and one each for what the peers know.
    assert len(searches) <= 2 * 20


def long_crashes(crash_count, part_count):
    """Build crashes with 32 prompts each, which share all their parts but one."""
    rng = random.Random(1)
    shared = [f"p{number}" for number in range(part_count - 1)]
    crashes = []
    for number in range(crash_count):
        texts = [" ".join([*shared, f"o{rng.random()}"]) for _ in range(32)]
        crashes.append(crash(float(number), *texts))
    return crashes


def search_s(crash_count, part_count):
    crashes = long_crashes(crash_count, part_count)
    began = time.process_time()
    for _ in range(3):
        assert len(find_suspicions(crashes, {})) == 1
    return time.process_time() - began


@pytest.mark.parametrize("crash_count", [2, 8, 32])
def test_a_search_takes_time_in_proportion_to_the_parts(crash_count):
    """Guards against a search that compares each part with each other one."""
    few_s = search_s(crash_count, 100)
    # Ten times the parts; a comparison of all pairs would take a hundred times.
    assert search_s(crash_count, 1000) < 30 * few_s + 0.05


def test_a_search_of_the_most_that_is_remembered_takes_little_time():
    """Guards against a search that holds the event loop."""
    assert search_s(MAX_CRASHES, 1000) / 3 < 0.2


def test_what_peers_tell_of_many_parts_costs_one_search(monkeypatch):
    """Guards against a search of all crashes for each part of a long prompt."""
    searches = []

    def counted(crashes, benign_at):
        searches.append(1)
        return find_suspicions(crashes, benign_at)

    monkeypatch.setattr(crash_memory, "find_suspicions", counted)
    memory = CrashMemory()
    ids = [f"p{number}" for number in range(1_000)]
    for at in (1.0, 2.0):
        memory.record_crash(crash(at, " ".join([*ids, "d"])), at)
    searches.clear()
    memory.record_benign_at_peers(dict.fromkeys(digests_of(ids), 3.0))
    assert len(searches) == 1
    assert memory.suspicion_of(prompt("d")) is not None


def test_crashes_without_a_suspicion_are_forgotten_first():
    """Guards against ordinary crashes that end a suspicion by their number."""
    memory = CrashMemory()
    for at in (1.0, 2.0):
        memory.record_crash(crash(at, "d", f"a{at}"), at)
    for number in range(2 * MAX_CRASHES):
        at = 3.0 + number
        memory.record_crash(crash(at, f"o{number}"), at)
    assert memory.suspicion_of(prompt("d")) is not None
    assert len(memory.crashes) <= MAX_CRASHES


def test_a_part_that_turns_fatal_is_found_in_a_prompt_of_thousands():
    """Guards against known parts that are never reported since others come first."""
    known = RecentTimes(100_000)
    parts = prompt(*(f"k{number}" for number in range(2_000)), "d")
    known.update(parts.digests, 1.0)
    fatal = set(digests_of(["d"]))
    reports = [reported_parts(f"e{n}@1", parts, known) for n in range(20)]
    assert all(len(each) <= MAX_REPORTED_PARTS for each in reports)
    assert sum(fatal <= set(each.digests) for each in reports) >= 3
    unknown = prompt(*parts_of(1_000, "u"), *parts_of(2_000, "k"))
    reported = reported_parts("e1@1", unknown, known)
    assert set(digests_of(parts_of(1_000, "u"))) <= set(reported.digests)


def parts_of(count, name):
    return [f"{name}{number}" for number in range(count)]


def test_what_was_answered_is_remembered_beside_long_prompts():
    """Guards against a shared part that is suspected again after other answers."""
    memory = CrashMemory()
    memory.record_benign(prompt("a"), 0.0)
    for number in range(20):
        memory.record_benign(prompt(*parts_of(1_000, f"l{number}-")), 1.0 + number)
    for at in (50.0, 51.0):
        memory.record_crash(crash(at, "a"), at)
    assert memory.suspicion_of(prompt("a")) is None
