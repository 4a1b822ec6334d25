"""Rules on ended calls: the caller is notified in time, and no call remains at a server."""

from __future__ import annotations

from collections.abc import Iterator

from trials.history import Event, Kind
from trials.rules.index import SLACK_S, Index, Violation

# Protocol page, section on sockets: "within 1 s of the release by the lobby server".
NOTIFY_AFTER_RELEASE_S = 1.0
# The same section: "if no release could be sent, the limit is 8 s from its end".
NOTIFY_WITHOUT_RELEASE_S = 8.0
CROSSING_CLOSE_S = 0.1  # an answer written up to this long after a close may have crossed it


def notified_in_time(index: Index) -> Iterator[Violation]:
    """The caller of an ended call is notified in time, even if the server is unreachable."""
    for call, events in index.by_call.items():
        answered = index.first(call, Kind.ANSWERED)
        if answered is None:
            continue
        server = index.server_of(call, answered)
        ended = next(
            (event for event in events if event.kind in (Kind.ENDED, Kind.CUT) and event.server == server),
            None,
        )
        if ended is None:
            continue
        limit = _notification_limit(events, ended, answered)
        if any(
            event.kind in (Kind.RELEASED, Kind.TOLD_OVER, Kind.GAVE_UP) and event.at <= limit
            for event in events
        ):
            continue
        agent = index.agent_of(call)
        if (
            limit > index.end
            or index.exited_after(agent, answered.at)
            or index.was_paused(agent, ended.at, limit)
        ):
            continue
        notified_at = next((event.at for event in events if event.kind is Kind.TOLD_OVER), None)
        outcome = "never" if notified_at is None else f"after {notified_at - ended.at:.2f} s"
        yield Violation(
            "told",
            limit,
            call,
            f"ended at {ended.server} at {ended.at:.2f}, caller notified: "
            f"{outcome}, limit {limit - ended.at:.2f} s",
        )


def _notification_limit(events: list[Event], ended: Event, answered: Event) -> float:
    """The time by which the caller has to be notified.

    It counts from the release that the server wrote. A release whose connection broke before it was confirmed
    does not count, and neither does one written after the limit that holds without a release.
    """
    latest = max(ended.at, answered.at) + NOTIFY_WITHOUT_RELEASE_S + SLACK_S
    written_at: float | None = None
    for event in events:
        if event.server != ended.server:
            continue
        if event.kind is Kind.END_WRITTEN and written_at is None:
            written_at = event.at
        elif event.kind is Kind.END_LOST:
            written_at = None
    if written_at is None or written_at > latest:
        return latest
    return max(written_at, answered.at) + NOTIFY_AFTER_RELEASE_S + SLACK_S


def nothing_left(index: Index) -> Iterator[Violation]:
    """When the trial ends, no server keeps a call that is over for its client or never reached it."""
    for left in index.by_kind[Kind.LEFT]:
        events = index.by_call[left.call]
        client_ends = [
            event
            for event in events
            if event.kind
            in (Kind.RELEASED, Kind.TOLD_OVER, Kind.REFUSED, Kind.FAILED, Kind.GAVE_UP, Kind.CLIENT_CLOSED)
        ]
        agent = index.agent_of(left.call)
        asked = index.first(left.call, Kind.ASKED)
        answered = index.first(left.call, Kind.ANSWERED)
        if asked is None or not client_ends or index.exited_after(agent, asked.at):
            continue
        replied = max(
            event.at for event in events if event.kind is Kind.REPLIED and event.server == left.server
        )
        closed = index.first(left.call, Kind.CLIENT_CLOSED, Kind.CONNECTION_LOST)
        if answered is None and closed is not None and replied <= closed.at + CROSSING_CLOSE_S:
            # The answer may have reached the agent: an established call outlives its connection.
            continue
        still_owned = (
            answered is not None
            and index.server_of(left.call, answered) == left.server
            and not any(event.kind in (Kind.RELEASED, Kind.TOLD_OVER, Kind.GAVE_UP) for event in client_ends)
        )
        latest = max(event.at for event in client_ends)
        was_unreachable = index.was_unreachable(left.server, left.at - NOTIFY_WITHOUT_RELEASE_S, left.at)
        if (
            still_owned
            or was_unreachable
            or left.at < latest + NOTIFY_WITHOUT_RELEASE_S
            or index.was_paused(agent, latest, left.at)
        ):
            continue
        yield Violation(
            "left standing",
            left.at,
            left.call,
            f"at {left.server}, {left.at - latest:.2f} s after {client_ends[-1].kind.value}",
        )
