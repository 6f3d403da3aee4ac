"""One log line, and the metrics, for each request that has ended."""

from __future__ import annotations

from math import isinf

from loguru import logger

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.relay._header_names import HeaderNames
from balsamlift.relay._request import Call, CallerRequest, Outcome, Refusal
from balsamlift.relay._routing import Routing

log = logger.bind(part="relay")


class RequestLog:
    """Log and count how requests end."""

    def __init__(
        self,
        routing: Routing,
        names: HeaderNames,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Log the version of the configuration that `routing` has."""
        self._routing = routing
        self._names = names
        self._clock = clock
        self._metrics = metrics

    def record_refused(self, request: CallerRequest, refusal: Refusal) -> None:
        """Log a request that was not admitted."""
        self._metrics.count(f"relay.refused.{refusal.status}")
        age_s = self._routing.age_s
        log.bind(
            request=request.headers.get(self._names.request_id, ""),
            status=refusal.status,
            path=request.target.partition("?")[0][:80],
            version=self._routing.offset,
            newest_version=self._routing.newest_version,
            version_age_ms=None if isinf(age_s) else round(age_s * 1_000),
        ).info("{}", refusal.reason)

    def record_outcome(self, call: Call, outcome: Outcome) -> None:
        """Log how a call has ended."""
        took_ms = (self._clock.monotonic() - call.request.arrived_s) * 1_000
        self._metrics.count(f"relay.{call.route.kind}.{outcome.text}"[:80])
        self._metrics.observe_ms(f"relay.{call.route.kind}", took_ms)
        log.bind(
            request=call.request_id,
            fingerprint=call.fingerprint,
            route=call.route.name,
            service=call.service,
            version=call.table.version,
            upstream=outcome.upstream,
            sends=len(outcome.sent_to),
            sent_to=" ".join(outcome.sent_to),
            took_ms=round(took_ms, 1),
            **_hosts_of(call, outcome),
        ).info("{}", outcome.text)


def _hosts_of(call: Call, outcome: Outcome) -> dict[str, str]:
    """Return the other hosts that had part in a call, for the log."""
    hosts = {}
    if call.request.origin is not None:
        hosts["from_host"] = call.request.origin.host
    if outcome.to_host:
        hosts["to_host"] = outcome.to_host
    return hosts
