"""Callers that look up addresses, reuse connections and record answers."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Callable, Sequence
from functools import partial

import attrs

from balsamlift.platform._names import ADDRESSES_PATH, HEADERS
from balsamlift.testing.relay import CallerAnswer, read_answer
from soak.bodies import NO_BODY, Body, SlowReader, draw_body
from soak.configuration import (
    FLOODING,
    HEAVY,
    KEYS,
    MAIN,
    RESUMABLE_ATTEMPTS,
    RESUMABLE_PATH,
    SERVED_HOST,
)
from soak.contact import ContactChecker
from soak.crashing_parts import CrashingParts
from soak.exits import ExitChecker
from soak.guarantees import CallerOutcome, GuaranteeChecker
from soak.hosts import Host
from soak.load import KINDS, Load
from soak.plan import Plan
from soak.rate_limits import RateLimitChecker
from soak.retries import RetryChecker
from soak.statements import StatementChecker
from soak.upstreams import UPSTREAM_HEADER

DEADLINE_MS = 3_000
# A call may take its longest work at an upstream, and some time more.
WORK_DEADLINE_FACTOR = 1.5
STREAM_DEADLINE_MS = 10_000  # of streams that last for some seconds
PATHS = {
    "idempotent": "/view/",
    "non_idempotent": "/order/",
    "stream": "/draft/",
    "resumable": RESUMABLE_PATH,
}
STREAMS = ("stream", "resumable")
# Tokens read and written. A few requests of the flood fill an engine.
TOKENS = {MAIN: "1000,150", HEAVY: "1000,150", FLOODING: "6000,1000"}
PROMPT_TOKENS = 1_000  # where the output is known
RESOLVE_PAUSE_S = 0.1
REQUESTS_PER_CONNECTION = 6
CONNECT_S = 1.0
OK = 200


@attrs.frozen
class CallerRequest:
    """One request of a caller."""

    request_id: str
    kind: str
    parts: str = ""  # of its prompt, as the header lists them
    workspace: str = MAIN
    deadline_ms: int = DEADLINE_MS
    body: Body = NO_BODY
    tokens: str = ""  # "": as all requests of its workspace

    @property
    def is_stream(self) -> bool:
        """Return whether it is answered by a stream."""
        return self.kind in STREAMS

    @property
    def max_runs(self) -> int | None:
        """Return how often upstreams may begin it, None without a limit."""
        if self.kind == "resumable":
            return RESUMABLE_ATTEMPTS
        return None if self.is_idempotent else 1

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may be executed more than once."""
        return self.kind == "idempotent"

    @property
    def service(self) -> str:
        """Return the service that the request is for."""
        return "model" if self.is_stream else "plain"

    def encode(self, key: str = "", path: str = "") -> bytes:
        """Return the encoded head of the HTTP request."""
        method = "GET" if self.is_idempotent else "POST"
        path = path or PATHS[self.kind] + self.request_id
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {SERVED_HOST}",
            f"{HEADERS.request_id}: {self.request_id}",
            f"{HEADERS.deadline_ms}: {self.deadline_ms}",
            f"{HEADERS.token_usage}: {self.tokens or TOKENS[self.workspace]}",
            f"Authorization: Token {key or KEYS[self.workspace]}",
            self.body.header,
        ]
        if self.parts:
            lines.append(f"{HEADERS.prompt_parts}: {self.parts}")
        return "\r\n".join([*lines, "", ""]).encode()


async def send(
    request: CallerRequest,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    key: str = "",
    path: str = "",
    on_sent: Callable[[], None] = lambda: None,
) -> tuple[CallerOutcome, bool]:
    """Return the outcome of a request and whether to keep the connection.

    `on_sent` is called once its last byte is sent.
    """
    outcome = CallerOutcome(
        request_id=request.request_id,
        is_stream=request.is_stream,
        is_idempotent=request.is_idempotent,
        status=0,
    )
    try:
        async with asyncio.timeout(request.deadline_ms / 1_000 + 1.0):
            writer.write(request.encode(key, path))
            answer, is_sent = await _exchange(
                request.body, reader, writer, on_sent
            )
    except (OSError, EOFError, TimeoutError):
        return outcome, False
    outcome = attrs.evolve(
        outcome,
        status=answer.status,
        signature=answer.headers.get(HEADERS.signature, ""),
        body=answer.body,
        is_whole=answer.is_whole,
        names_rate_limit=HEADERS.rate_limit in answer.headers,
        upstream=answer.headers.get(UPSTREAM_HEADER, ""),
        is_notice=HEADERS.leaving in answer.headers,
    )
    closes = answer.headers.get("Connection", "").lower() == "close"
    return outcome, answer.is_whole and is_sent and not closes


async def _exchange(
    body: Body,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    on_sent: Callable[[], None],
) -> tuple[CallerAnswer, bool]:
    """Send a body, and read the answer, which may come before its end.

    Return the answer and whether the whole body is sent.
    """

    async def send_body() -> None:
        await body.send(writer)
        on_sent()

    sending = asyncio.create_task(send_body())
    try:
        answer = await read_answer(
            SlowReader(reader) if body.reads_slowly else reader
        )
        return answer, sending.done()
    finally:
        sending.cancel()


class Callers:
    """Run callers that send requests one after the other."""

    def __init__(
        self,
        hosts: Sequence[Host],
        guarantees: GuaranteeChecker,
        rate_limits: RateLimitChecker,
        statements: StatementChecker,
        retries: RetryChecker,
        contact: ContactChecker,
        crashing_parts: CrashingParts,
        exits: ExitChecker,
        plan: Plan,
        load: Load,
        rng: random.Random,
        on_interrupted: Callable[[str], None],
    ) -> None:
        """Call `on_interrupted` when a request gets no complete answer.

        A request that may never have been read does not count.
        """
        self._hosts = hosts
        self._guarantees = guarantees
        self._rate_limits = rate_limits
        self._statements = statements
        self._retries = retries
        self._contact = contact
        self._crashing_parts = crashing_parts
        self._exits = exits
        self._plan = plan
        self._deadline_ms = max(
            DEADLINE_MS, int(plan.max_work_s * WORK_DEADLINE_FACTOR * 1_000)
        )
        self._stream_deadline_ms = self._deadline_ms
        if plan.streams is not None:
            longest_ms = plan.streams.longest_s * WORK_DEADLINE_FACTOR * 1_000
            self._stream_deadline_ms = max(STREAM_DEADLINE_MS, int(longest_ms))
        self._bodies_random = random.Random(f"{plan.seed}/bodies")
        self._load = load
        self._random = rng
        self._on_interrupted = on_interrupted
        self._numbers = itertools.count()
        self._stopped = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(
        self, number: int, *, streaming: int = 0, flooding: int = 0
    ) -> None:
        """Start `number` callers of all kinds, and some of streams only.

        Those that are `flooding` fill the engines.
        """
        draws = [self.draw_request] * number
        draws += [self.draw_stream_request] * streaming
        draws += [self.draw_flooding_request] * flooding
        keeps = self._plan.keeps_connections
        self._tasks = [
            asyncio.create_task(self._run_caller(draw, keeps and n % 2 == 0))
            for n, draw in enumerate(draws)
        ]

    async def stop(self) -> None:
        """Stop the callers after their current requests."""
        self._stopped = True
        await asyncio.gather(*self._tasks)

    def draw_request(self) -> CallerRequest:
        """Return a request of a random kind."""
        weights = [self._load.shares.get(kind, 0.0) for kind in KINDS]
        (kind,) = self._random.choices(KINDS, weights)
        return self._make_request(kind, self._random.choice((MAIN, HEAVY)))

    def draw_stream_request(self) -> CallerRequest:
        """Return a stream that may not be resumed."""
        workspace = self._random.choice((MAIN, HEAVY))
        return self._make_request("stream", workspace)

    def draw_flooding_request(self) -> CallerRequest:
        """Return a large stream of the workspace that floods the engines."""
        return self._make_request(self._random.choice(STREAMS), FLOODING)

    def _make_request(self, kind: str, workspace: str) -> CallerRequest:
        request_id = f"r{next(self._numbers)}"
        parts = ""
        if kind in STREAMS:
            parts = self._crashing_parts.draw(request_id)
        return CallerRequest(
            request_id,
            kind,
            parts,
            workspace,
            self._deadline_of(kind),
            self._draw_body(kind),
            self._tokens_of(kind, request_id),
        )

    def _deadline_of(self, kind: str) -> int:
        """Return the deadline of a request, in milliseconds."""
        is_stream = kind in STREAMS
        return self._stream_deadline_ms if is_stream else self._deadline_ms

    def _draw_body(self, kind: str) -> Body:
        if not self._plan.has_bodies:
            return NO_BODY
        return draw_body(self._bodies_random, has_body=kind != "idempotent")

    def _tokens_of(self, kind: str, request_id: str) -> str:
        """Return the tokens that a stream has, if its caller knows them."""
        streams = self._plan.streams
        if kind not in STREAMS or streams is None:
            return ""
        if not self._plan.knows_output:
            return ""
        return f"{PROMPT_TOKENS},{streams.last_event(request_id) + 1}"

    async def _run_caller(
        self, draw: Callable[[], CallerRequest], keeps_connections: bool
    ) -> None:
        """Send requests; keep connections and addresses until they fail."""
        address = None
        while not self._stopped:
            if address is None or not keeps_connections:
                address = await self._resolve_address()
            if not address:
                await asyncio.sleep(RESOLVE_PAUSE_S)
                continue
            try:
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await asyncio.open_connection(*address)
            except (OSError, TimeoutError):
                address = None
                continue
            await self._call(
                draw, address[0], reader, writer, keeps_connections
            )
            writer.close()

    async def _call(
        self,
        draw: Callable[[], CallerRequest],
        host_ip: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        keeps_connection: bool,
    ) -> None:
        numbers = range(REQUESTS_PER_CONNECTION)
        for number in itertools.count() if keeps_connection else numbers:
            if self._stopped or reader.at_eof():
                return
            request = draw()
            self._guarantees.record_request(
                request.request_id, request.workspace, request.max_runs
            )
            self._rate_limits.record_request(request.request_id, host_ip)
            self._statements.record_request(request.request_id, host_ip)
            self._retries.record_request(request.service)
            if request.is_stream:
                self._crashing_parts.record_request(
                    request.request_id, host_ip, request.parts
                )
            self._exits.record_request(
                request.request_id, host_ip, self._allowed_s(request)
            )
            sent_s = self._contact.now_s()
            outcome, can_reuse = await send(
                request,
                reader,
                writer,
                on_sent=partial(self._exits.record_sent, request.request_id),
            )
            self._exits.record_end(
                request.request_id, is_whole=outcome.is_whole
            )
            self._contact.record_attempt(
                host_ip,
                sent_s,
                is_served=outcome.status == OK and outcome.is_whole,
            )
            if request.is_stream:
                self._crashing_parts.record_outcome(
                    request.request_id, is_begun=outcome.status == OK
                )
            if outcome.names_rate_limit:
                self._rate_limits.record_passed_on(request.request_id)
            if outcome.is_notice:
                self._statements.record_notice_passed_on(
                    request.request_id, outcome.upstream
                )
            self._guarantees.check_outcome(outcome)
            # A host may close a reused connection just as a request is sent.
            if not outcome.is_whole and (number == 0 or outcome.status):
                self._on_interrupted(request.request_id)
            if not (can_reuse or (keeps_connection and outcome.is_whole)):
                return
            if request.workspace != FLOODING:
                pause_s = self._random.uniform(0, self._load.pause_s)
                await asyncio.sleep(pause_s)

    def _allowed_s(self, request: CallerRequest) -> float:
        """Return the sooner of its deadline and its route's timeout."""
        kind = "stream" if request.is_stream else request.kind
        timeout_ms = self._load.times[kind].timeout_ms
        return min(request.deadline_ms, timeout_ms) / 1_000

    async def _resolve_address(self) -> tuple[str, int] | None:
        """Ask a random host for an address; return None on failure."""
        host = self._random.choice(self._hosts)
        ip, port = host.address("Directory").split(":")
        path = f"{ADDRESSES_PATH}?Name={SERVED_HOST}&Zone={host.domain}"
        head = f"GET {path} HTTP/1.1\r\nHost: {ip}\r\n\r\n"
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(head.encode())
                answer = await read_answer(reader)
                writer.close()
            found = json.loads(answer.body)["Addresses"]
        except (OSError, EOFError, TimeoutError, ValueError, KeyError):
            return None
        ip, port = self._random.choice(found).split(":")
        return ip, int(port)
