"""Presets, published and activated through the platform's log."""

from balsamlift.presets._check import check_pools, check_preset
from balsamlift.presets._claimant import ClaimResult
from balsamlift.presets._claims import ClaimBounds
from balsamlift.presets._fold import fold
from balsamlift.presets._log import Batch, LogClient
from balsamlift.presets._operator import OperationResult, Operator
from balsamlift.presets._preset import (
    KindPreset,
    PoolPreset,
    Preset,
    WorkspacePreset,
)
from balsamlift.presets._records import (
    Checkpoint,
    Claim,
    Entry,
    Lease,
    Publish,
    Record,
    Switch,
    decode_record,
    encode_record,
    new_operation_id,
)
from balsamlift.presets._service import Presets
from balsamlift.presets._state import FoldState, LeaseInForce, PresetInForce

__all__ = [
    "Batch",
    "Checkpoint",
    "Claim",
    "ClaimBounds",
    "ClaimResult",
    "Entry",
    "FoldState",
    "KindPreset",
    "Lease",
    "LeaseInForce",
    "LogClient",
    "OperationResult",
    "Operator",
    "PoolPreset",
    "Preset",
    "PresetInForce",
    "Presets",
    "Publish",
    "Record",
    "Switch",
    "WorkspacePreset",
    "check_pools",
    "check_preset",
    "decode_record",
    "encode_record",
    "fold",
    "new_operation_id",
]
