"""The types of records on the platform's log, and their encoding."""

from __future__ import annotations

from typing import Any
from uuid import uuid4

import attrs
import msgspec

from balsamlift.exceptions import BalsamliftError
from balsamlift.presets._check import check_preset
from balsamlift.presets._preset import Preset
from balsamlift.presets._state import FoldState

MAX_NAME_LENGTH = 200  # characters
_DECODE_ERRORS = (LookupError, ValueError, RecursionError)
_NON_NEGATIVE = attrs.validators.ge(0)
_NAME = attrs.validators.matches_re(rf"\S.{{0,{MAX_NAME_LENGTH - 1}}}")


@attrs.frozen
class Publish:
    """Publish a preset under its name; puts nothing in force."""

    op: str = attrs.field(validator=_NAME)
    name: str = attrs.field(validator=_NAME)
    body: Preset


@attrs.frozen
class Switch:
    """Put a published preset in force.

    Valid only while `expected_generation` is the one in force (0: none).
    """

    op: str = attrs.field(validator=_NAME)
    name: str = attrs.field(validator=_NAME)
    expected_generation: int = attrs.field(validator=_NON_NEGATIVE)


@attrs.frozen
class Checkpoint:
    """Hold the state folded from all records before `covers_offset`."""

    op: str = attrs.field(validator=_NAME)
    covers_offset: int = attrs.field(validator=attrs.validators.ge(1))
    state: FoldState


@attrs.frozen
class Lease:
    """Acquire or renew the lease that permits sending orders to engines.

    Valid only if `previous_offset` is the offset of the lease record in
    force (0: none). Its own offset is the fencing token; a lease at offset
    0 is ignored, because it could not be distinguished from no lease.
    """

    op: str = attrs.field(validator=_NAME)
    holder: str = attrs.field(validator=_NAME)  # host~incarnation
    previous_offset: int = attrs.field(validator=_NON_NEGATIVE)
    term_ms: int = attrs.field(validator=attrs.validators.gt(0))


@attrs.frozen
class Claim:
    """Claim a key that names no host; the first claim on the log wins."""

    op: str = attrs.field(validator=_NAME)
    key: str = attrs.field(validator=_NAME)  # TIMESTAMP_MS-RANDOM
    host: str = attrs.field(validator=_NAME)  # host~incarnation


Record = Publish | Switch | Checkpoint | Lease | Claim

_RECORD_TYPES: dict[str, type[Record]] = {
    "publish": Publish,
    "switch": Switch,
    "checkpoint": Checkpoint,
    "lease": Lease,
    "claim": Claim,
}
_TYPE_NAMES = {
    record_type: name for name, record_type in _RECORD_TYPES.items()
}


@attrs.frozen
class Entry:
    """Hold one entry of the log; `record` is None if it is not valid."""

    offset: int
    at_ms: int  # on the log's clock
    record: Record | None


class _Tag(msgspec.Struct):
    type: str


def new_operation_id() -> str:
    """Return a random id that is unique to one operation."""
    return uuid4().hex


def encode_record(record: Record) -> bytes:
    """Return a record encoded as JSON, with its type under "type"."""
    fields = {"type": _TYPE_NAMES[type(record)], **attrs_fields(record)}
    return msgspec.json.encode(fields)


def attrs_fields(value: Any) -> dict[str, Any]:
    """Return the fields of an attrs object without converting values."""
    return attrs.asdict(value, recurse=False)


def decode_record(data: bytes | msgspec.Raw) -> Record | None:
    """Return the decoded record, or None if it is not valid.

    An invalid record must never stop a reader.
    """
    try:
        tag = msgspec.json.decode(data, type=_Tag)
        record_type = _RECORD_TYPES[tag.type]
        record: Record = msgspec.json.decode(data, type=record_type)
        if isinstance(record, Publish):
            check_preset(record.body)
    except (msgspec.MsgspecError, BalsamliftError, *_DECODE_ERRORS):
        return None
    return record
