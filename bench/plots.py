"""Plot the results of `experiment.py` as bar charts."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any, Protocol

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

POLICIES = ("round_robin", "least_load", "balsamlift")
PANELS = (
    ("stall_s", "stall time, s per request"),
    ("preemptions", "preemptions per 1,000 requests"),
    ("short_gap_p99_ms", "p99 gap of short work, ms"),
    ("gap_p999_ms", "p99.9 gap, ms"),
    ("goodput_per_s", "complete and in time, requests/s"),
    ("share_least", "lowest share of a workspace, of its fair share"),
)


class Row(Protocol):
    """Describe the summary of one case over its seeds."""

    deployment: str
    load: float
    fault: str
    policy: str
    mean: dict[str, float]
    least: dict[str, float]
    most: dict[str, float]


def plot_results(rows: Sequence[Any], directory: Path) -> None:
    """Write two plots per deployment, over load and over faults."""
    for deployment in sorted({row.deployment for row in rows}):
        selected = [row for row in rows if row.deployment == deployment]
        by_load = [row for row in selected if row.fault == "none"]
        _plot_panels(
            by_load,
            [f"{load}" for load in sorted({r.load for r in by_load})],
            lambda row: f"{row.load}",
            f"{deployment}: load as a multiple of capacity, no faults",
            directory / f"policy-{deployment}-load.png",
        )
        faulty = [row for row in selected if row.load == 1.0]
        _plot_panels(
            faulty,
            sorted({r.fault for r in faulty}),
            lambda row: str(row.fault),
            f"{deployment}: faults at load 1.0",
            directory / f"policy-{deployment}-faults.png",
        )


def _plot_panels(
    rows: Sequence[Any],
    groups: list[str],
    group_of: Any,
    title: str,
    path: Path,
) -> None:
    figure, panels = pyplot.subplots(2, 3, figsize=(13, 7))
    for (name, label), axes in zip(PANELS, panels.flat, strict=True):
        for policy_index, policy in enumerate(POLICIES):
            selected = {group_of(r): r for r in rows if r.policy == policy}
            _plot_bars(
                axes, [selected[g] for g in groups], name, policy_index, policy
            )
        axes.set_title(label, fontsize=9)
        axes.set_xticks(range(len(groups)), groups, fontsize=8)
    panels.flat[0].legend(fontsize=8)
    figure.suptitle(f"{title} (mean over seeds; bars: least to most)")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _plot_bars(
    axes: Any, rows: Sequence[Row], name: str, policy_index: int, policy: str
) -> None:
    means = [row.mean[name] for row in rows]
    below = [max(row.mean[name] - row.least[name], 0.0) for row in rows]
    above = [max(row.most[name] - row.mean[name], 0.0) for row in rows]
    positions = [
        index + (policy_index - 1) * 0.27 for index in range(len(rows))
    ]
    axes.bar(
        positions,
        means,
        width=0.25,
        yerr=[below, above],
        capsize=2,
        label=policy,
    )
