"""The event bus: numbered events that carry the server list and its changes."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet import defer
from twisted.python.failure import Failure

from frostport import interface as api
from frostport.core.broker import Broker
from frostport.core.deadlines import Deadline
from frostport.net.jsonl import BadLineError, LineConnection
from frostport.net.lobby import LobbyServers

log = logging.getLogger("frostport.bus")

REDIAL_MS = 200.0
SILENT_MS = 3000.0  # a line comes each second: this long without one, the connection is given up


class ServerList:
    """Applies events to the list, and hands them to the servers' side and to the broker in turn."""

    def __init__(self, broker: Broker, servers: LobbyServers) -> None:
        self.broker, self.servers = broker, servers
        self.offset = 0
        self.entries: dict[str, tuple[api.Server, str]] = {}

    def known(self, batch: list[dict[str, Any]], offset: int) -> None:
        """The events up to the start make one list, as the module last had it."""
        version = 0
        for event in batch:
            version, whole, entries = parse(event)
            if whole:
                self.entries.clear()
            self.entries.update({server.address: (server, dial) for server, dial in entries})
        self.offset = max(self.offset, offset)
        listed = [entry for entry in self.entries.values() if entry[0].state is not api.Lifecycle.GONE]
        self._hand_on(api.ListKind.PERSISTED, version, listed)

    def event(self, record: dict[str, Any]) -> None:
        """One later event; one that was heard before is passed over."""
        offset = record.get("offset")
        if not isinstance(offset, int):
            raise BadLineError("offset: not a whole number")
        if offset <= self.offset:
            return
        if "topology" in record:
            version, whole, entries = parse(record)
            self._hand_on(api.ListKind.COMPLETE if whole else api.ListKind.CHANGES, version, entries)
        self.offset = offset

    def _hand_on(self, kind: api.ListKind, version: int, entries: list[tuple[api.Server, str]]) -> None:
        log.info("list %d, %s: %s", version, kind.value, ", ".join(
            f"{server.address} {server.state.value}" for server, _ in entries))
        for server, dial in entries:
            self.entries[server.address] = (server, dial)
            if server.state is not api.Lifecycle.GONE:
                self.servers.add(server.address, dial, server.started_ms)
        for host in self.broker.listed(kind, version, [server for server, _ in entries]):
            self.entries.pop(host, None)
            self.servers.remove(host)


def parse(record: dict[str, Any]) -> tuple[int, bool, list[tuple[api.Server, str]]]:
    """An event's version, whether it is the whole list, and its servers with their addresses."""
    try:
        topology = record["topology"]
        entries = []
        for host in topology["hosts"]:
            server = api.Server(
                str(host["host"]), int(host["block"]), api.Lifecycle(host["health"]),
                str(host.get("site", "")), float(host.get("born_ms", 0.0)), float(host.get("share", 1.0)),
                str(host.get("class", "")))
            entries.append((server, str(host.get("dial", ""))))
        return int(topology.get("seq", 0)), bool(topology.get("whole", False)), entries
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        raise BadLineError(f"topology: {type(problem).__name__}: {problem}") from None


class BusConnection(LineConnection):
    """One connection to the event bus."""

    peer = "event bus"

    def __init__(self, bus: EventBus) -> None:
        super().__init__()
        self.bus = bus

    def opened(self) -> None:
        self.write(b"from %d\n" % self.bus.list.offset)
        self.bus.heard(self)

    def line(self, line: bytes) -> None:
        self.bus.heard(self)
        try:
            record = orjson.loads(line)
        except orjson.JSONDecodeError:
            raise BadLineError("not JSON") from None
        if isinstance(record, dict):
            self.bus.list.event(record)
        elif not isinstance(record, int):
            raise BadLineError("neither an event nor a number")

    def closed(self) -> None:
        self.bus.lost(self)


class EventBus:
    """Keeps one connection to the event bus, and asks each new one for what came since the last event."""

    def __init__(self, server_list: ServerList, address: str,
                 connect: Callable[[str, BusConnection], defer.Deferred[object]]) -> None:
        self.list, self.address, self.connect = server_list, address, connect
        self.clock, self.deadlines = server_list.broker.clock, server_list.broker.deadlines
        self._watch: Deadline | None = None

    def start(self) -> None:
        dialing = self.connect(self.address, BusConnection(self))
        limit = self.deadlines.set(self.clock.now() + SILENT_MS, dialing.cancel)

        def settled(result: object) -> object:
            limit.cancel()
            return result

        dialing.addBoth(settled)
        dialing.addErrback(self._failed)

    def _failed(self, failure: Failure) -> None:
        self.deadlines.set(self.clock.now() + REDIAL_MS, self.start)

    def heard(self, connection: BusConnection) -> None:
        if self._watch is not None:
            self._watch.cancel()
        self._watch = self.deadlines.set(self.clock.now() + SILENT_MS, connection.drop)

    def lost(self, connection: BusConnection) -> None:
        log.warning("event bus lost; again from %d", self.list.offset)
        if self._watch is not None:
            self._watch.cancel()
        self.deadlines.set(self.clock.now() + REDIAL_MS, self.start)
