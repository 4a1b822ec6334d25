"""The platform's front: JSON lines from clients, as thin as it can be."""

from __future__ import annotations

import logging
import math

from frostport import interface as api
from frostport.core.broker import Body, Broker, Request, State
from frostport.core.lifecycle import Lifecycle
from frostport.core.slots import Slots
from frostport.interface import Outcome
from frostport.net import jsonl
from frostport.net.jsonl import BadLineError, LineConnection, Message

log = logging.getLogger("frostport.front")

REPEAT_MS = 8000.0  # a release not yet heard is sent again on another connection for so long
CAUSES = {Outcome.OK: jsonl.NORMAL, Outcome.CANCELLED: jsonl.NORMAL}


class ClientConnection(LineConnection):
    """One connection of clients; it carries many calls and owns none that stands."""

    def __init__(self, front: PlatformFront) -> None:
        super().__init__()
        self.front = front
        self.slot = -1

    def opened(self) -> None:
        self.slot = self.front.connections.add(self)
        self.peer = f"client connection {self.slot}"
        self.front.flush()

    def closed(self) -> None:
        self.front.lost(self)

    def line(self, line: bytes) -> None:
        message = jsonl.decode(line)
        match message.verb:
            case "START":
                try:
                    self.front.start(self, message)
                except BadLineError as problem:
                    raise BadLineError(str(problem), line) from None
            case "FINISH":
                self.front.finish(self, message)
            case "FINISHED":
                self.front.owed.pop(message.tag, None)
            case "ECHO":
                self.say(Message("ECHOED", message.tag, rc=int(self.front.serving())))
            case "PENDING" | "ECHOED":
                pass
            case _:
                raise BadLineError(f"verb: unknown: {message.verb}", line)

    def malformed(self, problem: BadLineError) -> None:
        if problem.is_start and problem.tag and self.front.broker.find(problem.tag) is None:
            self.say(Message("FINISH", problem.tag, rc=jsonl.OVERLOADED))


class PlatformFront:
    """Reads set-ups and releases from clients, and writes answers, refusals and releases to them."""

    def __init__(self, broker: Broker, lifecycle: Lifecycle, connection_limit: int | None = None) -> None:
        self.broker, self.lifecycle = broker, lifecycle
        self.connections: Slots[ClientConnection] = Slots(connection_limit)
        # Releases not yet heard: cause, since when, and the connection's slot (-1: none could be used).
        self.owed: dict[str, tuple[int, float, int]] = {}

    def serving(self) -> bool:
        return self.lifecycle.phase.value == "serving"

    def build(self) -> ClientConnection | None:
        """A protocol for a new connection, or None where the table is full: it is closed at once."""
        return None if self.connections.full() else ClientConnection(self)

    # From clients

    def start(self, connection: ClientConnection, message: Message) -> None:
        broker = self.broker
        if broker.find(message.tag) is not None:
            log.warning("%s: set-up %s came again: ignored", connection.peer, message.tag)
            return
        name = message.opts.get("class", "")
        left = jsonl.figures(f"left:{message.opts.get('left', '')}").get("left", math.nan)
        if name not in broker.rules.pools:
            raise BadLineError(f"opts.class: unknown: {name!r}")
        if not math.isfinite(left):
            raise BadLineError("opts.left: not a number")
        key = message.opts.get("key", "")
        try:
            called = int(key, 16) if key else 0
        except ValueError:
            raise BadLineError(f"opts.key: not hex: {key!r}") from None
        extras = jsonl.figures(message.opts.get("extras", ""))
        if not self.lifecycle.takes():
            connection.say(Message("FINISH", message.tag, rc=jsonl.OVERLOADED))
            return
        now = broker.clock.now()
        request = Request(message.tag, name, key, message.blob or "", now + left, self, connection.slot,
                          message.opts.get("tenant", "-"))
        broker.arrive(request, api.CallArrived(
            message.tag, name, message.opts.get("tenant", "-"), left, int(extras.get("dest", -1)), called,
            redial=message.opts.get("retry", "0") not in ("", "0"), cut_before=bool(extras.get("again", 0))))

    def finish(self, connection: ClientConnection, message: Message) -> None:
        """A give-up before the answer, or the release of a call that stands, on any connection."""
        request = self.broker.find(message.tag)
        if request is None:
            # Also where a give-up crosses our final answer: there the broker knows the id, and does nothing.
            self.owed.pop(message.tag, None)
            self.broker.release_unknown(message.tag)
        elif request.state is State.OPEN:
            self.broker.gone(request)
        else:
            self.broker.release(request)
        connection.say(Message("FINISHED", message.tag))

    def lost(self, connection: ClientConnection) -> None:
        """The open set-ups of a connection go with it; what is owed on it goes to another."""
        self.connections.free(connection.slot)
        for request in self.broker.requests:
            if request.state is State.OPEN and request.place == connection.slot and request.front is self:
                self.broker.gone(request)
        for tag, (cause, since, slot) in self.owed.items():
            if slot == connection.slot:
                self.owed[tag] = (cause, since, -1)
        self.flush()

    # From the broker

    def _say(self, request: Request, message: Message) -> None:
        connection = self.connections.get(request.place)
        if connection is not None:
            connection.say(message)

    def stands(self, request: Request, description: Body) -> None:
        self._say(request, Message("STARTED", request.id, blob=str(description)))

    def refused(self, request: Request, stay_away_ms: float) -> None:
        # The platform's refusal has no field for a time to come back.
        self._say(request, Message("FINISH", request.id, rc=jsonl.OVERLOADED))

    def failed(self, request: Request) -> None:
        self._say(request, Message("FINISH", request.id, rc=jsonl.BROKEN))

    def over(self, call: str, place: int, outcome: Outcome) -> None:
        self.owed[call] = (CAUSES.get(outcome, jsonl.BROKEN), self.broker.clock.now(), -1)
        self.flush(place)

    def flush(self, place: int = -1) -> None:
        """Sends the releases owed that are on no connection: on the call's own if it is open, else on any."""
        waiting = [tag for tag, (_, _, slot) in self.owed.items() if slot < 0]
        connection = self.connections.get(place)
        if not waiting or (connection is None and not len(self.connections)):
            return
        connection = connection or next(iter(self.connections))
        now = self.broker.clock.now()
        for tag in waiting:
            cause, since, _ = self.owed[tag]
            connection.say(Message("FINISH", tag, rc=cause))
            self.owed[tag] = (cause, since, connection.slot)
        self.owed = {tag: owed for tag, owed in self.owed.items()
                     if owed[2] < 0 or now - owed[1] < REPEAT_MS}
