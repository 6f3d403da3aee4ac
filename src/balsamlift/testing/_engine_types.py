"""What goes into and comes out of the engine model."""

from __future__ import annotations

import attrs

from balsamlift._validators import above, between


@attrs.frozen(kw_only=True)
class EngineParameters:
    """Size one engine; tokens, blocks of tokens and milliseconds."""

    # Assumption: what is left for sequences on a mid-sized accelerator.
    memory_tokens: int = attrs.field(default=65_536, validator=above(0))
    # The customary block size of engines with paged memory.
    block_tokens: int = attrs.field(default=16, validator=above(0))
    # Assumption: reading the weights once, a mid-sized model.
    step_base_ms: float = 12.0
    # Assumption: sampling and activations of one more sequence.
    step_per_sequence_ms: float = 0.15
    # Assumption: reading 1,000 tokens of sequence memory.
    step_per_1k_context_ms: float = 0.08
    # Assumption: 10,000 prompt tokens a second.
    prefill_tokens_per_ms: float = attrs.field(
        default=10.0, validator=above(0)
    )
    # Assumption: prompts are computed in chunks so that decoding goes on.
    prefill_tokens_per_step: int = attrs.field(default=512, validator=above(0))
    # Assumption: sequences in one batch at most.
    max_running: int = attrs.field(default=64, validator=above(0))
    # Assumption: requests that wait before the engine refuses.
    queue_limit: int = 64
    # Assumption: length of a shared policy text or report template.
    prefix_tokens: int = 512
    # Assumption: free share of memory asked for before one more starts.
    admit_spare_ratio: float = attrs.field(
        default=0.01, validator=between(0, 1)
    )

    @property
    def total_blocks(self) -> int:
        """Return the number of memory blocks."""
        return self.memory_tokens // self.block_tokens


@attrs.frozen(kw_only=True)
class Work:
    """Ask for one generation; a higher `priority` goes first."""

    key: str
    prompt_tokens: int
    output_tokens: int
    prefix: str = ""
    priority: int = 0


@attrs.frozen(kw_only=True)
class Step:
    """Tell what one step did; a step with nothing to do takes 0 ms."""

    duration_ms: float = 0.0
    token_keys: list[str] = attrs.field(factory=list)
    finished_keys: list[str] = attrs.field(factory=list)
    preempted_keys: list[str] = attrs.field(factory=list)
    started_keys: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Load:
    """Report load; memory in tokens, preemptions since the start."""

    running: int
    queued: int
    memory_used: int
    memory_total: int
    preemptions: int
