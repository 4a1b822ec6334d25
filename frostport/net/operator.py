"""The operators' door: one line a connection on an address of its own, answered `OK ...` or `ERR ...`.

It decides nothing: a call names an operation of the agent, whose answer lines it writes; `show-stat`
ends its figures with `END`. Guards against callers that hold a connection without a whole line, send
too much, or come by hundreds: each connection has 2 s and 512 bytes, and 16 may be open at once.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import orjson
from twisted.internet import protocol
from twisted.internet.interfaces import IAddress
from twisted.python.failure import Failure

from frostport.core.clock import Clock
from frostport.core.deadlines import Deadline, Deadlines

log = logging.getLogger("frostport.operator")

MAX_LINE_BYTES = 512  # bytes of one call, its end of line included
LINE_TIMEOUT_MS = 2000.0  # a connection without a whole line by then is closed
MAX_CONNECTIONS = 16  # door connections at once; more are closed as they come
IGNORED_METHODS = ("PUT", "GET", "POST")  # a call may begin with one of these; it changes nothing


class OperatorError(Exception):
    """A call that can't be carried out; the text is the reason that follows `ERR`."""


Operation = Callable[[str], Sequence[str]]  # takes what follows the call's name, returns the answer's lines


def parse_argument(text: str, name: str = "id") -> str:
    """A call's argument: a bare word, or a JSON object with it under `name`."""
    text = text.strip()
    if text.startswith("{"):
        try:
            record = orjson.loads(text)
        except orjson.JSONDecodeError:
            raise OperatorError("not JSON") from None
        value = record.get(name) if isinstance(record, dict) else None
        if not isinstance(value, str | int) or isinstance(value, bool) or value == "":
            raise OperatorError(f"no {name}")
        return str(value)
    if not text or len(text.split()) != 1:
        raise OperatorError(f"no {name}" if not text else f"one {name}, not {len(text.split())}")
    return text


def execute(operations: Mapping[str, Operation], line: bytes) -> list[str]:
    """The lines that answer one call."""
    try:
        text = line.decode("ascii").strip()
    except UnicodeDecodeError:
        return ["ERR not ASCII"]
    words = text.split(None, 1)
    if words and words[0].upper() in IGNORED_METHODS:
        words = words[1].split(None, 1) if len(words) > 1 else []
    if not words:
        return ["ERR no call"]
    name, rest = words[0].lower(), words[1] if len(words) > 1 else ""
    operation = operations.get(name)
    if operation is None:
        return [f"ERR unknown call {name[:40]!r}; calls: {' '.join(sorted(operations))}"]
    try:
        said = list(operation(rest))
    except OperatorError as problem:
        said = [f"ERR {problem}"]
    except Exception:  # a fault in one call costs that call, not the door
        log.exception("operator call %s failed", name)
        said = ["ERR failed"]
    if name not in ("show-stat", "ready"):  # those come ten times a second
        log.info("operator: %s %s: %s", name, rest[:80], said[0] if said else "")
    return said


class OperatorConnection(protocol.Protocol):
    """One caller: one line in, the answer out, closed."""

    transport: Any

    def __init__(self, door: OperatorPort) -> None:
        self.door = door
        self.heard = b""
        self.done = False
        self._timeout: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        self.door.open += 1
        if self.door.open > MAX_CONNECTIONS:
            self._close(["ERR busy"])
            return
        self._timeout = self.door.deadlines.set(self.door.clock.now() + LINE_TIMEOUT_MS, self._on_timeout)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.done:
            return
        self.heard += data
        line, end, _ = self.heard.partition(b"\n")
        if end:
            if len(line) + 1 > MAX_LINE_BYTES:
                self._close(["ERR line too long"])
            else:
                self._close(execute(self.door.operations, line.rstrip(b"\r")))
        elif len(self.heard) >= MAX_LINE_BYTES:
            self._close(["ERR line too long"])

    def _on_timeout(self) -> None:
        self._timeout = None
        if not self.done:
            self.done = True
            self.transport.abortConnection()

    def _close(self, lines: Sequence[str]) -> None:
        self.done = True
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
        self.transport.write("".join(f"{line}\n" for line in lines).encode())
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        self.door.open -= 1
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None


class OperatorPort(protocol.Factory):
    """Makes a connection for each caller; `operations` maps a call's name to what carries it out."""

    noisy = False

    def __init__(self, operations: Mapping[str, Operation], clock: Clock, deadlines: Deadlines) -> None:
        self.operations, self.clock, self.deadlines = operations, clock, deadlines
        self.open = 0

    def buildProtocol(self, addr: IAddress | None) -> OperatorConnection:  # noqa: N802 (Twisted's name)
        return OperatorConnection(self)
