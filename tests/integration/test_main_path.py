"""Guard against failures of the main path from caller to endpoint and back."""

from pathlib import Path

from integration.support import apply, chat, chat_body, order, standard_records

from acaciarelay_standins.answers import expected_chat_answer
from acaciarelay_standins.fleet import Fleet


async def test_an_answer_and_an_order_pass_through(tmp_path: Path) -> None:
    """Guards against a wrong answer, and a repeated order that runs twice."""
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform()
        engine = await fleet.start_engine("engine")
        service = await fleet.start_service("service")
        await fleet.start_entry("entry-1")
        await fleet.start_agent("agent-1", "assistants", "chat", engine)
        await fleet.start_agent("agent-2", "shop", "service", service)
        await apply(fleet, standard_records())
        await fleet.wait_ready()

        answer = await chat(fleet, "entry-1", "a bowl", 8)
        assert answer.complete
        assert answer.body == expected_chat_answer(chat_body("a bowl", 8))

        first = await order(fleet, "entry-1", "order-1", b"oak")
        again = await order(fleet, "entry-1", "order-1", b"oak")
        other = await order(fleet, "entry-1", "order-1", b"ash")
        assert first.status == again.status == 200
        assert first.body == again.body
        assert other.code == 401
        assert len((await fleet.record(service))["effects"]) == 1
