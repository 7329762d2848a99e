"""Which peers are gone, by what the kernel tells of data that was sent to them."""

from acaciarelay.coordination.peer_liveness import PeerLiveness, SendState

LIMIT_S = 4.0


def state(queued=1000, in_flight=False, unanswered=0, answered_ago_s=0.0):
    return SendState(
        queued_bytes=queued,
        is_in_flight=in_flight,
        unanswered=unanswered,
        answered_ago_s=answered_ago_s,
    )


def test_a_host_that_answers_probes_is_not_gone_however_long_it_reads_nothing():
    """Guards against slow readers that are ended since their window stays closed."""
    peer = PeerLiveness(LIMIT_S)
    for now in range(100):
        assert not peer.is_gone(state(answered_ago_s=now / 2), float(now))


def test_a_host_that_leaves_data_or_probes_unanswered_is_gone():
    """Guards against gone peers that hold slots and memory."""
    for in_flight in (True, False):
        peer = PeerLiveness(LIMIT_S)
        gone_at = None
        for tick in range(20):
            now = tick / 2
            silent = state(1000, in_flight, 1 + tick, now + 1.0)
            if peer.is_gone(silent, now):
                gone_at = now
                break
        assert gone_at == LIMIT_S


def test_a_probe_on_its_way_is_no_silence():
    """Guards against an unanswered probe judged by the pause before it.

    Probes of a window that stays closed are up to minutes apart.
    """
    peer = PeerLiveness(LIMIT_S)
    assert not peer.is_gone(state(unanswered=1, answered_ago_s=30.0), 100.0)
    assert not peer.is_gone(state(unanswered=0, answered_ago_s=0.4), 100.5)
    assert not peer.is_gone(state(unanswered=1, answered_ago_s=30.0), 130.0)


def test_an_answer_between_two_silences_begins_them_anew():
    """Guards against single lost packets that add up on a lossy link."""
    peer = PeerLiveness(LIMIT_S)
    for tick in range(40):
        now = tick * 0.5
        answered_ago_s = (now % 3.0) + 0.1
        assert not peer.is_gone(state(1000, True, 1, answered_ago_s), now)


def test_nothing_is_expected_of_a_peer_that_has_all():
    """Guards against an old silence that counts after the data was acknowledged."""
    peer = PeerLiveness(LIMIT_S)
    assert not peer.is_gone(state(1000, True, 2, 1.0), 0.0)
    assert not peer.is_gone(state(queued=0), 1.0)
    assert not peer.is_gone(state(1000, True, 2, 9.0), 9.0)
