"""A part of long prompts crashes engines; do the entries learn to keep it away?"""

import asyncio
import contextlib
import os
import time
from pathlib import Path

from fragile import FragileEngine
from rig import (
    BROKEN,
    HELD,
    NOT_RUN,
    Program,
    Rig,
    call,
    manifest,
    request_head,
    route,
    run_case,
    trouble_wanted,
)

ENGINES = 5
# Seconds of sound prompts alone, and then of both kinds.
CALM_S = 6.0
LOAD_S = 40.0
FATAL_INTERVAL_S = 0.25
SOUND_INTERVAL_S = 0.1
CONTACT_S = 3.0
# Requests with the part that may reach engines later than that after the fifth crash.
MOST_ARRIVALS = 3
# Sound prompts before and beside them from which on their shares are compared.
LEAST_SOUND = 20
# Parts that the prompts of a session share before the one that differs.
SHARED_PARTS = int(os.environ.get("SHARED_PARTS", "16"))
SHARED = [f"{0xA000 + number:x}" for number in range(SHARED_PARTS)]
FATAL = "dead"


class Load:
    """Callers of sound prompts and of prompts with the fatal part."""

    def __init__(self, rig: Rig, entries: list[Program]) -> None:
        self.rig = rig
        self.entries = entries
        self.statuses: dict[str, dict[str, int]] = {"sound": {}, "fatal": {}}
        # When each sound prompt was sent, and whether its answer began.
        self.sound: list[tuple[float, bool]] = []
        self.tasks: list[asyncio.Task] = []

    async def send(self, kind: str, number: int) -> None:
        """Send one prompt; its last part is its own, the one before it names the kind.

        Only prompts of the kind ``fatal`` hold the fatal part.
        """
        entry = self.entries[number % len(self.entries)]
        attempt = f"{kind}-{number}"
        subject = FATAL if kind == "fatal" else f"{0xB000 + number % 7:x}"
        parts = [*SHARED, subject, f"{0xF0000 + number:x}"]
        prefix = ",".join(f"{part}:40" for part in parts)
        fields = (f"Token-Usage: {40 * len(parts)},36", f"Prompt-Prefix: {prefix}")
        request = request_head("/chat/a", attempt, 6000, "Model: m", *fields)
        status = "none"
        sent_at = time.monotonic()
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(6.0):
                answer = await call(entry.settings["caller_address"], request)
                status = str(answer.status) if answer.complete else "cut"
        if kind == "sound":
            self.sound.append((sent_at, status in ("200", "cut")))
        counts = self.statuses[kind]
        counts[status] = counts.get(status, 0) + 1
        if kind == "fatal":
            self.rig.record(f"{attempt} at {entry.name}: {status}")

    async def run(self, kind: str, interval_s: float, seconds: float) -> None:
        end_at = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end_at:
            number += 1
            self.tasks.append(asyncio.create_task(self.send(kind, number)))
            await asyncio.sleep(interval_s)


async def case() -> int:
    async with Rig(Path(__file__).parent) as rig:
        fields = {"resumable": True, "timeoutMs": 6000}
        rig.configure(manifest(1, [route("chat", "streaming", "engines", **fields)]))
        engines = []
        for number in range(1, ENGINES + 1):
            engine = FragileEngine(rig, number, FATAL, trouble_wanted())
            await engine.start()
            await rig.add_agent(number, engine.address)
            engines.append(engine)
        entries = [await rig.add_entry(number) for number in (1, 2)]
        await asyncio.sleep(4.0)
        load = Load(rig, entries)
        sound = load.run("sound", SOUND_INTERVAL_S, CALM_S + LOAD_S)
        sound_task = asyncio.create_task(sound)
        await asyncio.sleep(CALM_S)
        calm_until = time.monotonic()
        await load.run("fatal", FATAL_INTERVAL_S, LOAD_S)
        await sound_task
        await asyncio.gather(*load.tasks)
        crashes = sorted(at for engine in engines for at in engine.crashes)
        arrivals = sorted(each for engine in engines for each in engine.fatal_arrivals)
        late = []
        beside = []
        if len(crashes) >= 5:
            late = [at for at, _ in arrivals if at > crashes[4] + CONTACT_S]
            beside_from = crashes[4] + 2 * CONTACT_S
            beside = [began for at, began in load.sound if at > beside_from]
        calm = [began for at, began in load.sound if at < calm_until]
        calm_share = sum(calm) / max(1, len(calm))
        beside_share = sum(beside) / len(beside) if beside else 1.0
        summary = (
            f"{SHARED_PARTS} shared parts before the fatal one; "
            f"{len(crashes)} crashes; {calm_share:.2f} of {len(calm)} sound prompts "
            f"began before, {beside_share:.2f} of {len(beside)} later than "
            f"2 x contactMs after the fifth crash; "
            f"{len(late)} fatal ones reached engines later than "
            f"contactMs after it; sound {load.statuses['sound']}, "
            f"fatal {load.statuses['fatal']}"
        )
        rig.record(summary)
        print(summary)
        if not load.statuses["sound"].get("200"):
            return NOT_RUN
        enough = min(len(calm), len(beside)) >= LEAST_SOUND
        lost = enough and beside_share * 2 < calm_share
        return BROKEN if lost or len(late) > MOST_ARRIVALS else HELD


run_case(case)
