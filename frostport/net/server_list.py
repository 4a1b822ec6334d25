"""The list of lobby servers, built from the numbered events of the event bus."""

from __future__ import annotations

import logging
import re
from collections.abc import Iterable
from typing import Any

import orjson

from frostport import interface as api
from frostport.core.broker import Broker
from frostport.core.event_position import EventPosition, new_stream_id
from frostport.net.jsonl import BadLineError
from frostport.net.upstream_pool import UpstreamPool

log = logging.getLogger("frostport.bus")

ADDRESS_PATTERN = re.compile(r"[^:\s]+:[0-9]{1,5}\Z")


Entry = tuple[api.Server, str]  # a server and its dial address


class ServerList:
    """The server list as of the last event; passes each change to the upstream servers and the broker.

    Other agents may pass their changes on as well. These say nothing of this agent's position at the bus.
    What the bus sends from there on is older at first, and replaces the list as a whole once complete."""

    def __init__(self, broker: Broker, pool: UpstreamPool) -> None:
        self.broker = broker
        self.pool = pool
        self.position = EventPosition(new_stream_id())  # after the last event applied
        self.unreadable: EventPosition | None = None  # of the last event that failed to parse
        self.version = 0
        self.entries: dict[str, Entry] = {}
        # The list as of `position`, while `entries` holds changes from elsewhere; None: it is `entries`.
        self._bus_entries: dict[str, Entry] | None = None

    def load_known(self, batch: list[dict[str, Any]], number: int) -> None:
        """Loads the events of the configuration, up to `number`, and announces the list.

        They belong to this start, so they replace a list on record, which is of an earlier one. Without any
        the list on record stays until the event bus answers."""
        if batch:
            self.entries.clear()
        for event in batch:
            self.version, is_complete, entries = parse_event(event)
            if is_complete:
                self.entries.clear()
            self.entries.update({server.address: (server, dial) for server, dial in entries})
        self.position = self.position.at(number)
        listed = [entry for entry in self.entries.values() if entry[0].state is not api.Lifecycle.GONE]
        self._apply(api.ListKind.PERSISTED, self.version, listed)

    def resume(self, entries: Iterable[Entry]) -> None:
        """Restores the list on record: servers with their dial addresses."""
        self.entries = {server.address: (server, dial) for server, dial in entries}

    def apply_event(self, record: dict[str, Any]) -> bool:
        """Applies one event of the bus; one already applied is skipped. Returns whether the list has changed.

        Raises BadLineError when it can't be parsed for the first time; the second time it is skipped."""
        number = record.get("offset")
        if isinstance(number, bool) or not isinstance(number, int):
            raise BadLineError(f"offset: expected an integer, got {number!r:.40}")
        position = self.position.at(number)
        if not self.position.is_before(position):
            return False
        if "topology" not in record:
            self.position = position
            return False
        try:
            version, is_complete, entries = parse_event(record)
        except BadLineError as problem:
            if position != self.unreadable:
                self.unreadable = position
                raise
            # Received twice, so the event itself is malformed, not its transmission: asking for it again
            # would never end.
            log.error("%s skipped, received twice and invalid both times: %s", position, problem)
            self.position = position
            return False
        self.position = position
        self.version = version
        if self._bus_entries is None:
            self._apply(api.ListKind.COMPLETE if is_complete else api.ListKind.CHANGES, version, entries)
            return True
        if is_complete:
            self._bus_entries.clear()
        self._bus_entries.update({server.address: (server, dial) for server, dial in entries})
        return False

    def apply_shared_event(self, record: dict[str, Any]) -> None:
        """Applies an event that another agent has passed on. Its number is not of this agent's count.

        Raises BadLineError when it can't be parsed."""
        version, is_complete, entries = parse_event(record)
        if self._bus_entries is None:
            self._bus_entries = dict(self.entries)
        self._apply(api.ListKind.COMPLETE if is_complete else api.ListKind.CHANGES, version, entries)

    def is_of_bus(self) -> bool:
        """Whether the list holds what the bus has sent, and nothing else."""
        return self._bus_entries is None

    def complete_up_to(self, number: int) -> bool:
        """The bus has said that `number` is its last event. Returns whether this has changed the list.

        Guards against events from before the other agents' changes: applied one by one they would list again
        for a moment servers that drain or are gone."""
        if self._bus_entries is None or self.position.is_before(self.position.at(number)):
            return False
        entries = [entry for entry in self._bus_entries.values() if entry[0].state is not api.Lifecycle.GONE]
        self._bus_entries = None
        self._apply(api.ListKind.COMPLETE, self.version, entries)
        return True

    def encode_complete(self) -> bytes:
        """Returns the list as one event that replaces what its receiver has."""
        hosts = [
            {
                "host": server.address,
                "dial": dial,
                "site": server.zone,
                "class": server.kind,
                "block": server.number,
                "health": server.state.value,
                "share": server.nominal,
                "born_ms": server.started_ms,
            }
            for server, dial in self.entries.values()
            if server.state is not api.Lifecycle.GONE
        ]
        return orjson.dumps({"topology": {"seq": self.version, "whole": True, "hosts": hosts}})

    def _apply(self, kind: api.ListKind, version: int, entries: list[Entry]) -> None:
        log.info(
            "server list version %d (%s): %s",
            version,
            kind.value,
            ", ".join(f"{server.address} {server.state.value}" for server, _ in entries),
        )
        for server, dial in entries:
            self.entries[server.address] = (server, dial)
            if server.state is not api.Lifecycle.GONE:
                self.pool.add(server.address, dial, server.started_ms)
        dials = {server.address: dial for server, dial in entries}
        for host in self.broker.update_server_list(kind, version, [server for server, _ in entries], dials):
            self.entries.pop(host, None)
            self.pool.remove(host)


def parse_event(record: dict[str, Any]) -> tuple[int, bool, list[Entry]]:
    """An event's list version, whether it is the complete list, and its servers with their dial addresses.

    Raises BadLineError."""
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
            if server.state is not api.Lifecycle.GONE and not ADDRESS_PATTERN.match(dial):
                raise ValueError(f"dial: not host:port: {dial!r:.60}")
            entries.append((server, dial))
        return int(topology.get("seq", 0)), bool(topology.get("whole", False)), entries
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        raise BadLineError(f"topology: cannot be read: {type(problem).__name__}: {problem}") from None
