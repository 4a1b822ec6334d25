"""The lobby servers' side of the platform's wire: one connection a server, set-ups, releases, reports."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from twisted.internet import defer
from twisted.internet.error import ConnectionRefusedError
from twisted.python.failure import Failure

from frostport.core.broker import Attempt, Broker, Front, State
from frostport.core.deadlines import Deadline
from frostport.core.slots import Slots
from frostport.interface import (
    NOTE_NO_LINE,
    NOTE_NUMBER_BUSY,
    NOTE_PROCESSOR_FULL,
    NOTE_RETURNED,
    Outcome,
)
from frostport.net import jsonl
from frostport.net.jsonl import BadLineError, LineConnection, Message

log = logging.getLogger("frostport.lobby")

CUT_MS = 100.0  # from a refused connection to the release of what stood there
REDIAL_MS = 500.0  # pause after a connect that failed; the first try after a loss goes out at once

NOTES = {"blocked": NOTE_NO_LINE, "bounced": NOTE_RETURNED, "swamped": NOTE_PROCESSOR_FULL,
         "occupied": NOTE_NUMBER_BUSY, "far_swamped": NOTE_RETURNED}
BEFORE = {jsonl.FULL: Outcome.FULL, jsonl.BUSY: Outcome.ERROR, jsonl.FAULT: Outcome.ERROR,
          jsonl.MOOT: Outcome.NOT_SENT, jsonl.BROKEN: Outcome.RESET}
# The names of the settings' report columns beside those that a report carries.
COLUMNS = {"free": "x0", "size": "x1", "can_take": "qps", "depth": "queue", "load_share": "util",
           "mean_ms": "latency_ms", "hold_back": "eps", "concurrent": "inflight"}

Connect = Callable[[str, "ServerConnection"], "defer.Deferred[object]"]


class ServerConnection(LineConnection):
    """One connection to a lobby server."""

    def __init__(self, lobby: Lobby) -> None:
        super().__init__()
        self.lobby = lobby
        self.slot = -1
        self.opened_at = math.inf
        self.peer = lobby.host

    def opened(self) -> None:
        self.lobby.up(self)

    def closed(self) -> None:
        self.lobby.down(self)

    def line(self, line: bytes) -> None:
        self.lobby.hear(self, jsonl.decode(line))


class Lobby:
    """One lobby server: its connection, the attempts out on it, and what waits for a connection."""

    def __init__(self, servers: LobbyServers, host: str, dial: str) -> None:
        self.servers, self.host, self.dial = servers, host, dial
        self.broker = servers.broker
        self.connection: ServerConnection | None = None
        self.dialing: defer.Deferred[object] | None = None
        self.redial: Deadline | None = None
        self.waiting: list[Attempt] = []
        self.probes: list[int] = []
        self.out: dict[str, Attempt] = {}
        self.owed: dict[str, int] = {}  # releases not sent for want of a connection
        self.listed = True

    # Connecting

    def connect(self) -> None:
        if self.connection is not None or self.dialing is not None or not self.listed:
            return
        if self.redial is not None:
            self.redial.cancel()
        connection = ServerConnection(self)
        dialing = self.dialing = self.servers.connect(self.dial, connection)
        limit = self.servers.deadlines.set(
            self.servers.clock.now() + self.servers.connect_timeout_ms, dialing.cancel)

        def settled(result: object) -> object:
            limit.cancel()
            if self.dialing is dialing:
                self.dialing = None
            return result

        dialing.addBoth(settled)
        dialing.addErrback(self.unreachable)

    def unreachable(self, failure: Failure) -> None:
        """No connection: refused proves that the process is dead, silence proves nothing."""
        refused = isinstance(failure.value, ConnectionRefusedError)
        log.info("%s: no connection: %s", self.host, failure.type.__name__ if failure.type else failure.value)
        waiting, self.waiting = self.waiting, []
        probes, self.probes = self.probes, []
        if refused:
            # Guards against being ahead of the cuts themselves: a reset connection is heard before them.
            now = self.servers.clock.now()
            self.servers.deadlines.set(
                now + CUT_MS, lambda: self.broker.cut(self.host, now, "its process is dead"))
        for attempt in waiting:
            self.broker.ended(attempt, Outcome.CONNECT_FAILED)
        for number in probes:
            self.broker.probed(number, Outcome.CONNECT_FAILED)
        self._redial_later()

    def _redial_later(self) -> None:
        if self.listed and self.connection is None and self.dialing is None:
            if self.redial is not None:
                self.redial.cancel()
            self.redial = self.servers.deadlines.set(self.servers.clock.now() + REDIAL_MS, self.connect)

    def up(self, connection: ServerConnection) -> None:
        if not self.listed:
            connection.drop()
            return
        log.info("%s: connected", self.host)
        connection.opened_at = self.servers.clock.now()
        connection.slot = self.servers.connections.add(connection)
        self.connection = connection
        owed, self.owed = self.owed, {}
        for tag, cause in owed.items():
            connection.say(Message("FINISH", tag, rc=cause))
        waiting, self.waiting = self.waiting, []
        for attempt in waiting:
            self.send(attempt)
        probes, self.probes = self.probes, []
        for number in probes:
            self.probe(number)

    def down(self, connection: ServerConnection) -> None:
        """The set-ups open on a connection that breaks are reset; calls that stand are not its own."""
        if connection.slot < 0:
            return
        self.servers.connections.free(connection.slot)
        if self.connection is connection:
            self.connection = None
        log.info("%s: connection lost, %d set-ups open", self.host, len(self.out))
        lost = [attempt for attempt in self.out.values() if attempt.link == connection.slot]
        for attempt in lost:
            del self.out[attempt.request.id]
            self.broker.ended(attempt, Outcome.RESET)
        if self.servers.clock.now() >= connection.opened_at + REDIAL_MS:
            self.connect()
        else:  # guards against a server that closes each new connection at once
            self._redial_later()

    def leave(self) -> None:
        """The server is off the list: nothing is sent, no call stands there any more."""
        self.listed = False
        if self.redial is not None:
            self.redial.cancel()
        self.reset(math.inf, "off the list")
        if self.dialing is not None:
            self.dialing.cancel()

    def reset(self, before_ms: float, why: str) -> None:
        """The process that ran before a time is gone: its connection, its set-ups and its calls with it."""
        self.broker.cut(self.host, before_ms, why)
        if self.connection is not None and self.connection.opened_at <= before_ms:
            connection = self.connection
            self.down(connection)
            connection.slot = -1  # its loss has been dealt with
            connection.drop()

    # Sending

    def send(self, attempt: Attempt) -> None:
        connection, request = self.connection, attempt.request
        if connection is None:
            self.waiting.append(attempt)
            self.connect()
            return
        attempt.link = connection.slot
        self.out[request.id] = attempt
        left = max(1, round(attempt.end_at - self.servers.clock.now()))
        opts = {"class": request.call_class, "left": str(left)}
        if request.key:
            opts["key"] = request.key
        connection.say(Message("START", request.id, opts, blob=str(request.description)))

    def give_up(self, attempt: Attempt) -> None:
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            return
        self.out.pop(attempt.request.id, None)
        if self.connection is not None and self.connection.slot == attempt.link:
            self.connection.say(Message("FINISH", attempt.request.id, rc=jsonl.NORMAL))

    def release(self, tag: str, cause: int) -> None:
        """Ends a call that stands here: on any connection, on the next if none is open."""
        if self.connection is None or not self.connection.say(Message("FINISH", tag, rc=cause)):
            self.owed[tag] = cause
            self.connect()

    def probe(self, number: int) -> None:
        if self.connection is None:
            self.probes.append(number)
            self.connect()
        else:
            self.connection.say(Message("ECHO", f"{number:016x}", rc=1))

    # Hearing

    def report(self, message: Message) -> tuple[float, ...]:
        """The report in the settings' order of columns; -1 for what it does not tell."""
        told = jsonl.figures(message.opts.get("load", ""))
        if not told:
            return ()
        return tuple(told.get(name, told.get(COLUMNS.get(name, name), -1.0))
                     for name in self.broker.rules.settings.report_columns)

    def hear(self, connection: ServerConnection, message: Message) -> None:
        attempt = self.out.get(message.tag)
        if attempt is not None and attempt.link != connection.slot:
            attempt = None
        match message.verb:
            case "STARTED":
                self.answered(connection, message, attempt)
            case "FINISH":
                self.finished(connection, message, attempt)
            case "LOAD":
                if report := self.report(message):
                    self.broker.reported(self.host, report)
            case "ECHOED":
                outcome = Outcome.OK if message.rc == 1 else Outcome.FULL
                self.broker.probed(int(message.tag, 16), outcome, self.report(message))
            case "ECHO":
                connection.say(Message("ECHOED", message.tag, rc=1))
            case "PENDING" | "FINISHED":
                pass
            case _:
                raise BadLineError(f"verb: unknown: {message.verb}")

    def answered(self, connection: ServerConnection, message: Message, attempt: Attempt | None) -> None:
        if attempt is not None:
            del self.out[message.tag]
            self.broker.stood(attempt, message.blob or "")
        elif (request := self.broker.find(message.tag)) is None or request.state is State.OPEN:
            # Guards against an answer that crosses our give-up: what it set up must not be left standing.
            connection.say(Message("FINISH", message.tag, rc=jsonl.NORMAL))

    def finished(self, connection: ServerConnection, message: Message, attempt: Attempt | None) -> None:
        request = self.broker.find(message.tag)
        if attempt is not None:
            del self.out[message.tag]
            note = NOTES.get(message.opts.get("note", ""), 0)
            outcome = BEFORE.get(message.rc or 0, Outcome.ERROR)
            self.broker.ended(attempt, outcome, note, report=self.report(message))
        elif request is None:
            over = Outcome.OK if message.rc == jsonl.NORMAL else Outcome.RESET
            self.broker.over_unknown(message.tag, self.servers.front, over)
        elif request.state is State.STANDING and request.attempt is not None \
                and request.attempt.server == self.host:
            over = Outcome.OK if message.rc == jsonl.NORMAL else Outcome.RESET
            self.broker.ended(request.attempt, over, report=self.report(message))
        connection.say(Message("FINISHED", message.tag))


class LobbyServers:
    """All lobby servers of the list, as the broker's route."""

    def __init__(self, broker: Broker, front: Front, connect: Connect, connect_timeout_ms: float) -> None:
        self.broker, self.front, self.connect = broker, front, connect
        self.connect_timeout_ms = connect_timeout_ms
        self.clock, self.deadlines = broker.clock, broker.deadlines
        self.connections: Slots[ServerConnection] = Slots()
        self.lobbies: dict[str, Lobby] = {}

    def add(self, host: str, dial: str, born_ms: float) -> None:
        """A server that is on the list, before the module hears of it."""
        lobby = self.lobbies.get(host)
        if lobby is not None and lobby.dial != dial:
            self.remove(host)
            lobby = None
        if lobby is None:
            lobby = self.lobbies[host] = Lobby(self, host, dial)
        if born_ms:
            lobby.reset(born_ms, "a new process")
        lobby.connect()

    def remove(self, host: str) -> None:
        lobby = self.lobbies.pop(host, None)
        if lobby is not None:
            lobby.leave()

    def send(self, attempt: Attempt) -> None:
        lobby = self.lobbies.get(attempt.server)
        if lobby is None:
            self.broker.ended(attempt, Outcome.CONNECT_FAILED)
        else:
            lobby.send(attempt)

    def give_up(self, attempt: Attempt) -> None:
        if attempt.server in self.lobbies:
            self.lobbies[attempt.server].give_up(attempt)

    def release(self, attempt: Attempt) -> None:
        if attempt.server in self.lobbies:
            self.lobbies[attempt.server].release(attempt.request.id, jsonl.NORMAL)

    def release_unknown(self, call: str) -> None:
        for lobby in self.lobbies.values():
            lobby.release(call, jsonl.NORMAL)

    def probe(self, server: str, number: int) -> None:
        lobby = self.lobbies.get(server)
        if lobby is None:
            self.broker.probed(number, Outcome.CONNECT_FAILED)
        else:
            lobby.probe(number)
