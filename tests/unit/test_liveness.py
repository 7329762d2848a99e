"""Guard against lost sessions that go unnoticed and live ones that are dropped."""

from acaciarelay.state.liveness import Liveness


def new() -> Liveness:
    return Liveness(heartbeat_s=1.0, silence_s=3.0, last_heard=0.0)


def test_an_idle_session_may_be_silent_for_longer() -> None:
    liveness = new()
    assert not liveness.silent(15.0)
    assert liveness.silent(15.1)


def test_an_active_session_is_lost_after_the_limit() -> None:
    liveness = new()
    liveness.set_active(True, 0.0)
    assert not liveness.silent(3.0)
    assert liveness.silent(3.1)


def test_a_session_that_becomes_active_has_time_to_answer() -> None:
    """The last heartbeat of an idle session may be older than the active limit."""
    liveness = new()
    liveness.set_active(True, 10.0)
    assert not liveness.silent(13.0)
    assert liveness.silent(13.1)


def test_any_message_serves_as_a_heartbeat() -> None:
    """Heartbeats beside a stream of messages would only cost processor time."""
    liveness = new()
    liveness.set_active(True, 0.0)
    liveness.sent(10.0)
    assert not liveness.heartbeat_due(10.9)
    assert liveness.heartbeat_due(11.0)


def test_heartbeats_come_more_often_when_active() -> None:
    liveness = new()
    assert liveness.heartbeat_due(5.0)
    assert not liveness.heartbeat_due(6.5)
    liveness.set_active(True, 6.5)
    assert liveness.heartbeat_due(6.5)
    assert not liveness.heartbeat_due(7.0)
