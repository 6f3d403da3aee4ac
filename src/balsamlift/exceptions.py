"""The tree of errors: everything raised on purpose is a `BalsamliftError`."""

from __future__ import annotations


class BalsamliftError(Exception):
    """Be the base of every error raised on purpose."""

    def __init__(self, message: str) -> None:
        """Keep the message for people."""
        super().__init__(message)
        self.message = message


class ServiceMissingError(BalsamliftError):
    """Tell that no service of that name and kind is registered."""

    def __init__(self, name: str) -> None:
        """Name the service."""
        super().__init__(f"no service named {name!r}")


class ServiceTakenError(BalsamliftError):
    """Tell that a service name is registered twice."""

    def __init__(self, name: str) -> None:
        """Name the service."""
        super().__init__(f"a service named {name!r} is registered already")


class SettingsError(BalsamliftError):
    """Tell which field of a settings or preset file is wrong."""

    def __init__(self, file: str, path: str, expected: str) -> None:
        """Say where the field stands and what was expected there."""
        super().__init__(f"{file}: {path}: expected {expected}")
        self.file = file
        self.path = path
        self.expected = expected


class RequestError(BalsamliftError):
    """Be the base of errors in what a caller sent (HTTP 4xx)."""

    status = 400
    code = "bad_request"


class RefusedError(BalsamliftError):
    """Tell that the request certainly did not run.

    `retry_after_ms` says when coming back makes sense.
    """

    def __init__(self, reason: str, retry_after_ms: int) -> None:
        """Keep the reason code and the time to come back."""
        super().__init__(f"refused: {reason}")
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class PlatformError(BalsamliftError):
    """Be the base of failures of the platform's services."""


class LogUnavailableError(PlatformError):
    """Tell that the log gave no answer; an append may have taken effect."""


class StoreError(PlatformError):
    """Tell that a call to the store was not done, or may not have been."""


class HistoryLostError(StoreError):
    """Tell that records to be read are no longer kept."""


class UpstreamError(BalsamliftError):
    """Be the base of failures of an upstream."""

    def __init__(self, upstream: str, message: str) -> None:
        """Name the upstream."""
        super().__init__(f"upstream {upstream}: {message}")
        self.upstream = upstream


class UpstreamRefusedError(UpstreamError):
    """Tell that the upstream said itself that the work did not run."""

    def __init__(
        self, upstream: str, reason: str, retry_after_ms: int
    ) -> None:
        """Keep the reason code and the time to come back."""
        super().__init__(upstream, f"refused: {reason}")
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class UpstreamUnreachableError(UpstreamError):
    """Tell that not a byte of the request left for the upstream."""


class UpstreamSilentError(UpstreamError):
    """Tell that bytes were sent and no answer came; it may have run."""


class PeerUnreachableError(BalsamliftError):
    """Tell that a peer gave no answer."""

    def __init__(self, host: str) -> None:
        """Name the host."""
        super().__init__(f"peer {host}: no answer")
        self.host = host


class FieldError(BalsamliftError, ValueError):
    """Tell that a value does not fit its field; `name` may be empty."""

    def __init__(self, name: str, expected: str) -> None:
        """Name the field and say what was expected there."""
        super().__init__(f"{name or 'value'}: expected {expected}")
        self.name = name
        self.expected = expected


class StampError(BalsamliftError):
    """Tell that a text is no stamp of the hybrid logical clock."""

    def __init__(self, text: str) -> None:
        """Keep the start of the text."""
        super().__init__(f"{text[:40]!r} is not MILLISECONDS.COUNTER")


class LogBlockedError(LogUnavailableError):
    """Tell that an append was not tried; it certainly took no effect."""

    def __init__(self, retry_after_ms: int) -> None:
        """Keep the time to come back."""
        super().__init__(f"the log is backed off for {retry_after_ms} ms")
        self.retry_after_ms = retry_after_ms


class HostsUnavailableError(PlatformError):
    """Tell that the platform gave no usable list of hosts."""


class UsageError(BalsamliftError):
    """Tell that a command was called in a wrong way."""


class HostReadError(BalsamliftError):
    """Tell that a host did not show what was asked of it."""

    def __init__(self, address: str, reason: str) -> None:
        """Name the address and say why."""
        super().__init__(f"host at {address}: {reason}")
        self.address = address
        self.reason = reason


class OffsetGapError(BalsamliftError):
    """Tell that records of the log between two offsets are missing."""

    def __init__(self, next_offset: int, found: int) -> None:
        """Keep the offset that comes next and the one found."""
        super().__init__(f"offset {found} comes where {next_offset} was due")
        self.next_offset = next_offset
        self.found = found


class LogUnreadableError(LogUnavailableError):
    """Tell that the log could not be read; nothing was appended."""


class KeyFormatError(RequestError):
    """Tell that a key without home does not carry its creation time."""

    code = "bad_key"

    def __init__(self, key: str) -> None:
        """Keep the key."""
        super().__init__(f"{key[:80]!r} is not TIMESTAMP_MS-RANDOM")
        self.key = key


class KeyTooOldError(RequestError):
    """Tell that claims of so old a key are forgotten; it may have run."""

    code = "key_too_old"

    def __init__(self, key: str) -> None:
        """Keep the key."""
        super().__init__(f"the key {key[:80]!r} is too old to be claimed")
        self.key = key


class PeersAddressError(BalsamliftError):
    """Tell that the address for peers cannot be listened on."""

    def __init__(self, address: str, reason: str) -> None:
        """Name the address and the cause."""
        super().__init__(f"cannot listen on {address}: {reason}")
        self.address = address


class PeerMessageError(BalsamliftError):
    """Tell that what came from a peer is no message."""


class PresetMissingError(BalsamliftError):
    """Tell that the hosts asked know no such preset."""

    def __init__(self, name: str) -> None:
        """Name the preset; empty stands for the one in force."""
        text = f"no preset named {name!r}" if name else "no preset in force"
        super().__init__(text)
        self.name = name


class InterruptedUnknownError(BalsamliftError):
    """Tell that a command was interrupted; it may have taken effect."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("interrupted; it may have taken effect")


class StartError(BalsamliftError):
    """Tell that a host could not start, e.g. as its port is in use."""

    def __init__(self, host: str, reason: str) -> None:
        """Name the host and say why."""
        super().__init__(f"host {host} cannot start: {reason}")
        self.host = host


class OrderRefusedError(UpstreamError):
    """Tell that the engine has taken an order of a newer lease."""

    def __init__(self, upstream: str) -> None:
        """Name the upstream."""
        super().__init__(upstream, "refused the order: stale fence")


class OrderLostError(UpstreamError):
    """Tell that an order got no good answer; it may take effect yet."""

    def __init__(self, upstream: str, reason: str) -> None:
        """Name the upstream and the cause."""
        super().__init__(upstream, f"order without an answer: {reason}")


class NotConfiguredError(BalsamliftError):
    """Tell that no configuration is known yet."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("no configuration is known yet")


class UpstreamBrokenError(UpstreamError):
    """Tell that an upstream broke its answer off or sent no answer."""


class NoUpstreamError(BalsamliftError):
    """Tell that no upstream of a pool may take the request now."""

    def __init__(self, pool: str) -> None:
        """Name the pool."""
        super().__init__(f"no upstream of {pool!r} may take the request")
        self.pool = pool
