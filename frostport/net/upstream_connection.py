"""One connection to an upstream server, with its open attempts and unconfirmed releases."""

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

PARTIAL_LINE_TIMEOUT_MS = 300.0  # for a line that has begun; the connection is abandoned after
CLOSE_TIMEOUT_MS = 1000.0  # for buffered output to be sent before a connection is aborted
RELEASE_CONFIRM_MS = 10_000.0  # an unconfirmed release is resent no longer than this


class ServerConnection(LineConnection):
    """One connection to an upstream server; belongs to an `UpstreamServer`, which handles its messages."""

    def __init__(self, server: UpstreamServer) -> None:
        super().__init__(server.pool.clock, server.pool.deadlines)
        self.server = server
        self.handle = -1
        self.opened_at = math.inf
        self.peer = server.host
        self.open_attempts: dict[str, Attempt] = {}
        self.sent_at_read: dict[str, int] = {}  # `read_count` when each of them was sent
        # When the last data and the last unsolicited report arrived, ms.
        self.last_received_at = self.reported_at = math.inf
        self.lagging_since = math.inf  # a report came on another connection then, and no data here since
        self.tested_at = -math.inf  # when `LagDetector` last sent a test on it, ms
        self.greeted = False  # the first report has arrived
        self.retired = False  # silent: no set-ups are sent on it, it is kept to detect signs of life
        # Call -> cause and when the release was sent, ms; oldest first.
        self.unconfirmed_releases: OrderedDict[str, tuple[int, float]] = OrderedDict()
        self._partial_line_timer: Deadline | None = None
        self._timed_line = -1  # the number of the incomplete line that it limits

    def on_open(self) -> None:
        self.server.connection_opened(self)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802 (Twisted's name)
        """Reports to the failure detector: an orderly close is a sign of life, a reset is not."""
        if self.alive and isinstance(reason.value, ConnectionDone):
            self.last_received_at = self.clock.now()
            self.server.sign_of_life(self)
        elif self.alive:
            self.server.liveness.connection_reset(self.clock.now())
        super().connectionLost(reason)

    def on_close(self) -> None:
        if self._partial_line_timer is not None:
            self._partial_line_timer.cancel()
        self.server.connection_closed(self)

    def on_line(self, line: bytes) -> None:
        self.server.handle_message(self, jsonl.decode(line))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted's name)
        """Any data is a sign of life, even if it completes no valid line."""
        self.last_received_at = self.clock.now()
        self.lagging_since = math.inf
        self.server.sign_of_life(self)
        super().dataReceived(data)

    def on_read(self) -> None:
        """Sets the time-out of a partial line, or cancels it once the line is complete."""
        if self._partial_line_timer is not None and self._timed_line < self.splitter.completed:
            self._partial_line_timer.cancel()
            self._partial_line_timer = None
        if self.splitter.partial and self._partial_line_timer is None:
            self._timed_line = self.splitter.completed
            # Guards against a truncated line, behind which nothing more would be read.
            self._partial_line_timer = self.deadlines.set(
                self.clock.now() + PARTIAL_LINE_TIMEOUT_MS, self.abandon
            )

    def on_malformed(self, problem: BadLineError) -> None:
        # Nothing more on it can be trusted: its open attempts must not wait for their timeouts.
        self.abandon()

    def abandon(self) -> None:
        """Aborts the connection and resets its open attempts at once."""
        self.drop()
        self.server.connection_closed(self)

    def close_after_writes(self) -> None:
        """Closes the connection once its buffered output is sent, and resets its open attempts at once."""
        if self.alive:
            self.alive = False
            self.transport.loseConnection()
            self.deadlines.set(self.clock.now() + CLOSE_TIMEOUT_MS, self.transport.abortConnection)
        self.server.connection_closed(self)

    def send_set_up(self, attempt: Attempt, line: bytes) -> bool:
        """Writes the set-up of an attempt; False if the connection is closed."""
        attempt.route_ref = self.handle
        self.open_attempts[attempt.request.id] = attempt
        self.sent_at_read[attempt.request.id] = self.read_count
        return self.write(line)

    def send_release(self, tag: str, cause: int) -> bool:
        """Writes the release of a call and keeps it until the server confirms it; False if closed."""
        if not self.send_message(Message("FINISH", tag, rc=cause)):
            return False
        now = self.clock.now()
        self.unconfirmed_releases[tag] = (cause, now)
        while next(iter(self.unconfirmed_releases.values()))[1] < now - RELEASE_CONFIRM_MS:
            self.unconfirmed_releases.popitem(last=False)
        return True

    def match_response(self, tag: str) -> Attempt | None:
        """Removes and returns the open attempt that a response is for, None if it is for none.

        Guards against second copies of an earlier response: what arrived in the same read as the response
        that led to an attempt can't be an answer to that attempt."""
        if tag not in self.open_attempts or self.sent_at_read[tag] == self.read_count:
            return None
        del self.sent_at_read[tag]
        return self.open_attempts.pop(tag)
