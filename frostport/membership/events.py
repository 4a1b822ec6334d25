"""The events that the membership protocol handles, and the actions that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from frostport.membership.messages import Info, Message, State, Update


class Phase(Enum):
    """This agent's own part in the membership."""

    JOINING = "joining"  # no other member has admitted it yet; it answers messages all the same
    MEMBER = "member"
    LEFT = "left"  # it has announced that it leaves, and no longer takes part
    REFUSED = "refused"  # another process of its name is alive
    SUPERSEDED = "followed"  # a later process of its name has replaced it


# Events


@dataclass(frozen=True, slots=True)
class Started:
    """The first event."""


@dataclass(frozen=True, slots=True)
class Tick:
    """The time returned by `next_ms` has come."""


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """`address` is the sender's, to which an answer goes."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class ViewReceived:
    """Another agent's view, received over the link."""

    updates: tuple[Update, ...]


@dataclass(frozen=True, slots=True)
class InfoChanged:
    """This agent's own info has changed, such as its phase."""

    info: Info


@dataclass(frozen=True, slots=True)
class Leave:
    """The agent stops: it announces that it leaves."""


Event = Started | Tick | DatagramReceived | ViewReceived | InfoChanged | Leave


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class ExchangeViews:
    """Exchange views with this member over the link."""

    name: str


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member was added, has changed or was forgotten; for the agent's decisions and its record."""

    name: str
    incarnation: int
    state: State
    info: Info


@dataclass(frozen=True, slots=True)
class PhaseChanged:
    """The agent's own phase has changed; `why` is for the log."""

    phase: Phase
    why: str


Action = Send | ExchangeViews | MemberChanged | PhaseChanged
