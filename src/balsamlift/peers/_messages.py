"""Messages between hosts, and their encoding.

Fields are encoded by position: names would be half of the bytes. A newer
version appends its fields, with defaults. Messages are msgspec structs, not
attrs classes, because its codec decodes and validates these in one step.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from balsamlift.exceptions import PeerMessageError
from balsamlift.peers._evacuations import EvacuationSnapshot
from balsamlift.peers._hosts_list import ListEntry
from balsamlift.peers._integers import Integer
from balsamlift.peers._observed_states import STATES, UpstreamState
from balsamlift.peers._shared_records import Position, RecordsAnswer

_Message = TypeVar("_Message")
MemberState = UpstreamState  # hosts go through the same states


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Describe one host; of two entries, the greater `order` is newer.

    A host increments its `version` with each change, and its `epoch` when it
    finds a newer entry of another incarnation under its own name.
    """

    host: str
    incarnation: str
    epoch: Integer
    version: Integer
    state: MemberState
    operators_address: str
    callers_address: str
    peers_address: str
    failure_domain: str
    key_prefix: str = ""  # of the keys that this host is the home of
    # Homes that left and handed their keys over to this host.
    taken_over: list[str] = msgspec.field(default_factory=list)
    counts_address: str = ""  # where it aggregates the counts of all hosts
    forwarding_address: str = ""  # for requests that other hosts forward
    # Pools of which it reaches no upstream.
    unreached_pools: list[str] = msgspec.field(default_factory=list)

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the sort key by which the newer of two entries is greater."""
        return self.epoch, self.version, STATES.index(self.state)


class UpstreamReport(msgspec.Struct, frozen=True, array_like=True):
    """Report the state of one incarnation of an upstream until it expires."""

    name: str
    address: str
    state: UpstreamState
    ttl_ms: Integer


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Report that an upstream crashed during a request, or its completion."""

    fingerprint: str  # of the request; does not reveal its body
    upstream: str  # incarnation that crashed; "": the request completed
    ttl_ms: Integer
    had_output: bool = False  # from that upstream


class PartReport(msgspec.Struct, frozen=True, array_like=True):
    """Report the state of a part of prompts until it expires."""

    part: str  # a digest
    upstream: str  # incarnation that crashed; "": the state concerns none
    state: Integer  # a `PartState`
    ttl_ms: Integer


class SilenceReport(msgspec.Struct, frozen=True, array_like=True):
    """Report that an upstream owes answers and sends nothing."""

    upstream: str
    ttl_ms: Integer


class RateLimitReport(msgspec.Struct, frozen=True, array_like=True):
    """Report the rate limit that an upstream names to all hosts together."""

    upstream: str
    limit_per_s: float | None  # None: it names none any more
    age_ms: Integer  # since it certainly holds


class LeavingReport(msgspec.Struct, frozen=True, array_like=True):
    """Report that an upstream has given notice that it is leaving."""

    upstream: str
    age_ms: Integer  # since it was first known


class PermitRequest(msgspec.Struct, frozen=True):
    """Ask for a permit to send one request to an upstream with a limit."""

    limit: RateLimitReport  # as the sender knows it
    max_wait_ms: Integer = 0  # that the request can wait before it is sent
    is_resumed: bool = False  # continues a generation, else lost
    reserves_return: bool = False  # asks only when a caller may come back


class PermitAnswer(msgspec.Struct, frozen=True):
    """Grant or deny a permit."""

    is_granted: bool
    # Granted: until the request may be sent. Denied: until it may be granted.
    wait_ms: Integer


class SharedPlatformState(msgspec.Struct, frozen=True, array_like=True):
    """Hold platform data for a host that cannot read the platform."""

    wants_list: bool = False  # the sender cannot read the list itself
    configuration: bytes = b""  # as operators wrote it
    listed: list[ListEntry] = msgspec.field(default_factory=list)


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """Hold one heartbeat and the state changes that it carries.

    Only what has changed since the last message on the link is sent.
    """

    host: str
    incarnation: str
    seq: Integer  # increases over all messages of the incarnation
    previous_seq: Integer  # of the previous message on the link; 0: full state
    acked_seq: Integer  # the latest received from the receiver
    needs_full_state: bool  # a message was lost; send the full state
    stamp: str
    offset: Integer  # of the configuration
    caught_up: bool
    chosen: bool  # the sender chose the receiver and expects messages back
    wants_members: bool = False
    members: list[Member] = msgspec.field(default_factory=list)
    counts: dict[str, Integer] = msgspec.field(default_factory=dict)
    counts_are_full: bool = False
    upstream_reports: list[UpstreamReport] = msgspec.field(
        default_factory=list
    )
    shared: SharedPlatformState | None = None  # in few messages
    evacuations: EvacuationSnapshot | None = None  # None: not known yet
    crash_reports: list[CrashReport] = msgspec.field(default_factory=list)
    rate_limits: list[RateLimitReport] = msgspec.field(default_factory=list)
    leaving_notices: list[LeavingReport] = msgspec.field(default_factory=list)
    part_reports: list[PartReport] = msgspec.field(default_factory=list)
    silence_reports: list[SilenceReport] = msgspec.field(default_factory=list)


class CountsUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Hold the in-flight counts of one host, by upstream."""

    host: str
    incarnation: str
    seq: Integer  # increases over all updates of the incarnation
    counts: dict[str, Integer]
    wants_sums: bool  # the answer is to hold the sums over all other hosts
    position: Position | None = None  # the answer is to hold newer records


class CountsSums(msgspec.Struct, frozen=True, array_like=True):
    """Hold the sums of the other hosts' in-flight counts, by upstream."""

    counts: dict[str, Integer]
    records: RecordsAnswer | None = None


_message_decoder = msgspec.msgpack.Decoder(PeerMessage)
_update_decoder = msgspec.msgpack.Decoder(CountsUpdate)
_permit_request_decoder = msgspec.msgpack.Decoder(PermitRequest)
_permit_answer_decoder = msgspec.msgpack.Decoder(PermitAnswer)
_FIRST_ARRAY_BYTE = b"\x90"  # of msgpack; those below it begin a short map
_sums_decoder = msgspec.msgpack.Decoder(CountsSums)


def encode_message(message: PeerMessage) -> bytes:
    """Return the message encoded as msgpack."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> PeerMessage:
    """Return the decoded message; raise `PeerMessageError`."""
    return _decode(data, _message_decoder)


def encode_counts(message: CountsUpdate | CountsSums) -> bytes:
    """Return the update or the sums encoded as msgpack."""
    return msgspec.msgpack.encode(message)


def decode_update(data: bytes) -> CountsUpdate:
    """Return the decoded update; raise `PeerMessageError`."""
    return _decode(data, _update_decoder)


def encode_permit(message: PermitRequest | PermitAnswer) -> bytes:
    """Return the request or the answer encoded as msgpack."""
    return msgspec.msgpack.encode(message)


def is_permit_request(data: bytes) -> bool:
    """Return whether a request is a map, not an array as an update is."""
    return data[:1] < _FIRST_ARRAY_BYTE


def decode_permit_request(data: bytes) -> PermitRequest:
    """Return the decoded request; raise `PeerMessageError`."""
    return _decode(data, _permit_request_decoder)


def decode_permit_answer(data: bytes) -> PermitAnswer:
    """Return the decoded answer; raise `PeerMessageError`."""
    return _decode(data, _permit_answer_decoder)


def decode_sums(data: bytes) -> CountsSums:
    """Return the decoded sums; raise `PeerMessageError`."""
    return _decode(data, _sums_decoder)


def _decode(
    data: bytes, decoder: msgspec.msgpack.Decoder[_Message]
) -> _Message:
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PeerMessageError(f"cannot decode message: {error}") from error
