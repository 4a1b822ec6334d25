"""Detects connections to an upstream server that have fallen silent while others have not."""

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

REPORT_SKEW_MS = 150.0  # how far apart a report may arrive on two connections; also the time for a test
SILENCE_LIMIT_MS = 1000.0  # without any data while some was due, after which a connection is out of use


class LagDetector:
    """Compares when a server's reports arrive on its connections, and tests or closes those that lag."""

    def __init__(self, server: UpstreamServer) -> None:
        self._server = server
        self._reported_at = -math.inf  # the last unsolicited report on any connection
        self._check_timer: Deadline | None = None

    def stop(self) -> None:
        """Stops comparing, once the server is off the list."""
        if self._check_timer is not None:
            self._check_timer.cancel()

    def start_test(self, connections: list[ServerConnection]) -> None:
        """Sends a test on each connection; one without any data within REPORT_SKEW_MS is closed."""
        if not connections:
            return
        asked_at = self._server.pool.clock.now()
        for connection in connections:
            connection.tested_at = asked_at
            connection.send_message(Message("ECHO", "0" * 16, rc=0))
        self._server.pool.deadlines.set(
            asked_at + REPORT_SKEW_MS, lambda: self.finish_test(connections, asked_at)
        )

    def finish_test(self, connections: list[ServerConnection], asked_at: float) -> None:
        """Closes the connections without data since the test at `asked_at` (ms)."""
        for connection in connections:
            if connection in self._server.connections and connection.last_received_at <= asked_at:
                log.info(
                    "%s: nothing received on connection %d since its test %.0f ms ago: giving it up",
                    self._server.host,
                    connection.handle,
                    REPORT_SKEW_MS,
                )
                connection.abandon()

    def on_report(self, connection: ServerConnection) -> None:
        """Called for an unsolicited report; the server sends it on each connection, not always at once."""
        connection.reported_at = self._server.pool.clock.now()
        if not connection.greeted:
            # The report on a new connection is sent on that one only.
            connection.greeted = self._server.sends_greeting = True
            return
        self._reported_at = connection.reported_at
        for other in self._server.connections:
            # Otherwise this report, or the one before it, has arrived there.
            if other.reported_at < self._reported_at - REPORT_SKEW_MS:
                other.lagging_since = min(other.lagging_since, self._reported_at)
        if self._check_timer is None:
            self._check_timer = self._server.pool.deadlines.set(
                self._reported_at + REPORT_SKEW_MS, self.check_lag
            )

    def check_lag(self) -> None:
        """Tests the connections that lag; where probes are not allowed, closes them after SILENCE_LIMIT_MS.

        Guards against an open connection that has gone silent: as the one with the fewest open attempts, it
        would get ever more of them."""
        self._check_timer = None
        now = self._server.pool.clock.now()
        behind = [conn for conn in self._server.connections if conn.lagging_since <= now - REPORT_SKEW_MS]
        if self._server.pool.probes:
            self.start_test([conn for conn in behind if conn.tested_at <= now - SILENCE_LIMIT_MS])
            return
        for connection in behind:
            if connection.lagging_since <= now - SILENCE_LIMIT_MS:
                log.info(
                    "%s: connection %d has fallen silent, %.0f ms behind the others",
                    self._server.host,
                    connection.handle,
                    now - connection.lagging_since,
                )
                connection.abandon()
        lagging = [conn.lagging_since for conn in self._server.connections if conn.lagging_since < math.inf]
        if lagging:
            self._check_timer = self._server.pool.deadlines.set(
                min(lagging) + SILENCE_LIMIT_MS, self.check_lag
            )
