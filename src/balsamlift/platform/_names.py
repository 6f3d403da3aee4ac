"""Header names, topics, keys and paths of the platform's protocols."""

from __future__ import annotations

from balsamlift.relay import HeaderNames

HEADERS = HeaderNames(
    request_id="X-Attempt-Id",
    deadline_ms="X-Deadline-Ms",
    signature="X-Response-Signature",
    workspace="X-Tenant",
    expected_incarnation="X-Expected-Instance",
    not_executed="X-Not-Executed",
    rate_limit="Server-Limit",
    leaving="Server-Leaving",
    brittle="Server-Brittle",
    priority="X-Request-Priority",
    prompt_parts="X-Prefix-Hash",
    token_usage="X-Token-Usage",
    length_hint="X-Length-Hint",
    backup_address="X-Kv-Backup",
    resume_source="Kv-From",
    last_event_id="Last-Event-Id",
    auth_scheme="Token",
    reserved=frozenset(
        {
            "authorization",  # never forwarded: upstreams must not see keys
            "x-deadline-ms",
            "x-tenant",
            "x-expected-instance",
            "x-request-priority",
            "x-hold",
            "x-pin-ms",
            "x-kv-backup",
            "kv-from",
            "kv-fetch",
        }
    ),
)

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"  # same topic; a failure domain follows
UPSTREAMS_TOPIC = "keyed.servers"
BLOCKED_PARTS_TOPIC = "keyed.blocked-parts"  # of prompts
HOSTS_TOPIC = "keyed.hosts"  # entries of Balsamlift's own hosts

# In all answers of the store; incremented when it is restored from a copy.
ERA_HEADER = "Store-Era"

READY_PATH = "/readyz"
ADDRESSES_PATH = "/resolution"
MOVE_PATH = "/kv-move"
REPORT_PATH = "/report"
