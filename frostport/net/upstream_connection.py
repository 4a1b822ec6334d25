"""One connection to an upstream server, and the attempts that are out on it."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from twisted.internet import protocol
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from frostport.core.calls import Attempt
from frostport.core.deadlines import Deadline
from frostport.net import jsonl
from frostport.net.jsonl import BadLineError, LineConnection, Message

if TYPE_CHECKING:
    from frostport.net.upstream import UpstreamServer

HALF_LINE_MS = 300.0  # an answer that stops short for so long ends its connection
CONFIRM_MS = 10_000.0  # a release that a server has not confirmed for so long counts as heard


class ServerConnection(LineConnection):
    """One connection to a upstream server, and the attempts out on it."""

    def __init__(self, server: UpstreamServer) -> None:
        super().__init__(server.pool.clock, server.pool.deadlines)
        self.server = server
        self.slot = -1
        self.opened_at = math.inf
        self.peer = server.host
        self.out: dict[str, Attempt] = {}
        self.sent_in: dict[str, int] = {}  # the turn in which each went out
        self.heard_at = self.reported_at = math.inf  # when anything was read, and when a report came unasked
        self.behind_since = math.inf  # when another brought a report, with nothing heard here since
        self.tested_at = -math.inf
        self.greeted = False  # the first report has come
        self.retired = False  # it was silent: no set-ups go out on it, it is kept to be heard
        self.releases: OrderedDict[str, tuple[int, float]] = OrderedDict()  # not confirmed: cause, said at
        self._half: Deadline | None = None

    def opened(self) -> None:
        self.server.connection_opened(self)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802 (Twisted's name)
        if self.alive and isinstance(reason.value, ConnectionDone):
            self.heard_at = self.clock.now()
            self.server.sign_of_life(self)  # the server closed it
        elif self.alive:
            self.server.liveness.connection_reset(self.clock.now())
        super().connectionLost(reason)

    def closed(self) -> None:
        if self._half is not None:
            self._half.cancel()
        self.server.connection_closed(self)

    def line(self, line: bytes) -> None:
        self.server.hear(self, jsonl.decode(line))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted's name)
        self.heard_at, self.behind_since = self.clock.now(), math.inf
        self.server.sign_of_life(self)
        super().dataReceived(data)

    def read(self) -> None:
        if self._half is not None and not self.lines.partial:
            self._half.cancel()
            self._half = None
        elif self.lines.partial and self._half is None:
            # Guards against an answer that stops short: what comes after it would never be read.
            self._half = self.deadlines.set(self.clock.now() + HALF_LINE_MS, self.spoilt)

    def malformed(self, problem: BadLineError) -> None:
        # Guards against waiting on a connection that is of no further use: what is open on it ends too.
        self.spoilt()

    def spoilt(self) -> None:
        self.drop()
        self.server.connection_closed(self)

    def start(self, attempt: Attempt, line: bytes) -> bool:
        """Writes a set-up; whether it was written in full to the transport."""
        attempt.route_ref = self.slot
        self.out[attempt.request.id] = attempt
        self.sent_in[attempt.request.id] = self.turns
        return self.write(line)

    def release(self, tag: str, cause: int) -> bool:
        """Writes the release of a call, and remembers it until the server confirms it."""
        if not self.say(Message("FINISH", tag, rc=cause)):
            return False
        now = self.clock.now()
        self.releases[tag] = (cause, now)
        while next(iter(self.releases.values()))[1] < now - CONFIRM_MS:
            self.releases.popitem(last=False)
        return True

    def match_response(self, tag: str) -> Attempt | None:
        """The attempt that an answer is for, no longer out here; None if it is for none.

        Guards against second copies: what was read before an attempt went out can't be its answer."""
        if tag not in self.out or self.sent_in[tag] == self.turns:
            return None
        del self.sent_in[tag]
        return self.out.pop(tag)
