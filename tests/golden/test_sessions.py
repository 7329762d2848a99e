"""Guard against unintended changes of the bytes that callers and endpoints receive.

Each golden file holds the bytes that a caller sent and received and the request that
the endpoint recorded. Ids, times and ports are replaced by fixed words. The sizes of
the chunks of a streamed answer depend on timing, so the file holds only their data.
``pytest --regenerate-golden`` writes the files again.
"""

import re
from pathlib import Path
from typing import Any

import attrs
import orjson
import pytest
from integration.raw_caller import RawCaller
from integration.support import (
    CHAT_PATH,
    KEY,
    MODEL,
    ORDERS_PATH,
    apply,
    key_hash,
    record,
    standard_records,
)

from acaciarelay_standins.fleet import Fleet

SESSIONS_DIRECTORY = Path(__file__).parent / "sessions"
LIMITED_KEY = "limited-key"
READ_TIMEOUT_S = "1"

REPLACEMENTS = [
    (rb"\b[0-9a-f]{24}\b", b"REQUEST-ID"),
    (rb"127\.0\.0\.1:\d+", b"127.0.0.1:PORT"),
    (rb"retry-after: \d+", b"retry-after: SECONDS"),
    (rb'"retry_after_s":[0-9.]+', b'"retry_after_s":SECONDS'),
    (rb'"(start|end|at)": [0-9.]+', rb'"\1": TIME'),
]


@attrs.frozen
class Session:
    """One request; ``length`` overrides its Content-Length, -1 omits the field.

    ``earlier`` requests of the same form are sent first and are not recorded.
    """

    name: str
    body: bytes = b""
    method: str = "POST"
    path: str = CHAT_PATH
    key: str = KEY
    fields: tuple[str, ...] = ()
    length: int | None = None
    raw: bytes = b""
    earlier: int = 0

    def render(self) -> bytes:
        """Return the bytes of the request."""
        if self.raw:
            return self.raw
        lines = [f"{self.method} {self.path} HTTP/1.1", "Host: entry"]
        if self.key:
            lines.append(f"Authorization: Bearer {self.key}")
        lines += [*self.fields, "Connection: close"]
        length = len(self.body) if self.length is None else self.length
        if length >= 0:
            lines.append(f"Content-Length: {length}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


def chat(model: str = MODEL, stream: bool = True) -> bytes:
    return orjson.dumps(
        {
            "model": model,
            "stream": stream,
            "max_tokens": 3,
            "messages": [{"role": "user", "content": "a bowl"}],
        }
    )


ORDER = "Idempotency-Key: order-1"
SESSION_LIST = [
    Session("streamed_answer", chat()),
    Session("whole_answer", chat(stream=False)),
    Session("order", b"oak", path=ORDERS_PATH, fields=(ORDER,)),
    Session("replayed_order", b"oak", path=ORDERS_PATH, fields=(ORDER,)),
    Session("100_malformed_http", raw=b"no request line\r\n\r\n"),
    Session("101_head_too_large", raw=b"GET / HTTP/1.1\r\nX: " + b"x" * 20_000),
    Session("102_body_too_large", length=1 << 40),
    Session("103_body_too_slow", b"{", length=10),
    Session("104_invalid_json", b"{no json"),
    Session("105_invalid_field", chat(), fields=("Acaciarelay-Timeout-Ms: soon",)),
    Session("106_unknown_path", path="/v1/unknown"),
    Session("107_method_not_allowed", method="GET"),
    Session("108_length_required", length=-1, fields=("Transfer-Encoding: chunked",)),
    Session("200_unknown_key", chat(), key="no-such-key"),
    Session("201_unknown_model", chat("no-such-model")),
    Session("202_unknown_service", path="/v1/services/no-such/lookups/1", method="GET"),
    Session("203_tier_not_allowed", chat(), fields=("Acaciarelay-Class: none",)),
    Session("204_rate_limited", chat(), key=LIMITED_KEY, earlier=1),
    Session("301_deadline_exceeded", chat(), fields=("Acaciarelay-Timeout-Ms: 1",)),
    Session(
        "303_no_endpoint", chat("absent-1"), fields=("Acaciarelay-Timeout-Ms: 2000",)
    ),
    Session("400_key_required", b"oak", path=ORDERS_PATH),
    Session("401_key_conflict", b"ash", path=ORDERS_PATH, fields=(ORDER,)),
    Session("700_operator_key_required", path="/admin/v1/status", method="GET"),
]


def golden_records() -> list[dict[str, Any]]:
    limited = record(
        "organisation",
        "limited",
        key_hashes=[key_hash(LIMITED_KEY)],
        policy="standard",
        tokens_per_second=1,
        burst_tokens=1,
    )
    empty = record("pool", "empty", kind="chat", models=["absent-1"])
    return [*standard_records(), limited, empty]


def join_chunks(answer: bytes) -> bytes:
    """Return a chunked answer without its chunk sizes, any other one unchanged."""
    head, end, rest = answer.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" not in head.lower():
        return answer
    data = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        data += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return head + end + data


async def exchange_bytes(fleet: Fleet, session: Session) -> bytes:
    """Send a request and return its answer, to the end of the connection."""
    async with RawCaller(fleet.entries["entry-1"].http_address) as caller:
        await caller.send(session.render())
        received = join_chunks(await caller.read_to_end())
    if b'"retry_after_s"' in received:
        # The retry time has jitter, so its number of digits varies.
        received = re.sub(rb"content-length: \d+", b"content-length: N", received)
    return received


async def run_session(fleet: Fleet, session: Session, endpoints: list[str]) -> bytes:
    """Run one session and return the text for its golden file."""
    for _ in range(session.earlier):
        await exchange_bytes(fleet, session)
    before = [len((await fleet.record(a))["requests"]) for a in endpoints]
    received = await exchange_bytes(fleet, session)
    parts = [b"--- sent ---", session.render(), b"--- received ---", received]
    for address, count in zip(endpoints, before, strict=True):
        requests = (await fleet.record(address))["requests"]
        for item in requests[count:]:
            text = orjson.dumps(item, option=orjson.OPT_INDENT_2)
            parts += [b"--- recorded by the endpoint ---", text]
    text = b"\n".join(parts).replace(b"\r\n", b"\n") + b"\n"
    for pattern, word in REPLACEMENTS:
        text = re.sub(pattern, word, text)
    # Shorten the filler of the oversized head.
    return text.replace(b"x" * 20_000, b"FILLER")


async def test_sessions_match_their_golden_files(
    tmp_path: Path, pytestconfig: pytest.Config
) -> None:
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform()
        engine = await fleet.start_engine("engine")
        service = await fleet.start_service("service")
        await fleet.start_entry(
            "entry-1", "zone-a", "region-a", "--read-timeout-s", READ_TIMEOUT_S
        )
        await fleet.start_agent("agent-1", "assistants", "chat", engine)
        await fleet.start_agent("agent-2", "shop", "service", service)
        await apply(fleet, golden_records())
        await fleet.wait_ready()

        for session in SESSION_LIST:
            actual = await run_session(fleet, session, [engine, service])
            number = session.name.partition("_")[0]
            if number.isdigit():
                assert f"acaciarelay-code: {number}\n".encode() in actual, session.name
            path = SESSIONS_DIRECTORY / f"{session.name}.txt"
            if pytestconfig.getoption("--regenerate-golden"):
                path.write_bytes(actual)
            assert actual.decode() == path.read_bytes().decode(), session.name


def test_each_golden_file_has_a_session() -> None:
    """Guard against golden files that no session is compared with."""
    names = {session.name for session in SESSION_LIST}
    assert names == {path.stem for path in SESSIONS_DIRECTORY.glob("*.txt")}
