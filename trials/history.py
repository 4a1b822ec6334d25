"""The history of a trial: what each party did and saw, on one monotonic clock."""

from __future__ import annotations

import pathlib
import time
from collections.abc import Iterable, Iterator
from enum import StrEnum

import msgspec


class Kind(StrEnum):
    """What an event says."""

    # Clients
    ASKED = "asked"  # the last byte of a set-up was written
    ANSWERED = "answered"  # an answer came; `text` is its description
    REFUSED = "refused"
    FAILED = "failed"
    GAVE_UP = "gave up"  # the client cancelled its set-up
    RELEASED = "released"  # the client ended a call that stood
    TOLD_OVER = "told over"  # the end of a call that stood has come
    CLIENT_CLOSED = "client closed"  # the client broke a connection; one event for each set-up open on it
    CONNECTION_LOST = "connection lost"  # the agent broke it; one event for each set-up open on it
    NOT_SENT = "not sent"  # no connection was to be had
    # Servers
    REACHED = "reached"  # a set-up arrived whole
    REPLIED = "replied"  # an attempt's end or answer was written; `text` says which
    WITHDRAWN = "withdrawn"  # a give-up or a release by the agent arrived
    CONNECTION_ENDED = "connection ended"  # an attempt's connection broke
    ENDED = "ended"  # a call that stood came to its end at the server
    END_WRITTEN = "end written"  # its release was written to an open connection
    END_LOST = "end lost"  # the connection that it was written to broke before it was confirmed
    CUT = "cut"  # a call that stood was lost with its server
    LEFT = "left"  # a call that still stands at the server when the trial ends
    UNREACHABLE = "unreachable"  # from now on a server reads, writes and accepts nothing
    REACHABLE = "reachable"
    # Discovery
    LISTED = "listed"  # discovery has a change of a server's state; `text` is the state
    DELIVERED = "delivered"  # it was written to an agent
    DISCOVERY_DOWN = "discovery down"
    DISCOVERY_UP = "discovery up"
    DISCOVERY_STALLED = "discovery stalled"  # what is open falls silent
    # Agents
    STARTED = "started"
    READY = "ready"
    TERMINATED = "terminated"  # SIGTERM was sent
    KILLED = "killed"  # SIGKILL was sent
    EXITED = "exited"  # `number` is the exit status
    PAUSED = "paused"  # SIGSTOP
    RESUMED = "resumed"  # SIGCONT
    DRAINING = "draining"  # an operator's drain
    RESUMING = "resuming"  # and its end
    RELOADED = "reloaded"  # SIGHUP
    # The trial
    FAULT = "fault"  # `text` names it
    FINISHED = "finished"


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event; `at` is in seconds from the start of the trial."""

    at: float
    kind: Kind
    party: str
    call: str = ""
    server: str = ""
    number: float = 0.0
    text: str = ""


class History:
    """Collects the events of one trial in the order in which they were noticed."""

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
        """Writes one JSON object a line."""
        encode = msgspec.json.Encoder().encode
        path.write_bytes(b"".join(encode(event) + b"\n" for event in self.events))


def load(path: pathlib.Path) -> list[Event]:
    """Reads what `History.save` wrote. Raises msgspec.ValidationError on any other form."""
    return list(_decode(path.read_bytes().splitlines()))


def _decode(lines: Iterable[bytes]) -> Iterator[Event]:
    decoder = msgspec.json.Decoder(Event)
    for line in lines:
        yield decoder.decode(line)
