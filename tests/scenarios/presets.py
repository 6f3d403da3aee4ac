"""The presets that the scenarios publish."""

from __future__ import annotations

from typing import Any

MODEL = "draft"
VERSION = "1"

KINDS: dict[str, dict[str, Any]] = {
    "report": {"pool": "drafting", "priority": 2, "max_tokens": 400},
    "tag": {"pool": "drafting", "idempotent": False, "max_tokens": 64},
    "lookup": {"pool": "tracker", "priority": 0},
    "refund": {"pool": "tracker", "idempotent": False, "priority": 0},
}


def make_preset(name: str, **policy: Any) -> dict[str, Any]:
    """Return a raw preset with the four kinds of request."""
    return {
        "name": name,
        "kinds": KINDS,
        "workspaces": {"*": {}, "conservation": {"weight": 2.0}},
        "pools": {"drafting": {"model": MODEL, "version": VERSION}},
        "policy": policy,
    }
