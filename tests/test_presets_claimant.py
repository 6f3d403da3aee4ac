import asyncio

import pytest
from _presets_harness import BOUNDS
from test_presets_fold import START_MS, MemoryLog, key_at, run_to_end

from balsamlift.exceptions import LogUnavailableError, RefusedError
from balsamlift.presets import Claim
from balsamlift.presets._change_notifier import ChangeNotifier
from balsamlift.presets._claimant import Claimant
from balsamlift.presets._reader import Reader

KEY = key_at(START_MS)


class ScriptedLog(MemoryLog):
    """Run hooks of a test just before and after an append."""

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


class FakeLogClient:
    """Provide the calls of `LogClient` that the claimant and reader use."""

    def __init__(self, log):
        self.append = log.append_claims
        self.read = log.read


def make_claimant(log):
    reader = Reader(log, BOUNDS)
    notifier = ChangeNotifier()
    claimant = Claimant(FakeLogClient(log), reader, notifier, "a~1", lambda: 0)
    return claimant, reader, notifier


async def claim_and_read(claimant, reader, notifier):
    """Claim while the reader polls, as the service does."""
    claiming = asyncio.create_task(claimant.claim(KEY))
    while not claiming.done():
        await asyncio.sleep(0)
        await reader.poll(0)
        notifier.notify()
    return claiming.result()


def test_claim_is_not_won_when_an_earlier_claim_was_missed():
    """Our claim is only the first one retained, not the first one made.

    The claim of another host precedes it on the log and expires before this
    host has read it.
    """
    log = ScriptedLog()
    claimant, reader, notifier = make_claimant(log)
    MemoryLog.append(log, None)
    run_to_end(reader)
    log.before_append = lambda: MemoryLog.append(
        log, Claim("other", KEY, "b~1")
    )

    def expire():
        log.earliest = 2

    log.after_append = expire
    with pytest.raises(RefusedError) as caught:
        asyncio.run(claim_and_read(claimant, reader, notifier))
    assert caught.value.reason == "claims_not_folded"
    with pytest.raises(RefusedError):  # a retry does not win either
        asyncio.run(claim_and_read(claimant, reader, notifier))


def test_refused_claim_with_a_lost_answer_is_won_on_retry(
    monkeypatch,
):
    monkeypatch.setattr("balsamlift.presets._claimant.CLAIM_WAIT_S", 0.05)
    log = ScriptedLog()
    log.loses_answer = True
    claimant, reader, notifier = make_claimant(log)
    MemoryLog.append(log, None)
    run_to_end(reader)
    with pytest.raises(RefusedError):
        asyncio.run(claimant.claim(KEY))  # the reader does not poll
    run_to_end(reader)
    second = asyncio.run(claim_and_read(claimant, reader, notifier))
    assert second.state == "won"
    third = asyncio.run(claim_and_read(claimant, reader, notifier))
    assert third.state == "lost"
    assert len(log.entries) == 2
