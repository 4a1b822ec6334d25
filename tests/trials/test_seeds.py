"""Trials of real processes: a few seeds break no rule, and the checker finds each planted defect."""

from __future__ import annotations

import pathlib
from concurrent.futures import ProcessPoolExecutor

from trials.__main__ import Result, run_trial
from trials.plan import DURATION_S

JOBS = 3
# Restarts and a reset; a vanished server that returns; a drained server; over Diameter, a server cut off.
SEEDS = (1, 10, 13, 48)
PLANTED = {  # by defect: a seed on which it shows, and the rule that it breaks
    "release_not_sent": (5, "left standing"),
    "guard_left_out": (13, "release guard"),
    "drain_ignored": (5, "drain"),
    "answer_twice": (2, "second answer"),
    "attempts_for_the_gone": (4, "client gone"),
    "silence_ignored": (10, "told"),
}


def played(cases: list[tuple[int, str]], folder: pathlib.Path) -> list[Result]:
    """Plays pairs of a seed and a defect ("" for none), `JOBS` at a time."""
    with ProcessPoolExecutor(JOBS) as pool:
        futures = [
            pool.submit(run_trial, seed, [], DURATION_S, str(folder / f"{defect}-{seed}"), defect)
            for seed, defect in cases
        ]
        return [future.result() for future in futures]


def test_seeds_break_no_rule(tmp_path: pathlib.Path) -> None:
    results = played([(seed, "") for seed in SEEDS], tmp_path)
    assert [(result.seed, result.problem, result.first) for result in results] == [
        (seed, "", []) for seed in SEEDS
    ]
    assert all(result.calls > 100 for result in results)


def test_planted_defects_are_found(tmp_path: pathlib.Path) -> None:
    results = played([(seed, defect) for defect, (seed, _) in PLANTED.items()], tmp_path)
    found = {defect: set(result.violations) for defect, result in zip(PLANTED, results, strict=True)}
    assert {defect: rule for defect, (_, rule) in PLANTED.items() if rule not in found[defect]} == {}
