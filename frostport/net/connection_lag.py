"""Finds the connections to an upstream server that have fallen silent beside others that have not."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from frostport.core.deadlines import Deadline
from frostport.net.jsonl import Message

if TYPE_CHECKING:
    from frostport.net.upstream import UpstreamServer
    from frostport.net.upstream_connection import ServerConnection

log = logging.getLogger("frostport.upstream")

REPORT_SKEW_MS = 150.0  # by so much the connections may differ in when they bring a report
SILENCE_LIMIT_MS = (
    1000.0  # a connection on which nothing came for so long, while something was due, is of no use
)


class LagDetector:
    """Compares when the connections to one server bring its reports, and tests those that lag behind."""

    def __init__(self, server: UpstreamServer) -> None:
        self._server = server
        self._reported_at = -math.inf  # when a report came unasked
        self._check_timer: Deadline | None = None

    def stop(self) -> None:
        """The server is off the list: nothing is compared any more."""
        if self._check_timer is not None:
            self._check_timer.cancel()

    def start_test(self, connections: list[ServerConnection]) -> None:
        """Guards against silent connections that stay open: each has to answer."""
        if not connections:
            return
        asked = self._server.pool.clock.now()
        for connection in connections:
            connection.tested_at = asked
            connection.send_message(Message("ECHO", "0" * 16, rc=0))
        self._server.pool.deadlines.set(asked + REPORT_SKEW_MS, lambda: self.finish_test(connections, asked))

    def finish_test(self, connections: list[ServerConnection], asked: float) -> None:
        """Closes those that have said nothing since they were asked."""
        for connection in connections:
            if connection in self._server.connections and connection.heard_at <= asked:
                log.info("%s: connection %d does not answer", self._server.host, connection.slot)
                connection.abandon()

    def on_report(self, connection: ServerConnection) -> None:
        """A report came unasked. It comes on each connection, on all at once or on each in its own time."""
        connection.reported_at = self._server.pool.clock.now()
        if not connection.greeted:
            connection.greeted = self._server.sends_greeting = (
                True  # a new connection's own report goes to no other
            )
            return
        self._reported_at = connection.reported_at
        for other in self._server.connections:
            if (
                other.reported_at < self._reported_at - REPORT_SKEW_MS
            ):  # else it has had this one, or the last
                other.lagging_since = min(other.lagging_since, self._reported_at)
        if self._check_timer is None:
            self._check_timer = self._server.pool.deadlines.set(
                self._reported_at + REPORT_SKEW_MS, self.check_lag
            )

    def check_lag(self) -> None:
        """Guards against a connection that stays open and silent: with few set-ups out, it gets ever more.

        One that lags behind the others is tested; where tests are not allowed, it is closed once it has
        lagged for as long as a set-up may go unheard."""
        self._check_timer = None
        now = self._server.pool.clock.now()
        behind = [at for at in self._server.connections if at.lagging_since <= now - REPORT_SKEW_MS]
        if self._server.pool.probes:
            self.start_test([at for at in behind if at.tested_at <= now - SILENCE_LIMIT_MS])
            return
        for connection in behind:
            if connection.lagging_since <= now - SILENCE_LIMIT_MS:
                log.info(
                    "%s: connection %d has fallen silent, %.0f ms behind the others",
                    self._server.host,
                    connection.slot,
                    now - connection.lagging_since,
                )
                connection.abandon()
        lagging = [at.lagging_since for at in self._server.connections if at.lagging_since < math.inf]
        if lagging:
            self._check_timer = self._server.pool.deadlines.set(
                min(lagging) + SILENCE_LIMIT_MS, self.check_lag
            )
