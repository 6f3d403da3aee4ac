"""What can be wrong with what a caller sent."""

from __future__ import annotations

from balsamlift.exceptions import RequestError


class BadBodyError(RequestError):
    """Tell that the body is not the JSON that was expected."""

    code = "bad_body"


class BodyTooLargeError(RequestError):
    """Tell that the body is over the limit."""

    status = 413
    code = "body_too_large"


class BadQueryError(RequestError):
    """Tell that a query argument is missing or has no valid value."""

    code = "bad_query"


class StreamsFullError(RequestError):
    """Tell that this host has no stream left, whatever becomes of the key.

    No outcome: the key may run already, from an earlier try.
    """

    status = 503
    code = "streams_full"


class BadKeyError(RequestError):
    """Tell that the key has neither of the known forms."""

    code = "bad_key"

    def __init__(self) -> None:
        """Say what a key looks like."""
        super().__init__(
            "expected a key PREFIX.RANDOM under a prefix from /v1/addresses,"
            " or TIMESTAMP_MS-RANDOM, with 32 hex digits as RANDOM"
        )


class KeyReusedError(RequestError):
    """Tell that the key belongs to a request with another body."""

    status = 409
    code = "key_reused"


class KeyMissingError(RequestError):
    """Tell that this workspace has no request with this key here."""

    status = 404
    code = "key_missing"


class KindUnknownError(RequestError):
    """Tell that the preset in force has no such kind."""

    code = "kind_unknown"


class WorkspaceUnknownError(RequestError):
    """Tell that the preset in force has no such workspace."""

    status = 403
    code = "workspace_unknown"


class TokenWrongError(RequestError):
    """Tell that the bearer token is not that of the workspace."""

    status = 401
    code = "token_wrong"


class IndexPastEndError(RequestError):
    """Tell that a resume asked for tokens past those there are."""

    status = 416
    code = "index_past_end"


class AnswerExpiredError(RequestError):
    """Tell that the answer is no longer kept, only its outcome."""

    status = 410
    code = "answer_expired"
