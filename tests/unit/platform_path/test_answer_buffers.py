"""Which answers are read on, paused and cut when callers read slowly."""

from hypothesis import given, strategies as st

from acaciarelay.coordination.answer_buffers import (
    CUT_AFTER_S,
    FULL_CUT_AFTER_S,
    PAUSED_OVERHEAD_BYTES,
    SMALL_ANSWER_BYTES,
    AnswerBuffer,
    AnswerBuffers,
)

LIMIT_BYTES = 28_000_000
PIECE_BYTES = 100_000
PIECES = st.integers(10_000, 262_144)
# One step: an answer, what happens to it, and a size.
STEPS = st.lists(
    st.tuples(
        st.integers(0, 7),
        st.sampled_from(["add", "collect", "read", "drop", "close"]),
        st.integers(1, 1_000_000),
    ),
    max_size=200,
)


def add(answer: AnswerBuffer, size: int, now: float = 0.0) -> bool:
    """Hold a piece that the caller has not read, as far as there is room."""
    if not answer.reserve(size, now):
        return False
    answer.write(size, now)
    return True


def fill(answers: list[AnswerBuffer], size: int = PIECE_BYTES) -> None:
    """Let answers grow in turn whose callers read nothing, until none has room."""
    growing = list(answers)
    while growing:
        growing = [answer for answer in growing if add(answer, size)]


@given(st.integers(1_000_000, 6_000_000), STEPS)
def test_the_budget_is_never_exceeded(limit_bytes, steps):
    """Guards against memory that is counted twice, not at all or beyond the limit."""
    buffers = AnswerBuffers(limit_bytes)
    answers = [buffers.open(0.0) for _ in range(8)]
    for index, step, size in steps:
        answer = answers[index]
        match step:
            case "add":
                add(answer, size)
            case "collect":
                answer.reserve(size, 0.0)
            case "read":
                answer.read(min(size, answer.unread_bytes), 0.0)
            case "drop":
                answer.drop_reserved(size)
            case "close":
                answer.close()
        assert buffers.used_bytes == sum(a.charge_bytes for a in answers)
        assert 0 <= buffers.used_bytes <= limit_bytes
        held = sum(a.held_bytes + PAUSED_OVERHEAD_BYTES for a in buffers.large)
        assert held <= limit_bytes
        assert all(a.unread_bytes >= 0 and a.reserved_bytes >= 0 for a in answers)


@given(
    st.lists(st.integers(0, 3_000_000), min_size=2, max_size=30),
    PIECES,
)
def test_the_largest_backlogs_are_paused_first(sizes, piece):
    """Guards against an answer that is paused while a larger one is read on."""
    buffers = AnswerBuffers(LIMIT_BYTES)
    answers = [buffers.open(0.0) for _ in sizes]
    for answer, size in zip(answers, sizes, strict=True):
        if size:
            add(answer, size)
    by_size = sorted(answers, key=lambda answer: answer.held_bytes)
    have_room = [buffers.has_room(answer, piece) for answer in by_size]
    assert have_room == sorted(have_room, reverse=True)


@given(st.integers(1, 60), PIECES, st.integers(1, SMALL_ANSWER_BYTES))
def test_a_caller_that_reads_is_not_paused_beside_backlogs(silent, piece, read_piece):
    """Guards against backlogs of others that hold up callers which read."""
    buffers = AnswerBuffers(LIMIT_BYTES)
    fill([buffers.open(0.0) for _ in range(silent)], piece)
    # As many as the reserve holds, and no caller among them holds more than a piece.
    for _ in range(buffers.small_reserve_bytes // SMALL_ANSWER_BYTES):
        reading = buffers.open(0.0)
        assert add(reading, read_piece)
        reading.read(read_piece, 1.0)
        assert add(reading, read_piece, 1.0)


@given(st.integers(1, 20), st.integers(10_000, SMALL_ANSWER_BYTES))
def test_the_largest_silent_caller_is_cut_when_small_answers_have_no_room(
    silent, piece
):
    """Guards against a reading caller that waits while a silent one holds more."""
    buffers = AnswerBuffers(LIMIT_BYTES)
    fill([buffers.open(0.0) for _ in range(silent)])
    small = [buffers.open(0.0)]
    while add(small[-1], piece):
        small.append(buffers.open(0.0))
    small[-1].wait(piece)
    now = FULL_CUT_AFTER_S
    largest = max(a.held_bytes for a in buffers.large)
    overdue = buffers.overdue(now)
    assert overdue is not None and overdue.held_bytes == largest
    overdue.close()
    assert small[-1] in buffers.resumed(now)


def test_a_few_silent_callers_use_most_of_the_budget():
    """Guards against a budget that is left unused while slots are held."""
    buffers = AnswerBuffers(LIMIT_BYTES)
    answers = [buffers.open(0.0) for _ in range(3)]
    fill(answers)
    assert buffers.used_bytes > 0.75 * LIMIT_BYTES
    shares = [answer.held_bytes for answer in answers]
    assert max(shares) - min(shares) <= PIECE_BYTES


def test_paused_answers_go_on_with_the_smallest_first():
    """Guards against a large backlog that takes the room a small one waits for."""
    buffers = AnswerBuffers(LIMIT_BYTES)
    answers = [buffers.open(0.0) for _ in range(4)]
    for count, answer in enumerate(answers):
        for _ in range(20 * count):
            assert add(answer, PIECE_BYTES)
    fill(answers[3:])
    for answer in reversed(answers[:3]):
        answer.wait(PIECE_BYTES)
    answers[3].wait(PIECE_BYTES)
    assert buffers.resumed(1.0) == answers[:3]
    assert list(buffers.paused) == [answers[3]]


def test_no_caller_is_cut_while_there_is_room():
    """Guards against callers cut that take nothing which others need."""
    buffers = AnswerBuffers(LIMIT_BYTES)
    answer = buffers.open(0.0)
    assert add(answer, 1_000_000)
    assert buffers.overdue(1_000.0) is None


def test_the_largest_paused_caller_without_progress_is_cut():
    """Guards against a cut of a caller that reads, or of more than are necessary."""
    buffers = AnswerBuffers(LIMIT_BYTES)
    reading, silent, larger, whole = (buffers.open(0.0) for _ in range(4))
    for answer in (reading, silent, larger, whole):
        assert add(answer, 2_000_000)
    assert add(larger, 100_000)
    assert add(whole, 1_000_000)
    fill([reading])
    for answer in (reading, silent, larger):
        answer.wait(PIECE_BYTES)
    reading.read(1_000, CUT_AFTER_S / 2)
    assert buffers.overdue(CUT_AFTER_S - 0.01) is None
    assert buffers.overdue(CUT_AFTER_S) is larger
    larger.close()
    assert buffers.overdue(CUT_AFTER_S) is silent
    silent.close()
    # A whole answer holds no slot, so it is cut after those that do.
    assert buffers.overdue(CUT_AFTER_S) is whole
    whole.close()
    assert buffers.overdue(CUT_AFTER_S) is None


def test_a_caller_that_has_read_everything_is_not_cut():
    """Guards against a cut of a caller whose answer waits for room itself."""
    buffers = AnswerBuffers(LIMIT_BYTES)
    waiting = buffers.open(0.0)
    waiting.wait(2 * LIMIT_BYTES)
    assert buffers.overdue(100.0) is None


def test_progress_counts_from_the_first_unread_byte():
    """Guards against a caller cut for the time before it had anything to read."""
    buffers = AnswerBuffers(LIMIT_BYTES)
    late = buffers.open(0.0)
    assert add(late, 1_000_000, now=50.0)
    late.wait(2 * LIMIT_BYTES)
    assert buffers.overdue(50.0 + CUT_AFTER_S - 0.01) is None
    assert buffers.overdue(50.0 + CUT_AFTER_S) is late
