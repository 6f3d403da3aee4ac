"""The exception hierarchy; its base class is `BalsamliftError`."""

from __future__ import annotations


class BalsamliftError(Exception):
    """Base class of all errors that this package raises."""

    def __init__(self, message: str) -> None:
        """Store the message, which is meant for people."""
        super().__init__(message)
        self.message = message


class ServiceMissingError(BalsamliftError):
    """Raised when no service of that name and type is registered."""

    def __init__(self, name: str) -> None:
        """Include the name of the service in the message."""
        super().__init__(f"no service named {name!r}")


class ServiceTakenError(BalsamliftError):
    """Raised when a service name is registered twice."""

    def __init__(self, name: str) -> None:
        """Include the name of the service in the message."""
        super().__init__(f"a service named {name!r} is registered already")


class SettingsError(BalsamliftError):
    """Raised when a field of a settings or preset file is invalid."""

    def __init__(self, file: str, path: str, expected: str) -> None:
        """Store the file, the path of the field and the expected value."""
        super().__init__(f"{file}: {path}: expected {expected}")
        self.file = file
        self.path = path
        self.expected = expected


class RequestError(BalsamliftError):
    """Base class of errors in a caller's request (HTTP 4xx)."""

    status = 400
    code = "bad_request"


class RefusedError(BalsamliftError):
    """Raised when it is certain that the request did not run.

    `retry_after_ms` is the time after which a retry makes sense.
    """

    def __init__(self, reason: str, retry_after_ms: int) -> None:
        """Store the reason code and the retry time."""
        super().__init__(f"refused: {reason}")
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class PlatformError(BalsamliftError):
    """Base class of failures of the platform's services."""


class LogUnavailableError(PlatformError):
    """Raised when the log does not answer; an append may have taken effect."""


class StoreError(PlatformError):
    """Raised when a call to the store failed, or may have failed."""


class HistoryLostError(StoreError):
    """Raised when records to be read are no longer retained."""


class UpstreamError(BalsamliftError):
    """Base class of failures of an upstream."""

    def __init__(self, upstream: str, message: str) -> None:
        """Store the name of the upstream."""
        super().__init__(f"upstream {upstream}: {message}")
        self.upstream = upstream


class UpstreamRefusedError(UpstreamError):
    """Raised when the upstream itself reports that the work did not run."""

    def __init__(
        self, upstream: str, reason: str, retry_after_ms: int
    ) -> None:
        """Store the reason code and the retry time."""
        super().__init__(upstream, f"refused: {reason}")
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class UpstreamUnreachableError(UpstreamError):
    """Raised when no byte of the request was sent to the upstream."""

    def __init__(
        self, upstream: str, message: str, *, is_silent: bool = False
    ) -> None:
        """Store whether the upstream neither accepted nor refused."""
        super().__init__(upstream, message)
        self.is_silent = is_silent


class UpstreamRestrictedError(UpstreamUnreachableError):
    """Raised when a request may not be sent to an upstream any more."""

    def __init__(self, upstream: str, restriction: str) -> None:
        """Store the name of the upstream and what forbids it."""
        super().__init__(upstream, restriction)
        self.restriction = restriction


class UpstreamSilentError(UpstreamError):
    """Raised when a sent request got no answer; it may have run."""


class PeerUnreachableError(BalsamliftError):
    """Raised when a peer does not answer."""

    def __init__(self, host: str) -> None:
        """Store the name of the host."""
        super().__init__(f"peer {host}: no answer")
        self.host = host


class FieldError(BalsamliftError, ValueError):
    """Raised when a value is invalid for its field; `name` may be empty."""

    def __init__(self, name: str, expected: str) -> None:
        """Store the name of the field and the expected value."""
        super().__init__(f"{name or 'value'}: expected {expected}")
        self.name = name
        self.expected = expected


class StampError(BalsamliftError):
    """Raised when a text is not a stamp of the hybrid logical clock."""

    def __init__(self, text: str) -> None:
        """Include the start of the text in the message."""
        super().__init__(f"{text[:40]!r} is not MILLISECONDS.COUNTER")


class LogBlockedError(LogUnavailableError):
    """Raised when an append was not attempted; it has no effect."""

    def __init__(self, retry_after_ms: int) -> None:
        """Store the retry time."""
        super().__init__(f"the log is backed off for {retry_after_ms} ms")
        self.retry_after_ms = retry_after_ms


class HostsUnavailableError(PlatformError):
    """Raised when the platform returned no usable list of hosts."""


class UsageError(BalsamliftError):
    """Raised when a command has invalid arguments."""


class HostReadError(BalsamliftError):
    """Raised when data could not be read from a host."""

    def __init__(self, address: str, reason: str) -> None:
        """Store the address and the reason."""
        super().__init__(f"host at {address}: {reason}")
        self.address = address
        self.reason = reason


class OffsetGapError(BalsamliftError):
    """Raised when records of the log between two offsets are missing."""

    def __init__(self, next_offset: int, found: int) -> None:
        """Store the expected offset and the one found."""
        super().__init__(f"offset {found} comes where {next_offset} was due")
        self.next_offset = next_offset
        self.found = found


class LogUnreadableError(LogUnavailableError):
    """Raised when the log could not be read; nothing was appended."""


class KeyFormatError(RequestError):
    """Raised when a key without a home does not contain its creation time."""

    code = "bad_key"

    def __init__(self, key: str) -> None:
        """Store the key."""
        super().__init__(f"{key[:80]!r} is not TIMESTAMP_MS-RANDOM")
        self.key = key


class KeyTooOldError(RequestError):
    """Raised when claims of a key are no longer kept; it may have run."""

    code = "key_too_old"

    def __init__(self, key: str) -> None:
        """Store the key."""
        super().__init__(f"the key {key[:80]!r} is too old to be claimed")
        self.key = key


class AddressUnavailableError(BalsamliftError):
    """Raised when an address to listen on cannot be bound."""

    def __init__(self, address: str, reason: str) -> None:
        """Store the address and the cause."""
        super().__init__(f"cannot listen on {address}: {reason}")
        self.address = address


class PeersAddressError(AddressUnavailableError):
    """Raised when the peers' address cannot be bound."""


class PeerMessageError(BalsamliftError):
    """Raised when data from a peer is not a valid message."""


class PresetMissingError(BalsamliftError):
    """Raised when none of the queried hosts knows the preset."""

    def __init__(self, name: str) -> None:
        """Store the name; an empty one stands for the preset in force."""
        text = f"no preset named {name!r}" if name else "no preset in force"
        super().__init__(text)
        self.name = name


class InterruptedUnknownError(BalsamliftError):
    """Raised when a command is interrupted; it may have taken effect."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("interrupted; it may have taken effect")


class StartError(BalsamliftError):
    """Raised when a host cannot start, e.g. because its port is in use."""

    def __init__(self, host: str, reason: str) -> None:
        """Store the host and the reason."""
        super().__init__(f"host {host} cannot start: {reason}")
        self.host = host


class OrderRefusedError(UpstreamError):
    """Raised when the engine has accepted an order of a newer lease."""

    def __init__(self, upstream: str) -> None:
        """Store the name of the upstream."""
        super().__init__(upstream, "refused the order: stale fence")


class OrderLostError(UpstreamError):
    """Raised when an order got no valid answer; it may still take effect."""

    def __init__(self, upstream: str, reason: str) -> None:
        """Store the upstream and the cause."""
        super().__init__(upstream, f"order without an answer: {reason}")


class NotConfiguredError(BalsamliftError):
    """Raised while no configuration is known yet."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("no configuration is known yet")


class UpstreamBrokenError(UpstreamError):
    """Raised when an upstream sent an incomplete answer or none."""


class ResponseLimitError(UpstreamBrokenError):
    """Raised when an upstream sent too many bytes of one form."""

    def __init__(self, upstream: str, form: str) -> None:
        """Store the form."""
        super().__init__(upstream, f"too many bytes: {form}")
        self.form = form


class NoUpstreamError(BalsamliftError):
    """Raised when no upstream of a pool may take the request now."""

    def __init__(self, pool: str) -> None:
        """Store the pool."""
        super().__init__(f"no upstream of {pool!r} may take the request")
        self.pool = pool


class AnswerMemoryError(BalsamliftError):
    """Raised when there is no memory for the answer to a client."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("no memory for the answer")
