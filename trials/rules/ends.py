"""Rules on calls that are over: their callers are told in time, and nothing is left standing."""

from __future__ import annotations

from collections.abc import Iterator

from trials.history import Event, Kind
from trials.rules.index import SLACK_S, Index, Violation

TOLD_S = 1.0  # "within 1 s of the release by the lobby server" (the protocol page, the rules on sockets)
TOLD_UNHEARD_S = 8.0  # "if no release could be sent, the limit is 8 s from its end" (same)
CROSSED_S = 0.1  # a close that an answer crosses


def told(index: Index) -> Iterator[Violation]:
    """A caller whose call is over hears so in time; silence of a server excuses nobody."""
    for call, events in index.by_call.items():
        answered = index.first(call, Kind.ANSWERED)
        if answered is None:
            continue
        server = index.server_of(call, answered)
        over = next(
            (event for event in events if event.kind in (Kind.ENDED, Kind.CUT) and event.server == server),
            None,
        )
        if over is None:
            continue
        limit = _told_limit(events, over, answered)
        if any(
            event.kind in (Kind.RELEASED, Kind.TOLD_OVER, Kind.GAVE_UP) and event.at <= limit
            for event in events
        ):
            continue
        agent = index.agent_of(call)
        if (
            limit > index.end
            or index.ended_after(agent, answered.at)
            or index.was_stopped(agent, over.at, limit)
        ):
            continue
        heard = next((event.at for event in events if event.kind is Kind.TOLD_OVER), None)
        how = "never" if heard is None else f"after {heard - over.at:.2f} s"
        yield Violation(
            "told",
            limit,
            call,
            f"over at {over.server} at {over.at:.2f}, its caller was told "
            f"{how}, not by {limit - over.at:.2f} s",
        )


def _told_limit(events: list[Event], over: Event, answered: Event) -> float:
    """Until when the caller has to be told."""
    last = max(over.at, answered.at) + TOLD_UNHEARD_S + SLACK_S
    written: float | None = None
    for event in events:
        if event.server != over.server:
            continue
        if event.kind is Kind.END_WRITTEN and written is None:
            written = event.at
        elif event.kind is Kind.END_LOST:
            written = None
    if written is None or written > last:
        return last
    return max(written, answered.at) + TOLD_S + SLACK_S


def nothing_left(index: Index) -> Iterator[Violation]:
    """No call is left standing at a server whose client knows it to be over, or never had it."""
    for left in index.by_kind[Kind.LEFT]:
        events = index.by_call[left.call]
        over = [
            event
            for event in events
            if event.kind
            in (Kind.RELEASED, Kind.TOLD_OVER, Kind.REFUSED, Kind.FAILED, Kind.GAVE_UP, Kind.CLIENT_CLOSED)
        ]
        agent = index.agent_of(left.call)
        asked = index.first(left.call, Kind.ASKED)
        answered = index.first(left.call, Kind.ANSWERED)
        if asked is None or not over or index.ended_after(agent, asked.at):
            continue
        replied = max(
            event.at for event in events if event.kind is Kind.REPLIED and event.server == left.server
        )
        closed = index.first(left.call, Kind.CLIENT_CLOSED, Kind.CONNECTION_LOST)
        if answered is None and closed is not None and replied <= closed.at + CROSSED_S:
            continue  # its answer was on its way, and may have been heard: no connection owns a standing call
        kept = (
            answered is not None
            and index.server_of(left.call, answered) == left.server
            and not any(event.kind in (Kind.RELEASED, Kind.TOLD_OVER, Kind.GAVE_UP) for event in over)
        )
        latest = max(event.at for event in over)
        silent = index.was_unreachable(left.server, left.at - TOLD_UNHEARD_S, left.at)
        if kept or silent or left.at < latest + TOLD_UNHEARD_S or index.was_stopped(agent, latest, left.at):
            continue
        yield Violation(
            "left standing",
            left.at,
            left.call,
            f"at {left.server}, {left.at - latest:.2f} s after {over[-1].kind.value}",
        )
