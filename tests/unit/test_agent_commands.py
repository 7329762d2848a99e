"""Guard against an engine without its models, and against commands in a drain.

An engine that restarts has lost its models, so they have to be loaded again.
"""

import random

from unit.scripted_platform import ScriptedPlatform

from acaciarelay.programs.agent_commands import CommandConfig, CommandRunner
from acaciarelay.programs.metrics import Metrics
from acaciarelay.transport.endpoints.chat_engine import ChatEngine

CONFIG = CommandConfig(
    endpoint="e1",
    holder="e1/1",
    checks_fencing=True,
    lease_s=10.0,
    command_timeout_s=10.0,
    load_slots=1,
)


def test_a_restarted_engine_gets_its_models_again() -> None:
    adapter = ChatEngine("127.0.0.1:1")
    rng = random.Random(1)
    runner = CommandRunner(CONFIG, adapter, ScriptedPlatform(), Metrics(), rng)
    runner.set_models(["m"])
    runner.loaded.add("m")
    assert runner.state().missing == []
    runner.set_endpoint_up(False)
    assert runner.state().missing == []
    runner.set_endpoint_up(True)
    assert runner.state().missing == ["m"]
    runner.set_active(False)
    assert runner.state().missing == []
