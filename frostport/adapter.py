"""The simulator's adapter: text lines on standard input and output, one Controller per simulated proxy.

It translates between wire lines and the records of interface.py, and decides nothing. On malformed input it
ends with status 2 and one line on standard error that names the input line and the field.
"""

from __future__ import annotations

import base64
import binascii
import io
import math
import sys
from collections.abc import Callable, Iterator
from typing import TextIO, TypeVar

from frostport import interface as api
from frostport import settings
from frostport.decide import Controller
from frostport.settings import ABSENT

T = TypeVar("T")

# Bits of the field `marks`
MARK_REDIAL = 2
MARK_TRANSIT = 8
MARK_CUT = 16
NOTE_RANGE = 16  # the field `note` is the stated wait in milliseconds times this, plus the note

LIST_KINDS = {
    "Partial": api.ListKind.CHANGES,
    "Complete": api.ListKind.COMPLETE,
    "Persisted": api.ListKind.PERSISTED,
    "Error": api.ListKind.ERROR,
}
LIFECYCLES = {state.value: state for state in api.Lifecycle}
OUTCOMES = {
    "OK": api.Outcome.OK,
    "INTERNAL": api.Outcome.ERROR,
    "RESOURCE_EXHAUSTED": api.Outcome.FULL,
    "DEADLINE_EXCEEDED": api.Outcome.TIMEOUT,
    "UNAVAILABLE": api.Outcome.CONNECT_FAILED,
    "ABORTED": api.Outcome.RESET,
    "CANCELLED": api.Outcome.CANCELLED,
    "TOO_LATE": api.Outcome.NOT_SENT,
}


class WireError(Exception):
    """Malformed wire text; the message names the line and the field."""


class Fields:
    """The values of one line, separated by spaces and read in order; field names serve the error messages."""

    def __init__(self, text: str, line: int) -> None:
        parts = text.split(" ")
        self.line = line  # number of the input line, from 1
        self.name = parts[0]  # kind of message
        self._rest = parts[1:]
        self._next = 0

    def error(self, field: str, problem: str) -> WireError:
        """The error to raise for a field; the caller raises it."""
        return WireError(f"line {self.line}: {self.name}: field {field}: {problem}")

    def text(self, field: str) -> str:
        """The next value; raises WireError if there is none or it is empty."""
        if self._next >= len(self._rest) or not self._rest[self._next]:
            raise self.error(field, "missing")
        self._next += 1
        return self._rest[self._next - 1]

    def rest(self) -> list[str]:
        """All values that are left."""
        values = self._rest[self._next :]
        self._next = len(self._rest)
        return values

    def finish(self) -> None:
        """Raises WireError if values are left."""
        if self._next < len(self._rest):
            raise self.error(str(self._next + 1), "unexpected value")

    def number(self, field: str, default: float | None = None) -> float:
        """A finite number; an absent value (`-`) gives the default, if there is one."""
        text = self.text(field)
        if text == ABSENT and default is not None:
            return default
        return self.as_number(field, text)

    def as_number(self, field: str, text: str) -> float:
        """The text as a finite number; raises WireError if it is none."""
        try:
            value = float(text)
        except ValueError:
            raise self.error(field, f"not a number: {text!r}") from None
        if not math.isfinite(value):
            raise self.error(field, f"not a finite number: {text!r}")
        return value

    def integer(self, field: str, default: int | None = None) -> int:
        """A whole number, which may be written with a point; absent values as in `number`."""
        value = self.number(field, default)
        if value != int(value):
            raise self.error(field, f"not a whole number: {value:g}")
        return int(value)

    def flag(self, field: str) -> bool:
        """`1` for true, `0` for false."""
        text = self.text(field)
        if text not in ("0", "1"):
            raise self.error(field, f"not 0 or 1: {text!r}")
        return text == "1"

    def row(self, field: str) -> tuple[float, ...]:
        """Finite numbers separated by commas; none if absent."""
        text = self.text(field)
        if text == ABSENT:
            return ()
        return tuple(self.as_number(field, part) for part in text.split(","))

    def word(self, field: str, words: dict[str, T]) -> T:
        """The value's entry in a table; raises WireError if it has none."""
        text = self.text(field)
        if text not in words:
            raise self.error(field, f"unknown word: {text!r}")
        return words[text]


def read_settings(fields: Fields) -> api.Settings:
    """The settings of a `launch` line, as path=value pairs."""
    pairs: dict[str, str] = {}
    for pair in fields.rest():
        path, equals, value = pair.partition("=")
        if not equals:
            raise fields.error("conf", f"not path=value: {pair!r}")
        pairs[path] = value
    return settings.read(settings.SettingsReader(pairs, fields.error))


def read_server(fields: Fields) -> api.Server:
    """One `item` line of a `page` of servers."""
    zone = fields.text("rack-zone")
    number = fields.integer("number")
    state = fields.word("lifecycle", LIFECYCLES)
    address = fields.text("server")
    started_ms = fields.number("start-time-ms", 0.0)
    nominal = fields.number("nominal", 1.0)
    kind = fields.text("generation-hw")
    fields.finish()
    return api.Server(address, number, state, zone, started_ms, nominal, kind)


def read_arrival(fields: Fields) -> api.CallArrived:
    """An `ingress` line; fields that no decision uses are checked and dropped."""
    call = fields.text("id")
    call_class = fields.text("band")
    tenant = fields.text("project")
    number_called = fields.integer("name-key", 0)
    budget_ms = fields.number("budget-ms")
    fields.number("weight-hint-ms", 0.0)
    first_choice = fields.integer("called-node", -1)
    fields.number("circuits", 0.0)
    fields.number("through", -1.0)
    marks = fields.integer("marks", 0)
    return api.CallArrived(
        call,
        call_class,
        tenant,
        budget_ms,
        first_choice,
        number_called,
        redial=bool(marks & MARK_REDIAL),
        in_transit=bool(marks & MARK_TRANSIT),
        cut_before=bool(marks & MARK_CUT),
    )


def read_answered(fields: Fields) -> api.CallEstablished:
    """A `headers` line."""
    return api.CallEstablished(
        fields.text("id"), fields.integer("shot"), fields.text("server"), fields.number("time-taken-ms")
    )


def read_ended(fields: Fields) -> api.AttemptEnded:
    """A `finished` line."""
    call = fields.text("id")
    attempt = fields.integer("shot")
    server = fields.text("server")
    outcome = fields.word("outcome", OUTCOMES)
    elapsed_ms = fields.number("time-taken-ms")
    closed = fields.flag("no-more")
    note = fields.integer("note", 0)
    return api.AttemptEnded(
        call,
        attempt,
        server,
        outcome,
        elapsed_ms,
        closed,
        note % NOTE_RANGE,
        float(note // NOTE_RANGE),
        fields.row("pressure"),
    )


def read_report(fields: Fields) -> api.ServerReport:
    """A `status_back` line."""
    elapsed_ms = fields.number("time-taken-ms")
    server = fields.text("server")
    return api.ServerReport(server, fields.word("outcome", OUTCOMES), elapsed_ms, fields.row("pressure"))


def read_peer(fields: Fields) -> api.PeerMessage:
    """A `message` line, with its bytes in base64."""
    author = fields.integer("author")
    raw = fields.text("raw")
    try:
        data = b"" if raw == ABSENT else base64.b64decode(raw, validate=True)
    except (binascii.Error, ValueError):
        raise fields.error("raw", "not base64") from None
    return api.PeerMessage(author, data)


EVENT_READERS: dict[str, Callable[[Fields], api.Event]] = {
    "ingress": read_arrival,
    "headers": read_answered,
    "finished": read_ended,
    "gone": lambda fields: api.CallGone(fields.text("id")),
    "bell": lambda fields: api.TimerFired(fields.text("mark")),
    "status_back": read_report,
    "message": read_peer,
}


def write_action(instance: int, action: api.Action) -> str:
    """The wire line for an action, without its line break."""
    match action:
        case api.SendAttempt(call, server, within_ms):
            return f"try {instance} {call} {server} {within_ms:.3f}"
        case api.CancelAttempt(call, attempt):
            return f"revoke {instance} {call} {attempt}"
        case api.RefuseCall(call, retry_after_ms):
            return f"say_no {instance} {call} {retry_after_ms:.3f}"
        case api.FailCall(call):
            return f"report_failure {instance} {call}"
        case api.SetTimer(name, after_ms):
            return f"timer {instance} {name} {after_ms:.3f}"
        case api.Probe(server):
            return f"check {instance} {server}"
        case api.SendToPeer(peer, data):
            return f"tell {instance} {peer} {base64.b64encode(data).decode() or ABSENT}"
        case api.Subscribe():
            return f"stream_changes {instance} 1"
        case api.WriteLog(text):
            return f"write_log {instance} {one_line(text)}"


def one_line(text: str) -> str:
    """The text on one line, each run of white space as one space; the absent value if it has no words."""
    return " ".join(text.split()) or ABSENT


class Host:
    """The simulated proxies (instances) of one process; events come in batches, each with its time."""

    def __init__(self, source: Iterator[str]) -> None:
        self._source = enumerate(source, start=1)
        self._controllers: dict[int, Controller] = {}
        self._server_lists: dict[int, tuple[api.Server, ...]] = {}
        self._now_ms = 0.0

    def _line(self, inside: str) -> Fields | None:
        """The next line, or None at the end of input.

        `inside` names the batch or page that the line belongs to, where the end of input raises WireError.
        """
        for number, raw in self._source:
            return Fields(raw.rstrip("\r\n"), number)
        if inside:
            raise WireError(f"end of input: {inside}: field end: the input ends inside a batch")
        return None

    def batch(self) -> list[str] | None:
        """Handles one batch (`mark` to `end`) and returns the reply's lines, or None at the end of input."""
        opening = self._line("")
        while opening is not None and not opening.name:
            opening = self._line("")
        if opening is None:
            return None
        if opening.name != "mark":
            raise opening.error("mark", f"a batch must begin with mark, got {opening.name!r}")
        self._now_ms = opening.number("clock")
        opening.finish()
        reply: list[str] = []
        while True:
            fields = self._line("mark")
            assert fields is not None
            if fields.name == "end":
                fields.finish()
                return [*reply, "yield"]
            self._event(fields, reply)

    def _event(self, fields: Fields, reply: list[str]) -> None:
        if fields.name == "page":
            self._read_page(fields)
            return
        if fields.name not in EVENT_READERS and fields.name not in ("launch", "teardown", "membership"):
            raise fields.error("name", "unknown message")
        instance = fields.integer("proxy")
        if fields.name == "teardown":
            fields.finish()
            self._controllers.pop(instance, None)
            return
        if fields.name == "launch":
            seed = fields.integer("entropy")
            given = read_settings(fields)
            self._run(instance, reply, lambda: self._start(instance, given, seed))
            return
        event = self._read_list(fields) if fields.name == "membership" else EVENT_READERS[fields.name](fields)
        fields.finish()
        controller = self._controllers.get(instance)
        if controller is None:
            raise fields.error("proxy", f"instance {instance} was not launched")
        self._run(instance, reply, lambda: controller.handle(event, self._now_ms))

    def _start(self, instance: int, given: api.Settings, seed: int) -> list[api.Action]:
        self._controllers[instance] = Controller(given, seed)
        return []

    @staticmethod
    def _run(instance: int, reply: list[str], step: Callable[[], list[api.Action]]) -> None:
        try:
            actions = step()
        except Exception as problem:  # the wire reports a fault of the module as an action
            reply.append(f"internal_error {instance} {one_line(f'{type(problem).__name__}: {problem}')}")
            return
        reply.extend(write_action(instance, action) for action in actions)

    def _read_page(self, fields: Fields) -> None:
        """Keeps a numbered list of servers, to which `membership` lines refer."""
        sheet = fields.integer("sheet")
        count = fields.integer("entries")
        fields.finish()
        if count < 0:
            raise fields.error("entries", f"must not be negative, got {count}")
        servers = []
        for index in range(count):
            item = self._line("page")
            assert item is not None
            if item.name != "item":
                raise item.error("entries", f"{count} items announced, {index} found")
            servers.append(read_server(item))
        self._server_lists[sheet] = tuple(servers)

    def _read_list(self, fields: Fields) -> api.ListUpdate:
        kind = fields.word("mode", LIST_KINDS)
        version = fields.integer("stamp", 0)
        sheet = fields.integer("sheet", -1)
        if kind is api.ListKind.ERROR:
            return api.ListUpdate(kind, version)
        if sheet not in self._server_lists:
            raise fields.error("sheet", f"no page numbered {sheet}")
        return api.ListUpdate(kind, version, self._server_lists[sheet])


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answers batches until the input ends. Returns the exit status: 0, or 2 for malformed input."""
    host = Host(iter(source))
    try:
        while (reply := host.batch()) is not None:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    except WireError as problem:
        print(f"frostport: {problem}", file=errors)
        return 2
    except UnicodeDecodeError:
        print("frostport: input: field text: not UTF-8", file=errors)
        return 2
    return 0


def main() -> int:
    """Runs the adapter on standard input and output, and returns its exit status."""
    if isinstance(sys.stdin, io.TextIOWrapper):
        sys.stdin.reconfigure(encoding="utf-8", errors="strict", newline="\n")
    return serve(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
