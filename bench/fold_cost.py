"""Measure the cost of folding the log, as slopes over the input size.

Usage:
  python -m bench.fold_cost

Prints JSON: processor time per record folded, the memory retained per preset,
per workspace of a preset and per claim, and the size of a checkpoint.
"""

from __future__ import annotations

import gc
import json
import os
import platform
import random
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from balsamlift.presets import (
    Checkpoint,
    Claim,
    ClaimBounds,
    Entry,
    FoldState,
    KindPreset,
    Preset,
    Publish,
    Record,
    Switch,
    WorkspacePreset,
    decode_record,
    encode_record,
    fold,
)
from balsamlift.presets._claims import ClaimWindow

SWITCH_COUNTS = (1_000, 2_000, 4_000, 8_000)
CLAIM_COUNTS = (10_000, 20_000, 40_000, 80_000)
PRESET_COUNTS = (8, 16, 32, 64)
WORKSPACE_COUNTS = (10, 1_000, 5_000, 19_000)
START_MS = 1_700_000_000_000
SEED = 1

Points = list[tuple[int, float]]


def make_preset(name: str, workspaces: int = 10) -> Preset:
    """Return a preset with the given number of workspaces."""
    return Preset(
        name=name,
        kinds={"report": KindPreset(pool="drafting")},
        workspaces={
            f"workspace-{i}": WorkspacePreset(weight=1.0 + i)
            for i in range(workspaces)
        },
    )


def decode_entries(records: list[Record]) -> Iterator[Entry]:
    """Decode records as a reader of the log does."""
    encoded_records = [encode_record(record) for record in records]
    for offset, encoded in enumerate(encoded_records):
        yield Entry(offset, START_MS + offset, decode_record(encoded))


def fold_records(records: list[Record]) -> FoldState:
    """Return the state after these records."""
    state = FoldState()
    for entry in decode_entries(records):
        fold(state, entry)
    return state


def make_switches(count: int) -> list[Record]:
    """Return one publication and the given number of switches."""
    records: list[Record] = [Publish("p", "peak", make_preset("peak"))]
    records.extend(Switch(f"s{i}", "peak", i) for i in range(count))
    return records


def make_claims(count: int) -> list[Record]:
    """Return the given number of claims, each of another key."""
    rng = random.Random(SEED)
    return [
        Claim(
            f"{rng.getrandbits(128):032x}",
            f"{START_MS}-{rng.getrandbits(128):032x}",
            "entry-1~0123456789ab",
        )
        for _ in range(count)
    ]


def build_claim_window(count: int) -> ClaimWindow:
    """Return a window that holds the given number of claims."""
    claim_window = ClaimWindow(ClaimBounds(max_keys=count))
    for entry in decode_entries(make_claims(count)):
        claim_window.fold(entry)
    return claim_window


def cpu_time_s(function: Callable[[], object]) -> float:
    """Return the processor time that a call of `function` takes."""
    gc.collect()
    started_s = time.process_time()
    function()
    return time.process_time() - started_s


def kept_bytes(function: Callable[[], object]) -> float:
    """Return the memory that the result of `function` retains."""
    gc.collect()
    tracemalloc.start()
    result = function()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return float(size)


def slope(points: Points) -> float:
    """Return the slope of the least-squares line through the points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance / sum((x - mean_x) ** 2 for x, _ in points)


def measure_time() -> dict[str, float]:
    """Return microseconds per record, including decoding."""
    switches: Points = []
    for count in SWITCH_COUNTS:
        encoded_records = list(map(encode_record, make_switches(count)))
        switches.append(
            (count, cpu_time_s(partial(_fold_encoded, encoded_records)))
        )
    claim_window: Points = []
    for count in CLAIM_COUNTS:
        encoded_records = list(map(encode_record, make_claims(count)))
        claim_window.append(
            (count, cpu_time_s(partial(_fold_encoded, encoded_records)))
        )
    publish: Points = []
    for count in WORKSPACE_COUNTS:
        record = Publish("p", "peak", make_preset("peak", count))
        encoded_records = [encode_record(record)]
        publish.append(
            (count, cpu_time_s(partial(_fold_encoded, encoded_records)))
        )
    return {
        "us_per_switch": slope(switches) * 1e6,
        "us_per_claim": slope(claim_window) * 1e6,
        "us_per_workspace_published": slope(publish) * 1e6,
    }


def _fold_encoded(encoded_records: list[bytes]) -> None:
    state = FoldState()
    claim_window = ClaimWindow(ClaimBounds())
    for offset, encoded in enumerate(encoded_records):
        entry = Entry(offset, START_MS, decode_record(encoded))
        fold(state, entry)
        claim_window.fold(entry)


def measure_memory() -> dict[str, float]:
    """Return bytes retained per preset, workspace and claim."""
    presets: Points = []
    for count in PRESET_COUNTS:
        records: list[Record] = [
            Publish(f"p{i}", f"preset-{i}", make_preset(f"preset-{i}"))
            for i in range(count)
        ]
        presets.append((count, kept_bytes(partial(fold_records, records))))
    workspaces: Points = []
    for count in WORKSPACE_COUNTS:
        publication: list[Record] = [
            Publish("p", "peak", make_preset("peak", count))
        ]
        workspaces.append(
            (count, kept_bytes(partial(fold_records, publication)))
        )
    claim_window: Points = []
    for count in CLAIM_COUNTS:
        claim_window.append(
            (count, kept_bytes(partial(build_claim_window, count)))
        )
    return {
        "bytes_per_preset_of_10_workspaces": slope(presets),
        "bytes_per_workspace_of_a_preset": slope(workspaces),
        "bytes_per_claim": slope(claim_window),
        "bytes_after_8000_switches": kept_bytes(
            lambda: fold_records(make_switches(8_000))
        ),
    }


def measure_checkpoint() -> dict[str, float]:
    """Return the size of a checkpoint and the time to encode and decode it."""
    sizes: Points = []
    for count in WORKSPACE_COUNTS:
        body = make_preset("peak", count)
        state = fold_records(
            [Publish("p", "peak", body), Switch("s", "peak", 0)]
        )
        sizes.append((count, len(_encode_checkpoint(state))))
    after_switches = fold_records(make_switches(8_000))
    encoded = _encode_checkpoint(after_switches)
    return {
        "bytes_per_workspace_in_force": slope(sizes),
        "bytes_after_8000_switches": float(len(encoded)),
        "encode_ms_after_8000_switches": 1e3
        * cpu_time_s(lambda: _encode_checkpoint(after_switches)),
        "decode_ms_after_8000_switches": 1e3
        * cpu_time_s(lambda: decode_record(encoded)),
    }


def _encode_checkpoint(state: FoldState) -> bytes:
    return encode_record(Checkpoint("c", state.offset, state))


def main() -> int:
    """Run all measurements and print them as JSON."""
    result: dict[str, Any] = {
        "machine": f"{os.cpu_count()} cores, {platform.machine()}",
        "load_average": os.getloadavg()[0],
        "python": platform.python_version(),
        "processor_time": measure_time(),
        "memory": measure_memory(),
        "checkpoint": measure_checkpoint(),
    }
    print(json.dumps(result, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
