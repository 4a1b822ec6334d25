"""Events that `Feed` handles, and the actions that it returns."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from frostport.startup.messages import Message


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The other agents that are up, by name, with their zones."""

    zones: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class ServiceConnected:
    """The service has accepted this agent's connection."""


@dataclass(frozen=True, slots=True)
class ServiceDisconnected:
    """The connection to the service was lost or could not be made."""


@dataclass(frozen=True, slots=True)
class ServiceHeard:
    """The service has shown that this agent's list is its own; with `line`, by an event that is in it now."""

    line: bytes = b""


@dataclass(frozen=True, slots=True)
class EventApplied:
    """An event from another agent is in this agent's list now."""

    line: bytes


@dataclass(frozen=True, slots=True)
class EventRejected:
    """An event or a list from another agent can't be read, so that this agent's list lacks a change."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Send:
    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class SendSnapshot:
    """Send the complete list, as `Feed.snapshot_update`: `to` can't be sent just the events that it lacks."""

    to: str


@dataclass(frozen=True, slots=True)
class ApplyEvents:
    """Apply these events from another agent to the list.

    Report each with `EventApplied`; after one that can't be read, `EventRejected`, leave out the rest."""

    events: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ApplySnapshot:
    """Replace the list by this one from another agent; report it with `EventRejected` if it can't be read."""

    event: bytes


@dataclass(frozen=True, slots=True)
class Connect:
    """Dial the service, paced for so many agents that may do the same (0: the whole fleet)."""

    dialer_count: int


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection to the service, or cancel the dial that is scheduled."""


Event = (
    MembersChanged
    | ServiceConnected
    | ServiceDisconnected
    | ServiceHeard
    | EventApplied
    | EventRejected
    | MessageReceived
    | Tick
)
Action = Send | SendSnapshot | ApplyEvents | ApplySnapshot | Connect | Disconnect
