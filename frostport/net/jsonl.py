"""The platform's JSON lines: the codec, and the base class of all connections that carry lines.

A message is one JSON object per line with `verb`, `tag` (the call's id), `opts` and, for some verbs, `rc` (a
cause code) and `blob` (a session description).
"""

from __future__ import annotations

import logging
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import orjson
from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure

from frostport.core.clock import Clock
from frostport.core.deadlines import Deadline, Deadlines
from frostport.core.rate_limited_log import RateLimitedLog
from frostport.net import peer_close

log = logging.getLogger("frostport.net")

MAX_LINE_BYTES = 16 * 1024
LINES_PER_ITERATION = 10  # handled on one connection per event-loop iteration
MAX_OPTIONS = 64  # fields in `opts`
MAX_QUOTES = 4 * (MAX_OPTIONS + 8)  # unescaped ones in a line: two for each name, two for each string
MIN_MESSAGE_BYTES = len('{"verb":"","tag":"0123456789abcdef"}')
MAX_BLANK_LINES = 100  # in a row
LINE_OVERHEAD_BYTES = 256  # the objects that a waiting line needs besides its bytes
TAG_PATTERN = re.compile(r"[0-9a-fA-F]{16}\Z")
TEXT_OPTIONS = ("class", "key", "extras", "tenant", "load", "note")  # `opts` that must be JSON strings
# Find the id and the kind of a line before it is parsed, or although it can't be.
TAG_FIELD = re.compile(rb'"tag"\s*:\s*"([0-9a-fA-F]{16})"')
START_VERB = re.compile(rb'"verb"\s*:\s*"START"')
FINISH_VERB = re.compile(rb'"verb"\s*:\s*"FINISH"')

# Cause codes (`rc`) that refuse a set-up that never ran, so trying again is harmless.
FULL = 34
OVERLOADED = 42
MOOT = 102
# Other cause codes.
NORMAL = 16
BUSY = 17
BROKEN = 41
FAULT = 47


class BadLineError(ValueError):
    """A line that is not a valid message.

    `tag` is the call's id, None if it can't be read; `is_start`: whether the line is a set-up."""

    def __init__(self, problem: str, line: bytes = b"") -> None:
        super().__init__(problem)
        found = TAG_FIELD.search(line)
        self.tag = found.group(1).decode() if found else None
        self.is_start = START_VERB.search(line) is not None


@dataclass(slots=True)
class Message:
    """One message. `rc` and `blob` are None where the verb has no cause or no description."""

    verb: str
    tag: str
    opts: dict[str, str] = field(default_factory=dict)
    rc: int | None = None
    blob: str | None = None

    def encode(self) -> bytes:
        """The message as a line, with its line feed."""
        record: dict[str, object] = {"verb": self.verb, "tag": self.tag, "opts": self.opts}
        if self.rc is not None:
            record["rc"] = self.rc
        if self.blob is not None:
            record["blob"] = self.blob
        return orjson.dumps(record, option=orjson.OPT_APPEND_NEWLINE)


def decode(line: bytes) -> Message:
    """Parses one line; numbers in `opts` become strings. Raises BadLineError."""
    if line.count(b'"') > MAX_QUOTES and line.count(b'"') - line.count(b'\\"') > MAX_QUOTES:
        # Before it is parsed: thousands of short fields would cost the time of a hundred usual messages.
        raise BadLineError(f"over the limit of {MAX_QUOTES} quotation marks", line)
    try:
        record = orjson.loads(line)
    except orjson.JSONDecodeError:
        raise BadLineError(f"not valid JSON ({len(line)} bytes)", line) from None
    if not isinstance(record, dict):
        raise BadLineError(f"expected a JSON object, got {type(record).__name__}", line)
    verb = record.get("verb")
    tag = record.get("tag")
    opts = record.get("opts")
    rc = record.get("rc")
    blob = record.get("blob")
    if not isinstance(verb, str):
        raise BadLineError("verb: missing or not a string", line)
    if not isinstance(tag, str) or not TAG_PATTERN.match(tag):
        raise BadLineError("tag: not 16 hex digits", line)
    if opts is None:
        opts = {}
    if not isinstance(opts, dict):
        raise BadLineError(f"opts: expected an object, got {type(opts).__name__}", line)
    if len(opts) > MAX_OPTIONS:
        raise BadLineError(f"opts: over the limit of {MAX_OPTIONS} fields, got {len(opts)}", line)
    for name, value in opts.items():
        if isinstance(value, bool) or not isinstance(value, str | int | float):
            raise BadLineError(f"opts.{name}: expected a string or number, got {type(value).__name__}", line)
        if name in TEXT_OPTIONS and not isinstance(value, str):
            raise BadLineError(f"opts.{name}: expected a string, got {type(value).__name__}", line)
    if rc is not None and (isinstance(rc, bool) or not isinstance(rc, int)):
        raise BadLineError(f"rc: expected an integer, got {type(rc).__name__}", line)
    if blob is not None and not isinstance(blob, str):
        raise BadLineError(f"blob: expected a string, got {type(blob).__name__}", line)
    if verb == "STARTED" and blob is None:
        raise BadLineError("blob: missing, required with verb STARTED", line)
    if verb == "FINISH" and rc is None:
        raise BadLineError("rc: missing, required with verb FINISH", line)
    return Message(verb, tag, {name: str(value) for name, value in opts.items()}, rc, blob)


def parse_numbers(text: str) -> dict[str, float]:
    """The `name:number;...` pairs of `extras` and `load`; a pair that does not parse is left out."""
    found = {}
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        try:
            found[name] = float(value)
        except ValueError:
            continue
    return found


class ReadLine(NamedTuple):
    """One line as read; `problem` says why it can't be a message, "" if it may be one."""

    data: bytes
    problem: str = ""


class LineSplitter:
    """Splits a byte stream into lines; blank ones are left out.

    A line over `limit` bytes, one below `least_bytes`, or many blank lines in a row end the stream: `ended`
    is set and all later input is discarded, since nothing after them can be trusted."""

    def __init__(self, limit: int = MAX_LINE_BYTES, least_bytes: int = 0) -> None:
        self._limit = limit
        self._least_bytes = least_bytes
        self._partial_line = b""
        self._blank_lines = 0  # in a row, up to now
        self.completed = 0  # lines so far: while it stays, an incomplete line is the same one
        self.ended = False

    def feed(self, data: bytes) -> list[ReadLine]:
        """Returns the lines completed by `data`; one that ends the stream comes last, with its problem."""
        lines: list[ReadLine] = []
        if self.ended:
            return lines
        *complete, self._partial_line = (self._partial_line + data).split(b"\n")
        self.completed += len(complete)
        for line in complete:
            if line and not line.isspace():
                lines.append(self._check(line))
                self._blank_lines = 0
            elif self._count_blank():
                lines.append(ReadLine(b"", f"over the limit of {MAX_BLANK_LINES} blank lines in a row"))
            if self.ended:
                return lines
        if len(self._partial_line) >= self._limit:
            lines.append(self._check(self._partial_line))
        return lines

    def _check(self, line: bytes) -> ReadLine:
        """Ends the stream at a line that is too long or too short."""
        if len(line) >= self._limit:
            self._end()
            return ReadLine(line[: self._limit], f"over the limit of {self._limit} bytes")
        if len(line) < self._least_bytes:
            self._end()
            return ReadLine(line, f"of {len(line)} bytes, too short for a message")
        return ReadLine(line)

    def _count_blank(self) -> bool:
        """Counts a blank line; returns whether it ends the stream."""
        self._blank_lines += 1
        if self._blank_lines > MAX_BLANK_LINES:
            self._end()
        return self.ended

    def _end(self) -> None:
        self.ended = True
        self._partial_line = b""

    @property
    def partial(self) -> bool:
        """Whether an incomplete line is buffered."""
        return bool(self._partial_line)

    def partial_bytes(self) -> int:
        """The length of the incomplete line."""
        return len(self._partial_line)


class LineConnection(protocol.Protocol):
    """Base class of connections that carry lines.

    Subclasses override the `on_...` methods. An exception while a line is handled affects that line only."""

    peer = "?"
    transport: Any = None
    limited_log = RateLimitedLog(log)
    read_ahead_bytes = 0  # reading pauses once this much waits to be handled

    def __init__(
        self,
        clock: Clock,
        deadlines: Deadlines,
        max_line_bytes: int = MAX_LINE_BYTES,
        least_line_bytes: int = 0,
    ) -> None:
        self.clock = clock
        self.deadlines = deadlines
        self.splitter = LineSplitter(max_line_bytes, least_line_bytes)
        self.alive = False
        self.peer_closed = False  # lines read before the close are still handled
        self.closing = False  # closed once pending output is sent; input is ignored
        self.released: Callable[[], None] = lambda: None  # called when its descriptor is free
        self.write_blocked = False  # the peer does not read: its lines are not handled meanwhile
        # Reads so far. The peer wrote all lines of one read before it saw any response to them.
        self.read_count = 0
        self._pending_lines: deque[ReadLine] = deque()
        self._pending_bytes = 0
        self._next_iteration: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        self.alive = True
        if interfaces.ITCPTransport.providedBy(self.transport):
            self.transport.setTcpNoDelay(True)
        self.on_open()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Queues the lines that the data completes, and handles as many as one iteration may."""
        if self.alive and not self.closing:
            self.read_count += 1
            lines = self.on_lines_read(self.splitter.feed(data))
            self._pending_lines.extend(lines)
            self._pending_bytes += sum(len(line.data) for line in lines)
            if self._next_iteration is None:
                self._handle_lines()
            self.on_held_bytes_changed()
            self._limit_read_ahead()
            if self.alive and not self.closing:
                self.on_read()

    def _handle_lines(self) -> None:
        """Handles up to LINES_PER_ITERATION lines, then yields to other connections.

        Guards against a peer that writes at full speed and would starve all others."""
        lines_left = LINES_PER_ITERATION
        while self._pending_lines and lines_left and self._may_handle():
            lines_left -= 1
            self._handle_next_line()
        self.resume_handling()

    def _handle_all_lines(self) -> None:
        """Handles all lines that wait, at the end of the connection."""
        while self._pending_lines and self._may_handle():
            self._handle_next_line()

    def _handle_next_line(self) -> None:
        line = self._pending_lines.popleft()
        self._pending_bytes -= len(line.data)
        self._handle_line(line)

    def held_input_bytes(self) -> int:
        """What is held of the input that is not handled yet, in bytes."""
        overhead = LINE_OVERHEAD_BYTES * len(self._pending_lines)
        return self.splitter.partial_bytes() + self._pending_bytes + overhead

    def _may_handle(self) -> bool:
        return self.alive and not self.closing and (self.peer_closed or not self.write_blocked)

    def resume_handling(self) -> None:
        """Schedules the next iteration if lines wait and may be handled."""
        if self._pending_lines and self._may_handle() and self._next_iteration is None:
            self._next_iteration = self.deadlines.set(self.clock.now(), self._on_next_iteration)

    def _limit_read_ahead(self) -> None:
        if self.alive and not self.may_read_ahead():
            self.transport.pauseProducing()

    def _on_next_iteration(self) -> None:
        self._next_iteration = None
        self._handle_lines()
        self.on_held_bytes_changed()
        if self.alive:
            self.resume_reading()
            self.on_read()

    def may_read_ahead(self) -> bool:
        """Whether more may be read: not while too much waits to be handled."""
        return not self._pending_lines or self._pending_bytes < self.read_ahead_bytes

    def resume_reading(self) -> None:
        """Resumes reading, unless too much still waits to be handled."""
        if self.may_read_ahead():
            self.transport.resumeProducing()

    def _handle_line(self, line: ReadLine) -> None:
        try:
            if line.problem:
                raise BadLineError(line.problem, line.data)
            self.on_line(line.data)
        except BadLineError as problem:
            self.limited_log.warn(self.clock.now(), self.peer, f"malformed line: {problem}")
            self.on_malformed(problem)
        except Exception:  # must not reach the reactor: it would close the connection
            log.exception("%s: exception while handling a line", self.peer)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Handles the lines that were read before the close, then calls `released` and `on_close`."""
        if self._next_iteration is not None:
            self._next_iteration.cancel()
        self.peer_closed = True
        # A release that was read before the connection closed still counts.
        self._handle_all_lines()
        self.alive = False
        self._pending_lines.clear()
        self.released()
        self.on_close()

    def send_message(self, message: Message) -> bool:
        """Writes a message; False if the connection is closed."""
        return self.write(message.encode())

    def write(self, data: bytes) -> bool:
        """Writes bytes; False if the connection is closed."""
        if not self.alive:
            return False
        self.transport.write(data)
        return True

    def drop(self) -> None:
        """Aborts the connection; lines already read are not handled."""
        if self.alive:
            self.alive = False
            self.transport.abortConnection()

    def check_peer_closed(self) -> bool:
        """Whether the peer has closed; asks the system, as the reactor reports no close while paused."""
        return self.peer_closed or not self.alive or peer_close.closed_by_peer(self.transport)

    def on_lines_read(self, lines: list[ReadLine]) -> list[ReadLine]:
        """Called with lines just read, before any is handled; returns those to be queued."""
        return lines

    def on_held_bytes_changed(self) -> None:
        """Called after data was read or lines were handled; the connection may be closed in it."""

    def on_open(self) -> None:
        """Called when the connection is established."""

    def on_close(self) -> None:
        """Called when the connection is closed, after its last lines were handled."""

    def on_read(self) -> None:
        """Called after data was read and up to LINES_PER_ITERATION lines were handled."""

    def on_line(self, line: bytes) -> None:
        """Handles one non-empty line. Raises BadLineError if it is malformed."""
        raise NotImplementedError

    def on_malformed(self, problem: BadLineError) -> None:
        """Called after a malformed line."""
