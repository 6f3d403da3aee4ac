"""The records that the project keeps on the platform's log."""

from __future__ import annotations

from typing import Any
from uuid import uuid4

import attrs
import msgspec

from balsamlift.exceptions import BalsamliftError
from balsamlift.presets._check import check_preset
from balsamlift.presets._preset import Preset
from balsamlift.presets._state import FoldState

NAME_LIMIT = 200  # characters
_BROKEN = (LookupError, ValueError, RecursionError)
_OFFSET = attrs.validators.ge(0)
_NAME = attrs.validators.matches_re(rf"\S.{{0,{NAME_LIMIT - 1}}}")


@attrs.frozen
class Publish:
    """Make a preset known under its name; puts nothing in force."""

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
    expected_generation: int = attrs.field(validator=_OFFSET)


@attrs.frozen
class Checkpoint:
    """Repeat the state of all records before `covers_offset`."""

    op: str = attrs.field(validator=_NAME)
    covers_offset: int = attrs.field(validator=attrs.validators.ge(1))
    state: FoldState


@attrs.frozen
class Lease:
    """Take or renew the lease on orders to engines.

    Valid only if `previous_offset` is the offset of the lease record in
    force (0: none). Its own offset is the fencing number; a lease at
    offset 0 is void, for it could not be told from none.
    """

    op: str = attrs.field(validator=_NAME)
    holder: str = attrs.field(validator=_NAME)  # host~incarnation
    previous_offset: int = attrs.field(validator=_OFFSET)
    term_ms: int = attrs.field(validator=attrs.validators.gt(0))


@attrs.frozen
class Claim:
    """Claim a key that has no home; the first on the log wins."""

    op: str = attrs.field(validator=_NAME)
    key: str = attrs.field(validator=_NAME)  # TIMESTAMP_MS-RANDOM
    host: str = attrs.field(validator=_NAME)  # host~incarnation


Record = Publish | Switch | Checkpoint | Lease | Claim

_KINDS: dict[str, type[Record]] = {
    "publish": Publish,
    "switch": Switch,
    "checkpoint": Checkpoint,
    "lease": Lease,
    "claim": Claim,
}
_TYPES = {kind: name for name, kind in _KINDS.items()}


@attrs.frozen
class Entry:
    """Hold one place of the log; `record` is None where it is void."""

    offset: int
    at_ms: int  # by the log's clock
    record: Record | None


class _Tag(msgspec.Struct):
    type: str


def new_operation() -> str:
    """Return an operation id that no other operation has."""
    return uuid4().hex


def encode_record(record: Record) -> bytes:
    """Return the JSON text of a record."""
    fields = {"type": _TYPES[type(record)], **attrs_fields(record)}
    return msgspec.json.encode(fields)


def attrs_fields(value: Any) -> dict[str, Any]:
    """Return the fields of an attrs object, values unchanged."""
    return attrs.asdict(value, recurse=False)


def decode_record(data: bytes | msgspec.Raw) -> Record | None:
    """Return the record, or None for whatever is not a valid one.

    A void record must never stop a reader.
    """
    try:
        tag = msgspec.json.decode(data, type=_Tag)
        kind = _KINDS[tag.type]
        record: Record = msgspec.json.decode(data, type=kind)
        if isinstance(record, Publish):
            check_preset(record.body)
    except (msgspec.MsgspecError, BalsamliftError, *_BROKEN):
        return None
    return record
