"""What hosts send each other, and its encoding."""

from __future__ import annotations

from typing import Any, TypeVar

import attrs
import cattrs
import msgspec

from balsamlift.exceptions import PeerMessageError
from balsamlift.peers._follower import TopicNews
from balsamlift.peers._hosts_list import ListEntry
from balsamlift.peers._marks import STATES, UpstreamState
from balsamlift.peers._records import Record
from balsamlift.peers._shared_records import Position, RecordsAnswer

_Message = TypeVar("_Message")
MemberState = UpstreamState  # hosts go through the same states


@attrs.frozen
class Member:
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
    taken_over: list[str] = attrs.field(factory=list)  # homes that left
    counts_address: str = ""  # where it gathers the counts of all hosts

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the key that says which of two entries is newer."""
        return self.epoch, self.version, STATES.index(self.state)


@attrs.frozen
class UpstreamNote:
    """Tell of one incarnation of an upstream, for a limited time."""

    name: str
    address: str
    state: UpstreamState
    ttl_ms: int


@attrs.frozen
class Shared:
    """Hold what goes between hosts when one cannot read the platform."""

    wants_list: bool = False  # the sender cannot read the list
    configuration: bytes = b""  # as operators wrote it
    listed: list[ListEntry] = attrs.field(factory=list)


@attrs.frozen
class PeerMessage:
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
    members: list[Member] = attrs.field(factory=list)
    counts: dict[str, int] = attrs.field(factory=dict)
    counts_are_full: bool = False
    notes: list[UpstreamNote] = attrs.field(factory=list)
    # Left out of nearly all messages: three more fields would cost a fifth of
    # the time to encode and decode one (30 to 36 us).
    shared: Shared | None = None


@attrs.frozen
class CountsUpdate:
    """Hold all that one host has in flight, by upstream."""

    host: str
    incarnation: str
    seq: int  # grows over all updates of the incarnation
    counts: dict[str, int]
    wants_sums: bool  # of all other hosts, as the answer
    position: Position | None = None  # to be told what is newer


@attrs.frozen
class CountsSums:
    """Hold what all other hosts have in flight, by upstream."""

    counts: dict[str, int]
    records: RecordsAnswer | None = None


for _class in (
    Member,
    UpstreamNote,
    ListEntry,
    Shared,
    PeerMessage,
    Record,
    TopicNews,
    Position,
    RecordsAnswer,
    CountsUpdate,
    CountsSums,
):
    attrs.resolve_types(_class)

# Fields go by position: names would be half of the bytes.
_converter = cattrs.Converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE
)


def encode_message(message: PeerMessage) -> bytes:
    """Return the message in msgpack."""
    return msgspec.msgpack.encode(_converter.unstructure(message))


def decode_message(data: bytes) -> PeerMessage:
    """Return the message; raise `PeerMessageError`."""
    return _decode(data, PeerMessage)


def encode_counts(message: CountsUpdate | CountsSums) -> bytes:
    """Return the message in msgpack."""
    return msgspec.msgpack.encode(_converter.unstructure(message))


def decode_update(data: bytes) -> CountsUpdate:
    """Return the update; raise `PeerMessageError`."""
    return _decode(data, CountsUpdate)


def decode_sums(data: bytes) -> CountsSums:
    """Return the sums; raise `PeerMessageError`."""
    return _decode(data, CountsSums)


def _decode(data: bytes, message: type[_Message]) -> _Message:
    try:
        fields: Any = msgspec.msgpack.decode(data)
        return _converter.structure(fields, message)
    except msgspec.MsgspecError as error:
        raise PeerMessageError("not msgpack") from error
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        raise PeerMessageError("not the fields of a message") from error
