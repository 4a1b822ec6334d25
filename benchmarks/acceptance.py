"""Runs the operators' bench over scenarios ("days") and seeds, and prints a table of the results.

The bench is not part of this repository. `--bench` names its program; without it, this prints an error and
exits with status 2. Each run writes the bench's report as JSON to `--out`. `--table` only prints the table of
existing reports.

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

SLOW_RESTART_S = 10.0  # a restarted process that is ready later than this counts as slow


def run_bench(options: argparse.Namespace, scenario: str, seed: int) -> int:
    """Runs the bench once, with its report and its output in `--out`; returns its exit status."""
    path = options.out / f"{scenario}-{seed}"
    command = [
        options.bench,
        options.site,
        "--rough",
        scenario,
        "--seed",
        str(seed),
        "--nodes",
        str(options.nodes),
        "--no-build",
        "--json",
        f"{path}.json",
        "--why",
        options.why,
    ]
    with path.with_suffix(".txt").open("w") as output:
        return subprocess.run(command, stdout=output, stderr=subprocess.STDOUT, check=False).returncode


def table_row(name: str, report: dict[str, Any]) -> str:
    """One line of the table: the run, its score, and each requirement that could fail."""
    row = report["row"]
    seen = report["real"]["seen"]
    broken = ", ".join(f"{rule} {count}" for rule, count in row["rules"].items() if count)
    restarts = seen["restart_s"]
    slow = sum(seconds > SLOW_RESTART_S for seconds in restarts)
    required = [
        (row["served"], row["served_least"]),
        *((part[1], part[2]) for part in row["by_class"]),
        *((part[1], part[2]) for part in row["by_tenant"] if len(part) > 2),
    ]
    gate = "held" if all(served >= minimum for served, minimum in required) else "FAILED"
    cells = [
        name.rpartition("-")[0],
        str(row["seed"]),
        f"{row['score']:.2f}",
        f"{row['served']:.3f} of {row['served_least']:.3f}, {gate}",
        broken or row["fault"] or "none",
        f"{slow} of {len(restarts)}" if restarts else "none restarted",
        "yes" if report["real"]["sound"] else "NO, machine too slow",
    ]
    return "| " + " | ".join(cells) + " |"


def format_table(folder: pathlib.Path) -> list[str]:
    """The lines of the table; runs that left output but no report come last."""
    lines = [
        "| day | seed | score | served, and the required share | rule broken or crash "
        "| slow to be ready | sound |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    reports = sorted(
        folder.glob("*.json"),
        key=lambda path: (path.stem.rpartition("-")[0], int(path.stem.rpartition("-")[2])),
    )
    lines += [table_row(path.stem, json.loads(path.read_text())) for path in reports]
    missing = sorted(path.stem for path in folder.glob("*.txt") if not path.with_suffix(".json").exists())
    return lines + [f"| {name} | | no report | | | | |" for name in missing]


def main() -> int:
    """Runs the bench unless `--table` is given; returns 1 if a run failed, 2 if the bench is missing."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("site", nargs="?", help="the site file")
    parser.add_argument("--bench", help="the bench's program")
    parser.add_argument("--days", nargs="+", default=["roll+mass", "split+mass", "join+mass"])
    parser.add_argument("--seeds", nargs="+", type=int, default=list(range(1, 11)))
    parser.add_argument("--nodes", type=int, default=30)
    parser.add_argument("--jobs", type=int, default=6, help="runs at a time")
    parser.add_argument("--why", default="Acceptance plays over days and seeds")
    parser.add_argument("--out", type=pathlib.Path, required=True, help="folder for the reports")
    parser.add_argument("--table", action="store_true", help="only print the table of what is in --out")
    options = parser.parse_args()
    failed = 0
    if not options.table:
        if not options.bench or not options.site or not pathlib.Path(options.bench).is_file():
            print(
                f"the bench is missing: {options.bench or '--bench not given'}; nothing was run",
                file=sys.stderr,
            )
            return 2
        options.out.mkdir(parents=True, exist_ok=True)
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            runs = [
                pool.submit(run_bench, options, scenario, seed)
                for seed in options.seeds
                for scenario in options.days
            ]
            failed = sum(run.result() != 0 for run in runs)
    print("\n".join(format_table(options.out)))
    if failed:
        print(f"{failed} runs ended with an error", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
