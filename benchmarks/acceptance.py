"""Plays of the operators' bench over days and seeds, and a table of what they gave.

The bench is no part of this repository: `--bench` names it, and without it this says so and ends with 2. Each
play leaves the bench's own report as JSON in `--out`; `--table` reads such reports and plays nothing.

    python -m benchmarks.acceptance --bench BENCH SITE --days roll+mass split+mass --seeds 1 2 3 --out DIR
    python -m benchmarks.acceptance --table --out DIR
"""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import pathlib
import subprocess
import sys
from typing import Any

SLOW_S = 10.0  # a restarted process that is ready later than this counts as slow


def play(options: argparse.Namespace, day: str, seed: int) -> int:
    """One play; its report goes to `--out`, what the bench printed beside it."""
    at = options.out / f"{day}-{seed}"
    command = [
        options.bench,
        options.site,
        "--rough",
        day,
        "--seed",
        str(seed),
        "--nodes",
        str(options.nodes),
        "--no-build",
        "--json",
        f"{at}.json",
        "--why",
        options.why,
    ]
    with at.with_suffix(".txt").open("w") as said:
        return subprocess.run(command, stdout=said, stderr=subprocess.STDOUT, check=False).returncode


def row(name: str, report: dict[str, Any]) -> str:
    """One line of the table: what was asked, and each thing that could fail it."""
    said, seen = report["row"], report["real"]["seen"]
    broken = ", ".join(f"{rule} {count}" for rule, count in said["rules"].items() if count)
    restarts = seen["restart_s"]
    slow = sum(took > SLOW_S for took in restarts)
    wanted = [
        (said["served"], said["served_least"]),
        *((part[1], part[2]) for part in said["by_class"]),
        *((part[1], part[2]) for part in said["by_tenant"] if len(part) > 2),
    ]
    gate = "held" if all(served >= least for served, least in wanted) else "FAILED"
    cells = [
        name.rpartition("-")[0],
        str(said["seed"]),
        f"{said['score']:.2f}",
        f"{said['served']:.3f} of {said['served_least']:.3f}, {gate}",
        broken or said["fault"] or "none",
        f"{slow} of {len(restarts)}" if restarts else "none restarted",
        "yes" if report["real"]["sound"] else "NO, machine too slow",
    ]
    return "| " + " | ".join(cells) + " |"


def table(folder: pathlib.Path) -> list[str]:
    lines = [
        "| day | seed | score | served, and what the gate wants | rule broken or crash "
        "| slow to be ready | sound |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    reports = sorted(
        folder.glob("*.json"), key=lambda at: (at.stem.rpartition("-")[0], int(at.stem.rpartition("-")[2]))
    )
    lines += [row(at.stem, json.loads(at.read_text())) for at in reports]
    missing = sorted(at.stem for at in folder.glob("*.txt") if not at.with_suffix(".json").exists())
    return lines + [f"| {name} | | no report | | | | |" for name in missing]


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("site", nargs="?", help="the site file")
    parser.add_argument("--bench", help="the bench's program")
    parser.add_argument("--days", nargs="+", default=["roll+mass", "split+mass", "join+mass"])
    parser.add_argument("--seeds", nargs="+", type=int, default=list(range(1, 11)))
    parser.add_argument("--nodes", type=int, default=30)
    parser.add_argument("--jobs", type=int, default=6, help="plays side by side")
    parser.add_argument("--why", default="Acceptance plays over days and seeds")
    parser.add_argument("--out", type=pathlib.Path, required=True, help="folder for the reports")
    parser.add_argument("--table", action="store_true", help="only print the table of what is in --out")
    options = parser.parse_args()
    failed = 0
    if not options.table:
        if not options.bench or not options.site or not pathlib.Path(options.bench).is_file():
            print(
                f"the bench is missing: {options.bench or '--bench not given'}; nothing was played",
                file=sys.stderr,
            )
            return 2
        options.out.mkdir(parents=True, exist_ok=True)
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            plays = [pool.submit(play, options, day, seed) for seed in options.seeds for day in options.days]
            failed = sum(done.result() != 0 for done in plays)
    print("\n".join(table(options.out)))
    if failed:
        print(f"{failed} plays ended with an error", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
