"""What entries and agents tell each other of crashes of engines."""

import asyncio
import time

import pytest
from prompt_ids import digests_of, prompt
from relay_rig import RelayRig

from acaciarelay.coordination.crash_memory import (
    MAX_CRASHES,
    MAX_PROMPTS_PER_CRASH,
)
from acaciarelay.coordination.crash_suspicion import Crash
from acaciarelay.coordination.slot_client import SlotClient
from acaciarelay.platform.headers import decode_request
from acaciarelay.programs.crash_detector import COLLECT_S, CrashDetector
from acaciarelay.programs.crash_guard import FIRST_REPORTERS, CrashGuard
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol.link_messages import (
    BrokenRun,
    CrashRecord,
    CrashReport,
    decode_message,
    encode_message,
)
from acaciarelay_standins.inbound_standin import listen
from acaciarelay_standins.platform_runner import PlatformRunner

ENTRIES = [f"10.0.{number // 200}.{number % 200}:7601" for number in range(320)]
PARTS = prompt("first", "d")
# A report of all crashes that an entry remembers may take this many bytes.
MAX_REPORT_BYTES = 64_000


def guard(own="10.0.0.1:7601"):
    return CrashGuard(own, SlotClient(), Metrics())


def crash_report(age_s, engine, *prompts, **benign_s):
    record = CrashRecord(engine=engine, age_s=age_s, prompts=frozenset(prompts))
    ages = zip(digests_of(benign_s), benign_s.values(), strict=True)
    return CrashReport(crashes=[record], benign_s=dict(ages))


def suspecting(own="10.0.0.1:7601"):
    entry = guard(own)
    entry.receive(crash_report(2.0, "e-1@1", PARTS))
    entry.receive(crash_report(1.0, "e-2@1", PARTS))
    assert entry.memory.suspicions
    return entry


class Detected:
    """A detector and the crashes that it reports."""

    def __init__(self):
        self.crashes = []
        self.detector = CrashDetector(self.crashes.append)

    async def broken(self, address, *parts, engine="e-1@1"):
        self.detector.record(BrokenRun(engine=engine, parts=prompt(*parts)), address)
        await asyncio.sleep(COLLECT_S * 2)


async def closed_address():
    server, address = await listen(PlatformRunner("i-1").handle, "127.0.0.1:0")
    server.close()
    await server.wait_closed()
    return address


async def test_an_engine_that_refuses_connections_has_crashed():
    detected = Detected()
    address = await closed_address()
    await detected.broken(address, "a")
    await detected.broken(address, "b")
    assert [crash.prompts for crash in detected.crashes] == [
        frozenset([prompt("a")]),
        frozenset([prompt("a"), prompt("b")]),
    ]
    # A later run adds a prompt to the crash, whose time stays.
    assert detected.crashes[0].at == detected.crashes[1].at


async def test_a_broken_run_of_a_live_engine_is_no_crash():
    """Guards against suspicions after connections that the network broke."""
    detected = Detected()
    server, address = await listen(PlatformRunner("i-1").handle, "127.0.0.1:0")
    await detected.broken(address, "a")
    server.close()
    assert detected.crashes == []


async def test_open_checks_are_bounded():
    """Guards against a connection and a task for each broken run of many engines."""
    detected = Detected()
    address = await closed_address()
    for number in range(500):
        detected.detector.record(
            BrokenRun(engine=f"e-{number}@1", parts=prompt("a")), address
        )
    await asyncio.sleep(COLLECT_S * 4)
    assert 0 < len(detected.crashes) <= 32
    assert len(detected.detector.crashes) <= 8


def test_a_report_survives_the_link():
    report = crash_report(0.5, "e-1@1", prompt("a", "b"), prompt("c"), a=1.5)
    assert decode_message(encode_message(report)) == report


def test_a_known_crash_is_not_counted_again():
    entry = guard()
    for age_s in (2.0, 2.1, 2.2):
        entry.receive(crash_report(age_s, "e-1@1", PARTS))
    assert entry.memory.suspicions == []


def test_a_new_peer_learns_of_suspicions_from_few_entries():
    """Guards against restarted entries that forget, and against 319 reports to one."""
    restarted = guard(ENTRIES[7])
    reporters = 0
    for own in ENTRIES:
        if own == ENTRIES[7]:
            continue
        entry = suspecting(own)
        entry.entries = ENTRIES
        report = entry.report_to_new_peer(ENTRIES[7], time.monotonic())
        if report is not None:
            reporters += 1
            restarted.receive(report)
    assert 1 <= reporters <= FIRST_REPORTERS
    assert restarted.memory.suspicion_of(PARTS) is not None


def test_nothing_is_sent_while_no_prompt_is_suspected():
    entry = guard()
    entry.receive(crash_report(1.0, "e-1@1", PARTS))
    now = time.monotonic()
    assert entry.report_to_peers(now) is None
    assert entry.report_to_new_peer(ENTRIES[7], now) is None


def test_the_largest_report_is_bounded():
    entry = guard()
    now = time.monotonic()
    for number in range(2 * MAX_CRASHES):
        prompts = [prompt("d", f"{number:08x}{count:04x}") for count in range(100)]
        entry.receive(
            crash_report(float(number), f"{number:012x}@{number:013}", *prompts)
        )
    entry.entries = [entry.own, "10.0.0.2:7601"]
    report = entry.report_to_new_peer("10.0.0.2:7601", now)
    assert len(report.crashes) <= MAX_CRASHES
    assert all(len(each.prompts) <= MAX_PROMPTS_PER_CRASH for each in report.crashes)
    assert len(encode_message(report)) <= MAX_REPORT_BYTES


def test_reports_of_long_prompts_are_bounded():
    """Guards against reports that fill the links, or hold a process's event loop."""
    for shared in (True, False):
        entry = guard()
        now = time.monotonic()
        for number in range(MAX_CRASHES):
            name = "p" if shared else f"p{number}-"
            prompts = [
                prompt("d", f"{number}-{count}", *parts_named(name))
                for count in range(MAX_PROMPTS_PER_CRASH)
            ]
            entry.receive(crash_report(100.0 - number, f"e{number}@1", *prompts))
        entry.entries = [entry.own, "10.0.0.2:7601"]
        report = entry.report_to_new_peer("10.0.0.2:7601", now)
        line = encode_message(report)
        # As many bytes as a link carries in 0.1 s where it has 10 Mbit/s.
        assert len(line) < 125_000
        assert decode_message(line) == report
        peer = guard("10.0.0.2:7601")
        peer.receive(report)
        assert peer.memory.suspicion_of(prompt("d", "other", *parts_named("p")))


def parts_named(name):
    return [f"{name}{part}" for part in range(1_000)]


LONG_ID = "f" * 200


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("a:60,b:40,own:5", ["a", "b"]),
        ("own:5", []),
        ("", []),
        (",,:,", []),
        (" a : 60 , own", ["a"]),
        ("a,b:1,own", ["a", "b"]),
        ("a:b:60,own:1", ["a:b"]),
        ("AB:60,ab:60,own:1", ["ab"]),
        (f"{LONG_ID}:1,b:2,own:1", [LONG_ID, "b"]),
        (",".join(f"p{n}:1" for n in range(3000)), [f"p{n}" for n in range(2999)]),
    ],
)
def test_all_shared_parts_of_a_prompt_are_read(text, parts):
    """Guards against a fatal part that is not seen for its place or its id."""
    found = decode_request([("prompt-prefix", text)]).shared_parts
    assert found == prompt(*parts)


def test_parts_in_several_header_fields_are_read():
    """Guards against a fatal part that is not seen for the field that names it."""
    fields = [("prompt-prefix", "d:1,a:1"), ("x", "y"), ("prompt-prefix", "b:1,own:1")]
    assert decode_request(fields).shared_parts == prompt("a", "b", "d")


async def test_a_suspected_prompt_gets_a_numbered_refusal_that_is_true():
    """Guards against a refusal that lies, holds the caller up, or names no time."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("engine")
        now = time.monotonic()
        for age_s, engine in ((2.0, "e-1@1"), (1.0, "e-2@1")):
            prompts = frozenset([PARTS])
            rig.crashes.memory.record_crash(
                Crash(key=engine, at=now - age_s, prompts=prompts), now
            )
        refused = await rig.call("/chat/a", Prompt_Prefix="first:60,d:40,own:500")
        assert refused.status == 503
        assert refused.headers["acaciarelay-code"] == "307"
        assert refused.headers["acaciarelay-outcome"] == "not_run"
        assert 0 < float(refused.headers["retry-after"]) <= 5.0
        assert runner.runs == []
        benign = await rig.call(
            "/chat/a", attempt="a-2", Prompt_Prefix="first:60,own:500"
        )
        assert benign.status == 200 and benign.complete


async def test_a_suspected_prompt_is_not_sent_again_after_it_may_have_run():
    """Guards against a refusal as not run of a prompt that an engine had."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("engine", work_s=0.2)
        runner.faults.lose = True
        call = asyncio.create_task(
            rig.call("/chat/a", Prompt_Prefix="first:60,d:40,own:500")
        )
        await asyncio.sleep(0.1)
        now = time.monotonic()
        for age_s, engine in ((2.0, "e-1@1"), (1.0, "e-2@1")):
            prompts = frozenset([PARTS])
            rig.crashes.memory.record_crash(
                Crash(key=engine, at=now - age_s, prompts=prompts), now
            )
        answer = await call
        assert answer.status == 502
        assert len(runner.runs) == 1
