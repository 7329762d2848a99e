"""Guard against uploads that are cut while their endpoint reads slowly and steadily."""

import asyncio

import pytest
from integration.platform_fleet import PlatformFleet, exchange, request_head
from integration.slow_peers import LIMIT_MS, SlowEndpoint, start_fleet
from relay_rig import registration

BODY_BYTES = 160_000
# Slow enough that the body waits for the endpoint's window for longer than a gone
# endpoint may leave data unacknowledged.
BYTES_PER_S = 19_000
UPLOADS = 6


class SlowUploadEndpoint(SlowEndpoint):
    """An endpoint that reads requests slowly, and answers them once they are whole."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.arrivals += 1
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n") if ": " in line
        )
        left = int(fields["content-length"])
        try:
            while left > 0:
                data = await reader.read(self.bytes_per_s // 10)
                if not data:
                    return
                left -= len(data)
                await asyncio.sleep(0.1)
            answer = "HTTP/1.1 200 OK\r\nRunner-Seal: s\r\nContent-Length: 2\r\n"
            answer += f"Attempt-Id: {fields['attempt-id']}\r\n\r\nok"
            writer.write(answer.encode())
            await writer.drain()
        finally:
            writer.close()


@pytest.mark.parametrize("slow_peers", [False, True])
async def test_an_upload_waits_for_an_endpoint_that_reads_on(tmp_path, slow_peers):
    """Guards against endpoints that read on and are taken for gone."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet, 300.0, slow_peers=slow_peers)
        endpoint = SlowUploadEndpoint(BYTES_PER_S)
        server, address = await endpoint.listen("127.0.0.1")
        row = registration("uploads", address, slots=UPLOADS)
        fleet.store.put("servers", "i-9", row)
        await asyncio.sleep(2.5)
        uploads = []
        for number in range(UPLOADS):
            head = request_head(
                "/upload/a", f"u-{number}", limit_ms=LIMIT_MS, body_bytes=BODY_BYTES
            )
            call = exchange(entry.settings["caller_address"], head + b"x" * BODY_BYTES)
            uploads.append(asyncio.create_task(call))
        answers = await asyncio.gather(*uploads)
        assert [answer.status for answer in answers] == [200] * UPLOADS
        assert endpoint.arrivals == UPLOADS
        server.close()
