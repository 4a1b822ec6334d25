"""The JSON-lines codec: lines out of a byte stream, messages out of lines, and back."""

from __future__ import annotations

import logging
import re
from dataclasses import dataclass, field
from typing import Any

import orjson
from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure

log = logging.getLogger("frostport.net")

MAX_LINE = 16 * 1024
TAG = re.compile(r"[0-9a-fA-F]{16}\Z")
TAG_INSIDE = re.compile(rb'"tag"\s*:\s*"([0-9a-fA-F]{16})"')
START_INSIDE = re.compile(rb'"verb"\s*:\s*"START"')

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
    if rc is not None and (isinstance(rc, bool) or not isinstance(rc, int)):
        raise BadLineError("rc: not a whole number", line)
    if blob is not None and not isinstance(blob, str):
        raise BadLineError("blob: not text", line)
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
    """Cuts a stream into lines. A line that grows past the limit is dropped, and said once."""

    def __init__(self, limit: int = MAX_LINE) -> None:
        self._limit = limit
        self._parts = bytearray()
        self._skipping = False

    def feed(self, data: bytes) -> list[tuple[bytes, bool]]:
        """The lines that are whole now, each with whether it was too long (then only its head is given)."""
        lines: list[tuple[bytes, bool]] = []
        start = 0
        while (end := data.find(b"\n", start)) >= 0:
            self._take(data[start:end], lines)
            if not self._skipping:
                lines.append((bytes(self._parts), False))
            self._parts.clear()
            self._skipping = False
            start = end + 1
        self._take(data[start:], lines)
        return lines

    def _take(self, piece: bytes, lines: list[tuple[bytes, bool]]) -> None:
        if self._skipping:
            return
        self._parts += piece
        if len(self._parts) >= self._limit:
            lines.append((bytes(self._parts[:self._limit]), True))
            self._parts.clear()
            self._skipping = True


class LineConnection(protocol.Protocol):
    """One connection that carries lines; what fails on one line costs that line only."""

    peer = "?"
    transport: Any = None

    def __init__(self) -> None:
        self._lines = Lines()
        self.alive = False

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        self.alive = True
        if interfaces.ITCPTransport.providedBy(self.transport):
            self.transport.setTcpNoDelay(True)
        self.opened()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        for line, oversize in self._lines.feed(data):
            if not self.alive:
                return
            try:
                if oversize:
                    raise BadLineError(f"over {MAX_LINE} bytes", line)
                if line.strip():
                    self.line(line)
            except BadLineError as problem:
                log.warning("%s: line dropped: %s", self.peer, problem)
                self.malformed(problem)
            except Exception:  # a fault in one line costs that line, not the agent
                log.exception("%s: line failed", self.peer)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        self.alive = False
        self.closed()

    def say(self, message: Message) -> bool:
        return self.write(message.encode())

    def write(self, data: bytes) -> bool:
        if not self.alive:
            return False
        self.transport.write(data)
        return True

    def drop(self) -> None:
        """Closes at once."""
        if self.alive:
            self.transport.abortConnection()

    def opened(self) -> None:
        """The connection is up."""

    def closed(self) -> None:
        """The connection is gone."""

    def line(self, line: bytes) -> None:
        raise NotImplementedError

    def malformed(self, problem: BadLineError) -> None:
        """A line that could not be read."""
