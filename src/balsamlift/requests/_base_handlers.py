"""Base request handlers that report errors as JSON."""

from __future__ import annotations

from typing import Any

import msgspec
from tornado.web import HTTPError, RequestHandler

from balsamlift.exceptions import BalsamliftError, RequestError
from balsamlift.requests._errors import BadQueryError

NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
INTERNAL_SERVER_ERROR = 500
_CODES = {NOT_FOUND: "route_missing", METHOD_NOT_ALLOWED: "method_wrong"}
_MESSAGES = {
    NOT_FOUND: "no such route",
    METHOD_NOT_ALLOWED: "this route has no such method",
}


class JsonErrorHandler(RequestHandler):
    """Send every error as `{"error", "message"}`."""

    def reply(self, status: int, body: bytes) -> None:
        """Send encoded JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(body)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an error with the status and code of its type."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, RequestError):
            status_code, code = error.status, error.code
            message = error.message
        elif status_code >= INTERNAL_SERVER_ERROR:
            code, message = "internal", "an error of ours"
        else:
            code = _CODES.get(status_code, "bad_request")
            message = _MESSAGES.get(status_code, "bad request")
        body = {"error": code, "message": message}
        self.reply(status_code, msgspec.json.encode(body))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log exceptions other than the expected `BalsamliftError`."""
        if not isinstance(value, BalsamliftError):
            super().log_exception(typ, value, tb)

    def query(self, name: str) -> str:
        """Return a query argument; raise `BadQueryError` if missing."""
        value = self.get_query_argument(name, "")
        if not value:
            raise BadQueryError(f"{name}: missing")
        return value


class MissingRouteHandler(JsonErrorHandler):
    """Respond 404 to every path without a route."""

    def prepare(self) -> None:
        """Raise 404, whatever the method."""
        raise HTTPError(NOT_FOUND)
