"""Guard against violated guarantees under overlapping faults: a short seeded soak."""

import pytest
from soak import Soak

SECONDS = 6.0
# With seed 28 an entry gets SIGTERM before it listens and ends by the signal, which
# must not count as a violation.
SEEDS = ((1, SECONDS), (2, SECONDS), (28, 10.0))


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
async def test_overlapping_faults_violate_no_guarantee(seed, seconds, tmp_path):
    """Guards against repeated runs, false refusals, wrong answers and no recovery."""
    soak = Soak(seed, seconds, tmp_path)
    violations = await soak.run()
    assert not violations, "\n".join([*violations, *soak.history])
    assert any(call.answer and call.answer.status == 200 for call in soak.calls)
