"""Time of the event loop that reading takes, by connection."""

from acaciarelay.coordination.loop_budget import LONG_STEP_S, LoopBudget, Reader


def test_the_time_is_counted_by_reader():
    budget = LoopBudget()
    for peer in ("10.0.0.1:1", "10.0.0.2:1"):
        budget.open(Reader.ENDPOINT, peer).spend(0.25, 100)
    budget.open(Reader.CALLER, "10.0.0.3").spend(0.5, 100)
    assert budget.seconds[Reader.ENDPOINT] == 0.5
    assert budget.seconds[Reader.CALLER] == 0.5
    assert budget.seconds[Reader.STORE] == 0


def test_a_long_step_tells_which_connection_held_the_loop():
    """Guards against a held event loop that nothing can be traced to."""
    steps = []
    budget = LoopBudget(steps.append)
    loop_time = budget.open(Reader.ENDPOINT, "10.0.0.1:1")
    loop_time.spend(LONG_STEP_S / 2, 10)
    loop_time.spend(LONG_STEP_S, 262_144)
    assert [(step.peer, step.size) for step in steps] == [("10.0.0.1:1", 262_144)]
