"""Messages on links: encoding and decoding, malformed lines, and size."""

import pytest

from acaciarelay.protocol.link_messages import (
    EngineState,
    EntryList,
    EntryUsage,
    Heartbeat,
    Hello,
    MessageError,
    PeerRow,
    PeerRows,
    PeerStatus,
    Ping,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    TableVersions,
    ZoneUsage,
    decode_message,
    encode_message,
)

SLOT_REQUEST = SlotRequest(
    request="9c41d07be2a35f68.17",
    organisation="hule930",
    rank=9,
    late=False,
    wait_s=0.2398,
    time_left_s=5.9998,
    prompt_tokens=2890,
    output_tokens=52,
    slots=8,
    asked=3,
)
MESSAGES = [
    Hello(name="entry-1", lifetime="aa", address="10.1.0.2:7601", zone="zone-a"),
    Heartbeat(),
    Ping(number=3, answer=True),
    SLOT_REQUEST,
    SlotGrant(request="a.1"),
    SlotRefusal(request="a.1"),
    SlotRelease(request="a.1", first_s=0.05, stream_s=0.4),
    EngineState(waits_s=[0.0, 0.05], first_s=0.03, token_s=0.025),
    EntryList(entries=["10.1.0.2:7601"]),
    PeerStatus(
        running_s=1.5,
        versions={"op": 3},
        wanted=["op"],
        peers=[],
        admitted={"hule930": 1200.0},
        demand={},
    ),
    PeerRows(
        versions={"op": 3},
        rows=[PeerRow(table="op", key="config", value="e30=", version=3)],
    ),
    TableVersions(versions={"op": 3}, wanted=["op"], peers=["10.1.0.2:7601"]),
    ZoneUsage(
        zone="zone-b",
        complete=False,
        forwarded=True,
        entries=[
            EntryUsage(
                address="10.1.0.2:7601",
                lifetime="aa",
                running_s=1.5,
                admitted={"hule930": 1200.0},
                demand={},
            )
        ],
    ),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_a_message_survives_encoding_and_decoding(message):
    """Guards against a field that is lost or decoded as another one."""
    line = encode_message(message)
    assert line.endswith(b"\n")
    assert decode_message(line[:-1]) == message


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"{}",
        b"7",
        b"[]",
        b'["nothing",1]',
        b'["ask","a"]',
        b'["engine",7]',
        b"\xff",
    ],
)
def test_a_malformed_line_is_an_error(line):
    """Guards against a malformed line from a peer that ends the process."""
    with pytest.raises(MessageError):
        decode_message(line)


def test_fields_that_a_newer_process_adds_are_ignored():
    """Guards against links that break while two versions run side by side."""
    assert decode_message(b'["grant","a.1","","later"]') == SlotGrant(request="a.1")


def test_messages_of_each_request_are_small():
    """Guards against messages that contain the names of their fields.

    The names would make up most of the bytes sent between regions. The bounds, in
    bytes, are too low for a message with them.
    """
    assert len(encode_message(SLOT_REQUEST)) < 100
    assert len(encode_message(EngineState(waits_s=[0.0, 0.105, 0.2]))) < 45
