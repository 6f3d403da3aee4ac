import asyncio

import pytest
from presets_bench import BOUNDS
from test_presets_fold import START_MS, MemoryLog, key_at, run_to_end

from balsamlift.exceptions import LogUnavailableError, RefusedError
from balsamlift.presets import Claim
from balsamlift.presets._claimant import Claimant
from balsamlift.presets._progress import Progress
from balsamlift.presets._reader import Reader

KEY = key_at(START_MS)


class ScriptedLog(MemoryLog):
    """Let a test act between the append and the read."""

    def __init__(self):
        super().__init__()
        self.before_append = lambda: None
        self.after_append = lambda: None
        self.loses_answer = False

    async def append_claims(self, records):
        self.before_append()
        offsets = [MemoryLog.append(self, record) for record in records]
        self.after_append()
        if self.loses_answer:
            raise LogUnavailableError("lost")
        return offsets


class Client:
    """Stand for the log client of one host."""

    def __init__(self, log):
        self.append = log.append_claims
        self.read = log.read


def make_claimant(log):
    reader = Reader(log, BOUNDS)
    progress = Progress()
    claimant = Claimant(Client(log), reader, progress, "a~1", lambda: 0)
    return claimant, reader, progress


async def claim_and_read(claimant, reader, progress):
    """Claim while the reader reads on, as the service does."""
    claiming = asyncio.create_task(claimant.claim(KEY))
    while not claiming.done():
        await asyncio.sleep(0)
        await reader.step(0)
        progress.notify()
    return claiming.result()


def test_claim_that_hides_behind_a_gap_is_not_won():
    """Another host's claim expires unread; ours is the first one left."""
    log = ScriptedLog()
    claimant, reader, progress = make_claimant(log)
    MemoryLog.append(log, None)
    run_to_end(reader)
    log.before_append = lambda: MemoryLog.append(
        log, Claim("other", KEY, "b~1")
    )

    def expire():
        log.earliest = 2

    log.after_append = expire
    with pytest.raises(RefusedError) as caught:
        asyncio.run(claim_and_read(claimant, reader, progress))
    assert caught.value.reason == "claims_not_folded"
    with pytest.raises(RefusedError):  # nor is it won the second time
        asyncio.run(claim_and_read(claimant, reader, progress))


def test_claim_refused_with_its_answer_lost_is_won_when_asked_again(
    monkeypatch,
):
    monkeypatch.setattr("balsamlift.presets._claimant.CLAIM_WAIT_S", 0.05)
    log = ScriptedLog()
    log.loses_answer = True
    claimant, reader, progress = make_claimant(log)
    MemoryLog.append(log, None)
    run_to_end(reader)
    with pytest.raises(RefusedError):
        asyncio.run(claimant.claim(KEY))  # nobody reads
    run_to_end(reader)
    again = asyncio.run(claim_and_read(claimant, reader, progress))
    assert again.state == "won"
    once_more = asyncio.run(claim_and_read(claimant, reader, progress))
    assert once_more.state == "lost"
    assert len(log.entries) == 2
