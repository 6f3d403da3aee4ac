"""Measure what the fold of the log costs, as slopes.

Usage:
  python -m bench.fold_cost

Prints JSON: processor time per record folded, the memory kept per preset,
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

CHANGES = (1_000, 2_000, 4_000, 8_000)
CLAIMS = (10_000, 20_000, 40_000, 80_000)
PRESETS = (8, 16, 32, 64)
WORKSPACES = (10, 1_000, 5_000, 19_000)
START_MS = 1_700_000_000_000
SEED = 1

Points = list[tuple[int, float]]


def make_preset(name: str, workspaces: int = 10) -> Preset:
    """Return a preset with so many workspaces."""
    return Preset(
        name=name,
        kinds={"report": KindPreset(pool="drafting")},
        workspaces={
            f"workspace-{i}": WorkspacePreset(weight=1.0 + i)
            for i in range(workspaces)
        },
    )


def entries(records: list[Record]) -> Iterator[Entry]:
    """Decode records as a reader of the log does."""
    texts = [encode_record(record) for record in records]
    for offset, text in enumerate(texts):
        yield Entry(offset, START_MS + offset, decode_record(text))


def folded(records: list[Record]) -> FoldState:
    """Return the state after these records."""
    state = FoldState()
    for entry in entries(records):
        fold(state, entry)
    return state


def changes(count: int) -> list[Record]:
    """Return so many switches, after one publication."""
    records: list[Record] = [Publish("p", "peak", make_preset("peak"))]
    records.extend(Switch(f"s{i}", "peak", i) for i in range(count))
    return records


def claims(count: int) -> list[Record]:
    """Return so many claims of as many keys."""
    rng = random.Random(SEED)
    return [
        Claim(
            f"{rng.getrandbits(128):032x}",
            f"{START_MS}-{rng.getrandbits(128):032x}",
            "entry-1~0123456789ab",
        )
        for _ in range(count)
    ]


def claimed(count: int) -> ClaimWindow:
    """Return a window that holds so many claims."""
    window = ClaimWindow(ClaimBounds(max_keys=count))
    for entry in entries(claims(count)):
        window.fold(entry)
    return window


def processor_s(work: Callable[[], object]) -> float:
    """Return the processor time that `work` takes."""
    gc.collect()
    began_s = time.process_time()
    work()
    return time.process_time() - began_s


def kept_bytes(work: Callable[[], object]) -> float:
    """Return the memory that the result of `work` keeps."""
    gc.collect()
    tracemalloc.start()
    result = work()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return float(size)


def slope(points: Points) -> float:
    """Return the slope of the least squares line."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    above = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return above / sum((x - mean_x) ** 2 for x, _ in points)


def measure_time() -> dict[str, float]:
    """Return microseconds per record, decoding included."""
    switches: Points = []
    for count in CHANGES:
        stored = list(map(encode_record, changes(count)))
        switches.append((count, processor_s(partial(_fold_texts, stored))))
    window: Points = []
    for count in CLAIMS:
        stored = list(map(encode_record, claims(count)))
        window.append((count, processor_s(partial(_fold_texts, stored))))
    publish: Points = []
    for count in WORKSPACES:
        record = Publish("p", "peak", make_preset("peak", count))
        stored = [encode_record(record)]
        publish.append((count, processor_s(partial(_fold_texts, stored))))
    return {
        "us_per_switch": slope(switches) * 1e6,
        "us_per_claim": slope(window) * 1e6,
        "us_per_workspace_published": slope(publish) * 1e6,
    }


def _fold_texts(texts: list[bytes]) -> None:
    state = FoldState()
    window = ClaimWindow(ClaimBounds())
    for offset, text in enumerate(texts):
        entry = Entry(offset, START_MS, decode_record(text))
        fold(state, entry)
        window.fold(entry)


def measure_memory() -> dict[str, float]:
    """Return bytes kept per preset, workspace and claim."""
    presets: Points = []
    for count in PRESETS:
        records: list[Record] = [
            Publish(f"p{i}", f"preset-{i}", make_preset(f"preset-{i}"))
            for i in range(count)
        ]
        presets.append((count, kept_bytes(partial(folded, records))))
    workspaces: Points = []
    for count in WORKSPACES:
        one: list[Record] = [Publish("p", "peak", make_preset("peak", count))]
        workspaces.append((count, kept_bytes(partial(folded, one))))
    window: Points = []
    for count in CLAIMS:
        window.append((count, kept_bytes(partial(claimed, count))))
    return {
        "bytes_per_preset_of_10_workspaces": slope(presets),
        "bytes_per_workspace_of_a_preset": slope(workspaces),
        "bytes_per_claim": slope(window),
        "bytes_after_8000_switches": kept_bytes(
            lambda: folded(changes(8_000))
        ),
    }


def measure_checkpoint() -> dict[str, float]:
    """Return the size of a checkpoint on the log, and what it takes."""
    sizes: Points = []
    for count in WORKSPACES:
        body = make_preset("peak", count)
        state = folded([Publish("p", "peak", body), Switch("s", "peak", 0)])
        sizes.append((count, len(_checkpoint_text(state))))
    busy = folded(changes(8_000))
    text = _checkpoint_text(busy)
    return {
        "bytes_per_workspace_in_force": slope(sizes),
        "bytes_after_8000_switches": float(len(text)),
        "encode_ms_after_8000_switches": 1e3
        * processor_s(lambda: _checkpoint_text(busy)),
        "decode_ms_after_8000_switches": 1e3
        * processor_s(lambda: decode_record(text)),
    }


def _checkpoint_text(state: FoldState) -> bytes:
    return encode_record(Checkpoint("c", state.offset, state))


def main() -> int:
    """Measure and print."""
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
