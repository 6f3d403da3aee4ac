"""Run the soak test: soak [--first=SEED] [--length=SECONDS] COUNT.

Usage:
  soak [options] COUNT
  soak long [options] COUNT
  soak cuts [options] COUNT
  soak crashes [options] COUNT
  soak exits [options] COUNT
  soak stops [options] COUNT
  soak restarts [options] DAEMONS

Long runs have nine hosts, twelve upstreams, the rates of a deployment, and
upstreams that give notice for a minute and more.

In runs of cuts, hosts lose their links to all upstreams, while callers, the
store and the other hosts reach them.

In runs of crashes, a part of some prompts crashes the engines that begin to
answer it, beside other faults; all hosts may be killed at once.

In runs of exits, hosts are shut down one after the other while upstreams work
for up to 7 s, slow down and fall silent; streams last up to 12 s, and half of
the callers keep their connections until they fail.

In runs of stops, upstreams are processes that are stopped by signals for up to
10 s, while others leave the list, configurations change and hosts reload.

Restarts starts and terminates that many daemons in series, with signals at
any moment, and reports what they take.

Options:
  --silence-store   In runs of stops, the store falls silent as well.
  --stop-hosts      In runs of stops, hosts are stopped by signals as well.
  --first=SEED      The first seed; random by default.
  --length=SECONDS  How long one run injects faults; by default 10, 30 in
                    runs of cuts and of crashes, and 60 in long runs.
  --hosts=NUMBER    How many hosts a run of a seed has; by default 4, and 9 in
                    long runs.
  --tree=TREE       The source tree that all hosts run; by default this one.
  --other=TREE      A source tree, perhaps of an earlier version, that every
                    second host runs.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from pathlib import Path

from docopt import docopt

from soak.crash_plan import draw_crash_plan
from soak.cut_plan import draw_cut_plan
from soak.exit_plan import draw_exit_plan
from soak.hosts import ROOT
from soak.load import CRASHES, DENSE, EXITS, SHOP
from soak.long_plan import draw_long_plan
from soak.plan import Plan, draw_plan
from soak.restarts import Restarts
from soak.run import HOSTS, Fleet, run_plan
from soak.stop_plan import (
    StopPlan,
    draw_stop_plan,
    with_silences,
    with_stopped_hosts,
)
from soak.stops import StopRun

SHORT_S, CUTS_S, LONG_S = 10.0, 30.0, 60.0
LONG_HOSTS = 9


def main() -> int:
    """Run the seeds in turn; return 1 if any run violates a guarantee."""
    options = docopt(__doc__)
    first = int(options["--first"] or random.randrange(1_000_000_000))
    is_long = options["long"]
    is_short = not any(options[k] for k in ("cuts", "crashes", "exits"))
    default_s = CUTS_S if not is_short else LONG_S if is_long else SHORT_S
    length_s = float(options["--length"] or default_s)
    if options["restarts"]:
        return _run_restarts(first, int(options["DAEMONS"]), length_s)
    if options["stops"]:
        hosts = int(options["--hosts"] or HOSTS)
        tree = Path(options["--tree"] or ROOT).resolve()
        plans = [
            draw_stop_plan(first + n, length_s, hosts, tree)
            for n in range(int(options["COUNT"]))
        ]
        if options["--stop-hosts"]:
            plans = [with_stopped_hosts(plan) for plan in plans]
        if options["--silence-store"]:
            plans = [with_silences(plan) for plan in plans]
        return max(_run_stops(plan) for plan in plans)
    other = options["--other"]
    load = SHOP if is_long else CRASHES if options["crashes"] else DENSE
    if options["exits"]:
        load = EXITS
    fleet = Fleet(
        hosts=int(options["--hosts"] or (LONG_HOSTS if is_long else HOSTS)),
        load=load,
        tree=Path(options["--tree"] or ROOT).resolve(),
        other_tree=Path(other).resolve() if other else None,
    )
    draw = draw_long_plan if is_long else draw_plan
    if options["cuts"]:
        draw = draw_cut_plan
    if options["crashes"]:
        draw = draw_crash_plan
    if options["exits"]:
        draw = draw_exit_plan
    plans = [draw(first + n, length_s) for n in range(int(options["COUNT"]))]
    return _run_plans(plans, fleet)


def _run_restarts(seed: int, daemons: int, length_s: float) -> int:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-restarts-{seed}-"))
    result = asyncio.run(Restarts(seed, daemons, folder).run(length_s))
    print(
        f"seed {seed}: {len(result.starts_s)} starts, at most "
        f"{max(result.starts_s, default=0):.1f} s, {len(result.ends_s)} ends, "
        f"at most {max(result.ends_s, default=0):.1f} s, "
        f"{result.beyond_grace} beyond the grace period, "
        f"{result.without_line} before their first line, "
        f"{len(result.violations)} that did not start or end as they should"
    )
    for line in result.violations:
        print(f"  {line}  (logs in {folder})")
    return int(bool(result.violations))


def _run_stops(plan: StopPlan) -> int:
    seed = plan.seed
    folder = Path(tempfile.mkdtemp(prefix=f"soak-stops-{seed}-"))
    run = StopRun(plan, folder)
    asyncio.run(run.run())
    served = sum(o.status == 200 and o.is_whole for o in run.outcomes)
    print(
        f"seed {seed}: {len(plan.steps)} events, {plan.callers} callers, "
        f"{served} of {len(run.outcomes)} served, read late {run.late_reads}, "
        f"{len(run.checker.violations)} promises broken",
        flush=True,
    )
    for line in run.checker.violations:
        print(f"  {line}  (logs in {folder})", flush=True)
    return int(bool(run.checker.violations))


def _run_plans(plans: list[Plan], fleet: Fleet) -> int:
    exit_code = 0
    for plan in plans:
        seed = plan.seed
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = asyncio.run(run_plan(plan, folder, fleet))
        kind = "planned" if result.plan.is_planned_only else "any"
        print(
            f"seed {seed} ({kind}): {len(result.plan.faults)} faults, "
            f"{result.served} of {result.requests} served, "
            f"{len(result.violations)} promises broken, "
            f"its own loop late by up to {result.lateness_s:.2f} s",
            flush=True,
        )
        for line in result.violations:
            print(f"  {line}  (logs in {folder})", flush=True)
            exit_code = 1
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
