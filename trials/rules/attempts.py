"""Rules on attempts: their number, their order, the release guard, and none for a client that is gone."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import pairwise

from trials.history import Event, Kind
from trials.rules.index import SLACK_S, Index, Violation

# Operators' requirement: no attempt begins later than this after its client has gone.
ATTEMPT_AFTER_GONE_S = 0.1
# A server may notice a give-up this much later than the agent sent it.
GIVE_UP_NOTICE_S = 0.1
END_KINDS = (Kind.REPLIED, Kind.WITHDRAWN, Kind.CONNECTION_ENDED)


def _end_of_attempt(events: list[Event], reached: Event) -> Event | None:
    """The event by which an attempt ended, as its server saw it; None while it is outstanding."""
    later = events[events.index(reached) + 1 :]
    return next(
        (event for event in later if event.kind in END_KINDS and event.server == reached.server), None
    )


def not_too_many(index: Index) -> Iterator[Violation]:
    """A call has no more attempts than the settings allow."""
    for call, events in index.by_call.items():
        reached = [event for event in events if event.kind is Kind.REACHED]
        if len(reached) > index.settings.attempts:
            yield Violation("attempts", reached[-1].at, call, f"{len(reached)} of {index.settings.attempts}")


def _successive_attempts(index: Index) -> Iterator[tuple[str, Event, Event, Event | None]]:
    """Each pair of consecutive attempts: call, first, second, and the event that ended the first."""
    for call, events in index.by_call.items():
        reached = [event for event in events if event.kind is Kind.REACHED]
        for first, second in pairwise(reached):
            yield call, first, second, _end_of_attempt(events, first)


def one_at_a_time(index: Index) -> Iterator[Violation]:
    """No attempt of a call reaches a server while an earlier one is outstanding."""
    for call, first, second, end in _successive_attempts(index):
        if end is not None and end.at <= second.at:
            continue
        servers = (first.server, second.server)
        if any(index.was_unreachable(server, first.at, second.at) for server in servers):
            continue  # the link delayed the give-up or the set-up
        text = f"at {second.server} while one was outstanding at {first.server} since {first.at:.3f}"
        yield Violation("second attempt", second.at, call, text)


def release_guard(index: Index) -> Iterator[Violation]:
    """After an attempt that ended without a reply, the next one waits for the release guard."""
    guard_s = index.settings.guard_ms / 1000.0
    for call, first, second, end in _successive_attempts(index):
        if end is None or end.kind is Kind.REPLIED or second.at >= end.at + guard_s - GIVE_UP_NOTICE_S:
            continue
        if second.at < end.at or index.was_unreachable(first.server, first.at, second.at):
            continue
        text = f"{second.at - end.at:.3f} s after {end.kind.value} at {first.server}"
        yield Violation("release guard", second.at, call, text)


def client_gone(index: Index) -> Iterator[Violation]:
    """No attempt begins for a client that has closed its connection or cancelled its set-up."""
    for call, events in index.by_call.items():
        gone = next((event for event in events if event.kind in (Kind.GAVE_UP, Kind.CLIENT_CLOSED)), None)
        if gone is None:
            continue
        agent = index.agent_of(call)
        for event in events:
            if event.kind is not Kind.REACHED or event.at <= gone.at + ATTEMPT_AFTER_GONE_S + SLACK_S:
                continue
            if index.was_unreachable(event.server, gone.at, event.at) or index.was_paused(
                agent, gone.at, event.at
            ):
                continue
            yield Violation(
                "client gone",
                event.at,
                call,
                f"at {event.server}, {event.at - gone.at:.3f} s after {gone.kind.value}",
            )
