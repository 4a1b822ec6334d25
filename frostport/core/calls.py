"""Calls: requests, their attempts, and the face of the front that each request came through."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from frostport.core.deadlines import Deadline
from frostport.interface import Outcome

Body = str | bytes  # a description, opaque here: each front is paired with a route that knows its form


class State(Enum):
    """Where a request stands."""

    OPEN = "open"  # owes a final answer
    STANDING = "standing"
    OVER = "over"


@dataclass(slots=True, eq=False)
class Request:
    """One call: `id`, `key` and `description` go on to the server as they came."""

    id: str
    call_class: str
    key: str
    description: Body
    end_at: float
    front: Front
    place: int  # the front's number of the connection it came on
    team: str = "-"
    slot: int = -1
    state: State = State.OPEN
    attempts: int = 0
    attempt: Attempt | None = None  # the one that is out, or on which the call stands
    not_before: float = 0.0
    last_link: int = -1  # the route's number of the connection that the last attempt went out on
    overdue: Deadline | None = None
    stood_at: float = 0.0
    answer: str = ""  # once it is final: stands, refused, failed, gone
    answer_body: Body | None = None  # what it was answered with, where duplicates may ask again
    back_ms: float = 0.0  # how long its client was told to stay away
    client: str = ""  # who asked, as the front names it
    identity: int = 0  # the front's number of the request itself (Diameter's End-to-End id)
    ended_by: int = -1  # and of the one that ended the call
    print: int | None = None  # CRC-32 of the description; only of a call from before a restart


@dataclass(slots=True, eq=False)
class Attempt:
    """One set-up at one server."""

    request: Request
    number: int
    server: str
    sent_at: float
    end_at: float
    timeout: Deadline | None = None
    link: int | None = None  # the route's number of the connection it went out on
    out: bool = True


class Front(Protocol):
    """What the broker says towards clients. Each request hears one of the first three, once."""

    def stands(self, request: Request, description: Body) -> None: ...

    def refused(self, request: Request, stay_away_ms: float) -> None: ...

    def failed(self, request: Request) -> None: ...

    def over(self, call: str, place: int, outcome: Outcome) -> None:
        """A call that stood has ended (`place` -1 where it isn't known on which connection it came)."""
