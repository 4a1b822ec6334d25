"""Rules on agent processes: none crashes, and nine in ten of the started ones are ready in time."""

from __future__ import annotations

from collections.abc import Iterator

from trials.history import Event, Kind
from trials.rules.index import Index, Violation

READY_S = 10.0  # operators' requirement: "nine in ten restarted call agents are ready within 10 s"
READY_SHARE = 0.9


def no_crash(index: Index) -> Iterator[Violation]:
    """No process exits unasked, and one that got SIGTERM exits with status 0 or, killed later, by SIGKILL."""
    for event in index.by_kind[Kind.EXITED]:
        if event.text:
            yield Violation("crash", event.at, "", f"{event.party} exited with status {event.number:.0f}")
        elif event.number not in (0.0, -9.0) and not _exited_during_start(index, event):
            yield Violation(
                "crash", event.at, "", f"{event.party} exited with status {event.number:.0f} on SIGTERM"
            )


def _exited_during_start(index: Index, exited: Event) -> bool:
    """Whether SIGTERM ended a process that was not ready yet, before its signal handlers were installed."""
    started = [
        event for event in index.by_kind[Kind.STARTED] if event.party == exited.party and event.at < exited.at
    ]
    ready = [
        event for event in index.by_kind[Kind.READY] if event.party == exited.party and event.at < exited.at
    ]
    return exited.number == -15.0 and (not ready or ready[-1].at < started[-1].at)


def ready_in_time(index: Index) -> Iterator[Violation]:
    """`READY_SHARE` of the started processes are ready within `READY_S`.

    Processes that were paused or signalled to end within that time, or for which the trial ended before it
    passed, are not counted.
    """
    slow: list[Event] = []
    count = 0
    for event in index.by_kind[Kind.STARTED]:
        ready = next(
            (
                later
                for later in index.by_kind[Kind.READY]
                if later.party == event.party and later.at > event.at
            ),
            None,
        )
        ended = next(
            (
                later
                for later in index.by_kind[Kind.TERMINATED] + index.by_kind[Kind.KILLED]
                if later.party == event.party and later.at > event.at
            ),
            None,
        )
        was_paused = index.was_paused(event.party, event.at, event.at + READY_S)
        if (
            was_paused
            or event.at + READY_S > index.end
            or (ended is not None and ended.at < event.at + READY_S)
        ):
            continue
        count += 1
        if ready is None or ready.at > event.at + READY_S:
            slow.append(event)
    if slow and len(slow) > (1.0 - READY_SHARE) * count:
        text = f"{len(slow)} of {count} processes took over {READY_S:.0f} s"
        yield Violation("ready", slow[0].at, "", text)
