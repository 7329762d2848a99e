"""Guard against requests lost by overlapping stops of entries: a short seeded load."""

import pytest
from stop_soak import StopSoak
from stop_soak_checks import Verdict

SEEDS = (2,)
# What a busy machine may delay a process or the test.
SLACK_S = 0.5


@pytest.mark.parametrize("seed", SEEDS)
async def test_overlapping_stops_lose_no_request(seed, tmp_path):
    """Guards against streams and orders without a complete answer around SIGTERM."""
    soak = StopSoak(seed, 1, tmp_path, SLACK_S)
    losses = await soak.run()
    assert not losses, "\n".join([*losses, *soak.history])
    assert soak.verdicts[Verdict.ANSWERED]
    assert soak.verdicts[Verdict.REFUSED]
