"""Rules on attempts: one at a time, not too many, none within the guard or for a client that has gone."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import pairwise

from trials.history import Event, Kind
from trials.rules.index import SLACK_S, Index, Violation

GONE_S = 0.1  # "no attempt begins over 0.1 s later" (the operators' letter)
NOTICED_S = 0.1  # by so much later than the agent a server may notice a give-up
ENDS = (Kind.REPLIED, Kind.WITHDRAWN, Kind.CONNECTION_ENDED)


def _end_of(events: list[Event], reached: Event) -> Event | None:
    """How an attempt ended, as its server saw it."""
    later = events[events.index(reached) + 1 :]
    return next((event for event in later if event.kind in ENDS and event.server == reached.server), None)


def not_too_many(index: Index) -> Iterator[Violation]:
    """Attempts of a call stay within the settings' limit."""
    for call, events in index.by_call.items():
        reached = [event for event in events if event.kind is Kind.REACHED]
        if len(reached) > index.day.attempts:
            yield Violation("attempts", reached[-1].at, call, f"{len(reached)} of {index.day.attempts}")


def _successive(index: Index) -> Iterator[tuple[str, Event, Event, Event | None]]:
    """Each call with two attempts in a row, and how the first one ended."""
    for call, events in index.by_call.items():
        reached = [event for event in events if event.kind is Kind.REACHED]
        for first, second in pairwise(reached):
            yield call, first, second, _end_of(events, first)


def one_at_a_time(index: Index) -> Iterator[Violation]:
    """No second attempt reaches a server while one is out."""
    for call, first, second, end in _successive(index):
        if end is not None and end.at <= second.at:
            continue
        servers = (first.server, second.server)
        if any(index.was_unreachable(server, first.at, second.at) for server in servers):
            continue  # a give-up could not arrive, or a set-up arrived late
        text = f"at {second.server} while one was out at {first.server} since {first.at:.3f}"
        yield Violation("second attempt", second.at, call, text)


def release_guard(index: Index) -> Iterator[Violation]:
    """After an attempt that ended uncleanly, the next one waits for the release guard."""
    guard_s = index.day.guard_ms / 1000.0
    for call, first, second, end in _successive(index):
        if end is None or end.kind is Kind.REPLIED or second.at >= end.at + guard_s - NOTICED_S:
            continue
        if second.at < end.at or index.was_unreachable(first.server, first.at, second.at):
            continue
        text = f"{second.at - end.at:.3f} s after {end.kind.value} at {first.server}"
        yield Violation("release guard", second.at, call, text)


def client_gone(index: Index) -> Iterator[Violation]:
    """No attempt begins for a client that has closed or given its set-up up."""
    for call, events in index.by_call.items():
        gone = next((event for event in events if event.kind in (Kind.GAVE_UP, Kind.CLIENT_CLOSED)), None)
        if gone is None:
            continue
        agent = index.agent_of(call)
        for event in events:
            if event.kind is not Kind.REACHED or event.at <= gone.at + GONE_S + SLACK_S:
                continue
            if index.was_unreachable(event.server, gone.at, event.at) or index.was_stopped(
                agent, gone.at, event.at
            ):
                continue
            yield Violation(
                "client gone",
                event.at,
                call,
                f"at {event.server}, {event.at - gone.at:.3f} s after {gone.kind.value}",
            )
