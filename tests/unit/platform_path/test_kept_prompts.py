"""Load on engines that keep parts of prompts: tokens read with hints and without."""

import pytest
from kept_fleet_model import KeptFleetModel, PromptKind, play

HOLD_S = 0.25
PLAY_S = 8.0
ENGINES = 8
SLOTS = 6
HOT = "hot"


def draw_hot(rng):
    """Draw prompts of which a quarter share a long part."""
    own = int(rng.uniform(100, 1500))
    if rng.random() < 0.25:
        return [(HOT, 2000)], own
    return [(f"instructions-{rng.randrange(10_000)}", 60)], own


def draw_many(rng):
    """Draw prompts with one of many parts; one engine cannot keep them all."""
    number = rng.randrange(150)
    return [("all", 300), (f"part-{number}", 600 + 10 * number)], 200


def draw_none(rng):
    """Draw prompts that share too little to be named."""
    return [("instructions", 60)], int(rng.uniform(300, 3000))


def run(draw, hints, load=0.5, restart=False, seed=1, **options):
    kind = PromptKind(draw=draw)
    model = KeptFleetModel(ENGINES, SLOTS, seed, kind, hints, **options)
    if restart:
        for second in range(1, int(PLAY_S)):
            model.at(second, lambda: model.restart_engine(0))
    result = play(model, load, HOLD_S, PLAY_S)
    return model, result


def report(name, plain, hinted):
    for label, (model, result) in {"without": plain, "with": hinted}.items():
        print(
            f"{name} {label}: served {result.served} refused {result.refused} read"
            f" {model.tokens_read} mean first event {model.mean_first_event_s:.4f}"
        )


@pytest.mark.parametrize("load", [0.3, 0.6, 0.9])
def test_a_hot_part_is_read_seldom_and_loads_no_engine_alone(load):
    """Guards against a hot part that draws its requests to one engine."""
    plain, hinted = run(draw_hot, False, load), run(draw_hot, True, load)
    report(f"hot {load}", plain, hinted)
    model, result = hinted
    runs = [model.runs_of_part[HOT, index] for index in range(ENGINES)]
    print("runs", runs)
    assert result.served >= 0.98 * plain[1].served
    assert result.served_share >= plain[1].served_share - 0.01
    assert model.mean_first_event_s <= plain[0].mean_first_event_s * 1.05
    assert max(runs) < 0.6 * sum(runs)


@pytest.mark.parametrize(("load", "read"), [(0.4, 0.8), (0.6, 0.8), (0.9, 0.95)])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_many_parts_stay_at_few_engines_each(load, read, seed):
    """Guards against many parts that push each other out of all engines."""
    plain = run(draw_many, False, load, seed=seed)
    hinted = run(draw_many, True, load, seed=seed)
    report("many", plain, hinted)
    assert hinted[1].served >= 0.98 * plain[1].served
    assert hinted[0].tokens_read < read * plain[0].tokens_read
    assert hinted[0].mean_first_event_s < plain[0].mean_first_event_s


def test_prompts_without_long_parts_are_placed_as_before():
    """Guards against a cost for deployments that share no long parts."""
    plain, hinted = run(draw_none, False), run(draw_none, True)
    assert hinted[0].tokens_read == plain[0].tokens_read
    assert hinted[0].first_event_s == plain[0].first_event_s


@pytest.mark.parametrize(
    "options",
    [{"restart": True}, {"hint_delay_s": 1.0}, {"mix_up": True}],
    ids=["restarts", "late", "wrong"],
)
def test_bad_hints_cost_reads_only(options):
    """Guards against requests that fail or wait for engines that keep nothing."""
    plain, hinted = run(draw_many, False, 0.4), run(draw_many, True, 0.4, **options)
    report(f"bad {options}", plain, hinted)
    assert hinted[1].served >= 0.98 * plain[1].served
    assert hinted[1].served_share >= plain[1].served_share - 0.01
    assert hinted[0].mean_first_event_s <= plain[0].mean_first_event_s * 1.2
