"""Rows of other writers: they name no endpoint, and entries go on without harm."""

import asyncio

import orjson
import pytest
from integration.platform_fleet import PlatformFleet
from relay_rig import RelayRig, registration

from acaciarelay.platform.configuration import FormatError, decode_configuration
from acaciarelay.platform.endpoints import decode_endpoint, decode_report
from acaciarelay.transport.endpoint_call import connect

GOOD = registration("orders", "127.0.0.1:8001")
LARGE = 10**400
DEPTH = 100_000


def text(**fields):
    """Return a registration as JSON text; values are JSON texts themselves."""
    members = {name: orjson.dumps(value).decode() for name, value in GOOD.items()}
    members |= fields
    inside = ",".join(f'"{name}":{value}' for name, value in members.items())
    return ("{" + inside + "}").encode()


ODD_ROWS = {
    "deeply nested": text(zone="[" * DEPTH + "]" * DEPTH),
    "nested and open": b"[" * DEPTH,
    "not an object": b"[1]",
    "no bytes": b"",
    "no text": b"\xff\xfe\x00",
    "number without end": text(slots="9" * 5_000),
    "number beyond a float": text(slots="1e400"),
    "slots beyond any engine": text(slots="1e300"),
    "negative slots": text(slots="-8"),
    "no slots": text(slots="0"),
    "slots as text": text(slots='"8"'),
    "slots as truth": text(slots="true"),
    "start beyond a float": text(born="1e999"),
    "start as text": text(born='"now"'),
    "negative start": text(born="-1"),
    "port out of range": text(address='"127.0.0.1:99999"'),
    "port zero": text(address='"127.0.0.1:0"'),
    "negative port": text(address='"127.0.0.1:-1"'),
    "port in other digits": text(address='"127.0.0.1:\u0661\u0662"'),
    "port with a space": text(address='"127.0.0.1: 80"'),
    "host name": text(address='"localhost:8001"'),
    "host that is no name": text(address='"..:8001"'),
    "long host": text(address='"' + "a" * 5_000 + ':8001"'),
    "host beyond ASCII": text(address='"\u00e4\u00f6:8001"'),
    "host with a line end": text(address='"127.0.0.1\\r\\n:8001"'),
    "any host": text(address='"0.0.0.0:8001"'),
    "broadcast": text(address='"255.255.255.255:8001"'),
    "multicast": text(address='"224.0.0.1:8001"'),
    "address as number": text(address="17"),
    "zone as number": text(zone="17"),
    "service as list": text(service='["orders"]'),
    "unknown state": text(state='"sleeping"'),
    "state as list": text(state="[]"),
}


@pytest.mark.parametrize("name", ODD_ROWS)
async def test_an_odd_registration_names_no_endpoint(name):
    """Guards against processes that end, or stop to follow the list, at one odd row."""
    async with RelayRig() as rig:
        await rig.add_runner("orders")
        rig.row("servers", "i-odd", ODD_ROWS[name])
        listed = [endpoint.endpoint_id for endpoint in rig.cache.endpoints.all()]
        assert listed == ["i-1"]
        for number in range(10):
            answer = await rig.call("/read/a", attempt=f"a-{number}")
            assert answer.status == 200
    with pytest.raises(FormatError):
        decode_endpoint("i-odd", ODD_ROWS[name])


@pytest.mark.parametrize("name", ["inFlight", "waiting", "kvUsed", "kvTotal"])
@pytest.mark.parametrize("value", ["1e999", "9" * 5_000, "[]", "null", '"x"'])
def test_an_odd_report_of_an_engine_is_an_error(name, value):
    members = dict.fromkeys(["inFlight", "waiting", "kvUsed", "kvTotal"], "1")
    members[name] = value
    inside = ",".join(f'"{key}":{figure}' for key, figure in members.items())
    with pytest.raises(FormatError):
        decode_report(("{" + inside + "}").encode())


@pytest.mark.parametrize("value", ["1e999", "[" * DEPTH, "null"])
@pytest.mark.parametrize("name", ["version", "routes", "tenants", "limits"])
def test_an_odd_configuration_is_an_error_or_read(name, value):
    """Guards against a feed that ends at a configuration."""
    data = f'{{"version": 1, "{name}": {value}}}'.encode()
    try:
        decode_configuration(data)
    except FormatError:
        return


@pytest.mark.parametrize("address", ["127.0.0.1:99999", "..:80", "127.0.0.1:x", ""])
async def test_a_connect_to_an_odd_address_is_a_failed_connect(address):
    """Guards against errors of a connect that nobody expects."""
    assert (await connect(address, 0.5)).is_err()


async def test_entries_and_agents_outlive_odd_rows(tmp_path):
    """Guards against processes that end by themselves, or no longer follow the list."""
    async with PlatformFleet(tmp_path) as fleet:
        await fleet.add_runner("engine", 1)
        await fleet.add_runner("orders", 3)
        await fleet.add_agent(1)
        await fleet.add_entry(1)
        for number, row in enumerate(ODD_ROWS.values()):
            fleet.store.put("servers", f"i-odd-{number}", row)
        await asyncio.sleep(1.5)
        await fleet.add_runner("orders", 4)
        await asyncio.sleep(1.5)
        for number in range(20):
            for target in ("/read/a", "/chat/a"):
                answer = await fleet.call("entry-1", target, f"{target}-{number}")
                assert answer.status == 200
        # The runner that came after the odd rows is in use.
        assert fleet.runners["i-4"].runs
        for program in fleet.programs.values():
            assert program.process.returncode is None
