"""The event bus: numbered events that carry the server list and its changes.

On each connection the agent writes `from N`, and the bus answers with the events after number N. Between
events it sends a bare number each second.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable

import orjson
from twisted.internet import defer
from twisted.python.failure import Failure

from frostport.core.deadlines import Deadline
from frostport.core.dial_policy import DIAL_AT_ONCE, LIST_SERVICE, DialPolicy
from frostport.net.jsonl import BadLineError, LineConnection
from frostport.net.server_list import ServerList

log = logging.getLogger("frostport.bus")

# Upper bound; the pause is drawn from its upper half, so that agents don't all dial at once.
REDIAL_MS = 200.0
CONNECT_TIMEOUT_MS = 1000.0
MAX_LINE_BYTES = 1024 * 1024  # an event may carry the complete list
# Without a complete line; one is due each second. Then another connection is asked.
SILENCE_TIMEOUT_MS = 2500.0
# Without an answer; then one more is asked. Below the 7 s in which an event counts as told (protocol page).
ASK_AGAIN_MS = 5000.0
MAX_CONNECTIONS = 3  # open at a time; the one that was asked first is given up for a further one


class BusConnection(LineConnection):
    """One connection to the event bus."""

    peer = "event bus"

    def __init__(self, bus: EventBus) -> None:
        super().__init__(bus.clock, bus.deadlines, MAX_LINE_BYTES)
        self.bus = bus
        self.answered = False  # a line has been received on it

    def on_open(self) -> None:
        self.bus.on_connected(self)

    def on_line(self, line: bytes) -> None:
        """Applies an event; a bare number only shows that the bus is alive. Raises BadLineError."""
        self.answered = True
        self.bus.on_line_received(self)
        try:
            record = orjson.loads(line)
        except orjson.JSONDecodeError:
            raise BadLineError(f"not valid JSON ({len(line)} bytes)") from None
        server_list = self.bus.server_list
        if isinstance(record, dict):
            if server_list.apply_event(record):
                self.bus.dialing.list_event_received(line)
        elif isinstance(record, bool) or not isinstance(record, int):
            raise BadLineError(
                f"expected an event (a JSON object) or an integer, got {type(record).__name__}"
            )
        elif server_list.complete_up_to(record):
            self.bus.dialing.list_event_received(server_list.encode_complete())
        elif server_list.is_of_bus():
            self.bus.dialing.list_unchanged()

    def on_malformed(self, problem: BadLineError) -> None:
        # Guards against losing the event: later ones would be applied, and it would never be sent again.
        self.drop()

    def on_close(self) -> None:
        self.bus.on_lost(self)


class EventBus:
    """Keeps a connection to the event bus, and asks on each new one for the events since the last.

    A silent connection may only be late: it stays open while others are asked, up to MAX_CONNECTIONS in all,
    and the first one on which a line arrives is the one that is kept."""

    def __init__(
        self,
        server_list: ServerList,
        address: str | None,
        connect: Callable[[str, BusConnection], defer.Deferred[object]],
        rng: random.Random | None = None,
    ) -> None:
        self.rng = rng or random.Random(0)
        self.server_list = server_list
        self.address = address
        self.connect = connect
        self.clock = server_list.broker.clock
        self.deadlines = server_list.broker.deadlines
        self.connections: list[BusConnection] = []  # open, in the order in which they were asked
        self.dialing: DialPolicy = DIAL_AT_ONCE
        self._dialed: BusConnection | None = None  # the connection of the dial in progress
        self._pending_dial: defer.Deferred[object] | None = None
        self._dial_timer: Deadline | None = None  # for the next dial, or the end of the one in progress
        self._silence_timer: Deadline | None = None

    def start(self) -> None:
        """Dials when `dialing` allows; with an infinite wait, `start_in` is called later."""
        wait = self.dialing.first_delay_ms(LIST_SERVICE)
        if wait <= 0.0:
            self._dial()
        elif wait < math.inf:
            self.start_in(wait)

    def start_in(self, wait_ms: float) -> None:
        """Dials after `wait_ms`."""
        self._cancel_dial()
        self._dial_timer = self.deadlines.set(self.clock.now() + wait_ms, self._dial)

    def _dial(self) -> None:
        if self.address is None:
            return
        self._cancel_dial()
        if len(self.connections) >= MAX_CONNECTIONS:
            self._drop(self.connections[0])
        connection = BusConnection(self)
        self._dialed = connection
        dialing = self._pending_dial = self.connect(self.address, connection)
        self._dial_timer = self.deadlines.set(self.clock.now() + CONNECT_TIMEOUT_MS, dialing.cancel)

        def failed(failure: Failure) -> None:
            if self._dialed is connection:
                self.dialing.dial_failed(LIST_SERVICE)
                self._redial(REDIAL_MS)

        dialing.addErrback(failed)

    def _redial(self, pause_ms: float) -> None:
        """Dials after a pause of half of `pause_ms` to all of it, or when `dialing` allows."""
        pause_ms *= self.rng.uniform(0.5, 1.0)
        self.start_in(self.dialing.redial_delay_ms(LIST_SERVICE, pause_ms))

    def _cancel_dial(self) -> None:
        """Gives up the dial that is in progress or scheduled, if any."""
        dialing = self._pending_dial
        self._dialed = None
        self._pending_dial = None
        if self._dial_timer is not None:
            self._dial_timer.cancel()
        if dialing is not None:
            dialing.cancel()

    def _is_dialing(self) -> bool:
        """Whether a dial is in progress or scheduled."""
        return self._dial_timer is not None and self._dial_timer.action is not None

    def disconnect(self) -> None:
        """Drops the connections and any dial in progress, until it is started again."""
        self._cancel_dial()
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        for connection in list(self.connections):
            self._drop(connection)

    def _drop(self, connection: BusConnection) -> None:
        """Closes a connection on purpose: nothing is dialed in its place."""
        self.connections.remove(connection)
        connection.drop()

    def change_address(self, address: str | None) -> None:
        """Moves to a bus at another address, where the event numbers continue."""
        if address == self.address:
            return
        log.info("event bus: address changed to %s, continuing from %s", address, self.server_list.position)
        self.address = address
        self.disconnect()
        self.start()

    def on_connected(self, connection: BusConnection) -> None:
        """Asks on a new connection for the events after the last one applied."""
        if connection is not self._dialed:
            connection.drop()  # its dial had been given up
            return
        self._dialed = None
        self._pending_dial = None
        if self._dial_timer is not None:
            self._dial_timer.cancel()
        self.connections.append(connection)
        log.info("event bus: connected, asking for what follows %s", self.server_list.position)
        connection.write(b"from %d\n" % self.server_list.position.number)
        self.dialing.connected(LIST_SERVICE)
        self._watch_for_silence(SILENCE_TIMEOUT_MS if len(self.connections) == 1 else ASK_AGAIN_MS)

    def on_line_received(self, connection: BusConnection) -> None:
        """Keeps the connection on which a line has arrived, and drops the others."""
        if connection not in self.connections:
            return
        if len(self.connections) > 1 or self._is_dialing():
            log.info("event bus: heard again, %d connections asked meanwhile", len(self.connections) - 1)
            self._cancel_dial()
            for other in [other for other in self.connections if other is not connection]:
                self._drop(other)
            self.dialing.connected(LIST_SERVICE)
        self._watch_for_silence(SILENCE_TIMEOUT_MS)

    def _watch_for_silence(self, limit_ms: float) -> None:
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._silence_timer = self.deadlines.set(
            self.clock.now() + limit_ms, lambda: self._on_silence(limit_ms)
        )

    def _on_silence(self, silent_ms: float) -> None:
        """Asks on another connection, and keeps the silent ones.

        Guards against a bus that is slower than the timeout: each connection would be given up before its
        answer, or before the next line on one that has answered."""
        if not self.connections or self._is_dialing():
            return
        log.warning(
            "event bus: nothing heard for %.0f ms on %d connections, asking on another one",
            silent_ms,
            len(self.connections),
        )
        # Agents that were answered lose the bus at the same time: they don't all ask again at once.
        pause_ms = REDIAL_MS if self.connections[-1].answered else 0.0
        self.dialing.list_silent()
        if self.connections:  # else the policy has had it disconnected
            self._redial(pause_ms)

    def on_lost(self, connection: BusConnection) -> None:
        """Dials again when the connection that was asked last is lost."""
        if connection not in self.connections:
            return
        is_last_asked = connection is self.connections[-1]
        self.connections.remove(connection)
        if is_last_asked and not self._is_dialing():
            log.warning("event bus: connection lost, continuing from %s", self.server_list.position)
            self.dialing.connection_lost(LIST_SERVICE)
            self._redial(REDIAL_MS)
