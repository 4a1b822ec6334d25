"""Rules on servers: no set-up reaches a draining server after the grace period."""

from __future__ import annotations

from collections.abc import Iterator

from trials.history import Event, Kind
from trials.rules.index import SLACK_S, Index, Violation

# Protocol page: an agent "counts as told 7 s later at the latest, arrived or not".
INFORMED_AT_LATEST_S = 7.0
# Operators' requirement, after a failed, refused or abandoned request to discovery.
INFORMED_AFTER_FAILURE_S = 6.0
# Operators' requirement: "4 s after a stop" of the stream from discovery; the same holds after SIGHUP.
INFORMED_AFTER_STALL_S = 4.0
DRAIN_STATES = ("draining", "gone")


def drained(index: Index) -> Iterator[Violation]:
    """No set-up reaches a draining server once the grace has passed since its agent was informed."""
    grace_s = index.settings.grace_ms / 1000.0
    for change in index.by_kind[Kind.LISTED]:
        if change.text != "draining":
            continue
        ready_again_at = next(
            (
                event.at
                for event in index.by_kind[Kind.LISTED]
                if event.server == change.server and event.at > change.at and event.text not in DRAIN_STATES
            ),
            index.end,
        )
        for event in index.by_kind[Kind.REACHED]:
            if event.server != change.server or not change.at < event.at < ready_again_at:
                continue
            agent = index.agent_of(event.call)
            informed = informed_at(index, agent, change)
            if (
                event.at <= informed + grace_s + SLACK_S
                or index.was_paused(agent, informed, event.at)
                or index.was_unreachable(event.server, informed, event.at)
            ):
                continue
            yield Violation(
                "drain",
                event.at,
                event.call,
                f"{agent} to {event.server}, {event.at - informed - grace_s:.3f} s past the grace",
            )


def informed_at(index: Index, agent: str, change: Event) -> float:
    """When an agent counts as informed of a change of a server's state."""
    limits = [change.at + INFORMED_AT_LATEST_S]
    if any(event.at <= change.at for event in index.by_kind[Kind.DISCOVERY_DOWN]):
        limits.append(change.at + INFORMED_AFTER_FAILURE_S)
    stalls = [event.at for event in index.by_kind[Kind.DISCOVERY_STALLED]]
    stalls += [event.at for event in index.by_kind[Kind.RELOADED] if event.party == agent]
    limits += [
        max(change.at, at) + INFORMED_AFTER_STALL_S
        for at in stalls
        if change.at - INFORMED_AT_LATEST_S <= at <= change.at + INFORMED_AT_LATEST_S
    ]
    delivered = [
        event.at
        for event in index.by_kind[Kind.DELIVERED]
        if event.party == agent
        and event.server == change.server
        and event.text in DRAIN_STATES
        and event.at >= change.at
    ]
    started = [
        event.at for event in index.by_kind[Kind.STARTED] if event.party == agent and event.at >= change.at
    ]
    return min([*limits, *delivered, *started])
