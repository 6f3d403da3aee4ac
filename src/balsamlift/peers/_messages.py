"""What hosts send each other, and its encoding.

Fields go by position: names would be half of the bytes. A newer version adds
its fields last, with defaults. Messages are structs of msgspec, not attrs
classes, as its codec reads and checks these in one step.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from balsamlift.exceptions import PeerMessageError
from balsamlift.peers._evacuations import EvacuationSnapshot
from balsamlift.peers._hosts_list import ListEntry
from balsamlift.peers._observed_states import STATES, UpstreamState
from balsamlift.peers._shared_records import Position, RecordsAnswer

_Message = TypeVar("_Message")
MemberState = UpstreamState  # hosts go through the same states


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Hold what is known of one host; the greatest `order` is the newest.

    A host raises its `version` with each change, and its `epoch` when it
    finds a later incarnation under its own name.
    """

    host: str
    incarnation: str
    epoch: int
    version: int
    state: MemberState
    operators_address: str
    callers_address: str
    peers_address: str
    failure_domain: str
    key_prefix: str = ""  # of keys that this host is home to
    # Homes that left and handed their keys to this host.
    taken_over: list[str] = msgspec.field(default_factory=list)
    counts_address: str = ""  # where it gathers the counts of all hosts

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the key that says which of two entries is newer."""
        return self.epoch, self.version, STATES.index(self.state)


class UpstreamNote(msgspec.Struct, frozen=True, array_like=True):
    """Tell of one incarnation of an upstream, for a limited time."""

    name: str
    address: str
    state: UpstreamState
    ttl_ms: int


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Report that an upstream crashed during a request, or its completion."""

    fingerprint: str  # of the request; does not reveal its body
    upstream: str  # incarnation that crashed; "": the request completed
    ttl_ms: int
    had_output: bool = False  # from that upstream


class Shared(msgspec.Struct, frozen=True, array_like=True):
    """Hold what goes between hosts when one cannot read the platform."""

    wants_list: bool = False  # the sender cannot read the list
    configuration: bytes = b""  # as operators wrote it
    listed: list[ListEntry] = msgspec.field(default_factory=list)


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """Hold one heartbeat and the news that go with it.

    Only what has changed since the last message on the link is sent.
    """

    host: str
    incarnation: str
    seq: int  # grows over all messages of the incarnation
    previous_seq: int  # of the message before on this link; 0: tells all
    acked_seq: int  # the latest heard from the receiver
    missed: bool  # a message from the receiver was lost: tell all again
    stamp: str
    offset: int  # of the configuration
    caught_up: bool
    chosen: bool  # the sender picked the receiver and wants answers
    wants_members: bool = False
    members: list[Member] = msgspec.field(default_factory=list)
    counts: dict[str, int] = msgspec.field(default_factory=dict)
    counts_are_full: bool = False
    notes: list[UpstreamNote] = msgspec.field(default_factory=list)
    shared: Shared | None = None  # left out of nearly all messages
    evacuations: EvacuationSnapshot | None = None  # None: not known yet
    crash_reports: list[CrashReport] = msgspec.field(default_factory=list)


class CountsUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Hold all that one host has in flight, by upstream."""

    host: str
    incarnation: str
    seq: int  # grows over all updates of the incarnation
    counts: dict[str, int]
    wants_sums: bool  # of all other hosts, as the answer
    position: Position | None = None  # to be told what is newer


class CountsSums(msgspec.Struct, frozen=True, array_like=True):
    """Hold what all other hosts have in flight, by upstream."""

    counts: dict[str, int]
    records: RecordsAnswer | None = None


_message_decoder = msgspec.msgpack.Decoder(PeerMessage)
_update_decoder = msgspec.msgpack.Decoder(CountsUpdate)
_sums_decoder = msgspec.msgpack.Decoder(CountsSums)


def encode_message(message: PeerMessage) -> bytes:
    """Return the message in msgpack."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> PeerMessage:
    """Return the message; raise `PeerMessageError`."""
    return _decode(data, _message_decoder)


def encode_counts(message: CountsUpdate | CountsSums) -> bytes:
    """Return the message in msgpack."""
    return msgspec.msgpack.encode(message)


def decode_update(data: bytes) -> CountsUpdate:
    """Return the update; raise `PeerMessageError`."""
    return _decode(data, _update_decoder)


def decode_sums(data: bytes) -> CountsSums:
    """Return the sums; raise `PeerMessageError`."""
    return _decode(data, _sums_decoder)


def _decode(
    data: bytes, decoder: msgspec.msgpack.Decoder[_Message]
) -> _Message:
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise PeerMessageError(f"not a message ({error})") from error
