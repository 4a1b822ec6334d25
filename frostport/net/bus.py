"""The event bus: numbered events that carry the server list and its changes."""

from __future__ import annotations

import logging
import math
import random
import re
from collections.abc import Callable, Iterable
from typing import Any

import orjson
from twisted.internet import defer
from twisted.python.failure import Failure

from frostport import interface as api
from frostport.core.broker import Broker
from frostport.core.deadlines import Deadline
from frostport.core.dial_policy import DIAL_AT_ONCE, LIST_SERVICE, DialPolicy
from frostport.net.jsonl import BadLineError, LineConnection
from frostport.net.upstream_pool import UpstreamPool

log = logging.getLogger("frostport.bus")

REDIAL_MS = 200.0  # at most, and at least half: all that a lost bus held would else dial it in step
CONNECT_MS = 1000.0  # a connection that is not up by then is dialed anew
DIAL = re.compile(r"[^:\s]+:[0-9]{1,5}\Z")
LONGEST = 1024 * 1024  # a whole list may be long
SILENT_MS = 2500.0  # a line comes each second: this long without a whole one, the connection is given up


class ServerList:
    """Applies events to the list, and hands them to the servers' side and to the broker in turn."""

    def __init__(self, broker: Broker, servers: UpstreamPool) -> None:
        self.broker, self.servers = broker, servers
        self.offset, self.unread = 0, -1  # the last event had, and the last that could not be read
        self.version = 0
        self.entries: dict[str, tuple[api.Server, str]] = {}

    def known(self, batch: list[dict[str, Any]], offset: int) -> None:
        """The events up to the start make one list, as the module last had it."""
        if offset >= self.offset:  # else the list on record is newer than the one that the start was given
            self.entries.clear()
            for event in batch:
                self.version, whole, entries = parse(event)
                if whole:
                    self.entries.clear()
                self.entries.update({server.address: (server, dial) for server, dial in entries})
            self.offset = offset
        listed = [entry for entry in self.entries.values() if entry[0].state is not api.Lifecycle.GONE]
        self._hand_on(api.ListKind.PERSISTED, self.version, listed)
        self.broker.recorder.record_bus_position(self.offset, self.version)

    def resume(self, offset: int, version: int, entries: Iterable[tuple[api.Server, str]]) -> None:
        """The list as it was on record: servers and their addresses."""
        self.offset, self.version = offset, version
        self.entries = {server.address: (server, dial) for server, dial in entries}

    def event(self, record: dict[str, Any]) -> None:
        """One later event; one that was heard before is passed over."""
        offset = record.get("offset")
        if isinstance(offset, bool) or not isinstance(offset, int):
            raise BadLineError("offset: not a whole number")
        if offset <= self.offset:
            return
        if "topology" in record:
            try:
                version, whole, entries = parse(record)
            except BadLineError as problem:
                if offset != self.unread:
                    self.unread = offset
                    raise
                # Guards against asking for ever: told twice, it is the event and not the way that is bad.
                log.error("event %d passed over: %s", offset, problem)
                self._had(offset)
                return
            self.version = version
            self._hand_on(api.ListKind.COMPLETE if whole else api.ListKind.CHANGES, version, entries)
        self._had(offset)

    def _had(self, offset: int) -> None:
        self.offset = offset
        self.broker.recorder.record_bus_position(offset, self.version)

    def _hand_on(self, kind: api.ListKind, version: int, entries: list[tuple[api.Server, str]]) -> None:
        log.info(
            "list %d, %s: %s",
            version,
            kind.value,
            ", ".join(f"{server.address} {server.state.value}" for server, _ in entries),
        )
        for server, dial in entries:
            self.entries[server.address] = (server, dial)
            if server.state is not api.Lifecycle.GONE:
                self.servers.add(server.address, dial, server.started_ms)
        dials = {server.address: dial for server, dial in entries}
        for host in self.broker.update_server_list(kind, version, [server for server, _ in entries], dials):
            self.entries.pop(host, None)
            self.servers.remove(host)


def parse(record: dict[str, Any]) -> tuple[int, bool, list[tuple[api.Server, str]]]:
    """An event's version, whether it is the whole list, and its servers with their addresses."""
    try:
        topology = record["topology"]
        entries = []
        for host in topology["hosts"]:
            server = api.Server(
                str(host["host"]),
                int(host["block"]),
                api.Lifecycle(host["health"]),
                str(host.get("site", "")),
                float(host.get("born_ms", 0.0)),
                float(host.get("share", 1.0)),
                str(host.get("class", "")),
            )
            dial = str(host.get("dial", ""))
            if server.state is not api.Lifecycle.GONE and not DIAL.match(dial):
                raise ValueError(f"dial: {dial!r}")
            entries.append((server, dial))
        return int(topology.get("seq", 0)), bool(topology.get("whole", False)), entries
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        raise BadLineError(f"topology: {type(problem).__name__}: {problem}") from None


class BusConnection(LineConnection):
    """One connection to the event bus."""

    peer = "event bus"

    def __init__(self, bus: EventBus) -> None:
        super().__init__(bus.clock, bus.deadlines, LONGEST)
        self.bus = bus
        self.answered = False  # a line has come on it

    def opened(self) -> None:
        self.bus.up(self)

    def line(self, line: bytes) -> None:
        self.answered = True
        self.bus.heard(self)
        try:
            record = orjson.loads(line)
        except orjson.JSONDecodeError:
            raise BadLineError("not JSON") from None
        if isinstance(record, dict):
            self.bus.list.event(record)
            self.bus.dialing.list_event_received(self.bus.list.offset, line)
        elif isinstance(record, bool) or not isinstance(record, int):
            raise BadLineError("neither an event nor a number")
        else:
            self.bus.dialing.list_unchanged()

    def malformed(self, problem: BadLineError) -> None:
        # Guards against an event lost for good: what follows it would be applied, its number passed over.
        self.drop()

    def closed(self) -> None:
        self.bus.lost(self)


class EventBus:
    """Keeps one connection to the event bus, and asks each new one for what came since the last event."""

    def __init__(
        self,
        server_list: ServerList,
        address: str | None,
        connect: Callable[[str, BusConnection], defer.Deferred[object]],
        chance: random.Random | None = None,
    ) -> None:
        self.chance = chance or random.Random(0)
        self.list, self.address, self.connect = server_list, address, connect
        self.clock, self.deadlines = server_list.broker.clock, server_list.broker.deadlines
        self.connection: BusConnection | None = None
        self.slow: BusConnection | None = None  # asked before, silent, and still open: it may yet answer
        self.dialing: DialPolicy = DIAL_AT_ONCE
        self.under_way: defer.Deferred[object] | None = None
        self._wait: Deadline | None = None  # the next dial, or the end of a silence

    def start(self) -> None:
        """At its turn; it may have none, and be started later."""
        wait = self.dialing.first_delay_ms(LIST_SERVICE)
        if wait <= 0.0:
            self._dial()
        elif wait < math.inf:
            self.start_in(wait)

    def start_in(self, wait_ms: float) -> None:
        self._await(wait_ms, self._dial)

    def _dial(self) -> None:
        if self.address is None:
            return
        connection = self.connection = BusConnection(self)
        dialing = self.under_way = self.connect(self.address, connection)
        self._await(CONNECT_MS, dialing.cancel)

        def failed(failure: Failure) -> None:
            if self.connection is connection:
                self.dialing.dial_failed(LIST_SERVICE)
                self._again()

        dialing.addErrback(failed)

    def _again(self) -> None:
        pause_ms = REDIAL_MS * self.chance.uniform(0.5, 1.0)
        self._await(self.dialing.redial_delay_ms(LIST_SERVICE, pause_ms), self._dial)

    def leave(self) -> None:
        """No connection, and none on its way, until it is started again."""
        old, self.connection = self.connection, None
        dialing, self.under_way = self.under_way, None
        self._drop_slow()
        if self._wait is not None:
            self._wait.cancel()
        if dialing is not None:
            dialing.cancel()
        if old is not None:
            old.drop()

    def move(self, address: str | None) -> None:
        """Another address from now on: the numbers go on there, and the old connection is left."""
        if address == self.address:
            return
        log.info("event bus: %s from now on, from %d", address, self.list.offset)
        self.address = address
        self.leave()
        self.start()

    def _await(self, ms: float, action: Callable[[], None]) -> None:
        if self._wait is not None:
            self._wait.cancel()
        self._wait = self.deadlines.set(self.clock.now() + ms, action)

    def up(self, connection: BusConnection) -> None:
        if connection is not self.connection:
            connection.drop()  # it came up after its address was left
            return
        connection.write(b"from %d\n" % self.list.offset)
        self.dialing.connected(LIST_SERVICE)
        self.heard(connection)

    def heard(self, connection: BusConnection) -> None:
        """A line came, or the connection is up."""
        if connection is self.slow:
            self._prefer(connection)
        if connection is self.connection:
            self._await(SILENT_MS, self._silent)

    def _silent(self) -> None:
        """Nothing came for too long. One that has never answered is left open while another is asked.

        Guards against a discovery that is slow to answer: each connection would be given up before."""
        connection = self.connection
        if connection is None:
            return
        if connection.answered:
            connection.drop()
            return
        log.info("event bus: no answer for %.0f ms, asked on another connection", SILENT_MS)
        self._drop_slow()
        self.slow = connection
        self._dial()

    def _prefer(self, connection: BusConnection) -> None:
        """The connection that was asked first has answered: the other is not needed."""
        later, dialing = self.connection, self.under_way
        self.connection, self.slow, self.under_way = connection, None, None
        if dialing is not None:
            dialing.cancel()
        if later is not None:
            later.drop()

    def _drop_slow(self) -> None:
        slow, self.slow = self.slow, None
        if slow is not None:
            slow.drop()

    def lost(self, connection: BusConnection) -> None:
        if connection is self.slow:
            self.slow = None
        if connection is self.connection:
            log.warning("event bus lost; again from %d", self.list.offset)
            self.dialing.connection_lost(LIST_SERVICE)
            self._again()
