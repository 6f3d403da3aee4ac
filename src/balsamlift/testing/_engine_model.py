"""Model of one engine with continuous batching, without I/O or clock."""

from __future__ import annotations

import heapq
from typing import Literal

import attrs

from balsamlift.testing._engine_types import (
    EngineParameters,
    Load,
    Step,
    Work,
)
from balsamlift.testing._prefix_cache import CacheEvent, PrefixCache

Phase = Literal["waiting", "running", "gone"]


@attrs.define(eq=False)
class _Sequence:
    work: Work
    submission: int
    phase: Phase = "waiting"
    generated: int = 0
    tokens_to_prefill: int = 0
    blocks: int = 0  # excluding those of a shared prefix
    prefix: str = ""  # the shared prefix that it references

    @property
    def tokens(self) -> int:
        return self.work.prompt_tokens + self.generated

    @property
    def rank(self) -> tuple[int, int]:
        """Return a sort key: the highest priority, then the oldest, first."""
        return (-self.work.priority, self.submission)


class EngineModel:
    """Batch sequences step by step within limited memory.

    A sequence that needs a block when none is free preempts the newest
    sequence of the lowest priority, which computes all its tokens again.
    """

    def __init__(self, parameters: EngineParameters) -> None:
        """Start idle with an empty prefix cache."""
        self.parameters = parameters
        self._sequences: dict[str, _Sequence] = {}
        self._running: list[_Sequence] = []
        self._waiting: list[tuple[int, int, _Sequence]] = []
        self._queued = 0
        self._submissions = 0
        self._used_blocks = 0
        self._preemptions = 0
        self._cache = PrefixCache(
            parameters.prefix_tokens // parameters.block_tokens
        )

    @property
    def idle(self) -> bool:
        """Return whether there is nothing to compute."""
        return not self._sequences

    def output_limit(self, prompt_tokens: int) -> int:
        """Return how many tokens can follow a prompt that runs alone."""
        spare = 2 * self.parameters.block_tokens
        return self.parameters.memory_tokens - prompt_tokens - spare

    def submit(self, work: Work) -> bool:
        """Queue `work`; return false if the queue is full or it cannot fit.

        An output longer than memory can hold is cut to `output_limit`.
        """
        limit = self.output_limit(work.prompt_tokens)
        full = self._queued >= self.parameters.queue_limit
        if full or limit < 1 or work.key in self._sequences:
            return False
        output = max(1, min(work.output_tokens, limit))
        work = attrs.evolve(work, output_tokens=output)
        self._submissions += 1
        sequence = _Sequence(work, self._submissions)
        self._sequences[work.key] = sequence
        self._enqueue(sequence)
        return True

    def cancel(self, key: str) -> bool:
        """Drop the work of `key`; return false if there is none."""
        sequence = self._sequences.pop(key, None)
        if sequence is None:
            return False
        if sequence.phase == "running":
            self._running.remove(sequence)
            self._release(sequence)
        else:
            self._queued -= 1
        sequence.phase = "gone"
        return True

    def step(self) -> Step:
        """Run one step: admit, prefill, allocate blocks, decode."""
        started = self._start_waiting()
        prefilled = self._prefill()
        preempted = self._allocate_blocks()
        decoding = [s for s in self._running if not s.tokens_to_prefill]
        if not decoding and not prefilled:
            return Step(preempted_keys=preempted, started_keys=started)
        duration_ms = self._duration_ms(len(decoding), prefilled)
        for sequence in decoding:
            sequence.generated += 1
        return Step(
            duration_ms=duration_ms,
            token_keys=[s.work.key for s in decoding],
            finished_keys=self._finish(decoding),
            preempted_keys=preempted,
            started_keys=started,
        )

    def load(self) -> Load:
        """Return the present load."""
        block_tokens = self.parameters.block_tokens
        return Load(
            running=len(self._running),
            queued=self._queued,
            memory_used=self._used() * block_tokens,
            memory_total=self.parameters.total_blocks * block_tokens,
            preemptions=self._preemptions,
        )

    def take_events(self) -> list[CacheEvent]:
        """Return the cache events since the last call."""
        return self._cache.take_events()

    def cached_prefixes(self) -> list[str]:
        """Return the cached prefixes, least recently used first."""
        return self._cache.computed_names()

    def _enqueue(self, sequence: _Sequence) -> None:
        sequence.phase = "waiting"
        self._queued += 1
        heapq.heappush(self._waiting, (*sequence.rank, sequence))

    def _start_waiting(self) -> list[str]:
        """Start queued sequences in order, until the first does not fit.

        A smaller sequence never overtakes the head of the queue.
        """
        started = []
        while self._waiting:
            sequence = self._waiting[0][2]
            if sequence.phase == "waiting" and not self._admit(sequence):
                break
            heapq.heappop(self._waiting)
            if sequence.phase == "running":
                self._queued -= 1
                started.append(sequence.work.key)
        return started

    def _admit(self, sequence: _Sequence) -> bool:
        if len(self._running) >= self.parameters.max_running:
            return False
        prefix = self._prefix_of(sequence.work)
        shared_tokens = self.parameters.prefix_tokens if prefix else 0
        own_blocks = self._blocks_for(sequence.tokens - shared_tokens)
        self._cache.acquire(prefix)
        if not self._reserve(own_blocks + self._spare_blocks()):
            self._cache.release(prefix)
            return False
        sequence.phase = "running"
        sequence.prefix = prefix
        sequence.blocks = own_blocks
        cached = shared_tokens if self._cache.is_computed(prefix) else 0
        sequence.tokens_to_prefill = sequence.tokens - cached
        self._used_blocks += own_blocks
        self._running.append(sequence)
        return True

    def _prefix_of(self, work: Work) -> str:
        """Return the prefix, or "" if the prompt is no longer than it."""
        fits = work.prompt_tokens > self.parameters.prefix_tokens
        return work.prefix if fits else ""

    def _spare_blocks(self) -> int:
        if not self._running:
            return 0
        ratio = self.parameters.admit_spare_ratio
        return 1 + int(self.parameters.total_blocks * ratio)

    def _prefill(self) -> int:
        """Compute a chunk of prompts, first started first.

        Return the number of tokens computed.
        """
        budget = self.parameters.prefill_tokens_per_step
        for sequence in self._running:
            if sequence.tokens_to_prefill and budget:
                chunk = min(budget, sequence.tokens_to_prefill)
                sequence.tokens_to_prefill -= chunk
                budget -= chunk
                if not sequence.tokens_to_prefill:
                    self._cache.mark_computed(sequence.prefix)
        return self.parameters.prefill_tokens_per_step - budget

    def _allocate_blocks(self) -> list[str]:
        """Allocate the next block of each decoding sequence that needs one.

        Return the keys of the sequences that were preempted for it.
        """
        preempted: list[str] = []
        for sequence in sorted(self._running, key=lambda s: s.rank):
            if sequence.tokens_to_prefill or not self._needs_block(sequence):
                continue
            while sequence.phase == "running" and not self._reserve(1):
                preempted.append(self._preempt())
            if sequence.phase == "running":
                sequence.blocks += 1
                self._used_blocks += 1
        return preempted

    def _needs_block(self, sequence: _Sequence) -> bool:
        shared_tokens = self.parameters.prefix_tokens if sequence.prefix else 0
        needed_blocks = self._blocks_for(sequence.tokens + 1 - shared_tokens)
        return sequence.phase == "running" and needed_blocks > sequence.blocks

    def _preempt(self) -> str:
        """Requeue the newest sequence of the lowest priority.

        It loses its memory and computes all its tokens again.
        """
        victim = max(self._running, key=lambda s: s.rank)
        self._running.remove(victim)
        self._release(victim)
        self._preemptions += 1
        self._enqueue(victim)
        return victim.work.key

    def _finish(self, decoding: list[_Sequence]) -> list[str]:
        done = [s for s in decoding if s.generated >= s.work.output_tokens]
        for sequence in done:
            sequence.phase = "gone"
            del self._sequences[sequence.work.key]
            self._running.remove(sequence)
            self._release(sequence)
        return [s.work.key for s in done]

    def _duration_ms(self, decoding: int, prefilled: int) -> float:
        parameters = self.parameters
        context = self._used_blocks * parameters.block_tokens / 1_000
        return (
            parameters.step_base_ms
            + parameters.step_per_sequence_ms * decoding
            + parameters.step_per_1k_context_ms * context
            + prefilled / parameters.prefill_tokens_per_ms
        )

    def _release(self, sequence: _Sequence) -> None:
        self._used_blocks -= sequence.blocks
        self._cache.release(sequence.prefix)
        sequence.blocks = 0
        sequence.prefix = ""
        sequence.tokens_to_prefill = 0

    def _reserve(self, blocks: int) -> bool:
        """Return whether `blocks` are free, evicting unused prefixes."""
        total = self.parameters.total_blocks
        while self._used() + blocks > total:
            if not self._cache.evict():
                return False
        return True

    def _used(self) -> int:
        return self._used_blocks + self._cache.blocks

    def _blocks_for(self, tokens: int) -> int:
        return -(-tokens // self.parameters.block_tokens)
