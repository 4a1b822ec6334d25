"""The JSON-lines codec: lines out of a byte stream, messages out of lines, and back."""

from __future__ import annotations

import logging
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure

from frostport.core.clock import Clock
from frostport.core.deadlines import Deadline, Deadlines
from frostport.core.rate_limited_log import RateLimitedLog
from frostport.net import liveness

log = logging.getLogger("frostport.net")

MAX_LINE = 16 * 1024
LINES_A_TURN = 50
TAG = re.compile(r"[0-9a-fA-F]{16}\Z")
TEXTS = ("class", "key", "extras", "tenant", "load", "note")  # fields that are never bare numbers
TAG_INSIDE = re.compile(rb'"tag"\s*:\s*"([0-9a-fA-F]{16})"')
START_INSIDE = re.compile(rb'"verb"\s*:\s*"START"')
FINISH_INSIDE = re.compile(rb'"verb"\s*:\s*"FINISH"')

FULL, OVERLOADED, MOOT = 34, 42, 102  # refused: trying again is harmless
NORMAL, BUSY, BROKEN, FAULT = 16, 17, 41, 47


class BadLineError(ValueError):
    """A line that is no message; `tag` and `verb` are given where they can be read all the same."""

    def __init__(self, problem: str, line: bytes = b"") -> None:
        super().__init__(problem)
        found = TAG_INSIDE.search(line)
        self.tag = found.group(1).decode() if found else None
        self.is_start = START_INSIDE.search(line) is not None


@dataclass(slots=True)
class Message:
    """One message: type, id, fields, and where they belong a cause and a description."""

    verb: str
    tag: str
    opts: dict[str, str] = field(default_factory=dict)
    rc: int | None = None
    blob: str | None = None

    def encode(self) -> bytes:
        record: dict[str, object] = {"verb": self.verb, "tag": self.tag, "opts": self.opts}
        if self.rc is not None:
            record["rc"] = self.rc
        if self.blob is not None:
            record["blob"] = self.blob
        return orjson.dumps(record, option=orjson.OPT_APPEND_NEWLINE)


def decode(line: bytes) -> Message:
    try:
        record = orjson.loads(line)
    except orjson.JSONDecodeError:
        raise BadLineError("not JSON", line) from None
    if not isinstance(record, dict):
        raise BadLineError("not an object", line)
    verb, tag, opts = record.get("verb"), record.get("tag"), record.get("opts")
    rc, blob = record.get("rc"), record.get("blob")
    if not isinstance(verb, str):
        raise BadLineError("verb: not text", line)
    if not isinstance(tag, str) or not TAG.match(tag):
        raise BadLineError("tag: not 16 hex digits", line)
    if opts is None:
        opts = {}
    if not isinstance(opts, dict):
        raise BadLineError("opts: not an object", line)
    for name, value in opts.items():
        if isinstance(value, bool) or not isinstance(value, str | int | float):
            raise BadLineError(f"opts.{name}: neither text nor number", line)
        if name in TEXTS and not isinstance(value, str):
            raise BadLineError(f"opts.{name}: not text", line)
    if rc is not None and (isinstance(rc, bool) or not isinstance(rc, int)):
        raise BadLineError("rc: not a whole number", line)
    if blob is not None and not isinstance(blob, str):
        raise BadLineError("blob: not text", line)
    if verb == "STARTED" and blob is None:
        raise BadLineError("blob: an answer without a description", line)
    if verb == "FINISH" and rc is None:
        raise BadLineError("rc: a release without a cause", line)
    return Message(verb, tag, {name: str(value) for name, value in opts.items()}, rc, blob)


def figures(text: str) -> dict[str, float]:
    """The name:number pairs of `extras` and `load`; a pair that does not parse is left out."""
    found = {}
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        try:
            found[name] = float(value)
        except ValueError:
            continue
    return found


class Lines:
    """Cuts a stream into lines. One that grows past the limit ends the stream: what follows is not kept."""

    def __init__(self, limit: int = MAX_LINE) -> None:
        self._limit = limit
        self._rest = b""
        self.ended = False

    def feed(self, data: bytes) -> list[tuple[bytes, bool]]:
        """The lines that are whole now, each with whether it was too long (then only its head is given)."""
        lines: list[tuple[bytes, bool]] = []
        if self.ended:
            return lines
        *whole, self._rest = (self._rest + data).split(b"\n")
        for line in whole:
            if len(line) >= self._limit:
                self._end(line, lines)
                return lines
            lines.append((line, False))
        if len(self._rest) >= self._limit:
            self._end(self._rest, lines)
        return lines

    def _end(self, line: bytes, lines: list[tuple[bytes, bool]]) -> None:
        """Guards against lines without end: nothing after the first that is too long can be trusted."""
        self.ended, self._rest = True, b""
        lines.append((line[: self._limit], True))

    @property
    def partial(self) -> bool:
        """Whether a line has begun and not ended."""
        return bool(self._rest)


class LineConnection(protocol.Protocol):
    """One connection that carries lines; what fails on one line costs that line only."""

    peer = "?"
    transport: Any = None
    complaints = RateLimitedLog(log)
    read_ahead = 0  # bytes of lines that may wait while more is read

    def __init__(self, clock: Clock, deadlines: Deadlines, longest: int = MAX_LINE) -> None:
        self.clock, self.deadlines = clock, deadlines
        self.lines = Lines(longest)
        self.alive = False
        self.gone = False  # the other side has closed; what was read before is still handled
        self.ending = False  # we close it once what is owed on it is said; nothing more is heard on it
        self.released: Callable[[], None] = lambda: None  # its descriptor is free again
        self.stuck = False  # what is written waits for the other side to read: its lines are not handled
        self.turns = 0  # how often something was read: lines of one turn were written before they were read
        self._waiting: deque[tuple[bytes, bool]] = deque()
        self._ahead = 0  # bytes of the lines that wait
        self._again: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        self.alive = True
        if interfaces.ITCPTransport.providedBy(self.transport):
            self.transport.setTcpNoDelay(True)
        self.opened()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.alive and not self.ending:
            self.turns += 1
            lines = self.ahead(self.lines.feed(data))
            self._waiting.extend(lines)
            self._ahead += sum(len(line) for line, _ in lines)
            if self._again is None:
                self._work()
            else:
                self._hold_back()
            if self.alive and not self.ending:
                self.read()

    def _work(self, most: int = LINES_A_TURN) -> None:
        """Handles lines up to a number; then the others' turn comes, and no more is read ahead than is
        allowed.

        Guards against a peer that writes at full speed: it would keep the agent from everyone else."""
        while self._waiting and most and self._handles():
            most -= 1
            line, oversize = self._waiting.popleft()
            self._ahead -= len(line)
            self._one(line, oversize)
        self.go_on()
        self._hold_back()

    def _handles(self) -> bool:
        return self.alive and not self.ending and (self.gone or not self.stuck)

    def go_on(self) -> None:
        """Lines that wait are handled in their turn, if nothing stands against it."""
        if self._waiting and self._handles() and self._again is None:
            self._again = self.deadlines.set(self.clock.now(), self._more)

    def _hold_back(self) -> None:
        if self._waiting and self.alive and self._ahead >= self.read_ahead:
            self.transport.pauseProducing()

    def _more(self) -> None:
        self._again = None
        self._work()
        if self.alive:
            self.read_on()
            self.read()

    def read_on(self) -> None:
        """Reads again, unless something still stands against it."""
        if not self._waiting or self._ahead < self.read_ahead:
            self.transport.resumeProducing()

    def _one(self, line: bytes, oversize: bool) -> None:
        try:
            if oversize:
                raise BadLineError(f"over {len(line)} bytes", line)
            if line.strip():
                self.line(line)
        except BadLineError as problem:
            self.complaints.warn(self.clock.now(), self.peer, f"malformed: {problem}")
            self.malformed(problem)
        except Exception:  # a fault in one line costs that line, not the agent
            log.exception("%s: line failed", self.peer)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        if self._again is not None:
            self._again.cancel()
        self.gone = True
        self._work(len(self._waiting))  # a release that was read before the connection closed still counts
        self.alive = False
        self._waiting.clear()
        self.released()
        self.closed()

    def say(self, message: Message) -> bool:
        return self.write(message.encode())

    def write(self, data: bytes) -> bool:
        if not self.alive:
            return False
        self.transport.write(data)
        return True

    def drop(self) -> None:
        """Closes at once; nothing more is heard on it, also of what was read already."""
        if self.alive:
            self.alive = False
            self.transport.abortConnection()

    def left(self) -> bool:
        """Whether the other side has closed, as far as can be told now: also where nothing is read."""
        return self.gone or not self.alive or liveness.closed(self.transport)

    def ahead(self, lines: list[tuple[bytes, bool]]) -> list[tuple[bytes, bool]]:
        """Lines that were just read, before any of them is handled; those that are to be handled in turn."""
        return lines

    def opened(self) -> None:
        """The connection is up."""

    def closed(self) -> None:
        """The connection is gone."""

    def read(self) -> None:
        """Something was read, and all its lines are handled."""

    def line(self, line: bytes) -> None:
        raise NotImplementedError

    def malformed(self, problem: BadLineError) -> None:
        """A line that could not be read."""
