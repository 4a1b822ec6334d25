"""Checks a history against the protocol's rules: a pure function from events to violations.

Times are in seconds. "Protocol page" in the rules means the operators' specification of the platform's wire.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from trials.history import Event
from trials.rules import answers, attempts, ends, processes, servers
from trials.rules.index import Index, Violation
from trials.site import TrialSettings

RULES: tuple[Callable[[Index], Iterator[Violation]], ...] = (
    answers.answered_in_time,
    answers.answered_once,
    answers.answered_by_a_server,
    attempts.not_too_many,
    attempts.one_at_a_time,
    attempts.release_guard,
    attempts.client_gone,
    ends.notified_in_time,
    ends.nothing_left,
    servers.drained,
    processes.no_crash,
    processes.ready_in_time,
)


def check(events: Iterable[Event], settings: TrialSettings) -> list[Violation]:
    """All violations of a history under a trial's settings, ordered by time."""
    index = Index.of(events, settings)
    found = [violation for rule in RULES for violation in rule(index)]
    return sorted(found, key=lambda violation: violation.at)
