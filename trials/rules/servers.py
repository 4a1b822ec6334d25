"""Rules on servers: nothing new goes to one that drains past the grace."""

from __future__ import annotations

from collections.abc import Iterator

from trials.history import Event, Kind
from trials.rules.index import SLACK_S, Index, Violation

TOLD_AT_LATEST_S = 7.0  # "counts as told 7 s later at the latest, arrived or not" (the protocol page)
TOLD_AFTER_FAILED_S = 6.0  # after a failed, refused or given-up call to discovery (the operators' letter)
TOLD_AFTER_STALL_S = 4.0  # "4 s after a stop" (the page on later days); the same after SIGHUP
DRAINED = ("draining", "gone")


def drained(index: Index) -> Iterator[Violation]:
    """No set-up reaches a server past the drain grace, from an agent that was told."""
    grace_s = index.day.grace_ms / 1000.0
    for change in index.by_kind[Kind.LISTED]:
        if change.text != "draining":
            continue
        back = next(
            (
                event.at
                for event in index.by_kind[Kind.LISTED]
                if event.server == change.server and event.at > change.at and event.text not in DRAINED
            ),
            index.end,
        )
        for event in index.by_kind[Kind.REACHED]:
            if event.server != change.server or not change.at < event.at < back:
                continue
            agent = index.agent_of(event.call)
            told_at = told(index, agent, change)
            if (
                event.at <= told_at + grace_s + SLACK_S
                or index.was_stopped(agent, told_at, event.at)
                or index.was_unreachable(event.server, told_at, event.at)
            ):
                continue
            yield Violation(
                "drain",
                event.at,
                event.call,
                f"{agent} to {event.server}, {event.at - told_at - grace_s:.3f} s past the grace",
            )


def told(index: Index, agent: str, change: Event) -> float:
    """When an agent counts as told of a change."""
    limits = [change.at + TOLD_AT_LATEST_S]
    if any(event.at <= change.at for event in index.by_kind[Kind.DISCOVERY_DOWN]):
        limits.append(change.at + TOLD_AFTER_FAILED_S)
    stalls = [event.at for event in index.by_kind[Kind.DISCOVERY_STALLED]]
    stalls += [event.at for event in index.by_kind[Kind.RELOADED] if event.party == agent]
    limits += [
        max(change.at, at) + TOLD_AFTER_STALL_S
        for at in stalls
        if change.at - TOLD_AT_LATEST_S <= at <= change.at + TOLD_AT_LATEST_S
    ]
    delivered = [
        event.at
        for event in index.by_kind[Kind.DELIVERED]
        if event.party == agent
        and event.server == change.server
        and event.text in DRAINED
        and event.at >= change.at
    ]
    started = [
        event.at for event in index.by_kind[Kind.STARTED] if event.party == agent and event.at >= change.at
    ]
    return min([*limits, *delivered, *started])
