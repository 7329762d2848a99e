"""Guard against undetected session loss and against dropping live sessions."""

from acaciarelay.state.liveness import Liveness


def new_liveness() -> Liveness:
    return Liveness(heartbeat_s=1.0, silence_s=3.0, last_received_at=0.0)


def test_an_idle_session_has_a_longer_timeout() -> None:
    liveness = new_liveness()
    assert not liveness.timed_out(15.0)
    assert liveness.timed_out(15.1)


def test_an_active_session_is_lost_after_its_timeout() -> None:
    liveness = new_liveness()
    liveness.set_active(True, 0.0)
    assert not liveness.timed_out(3.0)
    assert liveness.timed_out(3.1)


def test_a_session_that_becomes_active_has_a_full_timeout() -> None:
    """Guards against a session that is lost at once when it becomes active.

    The last heartbeat of an idle session may be older than the active limit.
    """
    liveness = new_liveness()
    liveness.set_active(True, 10.0)
    assert not liveness.timed_out(13.0)
    assert liveness.timed_out(13.1)


def test_any_message_serves_as_a_heartbeat() -> None:
    """Guards against needless heartbeats beside a stream of messages."""
    liveness = new_liveness()
    liveness.set_active(True, 0.0)
    liveness.record_sent(10.0)
    assert not liveness.heartbeat_due(10.9)
    assert liveness.heartbeat_due(11.0)


def test_active_sessions_send_heartbeats_more_often() -> None:
    liveness = new_liveness()
    assert liveness.heartbeat_due(5.0)
    assert not liveness.heartbeat_due(6.5)
    liveness.set_active(True, 6.5)
    assert liveness.heartbeat_due(6.5)
    assert not liveness.heartbeat_due(7.0)
