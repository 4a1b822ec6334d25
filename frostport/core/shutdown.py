"""The time limits of a shutdown, counted from SIGTERM. Plain data, no I/O.

The platform guarantees: SIGKILL comes no sooner than 0.7 s after the longest deadline, which counts as 3 s at
most (5 s on an upgrade). New connections arrive for up to 0.4 s, requests on open ones for 0.2 s more.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# The longest deadline counts up to these limits.
MAX_RESTART_DEADLINE_MS = 3000.0
MAX_UPGRADE_DEADLINE_MS = 5000.0
KILL_MARGIN_MS = 700.0  # from the end of the longest deadline to SIGKILL
ANSWER_BEFORE_KILL_MS = 200.0  # the last answers are given this long before SIGKILL, to be sent in time
EXIT_BEFORE_KILL_MS = 50.0  # the process exits this long before SIGKILL, even if answers are still unread
ACCEPT_MS = 900.0  # the last connections and requests have arrived by then


@dataclass(frozen=True, slots=True)
class Schedule:
    """Times in ms after SIGTERM."""

    accept_until_ms: float  # requests are taken until then
    answer_by_ms: float  # requests that are still open are failed then
    exit_by_ms: float  # the process exits then at the latest


def schedule(deadlines_ms: Iterable[float], max_deadline_ms: float = MAX_RESTART_DEADLINE_MS) -> Schedule:
    """Returns the limits for the deadlines of all classes, which count up to `max_deadline_ms`."""
    kill_at = min(max(deadlines_ms, default=max_deadline_ms), max_deadline_ms) + KILL_MARGIN_MS
    answer_by = kill_at - ANSWER_BEFORE_KILL_MS
    return Schedule(min(ACCEPT_MS, answer_by), answer_by, kill_at - EXIT_BEFORE_KILL_MS)
