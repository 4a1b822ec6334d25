"""Calls: requests, their attempts, and the face of the front that each request came through."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from frostport.core.deadlines import Deadline
from frostport.interface import Outcome

Body = str | bytes  # a description, opaque here: each front is paired with a route that knows its form


MAX_RELEASE_HOLD_MS = (
    10_000.0  # a release is held back no longer than this for a client that may repeat its set-up
)


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
    deadline_at_ms: float
    front: Front
    connection_id: int  # the front's number of the connection it came on
    team: str = "-"
    slot: int = -1
    state: State = State.OPEN
    attempts: int = 0
    attempt: Attempt | None = None  # the one that is out, or on which the call stands
    not_before: float = 0.0
    ran_on: str = ""  # the server where an attempt may have run first
    last_connection_id: int = -1  # the route's number of the connection that the last attempt went out on
    overdue_timer: Deadline | None = None
    established_at_ms: float = 0.0
    answer: str = ""  # once it is final: stands, refused, failed, gone
    recorded_answer: RecordedAnswer | None = (
        None  # the answer that is on record, where duplicates may ask again
    )
    stay_away_ms: float = 0.0  # how long its client was told to stay away
    client: str = ""  # who asked, as the front names it
    end_to_end_id: int = 0  # the front's number of the request itself (Diameter's End-to-End id)
    ended_by: int = -1  # and of the one that ended the call


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """An answer on record: its client may not have heard it, and repeats the set-up then."""

    service: str
    client: str
    description_crc32: int  # CRC-32 of the description that was asked with
    answer: Body
    recorded_at_ms: float  # when it went on record, ms

    def matches(self, service: str, client: str, description: bytes) -> bool:
        """Whether this set-up is the one that was answered."""
        return (
            service == self.service
            and self.client in ("", client)
            and zlib.crc32(description) == self.description_crc32
        )


def held_until(answered_at: float, now_ms: float, longest_ms: float) -> float:
    """How long the end of a call may be kept from a client that may not have heard the answer, ms.

    To a client that still waits, the end before the answer is a failure, and the answer would be a second
    word. No client waits longer than twice the longest deadline."""
    return min(answered_at + 2.0 * longest_ms, now_ms + MAX_RELEASE_HOLD_MS)


@dataclass(slots=True, eq=False)
class Attempt:
    """One set-up at one server."""

    request: Request
    number: int
    server: str
    sent_at: float
    deadline_at_ms: float
    timeout: Deadline | None = None
    route_ref: int | None = None  # XX
    pending: bool = True
    confirm_end: Callable[[], object] | None = (
        None  # the call's end overtook its answer: confirms it to the server
    )


class Front(Protocol):
    """What the broker says towards clients. Each request hears `stands`, `refused` or `failed`, once."""

    def is_waiting(self, request: Request) -> bool:
        """Whether the client of an open request is still there, as far as can be told now."""

    def call_established(self, request: Request, description: Body) -> None: ...

    def call_refused(self, request: Request, stay_away_ms: float) -> None: ...

    def call_failed(self, request: Request) -> None: ...

    def call_ended(
        self, call: str, place: int, outcome: Outcome, given: RecordedAnswer | None = None
    ) -> None:
        """A call that stood has ended (`place` -1 where it isn't known on which connection it came).

        `given`: its answer, where that is on record."""
