"""Create generations and the work for the engine model from requests."""

from __future__ import annotations

import secrets
from collections.abc import Callable

from balsamlift.testing._engine_types import Work
from balsamlift.testing._generation import (
    Generation,
    GenerationRequest,
    StartFrame,
)
from balsamlift.testing._orders import EngineState
from balsamlift.testing._settings import EngineSettings
from balsamlift.testing._tokens import count_tokens, draw_length


def new_generation(
    request: GenerationRequest, settings: EngineSettings, state: EngineState
) -> Generation:
    """Return a generation under a name that cannot be guessed."""
    name = secrets.token_hex(16)
    start = StartFrame(
        generation=name,
        key=request.key,
        workspace=request.workspace,
        model=state.model,
        version=state.version,
    )
    generation = Generation(name, request, start)
    if settings.deterministic:
        seed = request.key if request.seed is None else request.seed
        generation.salt = f"{seed}:{state.model}:{state.version}"
    return generation


def make_work(
    generation: Generation,
    settings: EngineSettings,
    output_limit: Callable[[int], int],
) -> Work:
    """Return the work of a generation and set how it would end.

    `output_limit` returns how many tokens can follow a prompt.
    """
    request = generation.request
    prompt_tokens = request.prompt_tokens or count_tokens(request.prompt)
    limit = output_limit(prompt_tokens)
    if request.max_tokens:
        limit = min(limit, request.max_tokens)
    drawn = _draw_length(generation, settings)
    generation.expected_end_reason = "stop" if drawn <= limit else "length"
    return Work(
        key=generation.name,
        prompt_tokens=prompt_tokens,
        output_tokens=min(drawn, max(1, limit)),
        prefix=request.prefix or "",
        priority=request.priority,
    )


def _draw_length(generation: Generation, settings: EngineSettings) -> int:
    """Draw the length by key, or by the salt if deterministic.

    The salt of a deterministic engine depends on seed, model and version.
    """
    request = generation.request
    seed = f"{settings.seed}:{request.key}"
    if settings.deterministic:
        seed = generation.salt
    return draw_length(settings.lengths, request.kind, request.prompt, seed)
