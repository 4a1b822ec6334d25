"""The operators' port: one command line per connection, answered by `OK ...` or `ERR ...`.

A command is the name of an operation, with an argument for some; `show-stat` ends its metrics with `END`.
Guards against callers that send no complete line, send too much, or connect by hundreds: a connection has
`LINE_TIMEOUT_MS` and `MAX_LINE_BYTES`, and only `MAX_CONNECTIONS` may be open at once.
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

MAX_LINE_BYTES = 512  # of one command, line feed included
LINE_TIMEOUT_MS = 2000.0  # from connect to a complete line
MAX_CONNECTIONS = 16  # more are answered `ERR busy` and closed
IGNORED_METHODS = ("PUT", "GET", "POST")  # a command may start with one of these HTTP methods; it is ignored


class OperatorError(Exception):
    """A command that can't be carried out; the text is the reason that follows `ERR`."""


# Takes what follows the name of the command, and returns the lines of the answer.
Operation = Callable[[str], Sequence[str]]


def parse_argument(text: str, name: str = "id") -> str:
    """A command's only argument: a bare word, or a JSON object with it under `name`.

    Raises OperatorError."""
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
    """Executes one command line; returns the lines of the answer."""
    try:
        text = line.decode("ascii").strip()
    except UnicodeDecodeError:
        return ["ERR not ASCII"]
    words = text.split(None, 1)
    if words and words[0].upper() in IGNORED_METHODS:
        words = words[1].split(None, 1) if len(words) > 1 else []
    if not words:
        return ["ERR no call"]
    name = words[0].lower()
    rest = words[1] if len(words) > 1 else ""
    operation = operations.get(name)
    if operation is None:
        return [f"ERR unknown call {name[:40]!r}; calls: {' '.join(sorted(operations))}"]
    try:
        lines = list(operation(rest))
    except OperatorError as problem:
        lines = [f"ERR {problem}"]
    except Exception:  # a failed operation must not close the port
        log.exception("operator command %s failed", name)
        lines = ["ERR failed"]
    if name not in ("show-stat", "ready"):  # pollers send these ten times a second
        log.info("operator: %s %s: %s", name, rest[:80], lines[0] if lines else "")
    return lines


class OperatorConnection(protocol.Protocol):
    """One connection: reads one line, writes the answer, closes."""

    transport: Any

    def __init__(self, port: OperatorPort) -> None:
        self.port = port
        self.received = b""
        self.done = False
        self._timeout: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        self.port.open_count += 1
        if self.port.open_count > MAX_CONNECTIONS:
            self._close(["ERR busy"])
            return
        self._timeout = self.port.deadlines.set(self.port.clock.now() + LINE_TIMEOUT_MS, self._on_timeout)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.done:
            return
        self.received += data
        line, end, _ = self.received.partition(b"\n")
        if end:
            if len(line) + 1 > MAX_LINE_BYTES:
                self._close(["ERR line too long"])
            else:
                self._close(execute(self.port.operations, line.rstrip(b"\r")))
        elif len(self.received) >= MAX_LINE_BYTES:
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
        self.port.open_count -= 1
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None


class OperatorPort(protocol.Factory):
    """Accepts connections; `operations` maps the name of each command to the function that executes it."""

    noisy = False

    def __init__(self, operations: Mapping[str, Operation], clock: Clock, deadlines: Deadlines) -> None:
        self.operations = operations
        self.clock = clock
        self.deadlines = deadlines
        self.open_count = 0

    def buildProtocol(self, addr: IAddress | None) -> OperatorConnection:  # noqa: N802 (Twisted's name)
        return OperatorConnection(self)
