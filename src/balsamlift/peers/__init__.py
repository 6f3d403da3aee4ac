"""Communicate with peer hosts and track the upstreams that all share."""

from balsamlift.peers._crash_reports import CrashReports
from balsamlift.peers._evacuations import Evacuations, EvacuationSnapshot
from balsamlift.peers._fallback_reads import FallbackReads
from balsamlift.peers._follower import Follower, FreshnessLimits
from balsamlift.peers._host_ranks import HostRank
from balsamlift.peers._host_shares import (
    StartupPause,
    even_share,
    whole_share,
)
from balsamlift.peers._hosts_list import (
    ENTRY_ROLE,
    UPSTREAM_ROLE,
    ListEntry,
)
from balsamlift.peers._integers import MAX_INTEGER, Integer, Number, Offset
from balsamlift.peers._leaving_notices import LeavingNotices
from balsamlift.peers._list_reader import UpstreamList
from balsamlift.peers._load import CountsBasis
from balsamlift.peers._membership import Peers
from balsamlift.peers._messages import CrashReport, PartReport
from balsamlift.peers._observed_states import UpstreamState
from balsamlift.peers._part_reports import (
    PartEntry,
    PartReports,
    PartState,
    new_report,
)
from balsamlift.peers._peer import Peer
from balsamlift.peers._permits import Permit, Permits
from balsamlift.peers._rate_limits import RateLimits
from balsamlift.peers._records import Record, RecordBatch
from balsamlift.peers._shared_records import RecordSources, SharedRecords
from balsamlift.peers._silence_reports import SilenceReports
from balsamlift.peers._upstream import EntryHost, Upstream
from balsamlift.peers._upstreams import Upstreams

__all__ = [
    "ENTRY_ROLE",
    "MAX_INTEGER",
    "UPSTREAM_ROLE",
    "CountsBasis",
    "CrashReport",
    "CrashReports",
    "EntryHost",
    "EvacuationSnapshot",
    "Evacuations",
    "FallbackReads",
    "Follower",
    "FreshnessLimits",
    "HostRank",
    "Integer",
    "LeavingNotices",
    "ListEntry",
    "Number",
    "Offset",
    "PartEntry",
    "PartReport",
    "PartReports",
    "PartState",
    "Peer",
    "Peers",
    "Permit",
    "Permits",
    "RateLimits",
    "Record",
    "RecordBatch",
    "RecordSources",
    "SharedRecords",
    "SilenceReports",
    "StartupPause",
    "Upstream",
    "UpstreamList",
    "UpstreamState",
    "Upstreams",
    "even_share",
    "new_report",
    "whole_share",
]
