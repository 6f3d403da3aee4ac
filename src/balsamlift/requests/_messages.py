"""Decoding and validation of the request body that callers send."""

from __future__ import annotations

import hashlib
from typing import Any

import attrs
import msgspec

from balsamlift.requests._errors import BadBodyError

STREAM = "stream"
WHOLE_ONLY = "whole"
_DELIVERIES = (STREAM, WHOLE_ONLY)
_MAX_NAME = 128
_MAX_COUNT = 2**31 - 1
_MAX_SEED = 2**63 - 1  # the largest signed 64-bit integer
_MAX_DEPTH = 100  # nesting of lists and objects in a payload


@attrs.frozen(kw_only=True)
class RequestBody:
    """Represent one request as a caller sends it.

    `delivery` "whole" withholds the tokens until the answer is complete, so
    that the request can be rerun if an engine is lost midway.
    `first_attempt` states that the key was not sent before. Only then can a
    host that fails to claim an unhomed key report that it did not run.
    """

    key: str
    workspace: str
    kind: str
    prompt: str = ""
    prompt_tokens: int | None = None
    prefix: str = ""
    max_tokens: int | None = None
    seed: int | None = None
    idempotent: bool | None = None
    deadline_ms: int | None = None
    delivery: str = STREAM
    payload: Any = None
    first_attempt: bool = False

    def digest(self) -> bytes:
        """Return a hash that is equal for repeated attempts only."""
        request = attrs.evolve(self, first_attempt=False)
        encoded = msgspec.json.encode(request, order="deterministic")
        return hashlib.sha256(encoded).digest()


def decode_request(data: bytes) -> RequestBody:
    """Decode and validate a request; raise `BadBodyError`."""
    try:
        body = msgspec.json.decode(data, type=RequestBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadBodyError(f"bad request body: {error}") from error
    except RecursionError as error:
        raise _too_deep() from error
    _validate(body)
    return body


def _validate(body: RequestBody) -> None:
    for name in ("workspace", "kind"):
        if not 0 < len(getattr(body, name)) <= _MAX_NAME:
            raise BadBodyError(f"{name}: expected 1 to {_MAX_NAME} characters")
    if body.delivery not in _DELIVERIES:
        raise BadBodyError(f"delivery: expected one of {_DELIVERIES}")
    for name in ("prompt_tokens", "max_tokens", "deadline_ms"):
        value = getattr(body, name)
        if value is not None and not 0 < value <= _MAX_COUNT:
            raise BadBodyError(f"{name}: expected 1 to {_MAX_COUNT}")
    if body.seed is not None and abs(body.seed) > _MAX_SEED:
        raise BadBodyError(f"seed: expected at most {_MAX_SEED}")
    _check_depth(body.payload, _MAX_DEPTH)


def _check_depth(value: Any, levels_left: int) -> None:
    if not isinstance(value, (dict, list)):
        return
    if not levels_left:
        raise _too_deep()
    members = value.values() if isinstance(value, dict) else value
    for member in members:
        _check_depth(member, levels_left - 1)


def _too_deep() -> BadBodyError:
    return BadBodyError(f"payload: expected at most {_MAX_DEPTH} levels")
