"""`python -m trials`: plays trials over seeds, each in a process of its own, and prints a table."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import shutil
import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass

import msgspec

from trials.checker import check
from trials.history import Event, Kind
from trials.plan import SECONDS, FaultKind, Plan, draw, rounded, without
from trials.planted import DEFECTS
from trials.play import play
from trials.rules.index import Violation

MOST_SHOWN = 3  # violations of a seed


class Result(msgspec.Struct):
    """What became of one trial."""

    seed: int
    faults: list[str]
    calls: int
    violations: dict[str, int]
    first: list[str]
    memory_mb: float
    descriptors: int
    problem: str = ""


@dataclass(frozen=True)
class Played:
    """What a plan's play has shown."""

    events: list[Event]
    violations: list[Violation]
    memory_mb: float  # of the agent that had most
    descriptors: int  # the same


def played(plan: Plan, folder: pathlib.Path, defect: str = "") -> Played:
    """Plays a plan in this process."""
    events, site = asyncio.run(play(plan, folder, defect))
    return Played(events, check(events, plan.day), site.most_memory_bytes / 1e6, site.most_descriptors)


def trial(seed: int, only: list[str], seconds: float, folder: str, defect: str = "") -> Result:
    """Plays one seed; its history and logs stay in the folder only where it fails."""
    plan = draw(seed, frozenset(FaultKind(kind) for kind in only), seconds)
    here = pathlib.Path(folder) / f"seed-{seed}"
    here.mkdir(parents=True, exist_ok=True)
    faults = [f"{fault.kind.value}@{fault.at_s:.1f}+{fault.for_s:.1f}" for fault in plan.faults]
    try:
        shown = played(plan, here, defect)
    except Exception as problem:  # a trial that could not be played is reported as such
        return Result(seed, faults, 0, {}, [], 0.0, 0, f"{type(problem).__name__}: {problem}")
    if not shown.violations:
        shutil.rmtree(here)
    return Result(
        seed,
        faults,
        sum(event.kind is Kind.ASKED for event in shown.events),
        dict(Counter(violation.rule for violation in shown.violations)),
        [f"{item.at:.3f} {item.rule} {item.call}: {item.text}" for item in shown.violations[:MOST_SHOWN]],
        shown.memory_mb,
        shown.descriptors,
    )


def broken_rules(plan: Plan, folder: pathlib.Path) -> set[str]:
    """The rules that a play of the plan breaks."""
    return {violation.rule for violation in played(plan, folder).violations}


def reduce(seed: int, only: list[str], seconds: float, folder: pathlib.Path) -> Plan:
    """Cuts a failing plan down while it still breaks one of the same rules."""
    plan = draw(seed, frozenset(FaultKind(kind) for kind in only), seconds)
    rules = broken_rules(plan, folder)
    index = 0
    while index < len(plan.faults):
        shorter = without(plan, index)
        if rules & broken_rules(shorter, folder):
            plan = shorter
        else:
            index += 1
    round_plan = rounded(plan)
    return round_plan if rules & broken_rules(round_plan, folder) else plan


def arguments() -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser(prog="python -m trials", description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="A-B, both played")
    parser.add_argument("--jobs", type=int, default=3, help="trials at a time")
    parser.add_argument("--seconds", type=float, default=SECONDS, help="length of a trial's faults")
    parser.add_argument("--only", default="", help="kinds of fault, by commas: " + ", ".join(FaultKind))
    parser.add_argument("--json", type=pathlib.Path, help="writes the results to this file")
    parser.add_argument("--keep", type=pathlib.Path, help="folder for histories and logs of failing seeds")
    parser.add_argument("--planted", default="", choices=["", *DEFECTS], help="a defect for every agent")
    parser.add_argument("--reduce", action="store_true", help="cuts failing plans down")
    return parser.parse_args()


def main() -> int:
    """Plays the seeds; 1 where any fails."""
    given = arguments()
    first, _, last = given.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    only = [kind for kind in given.only.split(",") if kind]
    folder = given.keep or pathlib.Path(tempfile.mkdtemp(prefix="trials-"))
    results = []
    with ProcessPoolExecutor(given.jobs) as pool:
        waiting = [
            pool.submit(trial, seed, only, given.seconds, str(folder), given.planted) for seed in seeds
        ]
        for done in as_completed(waiting):
            results.append(done.result())
            if sys.stderr.isatty():
                print(f"\r{len(results)} of {len(seeds)}", end="", file=sys.stderr, flush=True)
    results.sort(key=lambda result: result.seed)
    for result in results:
        broken = [f"{rule} {count}" for rule, count in result.violations.items()]
        told = ", ".join(broken) or result.problem or "-"
        print(f"{result.seed:5d}  {result.calls:6d} calls  {told}  | {' '.join(result.faults)}")
        for line in result.first:
            print(f"       {line}")
    failed = [result for result in results if result.violations or result.problem]
    print(
        f"{len(results)} trials, {sum(result.calls for result in results)} calls, {len(failed)} failed; "
        f"most memory {max(result.memory_mb for result in results):.0f} MB, "
        f"most descriptors {max(result.descriptors for result in results)}; kept in {folder}"
    )
    if given.json:
        given.json.write_bytes(msgspec.json.encode(results))
    for result in failed if given.reduce else []:
        print(f"seed {result.seed}: {reduce(result.seed, only, given.seconds, folder / 'reduced')}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
