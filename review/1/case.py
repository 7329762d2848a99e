"""An engine writes blank lines without end; do the entries still answer in time?"""

import asyncio
import contextlib
import time
from pathlib import Path

from rig import (
    BROKEN,
    HELD,
    NOT_RUN,
    Program,
    Rig,
    call,
    manifest,
    plain_answer,
    read_head,
    request_head,
    route,
    run_case,
    start_engine,
    trouble_wanted,
)

ORDER_WORK_S = 0.03
ORDER_TIMEOUT_S = 1.0
# The rule's allowance after the route's time limit.
LATE_S = 0.5
LEAST_UNANSWERED = 8
# Engines of the deployment, of which the last is in trouble.
ENGINES = 5
TROUBLE_S = 12.0
# Callers of streams and of orders at each entry.
STREAM_CALLERS = 6
ORDER_CALLERS = 6
# A caller abandons a stream after a gap of two seconds.
GAP_S = 2.0


async def serve_orders(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer orders, each after its work."""
    while True:
        _, fields = await read_head(reader)
        await asyncio.sleep(ORDER_WORK_S)
        writer.write(plain_answer(b"placed", fields, "orders-1"))


class Load:
    """The callers of one day, and how long each order took to be answered."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.end_at = time.monotonic() + TROUBLE_S
        # Seconds from the sending of each order to its final answer.
        self.orders_s: list[float] = []
        self.statuses: dict[str, int] = {}
        self.unready = 0
        self.asked_ready = 0

    async def stream_caller(self, entry: Program, name: str) -> None:
        count = 0
        while time.monotonic() < self.end_at:
            count += 1
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                await self.read_stream(entry, f"{name}-{count}")
            await asyncio.sleep(0.05)

    async def read_stream(self, entry: Program, attempt: str) -> None:
        host, _, port = entry.settings["caller_address"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        try:
            fields = ("Token-Usage: 600,51", "Prompt-Prefix: a1:60,b2:540", "Model: m")
            writer.write(request_head("/chat/a", attempt, 6000, *fields))
            event_at = time.monotonic()
            while time.monotonic() - event_at < GAP_S:
                left_s = event_at + GAP_S - time.monotonic()
                async with asyncio.timeout(max(0.01, left_s)):
                    data = await reader.read(1 << 20)
                if not data or b"0\r\n\r\n" in data:
                    return
                if b"id: " in data:
                    event_at = time.monotonic()
        finally:
            writer.transport.abort()

    async def order_caller(self, entry: Program, name: str) -> None:
        count = 0
        while time.monotonic() < self.end_at:
            count += 1
            attempt = f"{name}-{count}"
            sent_at = time.monotonic()
            status = "no answer"
            # A caller waits no longer than its own time limit.
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                async with asyncio.timeout(2.0):
                    request = request_head("/order/a", attempt, 2000)
                    answer = await call(entry.settings["caller_address"], request)
                    status = str(answer.status)
            taken_s = time.monotonic() - sent_at
            self.orders_s.append(taken_s)
            self.statuses[status] = self.statuses.get(status, 0) + 1
            self.rig.record(f"order {attempt}: {status} after {taken_s:.2f} s")
            await asyncio.sleep(0.1)

    async def platform(self, entry: Program) -> None:
        """Ask each second whether the entry is ready."""
        while time.monotonic() < self.end_at:
            asked_at = time.monotonic()
            ready = await self.rig.is_ready(entry)
            self.asked_ready += 1
            self.unready += not ready
            if not ready:
                self.rig.record(
                    f"{entry.name} does not say within 1 s that it is ready"
                )
            await asyncio.sleep(max(0.0, asked_at + 1.0 - time.monotonic()))


async def case() -> int:
    async with Rig(Path(__file__).parent) as rig:
        rig.configure(
            manifest(
                1,
                [
                    route("chat", "streaming", "engines", resumable=True)
                    | {"timeoutMs": 6000},
                    route("order", "non_idempotent", "orders")
                    | {"timeoutMs": int(ORDER_TIMEOUT_S * 1000), "maxAttempts": 1},
                ],
            )
        )
        mode = "blank" if trouble_wanted() else "sound"
        for number in range(1, ENGINES + 1):
            engine_mode = mode if number == ENGINES else "sound"
            engine = await start_engine(rig, number, engine_mode)
            rig.register(f"i-{number}", "engines", engine.address, 9)
            await rig.add_agent(number, engine.address)
        orders = await rig.serve("127.0.2.9", serve_orders)
        rig.register("i-9", "orders", orders, 6)
        entries = [await rig.add_entry(number) for number in (1, 2)]
        await asyncio.sleep(4.0)
        load = Load(rig)
        tasks = []
        for entry in entries:
            for number in range(STREAM_CALLERS):
                tasks.append(load.stream_caller(entry, f"chat-{entry.name}-{number}"))
            for number in range(ORDER_CALLERS):
                tasks.append(load.order_caller(entry, f"order-{entry.name}-{number}"))
            tasks.append(load.platform(entry))
        await asyncio.gather(*tasks)
        unanswered = [s for s in load.orders_s if s > ORDER_TIMEOUT_S]
        late = [s for s in unanswered if s > ORDER_TIMEOUT_S + LATE_S]
        memory = ", ".join(f"{entry.memory_mb():.0f} MB" for entry in entries)
        summary = (
            f"{len(load.orders_s)} orders {load.statuses}; "
            f"{len(unanswered)} unanswered at the route's timeoutMs, "
            f"{len(late)} of them {LATE_S} s later; "
            f"not ready {load.unready} of {load.asked_ready} times; "
            f"memory of the entries {memory}"
        )
        rig.record(summary)
        print(summary)
        if not load.orders_s:
            return NOT_RUN
        broken = len(unanswered) >= LEAST_UNANSWERED and len(late) * 2 > len(unanswered)
        return BROKEN if broken else HELD


run_case(case)
