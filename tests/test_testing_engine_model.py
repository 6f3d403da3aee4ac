"""Tests of the engine model: batching, memory, preemption, prefix cache."""

import random

import pytest

from balsamlift.testing import EngineModel, EngineParameters, Work


def run(model, steps=100_000):
    """Step until idle; return tokens per key, finish order and all steps."""
    tokens, finished, all_steps = {}, [], []
    for _ in range(steps):
        if model.idle:
            return tokens, finished, all_steps
        step = model.step()
        all_steps.append(step)
        for key in step.token_keys:
            tokens[key] = tokens.get(key, 0) + 1
        finished += step.finished_keys
    raise AssertionError("the model never became idle")


def work(key, prompt=40, output=50, prefix="", priority=0):
    return Work(
        key=key,
        prompt_tokens=prompt,
        output_tokens=output,
        prefix=prefix,
        priority=priority,
    )


def test_step_duration_grows_with_batch_size_and_prefill():
    small, large = (EngineModel(EngineParameters()) for _ in range(2))
    small.submit(work("a"))
    for index in range(20):
        large.submit(work(str(index)))
    first = small.step()
    assert first.duration_ms > small.step().duration_ms
    for _ in range(5):
        large.step()
    assert large.step().duration_ms > small.step().duration_ms


@pytest.mark.parametrize("seed", range(5))
def test_all_sequences_finish_despite_preemption(seed):
    random_source = random.Random(seed)
    parameters = EngineParameters(
        memory_tokens=1_024, prefix_tokens=64, queue_limit=100
    )
    model = EngineModel(parameters)
    output_lengths = {}
    for index in range(60):
        key = f"k{index}"
        output_lengths[key] = random_source.randint(1, 400)
        prefix = random_source.choice(["", "p", "q"])
        prompt = random_source.randint(1, 200)
        assert model.submit(
            work(
                key,
                prompt,
                output_lengths[key],
                prefix,
                random_source.randint(0, 2),
            )
        )
    tokens, finished, all_steps = run(model)
    assert tokens == output_lengths
    assert sorted(finished) == sorted(output_lengths)
    preempted = [key for step in all_steps for key in step.preempted_keys]
    assert len(preempted) == model.load().preemptions > 0
    cached_tokens = len(model.cached_prefixes()) * parameters.prefix_tokens
    assert model.load().memory_used == cached_tokens


def test_memory_limit_is_never_exceeded():
    model = EngineModel(EngineParameters(memory_tokens=512))
    for index in range(30):
        model.submit(work(str(index), 30, 200))
    while not model.idle:
        model.step()
        load = model.load()
        assert load.memory_used <= load.memory_total


def test_newest_sequence_of_the_lowest_priority_is_preempted():
    model = EngineModel(EngineParameters(memory_tokens=256))
    model.submit(work("old", 16, 150, priority=0))
    model.submit(work("new", 16, 150, priority=0))
    model.submit(work("urgent", 16, 150, priority=1))
    _, finished, all_steps = run(model)
    preempted = [key for step in all_steps for key in step.preempted_keys]
    assert preempted[0] == "new"
    assert "urgent" not in preempted
    assert finished[0] == "urgent"


def test_queue_is_ordered_by_priority_and_bounded():
    parameters = EngineParameters(max_running=1, queue_limit=3)
    model = EngineModel(parameters)
    model.submit(work("first"))
    model.step()
    assert model.submit(work("low", priority=0))
    assert model.submit(work("high", priority=5))
    assert model.submit(work("low2", priority=0))
    assert not model.submit(work("one too many"))
    assert run(model)[1] == ["first", "high", "low", "low2"]


def test_cached_prefix_shortens_the_prefill():
    model = EngineModel(EngineParameters())
    model.submit(work("a", 2_000, 1, prefix="policy"))
    cold = sum(step.duration_ms for step in run(model)[2])
    model.submit(work("b", 2_000, 1, prefix="policy"))
    warm = sum(step.duration_ms for step in run(model)[2])
    assert warm < cold
    assert [e.kind for e in model.take_events()] == ["stored"]


def test_least_recently_used_prefix_is_evicted():
    parameters = EngineParameters(memory_tokens=256, prefix_tokens=64)
    model = EngineModel(parameters)
    for name in ("p", "q", "r", "p"):
        model.submit(work(f"k{name}", 80, 1, prefix=name))
        run(model)
    model.submit(work("wide", 150, 1))
    run(model)
    evicted = [e.prefix for e in model.take_events() if e.kind == "evicted"]
    assert evicted[0] == "q"
    assert "p" in model.cached_prefixes()


def test_cancel_frees_memory_of_running_and_waiting_work():
    model = EngineModel(EngineParameters(max_running=1))
    model.submit(work("runs"))
    model.submit(work("waits"))
    model.step()
    assert model.cancel("waits")
    assert model.cancel("runs")
    assert not model.cancel("runs")
    assert model.idle
    load = model.load()
    assert (load.running, load.queued, load.memory_used) == (0, 0, 0)


def test_output_beyond_memory_is_cut_to_the_output_limit():
    model = EngineModel(EngineParameters(memory_tokens=256))
    assert not model.submit(work("wide", 250))
    assert model.submit(work("long", 100, 10_000))
    assert run(model)[0] == {"long": model.output_limit(100)}
