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
from trials.plan import DURATION_S, FaultKind, Plan, draw_plan, with_rounded_times, without_fault
from trials.planted import DEFECTS
from trials.play import play
from trials.rules.index import Violation

MAX_SHOWN_VIOLATIONS = 3  # per seed


class Result(msgspec.Struct):
    """The result of one trial; `--json` writes it under these names."""

    seed: int
    faults: list[str]
    calls: int
    violations: dict[str, int]
    first: list[str]
    memory_mb: float
    descriptors: int
    problem: str = ""


@dataclass(frozen=True)
class PlayedTrial:
    """Events, violations and peak use of resources of one play of a plan."""

    events: list[Event]
    violations: list[Violation]
    memory_mb: float  # highest of any agent
    descriptors: int  # highest of any agent


def play_plan(plan: Plan, folder: pathlib.Path, defect: str = "") -> PlayedTrial:
    """Plays a plan in this process."""
    events, site = asyncio.run(play(plan, folder, defect))
    return PlayedTrial(
        events, check(events, plan.settings), site.peak_memory_bytes / 1e6, site.peak_descriptors
    )


def run_trial(seed: int, only: list[str], seconds: float, folder: str, defect: str = "") -> Result:
    """Plays one seed; its history and logs stay in the folder only if it fails."""
    plan = draw_plan(seed, frozenset(FaultKind(kind) for kind in only), seconds)
    seed_folder = pathlib.Path(folder) / f"seed-{seed}"
    seed_folder.mkdir(parents=True, exist_ok=True)
    faults = [f"{fault.kind.value}@{fault.at_s:.1f}+{fault.for_s:.1f}" for fault in plan.faults]
    try:
        played = play_plan(plan, seed_folder, defect)
    except Exception as problem:  # a trial that cannot be played is reported in its result
        return Result(seed, faults, 0, {}, [], 0.0, 0, f"{type(problem).__name__}: {problem}")
    if not played.violations:
        shutil.rmtree(seed_folder)
    return Result(
        seed,
        faults,
        sum(event.kind is Kind.ASKED for event in played.events),
        dict(Counter(violation.rule for violation in played.violations)),
        [
            f"{item.at:.3f} {item.rule} {item.call}: {item.text}"
            for item in played.violations[:MAX_SHOWN_VIOLATIONS]
        ],
        played.memory_mb,
        played.descriptors,
    )


def broken_rules(plan: Plan, folder: pathlib.Path) -> set[str]:
    """The rules that a play of the plan breaks."""
    return {violation.rule for violation in play_plan(plan, folder).violations}


def reduce(seed: int, only: list[str], seconds: float, folder: pathlib.Path) -> Plan:
    """Removes faults from a failing plan and rounds their times while it breaks one of the same rules."""
    plan = draw_plan(seed, frozenset(FaultKind(kind) for kind in only), seconds)
    rules = broken_rules(plan, folder)
    index = 0
    while index < len(plan.faults):
        shorter = without_fault(plan, index)
        if rules & broken_rules(shorter, folder):
            plan = shorter
        else:
            index += 1
    rounded = with_rounded_times(plan)
    return rounded if rules & broken_rules(rounded, folder) else plan


def parse_arguments() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(prog="python -m trials", description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="A-B, both played")
    parser.add_argument("--jobs", type=int, default=3, help="trials at a time")
    parser.add_argument("--seconds", type=float, default=DURATION_S, help="length of a trial's faults")
    parser.add_argument("--only", default="", help="kinds of fault, by commas: " + ", ".join(FaultKind))
    parser.add_argument("--json", type=pathlib.Path, help="writes the results to this file")
    parser.add_argument("--keep", type=pathlib.Path, help="folder for histories and logs of failing seeds")
    parser.add_argument("--planted", default="", choices=["", *DEFECTS], help="a defect for every agent")
    parser.add_argument("--reduce", action="store_true", help="cuts failing plans down")
    return parser.parse_args()


def main() -> int:
    """Plays the seeds and prints the table; returns 1 if any trial fails."""
    arguments = parse_arguments()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    only = [kind for kind in arguments.only.split(",") if kind]
    folder = arguments.keep or pathlib.Path(tempfile.mkdtemp(prefix="trials-"))
    results = []
    with ProcessPoolExecutor(arguments.jobs) as pool:
        futures = [
            pool.submit(run_trial, seed, only, arguments.seconds, str(folder), arguments.planted)
            for seed in seeds
        ]
        for future in as_completed(futures):
            results.append(future.result())
            if sys.stderr.isatty():
                print(f"\r{len(results)} of {len(seeds)}", end="", file=sys.stderr, flush=True)
    results.sort(key=lambda result: result.seed)
    for result in results:
        broken = [f"{rule} {count}" for rule, count in result.violations.items()]
        summary = ", ".join(broken) or result.problem or "-"
        print(f"{result.seed:5d}  {result.calls:6d} calls  {summary}  | {' '.join(result.faults)}")
        for line in result.first:
            print(f"       {line}")
    failed = [result for result in results if result.violations or result.problem]
    print(
        f"{len(results)} trials, {sum(result.calls for result in results)} calls, {len(failed)} failed; "
        f"most memory {max(result.memory_mb for result in results):.0f} MB, "
        f"most descriptors {max(result.descriptors for result in results)}; kept in {folder}"
    )
    if arguments.json:
        arguments.json.write_bytes(msgspec.json.encode(results))
    for result in failed if arguments.reduce else []:
        print(f"seed {result.seed}: {reduce(result.seed, only, arguments.seconds, folder / 'reduced')}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
