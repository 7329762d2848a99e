"""Registration of a stand-in of a runner in the store."""

import asyncio
import contextlib
import time
from typing import Any, Protocol

import orjson

from acaciarelay.transport.endpoint_call import connect

__all__ = ["Registered", "register"]

INTERVAL_S = 1.0


class Registered(Protocol):
    """What a registration says of its runner."""

    endpoint_id: str
    slots: int
    version: str


async def register(
    store: str, address: str, service: str, zone: str, runner: Registered
) -> None:
    """Renew the registration in the store every second, as a runner does."""
    sequence = 0
    born = int(time.time() * 1000)
    while True:
        sequence += 1
        value: dict[str, Any] = {
            "service": service,
            "address": address,
            "zone": zone,
            "version": runner.version,
            "slots": runner.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": sequence,
            "born": born,
        }
        row = {"table": "servers", "key": runner.endpoint_id, "value": value}
        await _post(store, "/put", orjson.dumps(row))
        await asyncio.sleep(INTERVAL_S)


async def _post(address: str, path: str, body: bytes) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(2.0):
            connection = (await connect(address, 1.0)).ok()
            if connection is None:
                return
            headers = [("Host", address), ("Content-Length", str(len(body)))]
            connection.send("POST", path, headers, body)
            await connection.next_event()
            connection.close()
