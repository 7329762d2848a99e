"""Guard against persistent connections that fail between two requests."""

from pathlib import Path

from integration.cluster import start_cluster
from integration.raw_caller import RawCaller
from integration.support import chat_body

from acaciarelay_standins.answers import expected_chat_answer


async def test_a_persistent_connection_serves_one_request_after_another(
    tmp_path: Path,
) -> None:
    """Guard against an answer after which the connection can't be used."""
    async with start_cluster(tmp_path, proxied=False) as cluster:
        address = cluster.fleet.entries["entry-1"].http_address
        async with RawCaller(address) as caller:
            for number in range(3):
                body = chat_body(f"request {number}", 8, stream=False)
                await caller.send_request(body)
                status, answer = await caller.read_answer()
                assert status == 200
                assert answer == expected_chat_answer(body)
        assert "Traceback" not in cluster.fleet.entries["entry-1"].process.log()
