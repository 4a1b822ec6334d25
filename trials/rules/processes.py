"""Rules on processes: none crashes, and nine in ten of those that are started again are ready in time."""

from __future__ import annotations

from collections.abc import Iterator

from trials.history import Event, Kind
from trials.rules.index import Index, Violation

READY_S = 10.0  # "nine in ten restarted call agents are ready within 10 s" (the standing test's page)
READY_SHARE = 0.9


def no_crash(index: Index) -> Iterator[Violation]:
    """No process ends unless it is told to, and one that is told to ends with status 0."""
    for event in index.by_kind[Kind.EXITED]:
        if event.text:
            yield Violation("crash", event.at, "", f"{event.party} ended with {event.number:.0f}")
        elif event.number not in (0.0, -9.0) and not _before_its_start(index, event):
            yield Violation("crash", event.at, "", f"{event.party} ended with {event.number:.0f} on SIGTERM")


def _before_its_start(index: Index, exited: Event) -> bool:
    """Whether SIGTERM came so early that the program had not taken its signals over."""
    started = [
        event for event in index.by_kind[Kind.STARTED] if event.party == exited.party and event.at < exited.at
    ]
    ready = [
        event for event in index.by_kind[Kind.READY] if event.party == exited.party and event.at < exited.at
    ]
    return exited.number == -15.0 and (not ready or ready[-1].at < started[-1].at)


def ready_in_time(index: Index) -> Iterator[Violation]:
    """Nine in ten of the processes that are started again are ready within 10 s."""
    slow: list[Event] = []
    count = 0
    for event in index.by_kind[Kind.STARTED]:
        ready = next(
            (at for at in index.by_kind[Kind.READY] if at.party == event.party and at.at > event.at), None
        )
        ended = next(
            (
                at
                for at in index.by_kind[Kind.TERMINATED] + index.by_kind[Kind.KILLED]
                if at.party == event.party and at.at > event.at
            ),
            None,
        )
        stopped = index.was_stopped(event.party, event.at, event.at + READY_S)
        if stopped or event.at + READY_S > index.end or (ended is not None and ended.at < event.at + READY_S):
            continue
        count += 1
        if ready is None or ready.at > event.at + READY_S:
            slow.append(event)
    if slow and len(slow) > (1.0 - READY_SHARE) * count:
        text = f"{len(slow)} of {count} processes took over {READY_S:.0f} s"
        yield Violation("ready", slow[0].at, "", text)
