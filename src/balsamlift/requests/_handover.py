"""Handover of a leaving host's key table to one successor.

The leaving host stops accepting keys first, so a key of that host which is
missing from the table never ran and never will. If the successor's response
is lost, no other successor is tried.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import msgspec
from loguru import logger

from balsamlift._http import CallError
from balsamlift._json import decode_json
from balsamlift.operators import JsonHandler
from balsamlift.peers import Peer
from balsamlift.requests._dependencies import Dependencies
from balsamlift.requests._errors import KeyMissingError
from balsamlift.requests._execution import Execution
from balsamlift.requests._keys import Home, HomedKey
from balsamlift.streams import (
    REFUSED,
    UNKNOWN,
    WHOLE,
    Outcome,
    Start,
    Tokens,
)

log = logger.bind(part="handover")

HANDOVER_TIMEOUT_MS = 10_000
BAD_REQUEST = 400
RETENTION_LIFETIMES = 2


@attrs.frozen(kw_only=True)
class KeyRecord:
    """Hold the outcome and the answer of one key."""

    key: str
    workspace: str
    outcome: Outcome
    generation: str = ""
    tokens: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class KeyTableMessage:
    """Carry the key table of one incarnation of a host."""

    host: str
    incarnation: str
    # The oldest epoch whose keys are all listed; older keys may have run.
    oldest_epoch: int
    keys: list[KeyRecord]


@attrs.frozen(kw_only=True)
class _ReceivedTable:
    received_s: float
    oldest_epoch: int
    executions: dict[str, Execution]


class Handover:
    """Send this host's key table and store those of hosts that left."""

    def __init__(self, dependencies: Dependencies, home: Home) -> None:
        """Start without any tables taken over."""
        self._dependencies = dependencies
        self._home = home
        self._tables: dict[Home, _ReceivedTable] = {}

    def find(self, key: HomedKey, workspace: str) -> Execution | None:
        """Return the execution of a key whose host has left.

        None if this host does not have that host's table. Raises
        `KeyMissingError` if the key belongs to another workspace.
        """
        table = self._tables.get(key.home)
        if table is None:
            return None
        execution = table.executions.get(key.text)
        if execution is None:
            execution = Execution(key.text, workspace)
            outcome = _absent_key_outcome(key, table)
            execution.finish(outcome, self._dependencies.clock.monotonic())
        if execution.workspace != workspace:
            raise KeyMissingError("no such request")
        return execution

    def receive(self, message: KeyTableMessage) -> None:
        """Store the table of a leaving host and announce it to peers."""
        home = Home(message.host, message.incarnation)
        now_s = self._dependencies.clock.monotonic()
        self._tables[home] = _ReceivedTable(
            received_s=now_s,
            oldest_epoch=message.oldest_epoch,
            executions={r.key: _from_record(r, now_s) for r in message.keys},
        )
        self._announce_tables()
        self._dependencies.timeline.record(
            "keys_taken_over", home=home.host, keys=len(message.keys)
        )

    def forget_old(self) -> None:
        """Drop tables whose keys can no longer be used."""
        lifetime_s = self._dependencies.settings.limits.key_lifetime_ms / 1_000
        now_s = self._dependencies.clock.monotonic()
        for home, table in list(self._tables.items()):
            if now_s - table.received_s > RETENTION_LIFETIMES * lifetime_s:
                del self._tables[home]
                self._announce_tables()

    def _announce_tables(self) -> None:
        self._dependencies.peers.set_taken_over([h.name for h in self._tables])

    async def send(
        self, executions: Iterable[Execution], oldest_epoch: int
    ) -> bool:
        """Send the table to one successor; return whether it accepted."""
        successor = self._choose_successor()
        if successor is None:
            log.warning("No live peer to hand the key table over to.")
            return False
        message = KeyTableMessage(
            host=self._home.host,
            incarnation=self._home.incarnation,
            oldest_epoch=oldest_epoch,
            keys=[_to_record(e) for e in executions],
        )
        url = f"http://{successor.operators_address}/v1/peer/keys"
        try:
            answer = await self._dependencies.http.call(
                "POST", url, message, timeout_ms=HANDOVER_TIMEOUT_MS
            )
        except CallError:
            log.warning(
                "No response from {} to the key table handover.",
                successor.host,
            )
            return False
        log.info("{} has accepted {} keys.", successor.host, len(message.keys))
        return answer.status == 200

    def _choose_successor(self) -> Peer | None:
        peers = [p for p in self._dependencies.peers.live() if not p.leaving]
        same_domain = [
            p
            for p in peers
            if p.failure_domain == self._dependencies.settings.failure_domain
        ]
        candidates = sorted(same_domain or peers, key=lambda p: p.host)
        return candidates[0] if candidates else None


class HandoverHandler(JsonHandler):
    """Receive the key table of a leaving host."""

    def initialize(self, handover: Handover) -> None:
        """Store the handover that keeps the tables."""
        self._handover = handover

    def post(self) -> None:
        """Store the table, or respond 400 if it cannot be decoded."""
        try:
            message = decode_json(self.request.body, KeyTableMessage)
        except msgspec.DecodeError as error:
            self.reply({"reason": str(error)}, BAD_REQUEST)
            return
        self._handover.receive(message)
        self.reply({"taken": len(message.keys)})


def _absent_key_outcome(key: HomedKey, table: _ReceivedTable) -> Outcome:
    if key.epoch < table.oldest_epoch:
        return Outcome(outcome=UNKNOWN, reason="key_retired")
    return Outcome(outcome=REFUSED, reason="home_left", retry_after_ms=0)


def _to_record(execution: Execution) -> KeyRecord:
    # A request that did not end before the shutdown deadline may have run.
    outcome = execution.outcome or execution.fail("home_left", UNKNOWN)
    return KeyRecord(
        key=execution.key,
        workspace=execution.workspace,
        outcome=outcome,
        generation=execution.answer.generation,
        tokens=list(execution.answer.tokens_from(0)),
    )


def _from_record(record: KeyRecord, now_s: float) -> Execution:
    execution = Execution(record.key, record.workspace)
    if record.generation:
        execution.answer.begin(record.generation)
        frame = Tokens(
            generation=record.generation, index=0, tokens=record.tokens
        )
        execution.answer.append(frame)
        execution.start = Start(generation=record.generation)
    whole = record.outcome.outcome == WHOLE
    if whole and len(record.tokens) < record.outcome.tokens:
        execution.answer_dropped = True
    execution.finish(record.outcome, now_s)
    return execution
