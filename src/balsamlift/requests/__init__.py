"""Caller requests: idempotency keys, dispatch, answers and outcomes."""

from balsamlift.requests._callers import Addresses, CallersServer, HostAddress
from balsamlift.requests._dependencies import Dependencies
from balsamlift.requests._errors import (
    AnswerExpiredError,
    BadBodyError,
    BadKeyError,
    IndexPastEndError,
    KeyMissingError,
    KeyReusedError,
    KindUnknownError,
    TokenWrongError,
    WorkspaceUnknownError,
)
from balsamlift.requests._execution import Execution
from balsamlift.requests._keys import (
    Home,
    HomedKey,
    UnhomedKey,
    key_prefix,
    new_homed_key,
    new_unhomed_key,
    parse_key,
)
from balsamlift.requests._messages import STREAM, WHOLE_ONLY, RequestBody
from balsamlift.requests._service import Requests
from balsamlift.requests._table import KeyTable

__all__ = [
    "STREAM",
    "WHOLE_ONLY",
    "Addresses",
    "AnswerExpiredError",
    "BadBodyError",
    "BadKeyError",
    "CallersServer",
    "Dependencies",
    "Execution",
    "Home",
    "HomedKey",
    "HostAddress",
    "IndexPastEndError",
    "KeyMissingError",
    "KeyReusedError",
    "KeyTable",
    "KindUnknownError",
    "RequestBody",
    "Requests",
    "TokenWrongError",
    "UnhomedKey",
    "WorkspaceUnknownError",
    "key_prefix",
    "new_homed_key",
    "new_unhomed_key",
    "parse_key",
]
