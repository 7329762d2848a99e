"""Headers of callers and runners that hold more than can be calculated with."""

import pytest
from relay_rig import RelayRig, registration

from acaciarelay.platform.headers import decode_load, decode_retry_after
from acaciarelay_standins.inbound_standin import listen
from acaciarelay_standins.platform_runner import PlatformRunner

LARGE = "9" * 400
UNREADABLE = "9" * 5_000


@pytest.mark.parametrize(
    "fields",
    [
        {"Token_Usage": f"{LARGE},30"},
        {"Token_Usage": f"100,{LARGE}"},
        {"Token_Usage": f"{UNREADABLE},1"},
        {"Token_Usage": "nan,1"},
        {"Token_Usage": "1e400,1"},
        {"Token_Usage": "-1,1"},
        {"Deadline_Ms": "nan"},
        {"Deadline_Ms": "inf"},
        {"Deadline_Ms": LARGE},
        {"Deadline_Ms": "-5"},
        {"Length_Hint": LARGE},
        {"Length_Hint": UNREADABLE},
        {"Length_Hint": "\xb2"},
        {"Last_Event_Id": LARGE},
    ],
    ids=lambda fields: "-".join(f"{k}-{v[:6]!a}" for k, v in fields.items()),
)
async def test_an_odd_figure_of_a_caller_ends_in_an_answer_or_a_refusal(fields):
    """Guards against internal errors that a header of a caller can cause."""
    async with RelayRig() as rig:
        await rig.add_runner("engine")
        answer = await rig.call("/chat/a", **fields)
        code = answer.headers.get("acaciarelay-code")
        assert answer.status in (200, 400, 503), (answer.status, code)
        if "Last_Event_Id" in fields:
            # The caller names no request that has begun the stream.
            assert code == "309"
        else:
            assert code in (None, "105", "300")
        after = await rig.call("/chat/a", attempt="a-2")
        assert after.status == 200 and after.complete


class NotingRunner(PlatformRunner):
    """A runner whose answers have a header beyond ASCII."""

    def load_report(self):
        return [("X-Note", "\xe4\xff")]


async def test_headers_beyond_ascii_are_forwarded_as_they_are():
    """Guards against internal errors for bytes that HTTP allows in headers."""
    async with RelayRig() as rig:
        runner = NotingRunner("i-1")
        server, address = await listen(runner.handle, "127.0.0.1:0")
        rig.servers.append(server)
        rig.row("servers", "i-1", registration("engine", address))
        answer = await rig.call("/chat/a", X_Note="\xe9")
        assert answer.status == 200 and answer.complete
        assert runner.headers_seen[0]["x-note"].encode("latin-1") == "\xe9".encode()
        assert answer.headers["x-note"] == "\xe4\xff"


@pytest.mark.parametrize(
    "text",
    ["", "1", "1,2", "a,b,c", f"{LARGE},1,1", f"1,1,1,{LARGE}", f"1,1,1,{UNREADABLE}"],
)
def test_an_odd_load_report_is_unreadable(text):
    assert decode_load([("runner-load", text)]) is None


@pytest.mark.parametrize("text", ["", "soon", "nan", "-1", "-inf", "0x10", "1,5"])
def test_an_odd_retry_after_is_none(text):
    assert decode_retry_after([("retry-after", text)]) is None


@pytest.mark.parametrize(
    ("text", "seconds"), [("2", 2.0), ("0.5", 0.5), ("inf", 3600.0), (LARGE, 3600.0)]
)
def test_a_retry_after_is_bounded(text, seconds):
    assert decode_retry_after([("retry-after", text)]) == seconds
