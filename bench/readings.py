"""Read figures of the machine and its processes, and summarise them."""

from __future__ import annotations

import math
import os
import platform
from collections.abc import Sequence
from importlib.metadata import version
from pathlib import Path
from statistics import mean
from typing import Any

import attrs
import msgspec

RESULTS = Path(__file__).parent / "results"
_LIBRARIES = ("tornado", "pycurl", "pynng", "msgspec")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_USER_TICKS = 11  # fields of stat after the command's name
_SYSTEM_TICKS = 12


@attrs.frozen(kw_only=True)
class Machine:
    """Describe the machine and the software that figures come from."""

    cores: int
    memory_mb: int
    python: str
    system: str
    libraries: dict[str, str]


@attrs.frozen(kw_only=True)
class Spread:
    """Hold the range and the mean of a figure over repeated runs."""

    low: float
    mean: float
    high: float


def machine() -> Machine:
    """Describe this machine."""
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return Machine(
        cores=os.cpu_count() or 0,
        memory_mb=pages >> 20,
        python=platform.python_version(),
        system=f"{platform.system()} {platform.machine()}",
        libraries={name: version(name) for name in _LIBRARIES},
    )


def load_average() -> float:
    """Return the machine's load average over the last minute."""
    return round(os.getloadavg()[0], 2)


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks / _TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) * 1_024 / 1e6, 1)
    return 0.0


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile, rounded to three digits."""
    ordered = sorted(values)
    rank = math.ceil(len(ordered) * percent / 100)
    return round(ordered[max(rank - 1, 0)], 3)


def spread(values: Sequence[float]) -> Spread:
    """Return the lowest value, the mean and the highest value."""
    return Spread(
        low=round(min(values), 3),
        mean=round(mean(values), 3),
        high=round(max(values), 3),
    )


def write_result(file: Path, result: Any) -> None:
    """Write a result to a file as indented JSON."""
    encoded = msgspec.json.format(msgspec.json.encode(result), indent=1)
    file.parent.mkdir(parents=True, exist_ok=True)
    file.write_bytes(encoded + b"\n")
