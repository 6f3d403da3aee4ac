"""Settings of the relay."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from balsamlift.relay._admission import PartsDecoder
from balsamlift.relay._cold_starts import ColdLimits
from balsamlift.relay._header_names import HeaderNames
from balsamlift.relay._retry_budget import RetryLimits
from balsamlift.relay.statements import StatementDecoders


@attrs.frozen(kw_only=True)
class RelaySettings:
    """Settings of the relay, fixed at its start."""

    failure_domain: str
    retries: RetryLimits
    cold_limits: ColdLimits | None = None  # None: unlimited
    regions: Mapping[str, str] = attrs.field(factory=dict)  # by domain
    names: HeaderNames
    decoders: StatementDecoders
    decode_prompt_parts: PartsDecoder
    drain_s: float  # for which an upstream still works once it is leaving
