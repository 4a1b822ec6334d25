"""The history of a trial: what each party did and saw, timed by one monotonic clock."""

from __future__ import annotations

import pathlib
import time
from collections.abc import Iterable, Iterator
from enum import StrEnum

import msgspec


class Kind(StrEnum):
    """Kind of an event. The values are written to the history file."""

    # Clients
    ASKED = "asked"  # the last byte of a set-up was written
    ANSWERED = "answered"  # an answer arrived; `text` is its description
    REFUSED = "refused"
    FAILED = "failed"
    GAVE_UP = "gave up"  # the client cancelled its set-up
    RELEASED = "released"  # the client ended an established call
    TOLD_OVER = "told over"  # the client was notified that an established call has ended
    CLIENT_CLOSED = "client closed"  # the client closed its connection; one event for each unanswered set-up
    CONNECTION_LOST = "connection lost"  # the agent closed it; one event for each unanswered set-up
    NOT_SENT = "not sent"  # no connection was available
    # Servers
    REACHED = "reached"  # a complete set-up arrived
    REPLIED = "replied"  # an answer (`text`: description) or a refusal (`text`: cause) was written
    WITHDRAWN = "withdrawn"  # a give-up or a release from the agent arrived
    CONNECTION_ENDED = "connection ended"  # an attempt's connection broke
    ENDED = "ended"  # the server ended an established call
    END_WRITTEN = "end written"  # its release was written to an open connection
    END_LOST = "end lost"  # the connection that carried the release broke before the confirmation
    CUT = "cut"  # an established call was lost with its server
    LEFT = "left"  # a call that is still established at the server when the trial ends
    UNREACHABLE = "unreachable"  # from now on the server reads, writes and accepts nothing
    REACHABLE = "reachable"
    # Discovery
    LISTED = "listed"  # discovery published a server's new state (`text`)
    DELIVERED = "delivered"  # a published state was written to an agent
    DISCOVERY_DOWN = "discovery down"
    DISCOVERY_UP = "discovery up"
    DISCOVERY_STALLED = "discovery stalled"  # open connections carry nothing more
    # Agents
    STARTED = "started"
    READY = "ready"
    TERMINATED = "terminated"  # SIGTERM was sent
    KILLED = "killed"  # SIGKILL was sent
    EXITED = "exited"  # `number` is the exit status
    PAUSED = "paused"  # SIGSTOP
    RESUMED = "resumed"  # SIGCONT
    DRAINING = "draining"  # an operator drained the agent
    RESUMING = "resuming"  # an operator ended the drain
    RELOADED = "reloaded"  # SIGHUP
    # The trial
    FAULT = "fault"  # `text` names it
    FINISHED = "finished"


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event; `at` is in seconds from the start of the trial, `party` the name of who did or saw it."""

    at: float
    kind: Kind
    party: str
    call: str = ""
    server: str = ""
    number: float = 0.0
    text: str = ""


class History:
    """Collects the events of one trial in the order in which they are recorded."""

    def __init__(self) -> None:
        self._began = time.monotonic()
        self.events: list[Event] = []

    def now(self) -> float:
        """Seconds since the trial began."""
        return time.monotonic() - self._began

    def add(
        self, kind: Kind, party: str, *, call: str = "", server: str = "", number: float = 0.0, text: str = ""
    ) -> None:
        """Records an event that happens now."""
        self.events.append(Event(self.now(), kind, party, call, server, number, text))

    def save(self, path: pathlib.Path) -> None:
        """Writes the events to a file, one JSON object a line."""
        encode = msgspec.json.Encoder().encode
        path.write_bytes(b"".join(encode(event) + b"\n" for event in self.events))


def load(path: pathlib.Path) -> list[Event]:
    """Reads a file that `History.save` wrote. Raises msgspec.ValidationError if a line has another form."""
    return list(_decode_events(path.read_bytes().splitlines()))


def _decode_events(lines: Iterable[bytes]) -> Iterator[Event]:
    decoder = msgspec.json.Decoder(Event)
    for line in lines:
        yield decoder.decode(line)
