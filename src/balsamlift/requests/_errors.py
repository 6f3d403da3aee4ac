"""Errors that are reported to callers with a status and a code."""

from __future__ import annotations

from balsamlift.exceptions import RequestError


class BadBodyError(RequestError):
    """Raise when the body is not JSON of the expected form."""

    code = "bad_body"


class BodyTooLargeError(RequestError):
    """Raise when the body exceeds the size limit."""

    status = 413
    code = "body_too_large"


class BadQueryError(RequestError):
    """Raise when a query argument is missing or invalid."""

    code = "bad_query"


class StreamsFullError(RequestError):
    """Raise when this host has no free stream for the caller.

    This is not an outcome of the request: its key may already be running
    from an earlier attempt.
    """

    status = 503
    code = "streams_full"


class BadKeyError(RequestError):
    """Raise when the key has neither of the known forms."""

    code = "bad_key"

    def __init__(self) -> None:
        """Set a message that describes both forms of a key."""
        super().__init__(
            "expected a key PREFIX.RANDOM under a prefix from /v1/addresses,"
            " or TIMESTAMP_MS-RANDOM, with 32 hex digits as RANDOM"
        )


class KeyReusedError(RequestError):
    """Raise when the key belongs to a request with a different body."""

    status = 409
    code = "key_reused"


class KeyMissingError(RequestError):
    """Raise when this host has no request with this key and workspace."""

    status = 404
    code = "key_missing"


class KindUnknownError(RequestError):
    """Raise when the preset in force does not define the request kind."""

    code = "kind_unknown"


class WorkspaceUnknownError(RequestError):
    """Raise when the preset in force does not define the workspace."""

    status = 403
    code = "workspace_unknown"


class TokenWrongError(RequestError):
    """Raise when the bearer token does not match the workspace's."""

    status = 401
    code = "token_wrong"


class IndexPastEndError(RequestError):
    """Raise when a resume starts after the last available token."""

    status = 416
    code = "index_past_end"


class AnswerExpiredError(RequestError):
    """Raise when the answer has been dropped and only its outcome kept."""

    status = 410
    code = "answer_expired"
