"""Calls: requests, their attempts, and the interface of the front through which requests arrive."""

from __future__ import annotations

import sys
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from frostport.core.deadlines import Deadline
from frostport.interface import Outcome

Body = str | bytes  # a description, opaque to the core: a front is paired with a route of the same protocol

REQUEST_OVERHEAD_BYTES = 4096  # the objects of an open request, here and in the decision module
MAX_RELEASE_HOLD_MS = 10_000.0  # longest delay of a release for a client that may repeat its set-up


def request_bytes(description: Body, *names: str) -> int:
    """The memory that an open request holds, in bytes: its description and the names that came with it."""
    named = sum(sys.getsizeof(name) for name in names)
    encoded = 0 if isinstance(description, bytes) or description.isascii() else len(description.encode())
    return REQUEST_OVERHEAD_BYTES + sys.getsizeof(description) + encoded + named


class State(Enum):
    """State of a request."""

    OPEN = "open"  # waits for its final answer
    ESTABLISHED = "standing"
    ENDED = "over"


@dataclass(slots=True, eq=False)
class Request:
    """One call, from its set-up to its end. All times are ms of `core.clock`.

    `id`, `key` and `description` are passed to the server unchanged."""

    id: str
    call_class: str
    key: str
    description: Body
    deadline_at_ms: float
    front: Front
    connection_id: int  # the front's number of the connection it came on; -1: none
    team: str = "-"
    handle: int = -1  # its handle in `Broker.requests`
    state: State = State.OPEN
    attempts: int = 0  # how many attempts have been made
    attempt: Attempt | None = None  # the pending one, or the one that established the call
    not_before: float = 0.0  # end of the release guard: no attempt before this time, ms
    ran_on: str = ""  # the first server that may have run an attempt
    may_have_run: bool = False  # an attempt that left may have run
    last_connection_id: int = -1  # the route's number of the connection that the last attempt was sent on
    overdue_timer: Deadline | None = None
    established_at_ms: float = 0.0
    answer: str = ""  # the final answer: stands, refused, failed, gone
    recorded_answer: RecordedAnswer | None = None  # set with a store: a repeated set-up may ask for it again
    retry_after_ms: float = 0.0  # the wait that its client was given with a refusal
    client: str = ""  # the client's name, as the front knows it
    end_to_end_id: int = 0  # Diameter: End-to-End Identifier of the set-up
    ended_by: int = -1  # Diameter: End-to-End Identifier of the release; -1: none
    held_bytes: int = 0  # what it holds while it is open, as counted towards its connection

    def drop_description(self) -> None:
        """Forgets the description once no attempt can need it: a call may be established for hours."""
        self.description = b"" if isinstance(self.description, bytes) else ""


@dataclass(frozen=True, slots=True)
class EndedCall:
    """What is remembered of a call that is over, under its id. Times in ms of `core.clock`."""

    ended_at_ms: float
    not_before_ms: float = 0.0  # end of the release guard of its last attempt
    may_have_run: bool = False  # a server may have run it: it must not run again under this id


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """An answer that is stored. A client that may not have received it repeats its set-up."""

    service: str
    client: str
    description_crc32: int  # of the description in the set-up
    answer: Body
    recorded_at_ms: float

    def matches(self, service: str, client: str, description: bytes) -> bool:
        """Whether a set-up repeats the one that got this answer."""
        return (
            service == self.service
            and self.client in ("", client)
            and zlib.crc32(description) == self.description_crc32
        )


def held_until(answered_at: float, now_ms: float, longest_ms: float) -> float:
    """Returns until when the end of a call is held back from a client that may lack the answer, ms.

    A client that still waits would take an end before the answer for a failure, and would then get the
    answer as a second one. No client waits longer than twice the longest deadline, `longest_ms`."""
    return min(answered_at + 2.0 * longest_ms, now_ms + MAX_RELEASE_HOLD_MS)


@dataclass(slots=True, eq=False)
class Attempt:
    """One set-up sent to one server. All times are ms of `core.clock`."""

    request: Request
    number: int  # counts from 0 within the request
    server: str
    sent_at: float
    deadline_at_ms: float
    timeout: Deadline | None = None
    route_ref: int | None = None  # set by the route: connection number, or Diameter Hop-by-Hop Identifier
    pending: bool = True  # its outcome is awaited
    confirm_end: Callable[[], object] | None = None  # confirms an end that preceded the answer


class Front(Protocol):
    """The connections to the clients, as the broker uses them.

    Each request gets one call of `call_established`, `call_refused` or `call_failed`, unless it is gone."""

    def is_waiting(self, request: Request) -> bool:
        """Whether the client of an open request is still connected, as far as is known now."""

    def call_established(self, request: Request, description: Body) -> None:
        """Answers with the server's description."""

    def call_refused(self, request: Request, retry_after_ms: float) -> None:
        """Answers that the call was refused and never ran.

        The client should wait for `retry_after_ms` before it redials; 0: not stated."""

    def call_failed(self, request: Request) -> None:
        """Answers that the call has failed; an attempt may have run."""

    def call_ended(
        self,
        call: str,
        client: str,
        connection_id: int,
        outcome: Outcome,
        recorded_answer: RecordedAnswer | None = None,
    ) -> None:
        """Notifies the client that an established call has ended.

        `client` is the name of the client that set the call up, as in `Request.client`; "" where it is not
        known. `connection_id` is the connection on which it was set up, which may be closed by now; -1 where
        it is not known. `recorded_answer` is the answer of the call, where it is stored."""
