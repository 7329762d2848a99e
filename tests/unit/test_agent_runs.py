"""Guard against answers that an agent sends to its entry too early or too late."""

from acaciarelay.programs.agent_runs import RunOutput
from acaciarelay.protocol.codes import Outcome
from acaciarelay.state.dispatch_log import Dispatch


def output():
    sent = []
    dispatch = Dispatch("r-1", "entry-1", 1, False)
    return RunOutput(dispatch, lambda _, message: sent.append(message)), sent


def kinds(sent):
    return [message.WhichOneof("kind") for message in sent]


async def test_retained_answer_is_complete_only_with_its_end():
    """Guards against a caller that has a complete answer before its claim stores it.

    A repeat of such a request would find no stored result.
    """
    run_output, sent = output()
    run_output.retained_chunks = []
    await run_output.head(200, [("content-length", "6")])
    await run_output.chunk(b"abc")
    await run_output.chunk(b"def")
    assert kinds(sent) == ["head", "chunk"]
    run_output.end(0, Outcome.RAN, None)
    assert kinds(sent) == ["head", "chunk", "chunk", "end"]
    assert b"".join(m.chunk.data for m in sent[1:3]) == b"abcdef"
    numbers = [getattr(m, m.WhichOneof("kind")).seq for m in sent]
    assert numbers == sorted(set(numbers))


async def test_other_answers_are_sent_without_delay():
    """Guards against a stream whose newest token is delayed until the next one."""
    run_output, sent = output()
    await run_output.head(200, [])
    await run_output.chunk(b"token")
    assert kinds(sent) == ["head", "chunk"]
