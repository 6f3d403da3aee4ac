"""Inputs and outputs of the engine model."""

from __future__ import annotations

import attrs

from balsamlift._validators import above, between


@attrs.frozen(kw_only=True)
class EngineParameters:
    """Hold the memory, step times and limits of one engine."""

    # Memory left for sequences on a mid-sized accelerator.
    memory_tokens: int = attrs.field(default=65_536, validator=above(0))
    # The usual block size of engines with paged memory.
    block_tokens: int = attrs.field(default=16, validator=above(0))
    # Reading the weights of a mid-sized model once.
    step_base_ms: float = 12.0
    # Sampling and activations of one more sequence.
    step_per_sequence_ms: float = 0.15
    # Reading 1,000 tokens of sequence memory.
    step_per_1k_context_ms: float = 0.08
    # 10,000 prompt tokens per second.
    prefill_tokens_per_ms: float = attrs.field(
        default=10.0, validator=above(0)
    )
    # Prompts are computed in chunks so that decoding continues meanwhile.
    prefill_tokens_per_step: int = attrs.field(default=512, validator=above(0))
    # Maximum number of sequences in one batch.
    max_running: int = attrs.field(default=64, validator=above(0))
    # Requests that may wait before the engine refuses more.
    queue_limit: int = 64
    # Length of a shared policy text or report template.
    prefix_tokens: int = 512
    # Share of memory that must stay free after one more sequence starts.
    admit_spare_ratio: float = attrs.field(
        default=0.01, validator=between(0, 1)
    )

    @property
    def total_blocks(self) -> int:
        """Return the number of memory blocks."""
        return self.memory_tokens // self.block_tokens


@attrs.frozen(kw_only=True)
class Work:
    """Describe one generation to run; a higher `priority` goes first."""

    key: str
    prompt_tokens: int
    output_tokens: int
    prefix: str = ""
    priority: int = 0


@attrs.frozen(kw_only=True)
class Step:
    """Hold the results of one step; a step without work takes 0 ms."""

    duration_ms: float = 0.0
    token_keys: list[str] = attrs.field(factory=list)
    finished_keys: list[str] = attrs.field(factory=list)
    preempted_keys: list[str] = attrs.field(factory=list)
    started_keys: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Load:
    """Hold the load: memory in tokens, preemptions since the start."""

    running: int
    queued: int
    memory_used: int
    memory_total: int
    preemptions: int
