"""Compare the placement policy with its baselines.

Usage:
  experiment.py [--seeds N] [--jobs N] [--quick | --ablate] [--out FILE]
  experiment.py (-h | --help)

Everything runs in virtual time from fixed seeds, so the same command gives
the same figures. Prints a table and writes the results as JSON. A full run
also writes plots to docs/.

Options:
  --seeds N   Seeds per case [default: 5].
  --jobs N    Number of parallel processes [default: 4].
  --quick     Run only the loads 1.0 and 1.3 without faults, with one seed.
  --ablate    Disable one mechanism at a time, at the load 1.3.
  --out FILE  Result file [default: bench/results/experiment.json].
  -h --help   Show this.
"""

from __future__ import annotations

import os
import platform
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean

import attrs
import msgspec
import plots
from docopt import docopt

from balsamlift.placement import Policy
from balsamlift.testing._experiment import (
    FAULTS,
    Case,
    capacity,
    run_case,
)
from balsamlift.testing._experiment_measure import Result
from balsamlift.testing._experiment_workload import DEPLOYMENTS

LOADS = (0.7, 1.0, 1.3)
FIRST_SEED = 11
COLUMNS = (
    ("stall_s", 3),
    ("preemptions", 1),
    ("gap_p99_ms", 1),
    ("gap_p999_ms", 1),
    ("short_gap_p99_ms", 1),
    ("short_gap_p999_ms", 1),
    ("short_first_token_p99_ms", 0),
    ("goodput_per_s", 2),
    ("goodput_tokens_per_s", 0),
    ("refused", 0),
    ("failed", 0),
    ("share_least", 2),
    ("share_ratio", 2),
    ("recovery_s", 1),
)


@attrs.frozen(kw_only=True)
class Summary:
    """Hold the mean, minimum and maximum of each figure over the seeds."""

    deployment: str
    load: float
    fault: str
    policy: str
    seeds: int
    mean: dict[str, float]
    least: dict[str, float]
    most: dict[str, float]


def main() -> None:
    """Run the selected cases, print the table and write the results."""
    options = docopt(__doc__)
    seeds = 1 if options["--quick"] else int(options["--seeds"])
    jobs = int(options["--jobs"])
    cases = list(_cases(options, range(FIRST_SEED, FIRST_SEED + seeds)))
    with ProcessPoolExecutor(jobs) as processes:
        deployments = list(DEPLOYMENTS.values())
        rates = list(processes.map(capacity, deployments))
        capacities = {
            d.name: rate for d, rate in zip(deployments, rates, strict=True)
        }
        results = list(
            processes.map(
                run_case, cases, [capacities[c.deployment] for c in cases]
            )
        )
    summaries = _summarise(cases, results)
    _print(capacities, summaries)
    _write(Path(options["--out"]), capacities, summaries)
    if not options["--quick"] and not options["--ablate"]:
        plots.plot_results(summaries, Path("docs"))


def _cases(options: dict[str, object], seeds: range) -> Iterator[Case]:
    for deployment in DEPLOYMENTS.values():
        policies = {
            "round_robin": Policy(name="round_robin"),
            "least_load": Policy(name="least_load"),
            "balsamlift": deployment.policy,
        }
        conditions = [(load, "none") for load in LOADS]
        conditions += [(load, f) for load in LOADS[1:] for f in FAULTS[1:]]
        if options["--quick"]:
            conditions = [(load, "none") for load in LOADS[1:]]
        if options["--ablate"]:
            policies = _ablations(deployment.policy)
            conditions = [(LOADS[-1], fault) for fault in ("none", "slow")]
        for load, fault in conditions:
            for label, settings in policies.items():
                for seed in seeds:
                    yield Case(
                        deployment=deployment.name,
                        load=load,
                        fault=fault,
                        seed=seed,
                        policy=label,
                        settings=settings,
                    )


def _ablations(policy: Policy) -> dict[str, Policy]:
    return {
        "all": policy,
        "no_memory_score": attrs.evolve(policy, memory_weight=0.0),
        "no_gap_score": attrs.evolve(policy, gap_weight=0.0),
        "no_prefix_score": attrs.evolve(policy, prefix_weight=0.0),
        "no_reserve": attrs.evolve(policy, reserve_share=0.0),
        "no_ejection": attrs.evolve(policy, eject_ratio=1e6),
        "no_gap_limit": attrs.evolve(policy, gap_target_ms=1e6),
        "no_turns": attrs.evolve(policy, short_share=0.0),
        "no_host_share": attrs.evolve(policy, picture_ms=1.0),
    }


def _summarise(cases: list[Case], results: list[Result]) -> list[Summary]:
    groups: dict[tuple[str, float, str, str], list[Result]] = {}
    for case, result in zip(cases, results, strict=True):
        group = (case.deployment, case.load, case.fault, case.policy)
        groups.setdefault(group, []).append(result)
    return [_summary(group, found) for group, found in groups.items()]


def _summary(
    group: tuple[str, float, str, str], results: list[Result]
) -> Summary:
    deployment, load, fault, policy = group
    rows = [attrs.asdict(result) for result in results]
    columns = {name: [row[name] for row in rows] for name in rows[0]}
    return Summary(
        deployment=deployment,
        load=load,
        fault=fault,
        policy=policy,
        seeds=len(results),
        mean={name: mean(values) for name, values in columns.items()},
        least={name: min(values) for name, values in columns.items()},
        most={name: max(values) for name, values in columns.items()},
    )


def _print(capacities: dict[str, float], summaries: list[Summary]) -> None:
    for name, rate in capacities.items():
        print(f"{name}: capacity {rate:.2f} requests/s")
    print(*(name for name, _ in COLUMNS), sep=" | ")
    for summary in summaries:
        title = (
            f"{summary.deployment} {summary.load} {summary.fault} "
            f"{summary.policy}"
        )
        cells = [_cell(summary, name, digits) for name, digits in COLUMNS]
        print(title, *cells, sep=" | ")


def _cell(summary: Summary, name: str, digits: int) -> str:
    values = (summary.mean[name], summary.least[name], summary.most[name])
    average, least, most = (f"{value:.{digits}f}" for value in values)
    return f"{average} ({least}..{most})"


def _write(
    path: Path, capacities: dict[str, float], summaries: list[Summary]
) -> None:
    record = {
        "machine": f"{platform.machine()}, {os.cpu_count()} cores",
        "python": platform.python_version(),
        "capacity_per_s": capacities,
        "cases": [attrs.asdict(summary) for summary in summaries],
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.encode(record)
    path.write_bytes(msgspec.json.format(encoded, indent=1) + b"\n")


if __name__ == "__main__":
    main()
