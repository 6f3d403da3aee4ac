"""The sending side of the connection to one peer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

import attrs
import pynng
from loguru import logger

from balsamlift._tasks import end_task, start_task
from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers._messages import Member, PeerMessage, encode_message
from balsamlift.peers._push_socket import PushSocket
from balsamlift.peers._reports import NO_REPORTS_SENT, SentReports
from balsamlift.settings import PeerSettings

log = logger.bind(part="peers")

BATCH_S = 0.01  # changes within this time are batched into one message
# An acknowledgement that takes so long shows that a peer reads news too late.
LATE_S = 1.0


@attrs.frozen
class SentChanges:
    """Hold the change numbers up to which a link has sent; None: nothing."""

    members: int | None = None
    counts: int | None = None
    reports: SentReports = NO_REPORTS_SENT

    @property
    def any_sent(self) -> bool:
        """Return whether anything was sent, so that changes suffice."""
        return self.counts is not None


@attrs.frozen
class Draft:
    """Hold a message and the change numbers that sending it reaches."""

    message: PeerMessage
    sent_changes: SentChanges


class Link:
    """Send heartbeats to one peer, over a new connection when one fails.

    A connection may go silent for good. When the peer sends nothing, or does
    not acknowledge what this host sends, the connection is replaced.
    """

    def __init__(
        self,
        host: str,
        address: str,
        settings: PeerSettings,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        compose: Callable[[Link], Draft],
        on_silence: Callable[[str], None],
        interval_factor: Callable[[], float],
    ) -> None:
        """Send what `compose` drafts; call `on_silence` once per silence.

        The heartbeat interval is that of the settings times the result of
        `interval_factor`.
        """
        self.host = host
        self.address = address
        self.sent_changes = SentChanges()
        self.last_seq = 0
        self.sent_messages = 0
        self.extra_members: dict[str, Member] = {}
        self._heartbeat_s = settings.heartbeat_ms / 1_000
        self._silence_s = settings.silence_ms / 1_000
        self._clock = clock
        self._random = rng
        self._metrics = metrics
        self._compose = compose
        self._on_silence = on_silence
        self._interval_factor = interval_factor
        self._acked_seq = 0
        self._is_silence_reported = False
        # One message that is not acknowledged yet, and when it was sent.
        self._timed: tuple[int, float] | None = None
        self._wake = asyncio.Event()
        now_s = clock.monotonic()
        self._checked_s = now_s
        self._heard_s = now_s
        self._acked_s = now_s
        self._socket: PushSocket | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Dial and start sending."""
        self._dial()
        self._task = start_task(
            f"messages to {self.host}", self._keep_sending, self._clock
        )

    async def stop(self) -> None:
        """Stop sending and close the connection."""
        await end_task(self._task)
        self._close()

    def wake(self) -> None:
        """Send without waiting for the next heartbeat."""
        self._wake.set()

    def receive_ack(self, acked_seq: int, needs_full_state: bool) -> None:
        """Process the acknowledgement in a message from the peer."""
        self._heard_s = self._clock.monotonic()
        self._is_silence_reported = False
        if needs_full_state:
            self.sent_changes = SentChanges()
        if self._acked_seq < acked_seq <= self.last_seq:
            self._acked_seq = acked_seq
            self._acked_s = self._heard_s
        if self._timed is not None and self._timed[0] <= acked_seq:
            self._report_late(self._heard_s - self._timed[1])
            self._timed = None

    def _report_late(self, took_s: float) -> None:
        if took_s < LATE_S:
            return
        self._metrics.count("peers.reads_late")
        log.bind(peer=self.host, took_ms=round(took_s * 1_000)).info(
            "a message was acknowledged late"
        )

    async def _keep_sending(self) -> None:
        while True:
            self._check_connection()
            self._send()
            pause_s = self._heartbeat_s * self._interval_factor()
            pause_s *= self._random.uniform(0.9, 1.1)
            with suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()
                    await self._clock.sleep(BATCH_S)
            self._wake.clear()

    def _check_connection(self) -> None:
        """Replace the connection when it is silent."""
        now_s = self._clock.monotonic()
        longest_s = self._heartbeat_s + self._silence_s / 2
        was_paused = now_s - self._checked_s > longest_s
        self._checked_s = now_s
        if was_paused:
            # This host itself was paused: messages that arrived meanwhile are
            # not read yet.
            self._heard_s = now_s
            self._acked_s = now_s
            return
        if now_s - self._heard_s > self._silence_s:
            self._report_silence()
        if now_s - min(self._heard_s, self._acked_s) > self._silence_s:
            self._redial(now_s)

    def _report_silence(self) -> None:
        if not self._is_silence_reported:
            self._is_silence_reported = True
            self._on_silence(self.host)

    def _redial(self, now_s: float) -> None:
        log.debug("redialling {}", self.host)
        self._metrics.count("peers.redials")
        self._replace_socket()
        self._heard_s = now_s
        self._acked_s = now_s

    def _replace_socket(self) -> None:
        self._timed = None
        self._close()
        self._dial()
        self.sent_changes = SentChanges()

    def _dial(self) -> None:
        try:
            self._socket = PushSocket(self.address)
        except pynng.NNGException as error:
            # The platform's list may hold any text.
            log.warning(
                "cannot dial {} at {}: {}", self.host, self.address, error
            )

    def _close(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _send(self) -> None:
        """Send one message; when the buffer is full, its changes wait."""
        if self._socket is not None and self._socket.is_lost:
            self._metrics.count("peers.connections_lost")
            self._replace_socket()
        if self._socket is None:
            return
        draft = self._compose(self)
        data = encode_message(draft.message)
        if not self._socket.send(data):
            self._metrics.count("peers.sends_dropped")
            return
        self.sent_changes = draft.sent_changes
        self.last_seq = draft.message.seq
        if self._timed is None:
            self._timed = self.last_seq, self._clock.monotonic()
        self.sent_messages += 1
        self.extra_members.clear()
        self._metrics.count("peers.messages_sent")
        self._metrics.count("peers.bytes_sent", len(data))
