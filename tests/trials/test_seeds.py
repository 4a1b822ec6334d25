"""Trials of real processes: a few seeds break no rule, and the checker finds each planted defect."""

from __future__ import annotations

import pathlib
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from trials.__main__ import Result, run_trial
from trials.plan import DURATION_S, FaultKind

JOBS = 3
# Restarts and a reset; a vanished server that returns; a drained server; over Diameter, a server cut off.
SEEDS = (1, 10, 13, 48)


@dataclass(frozen=True)
class PlantedDefect:
    """A defect, the rule that it breaks, and a trial in which it breaks the rule many times.

    The agents choose servers at random: on a seed with few opportunities a defect may not show.
    """

    name: str
    rule: str
    seed: int
    kinds: tuple[FaultKind, ...] = ()  # of the faults that are drawn; empty: all kinds


PLANTED = (
    PlantedDefect("release_not_sent", "left standing", 5),
    PlantedDefect("guard_left_out", "release guard", 11, (FaultKind.SERVER_CRASH, FaultKind.SERVER_RESET)),
    PlantedDefect("drain_ignored", "drain", 8, (FaultKind.SERVER_DRAIN, FaultKind.SERVER_REPLACE)),
    PlantedDefect("answer_twice", "second answer", 2),
    PlantedDefect("attempts_for_the_gone", "client gone", 4),
    PlantedDefect("silence_ignored", "told", 10),
)


def play_all(cases: list[tuple[int, tuple[FaultKind, ...], str]], folder: pathlib.Path) -> list[Result]:
    """Plays cases of a seed, kinds of fault (empty for all) and a defect ("" for none), `JOBS` at a time."""
    with ProcessPoolExecutor(JOBS) as pool:
        futures = [
            pool.submit(
                run_trial,
                seed,
                [kind.value for kind in kinds],
                DURATION_S,
                str(folder / f"{defect}-{seed}"),
                defect,
            )
            for seed, kinds, defect in cases
        ]
        return [future.result() for future in futures]


def test_seeds_break_no_rule(tmp_path: pathlib.Path) -> None:
    results = play_all([(seed, (), "") for seed in SEEDS], tmp_path)
    assert [(result.seed, result.problem, result.first) for result in results] == [
        (seed, "", []) for seed in SEEDS
    ]
    assert all(result.calls > 100 for result in results)


def test_planted_defects_are_found(tmp_path: pathlib.Path) -> None:
    results = play_all([(planted.seed, planted.kinds, planted.name) for planted in PLANTED], tmp_path)
    missed = {
        planted.name: planted.rule
        for planted, result in zip(PLANTED, results, strict=True)
        if planted.rule not in result.violations
    }
    assert missed == {}
