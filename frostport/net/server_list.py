"""The list of lobby servers, built from the numbered events of the event bus."""

from __future__ import annotations

import logging
import re
from collections.abc import Iterable
from typing import Any

from frostport import interface as api
from frostport.core.broker import Broker
from frostport.core.event_position import EventPosition, new_stream_id
from frostport.net.jsonl import BadLineError
from frostport.net.upstream_pool import UpstreamPool

log = logging.getLogger("frostport.bus")

ADDRESS_PATTERN = re.compile(r"[^:\s]+:[0-9]{1,5}\Z")


class ServerList:
    """The server list as of the last event; passes each change to the upstream servers and the broker."""

    def __init__(self, broker: Broker, pool: UpstreamPool) -> None:
        self.broker = broker
        self.pool = pool
        self.position = EventPosition(new_stream_id())  # after the last event applied
        self.unreadable: EventPosition | None = None  # of the last event that failed to parse
        self.version = 0
        self.entries: dict[str, tuple[api.Server, str]] = {}

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

    def resume(self, entries: Iterable[tuple[api.Server, str]]) -> None:
        """Restores the list on record: servers with their dial addresses."""
        self.entries = {server.address: (server, dial) for server, dial in entries}

    def apply_event(self, record: dict[str, Any]) -> None:
        """Applies one event; one already applied is skipped.

        Raises BadLineError when it can't be parsed for the first time; the second time it is skipped."""
        number = record.get("offset")
        if isinstance(number, bool) or not isinstance(number, int):
            raise BadLineError(f"offset: expected an integer, got {number!r:.40}")
        position = self.position.at(number)
        if not self.position.is_before(position):
            return
        if "topology" in record:
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
                return
            self.version = version
            self._apply(api.ListKind.COMPLETE if is_complete else api.ListKind.CHANGES, version, entries)
        self.position = position

    def _apply(self, kind: api.ListKind, version: int, entries: list[tuple[api.Server, str]]) -> None:
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


def parse_event(record: dict[str, Any]) -> tuple[int, bool, list[tuple[api.Server, str]]]:
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
