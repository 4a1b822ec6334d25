"""When a program that was told to end has to be done with what, counted from SIGTERM. Plain data, no I/O.

The platform's page: SIGKILL comes no sooner than the longest deadline (3 s where it is longer, 5 s on an
upgrade) and 0.7 s more; new connections come for up to 0.4 s, requests on open ones for 0.2 s more.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MAX_RESTART_DEADLINE_MS, MAX_UPGRADE_DEADLINE_MS = (
    3000.0,
    5000.0,
)  # more of the longest deadline than this does not count
KILL_MARGIN_MS = 700.0  # from there to SIGKILL
ANSWER_BEFORE_KILL_MS = 200.0  # the last answers are given so long before SIGKILL: they have to leave
EXIT_BEFORE_KILL_MS = 50.0  # and the program ends so long before it, whoever has not read them
ACCEPT_MS = 900.0  # what still comes has come by then


@dataclass(frozen=True, slots=True)
class Schedule:
    """Ms after SIGTERM: until when requests are taken, when the last is answered, when the program ends."""

    accept_until_ms: float
    answer_by_ms: float
    exit_by_ms: float


def schedule(deadlines_ms: Iterable[float], most_ms: float = MAX_RESTART_DEADLINE_MS) -> Schedule:
    """`deadlines_ms`: of all classes."""
    kill = min(max(deadlines_ms, default=most_ms), most_ms) + KILL_MARGIN_MS
    answer = kill - ANSWER_BEFORE_KILL_MS
    return Schedule(min(ACCEPT_MS, answer), answer, kill - EXIT_BEFORE_KILL_MS)
