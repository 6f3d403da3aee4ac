"""What callers and upstreams saw, held against what was promised."""

from __future__ import annotations

from collections import Counter

import attrs

# Each promises that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)


@attrs.frozen(kw_only=True)
class Told:
    """Hold what one caller was told about one request."""

    request_id: str
    is_stream: bool
    is_idempotent: bool
    status: int  # 0: the connection ended before an answer
    signature: str = ""
    body: bytes = b""
    is_whole: bool = False


@attrs.define
class Promises:
    """Note what happens; `broken` says what must not have."""

    broken: list[str] = attrs.field(factory=list)
    runs: Counter[str] = attrs.field(factory=Counter)
    resumed: Counter[str] = attrs.field(factory=Counter)
    bodies: dict[str, set[bytes]] = attrs.field(factory=dict)
    statuses: dict[str, set[int]] = attrs.field(factory=dict)
    told: list[Told] = attrs.field(factory=list)
    _idempotent: set[str] = attrs.field(factory=set)
    _refused: set[str] = attrs.field(factory=set)

    def ran(
        self, request_id: str, workspace: str, *, has_key: bool, resumes: bool
    ) -> None:
        """Note that an upstream has begun a request."""
        if resumes:
            self.resumed[request_id] += 1
        else:
            self.runs[request_id] += 1
        if workspace != "t-1":
            self.break_("workspace", request_id, f"is {workspace!r}")
        if has_key:
            self.break_("key", request_id, "was passed on")
        if request_id in self._refused:
            self.break_("refused", request_id, "runs after all")
        self._look_for_second_run(request_id)

    def asked(self, request_id: str, *, is_idempotent: bool) -> None:
        """Note that a caller is about to send a request."""
        if is_idempotent:
            self._idempotent.add(request_id)

    def answered(self, request_id: str, status: int, body: bytes) -> None:
        """Note that an upstream has given a whole answer."""
        self.bodies.setdefault(request_id, set()).add(body)
        self.statuses.setdefault(request_id, set()).add(status)

    def tell(self, told: Told) -> None:
        """Hold what a caller was told against what was seen so far."""
        self.told.append(told)
        if told.status in NOT_RUN:
            if told.is_idempotent:
                return
            self._refused.add(told.request_id)
            if self.runs[told.request_id]:
                self.break_("refused", told.request_id, "had run")
        elif told.signature:
            self._look_at_answer(told)
        elif 200 <= told.status < 300:
            self.break_("mixed", told.request_id, "success without signature")

    def break_(self, promise: str, request_id: str, what: str) -> None:
        """Note a broken promise."""
        self.broken.append(f"{promise}: {request_id} {what}")

    def _look_for_second_run(self, request_id: str) -> None:
        if request_id in self._idempotent:
            return
        if self.runs[request_id] > 1:
            self.break_("twice", request_id, "ran again")

    def _look_at_answer(self, told: Told) -> None:
        if told.signature != f"signed-{told.request_id}":
            self.break_("mixed", told.request_id, f"got {told.signature}")
        if told.is_stream and told.status == 200:
            self._look_at_stream(told)
        elif told.is_whole:
            if told.body not in self.bodies.get(told.request_id, set()):
                self.break_("mixed", told.request_id, "body of nobody")
            if told.status not in self.statuses.get(told.request_id, set()):
                self.break_("mixed", told.request_id, "status of nobody")

    def _look_at_stream(self, told: Told) -> None:
        whole = stream_body(told.request_id)
        if not whole.startswith(told.body):
            self.break_("order", told.request_id, "events out of order")
        elif told.is_whole and told.body != whole:
            self.break_("order", told.request_id, "ends early as whole")


def last_event(request_id: str) -> int:
    """Return the number of the last event of a request's stream."""
    return 5 + sum(request_id.encode()) % 30


def stream_event(request_id: str, number: int) -> bytes:
    """Return one event."""
    return b"id: %d\ndata: %b-%d\n\n" % (number, request_id.encode(), number)


def stream_body(request_id: str) -> bytes:
    """Return all events of a request's stream."""
    last = last_event(request_id)
    return b"".join(stream_event(request_id, n) for n in range(last + 1))
