"""Guard against promises that break when faults overlap: a short seeded soak."""

import pytest
from soak import Soak

SEEDS = (1, 2)
SECONDS = 6.0


@pytest.mark.parametrize("seed", SEEDS)
async def test_short_soak(seed, tmp_path):
    soak = Soak(seed, SECONDS, tmp_path)
    broken = await soak.run()
    assert not broken, "\n".join([*broken, *soak.history])
    assert any(call.answer and call.answer.status == 200 for call in soak.calls)
