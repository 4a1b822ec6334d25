"""The broker's route to upstream servers that speak JSON lines."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from frostport.core.broker import Broker
from frostport.core.calls import Attempt, Front
from frostport.core.dial_policy import DIAL_AT_ONCE, DialPolicy
from frostport.core.handles import HandleTable
from frostport.core.liveness_sweep import LivenessSweep
from frostport.interface import Outcome
from frostport.net import jsonl
from frostport.net.upstream import MAX_CONNECTIONS, Connect, UpstreamServer
from frostport.net.upstream_connection import ServerConnection


class UpstreamPool:
    """All upstream servers on the server list; implements the broker's `Route`."""

    def __init__(self, broker: Broker, front: Front, connect: Connect, connect_timeout_ms: float) -> None:
        self.broker = broker
        self.front = front
        self.connect = connect
        self.connect_timeout_ms = connect_timeout_ms
        self.clock = broker.clock
        self.deadlines = broker.deadlines
        self.connections: HandleTable[ServerConnection] = HandleTable()
        self.servers: dict[str, UpstreamServer] = {}
        self.dialing: DialPolicy = DIAL_AT_ONCE
        # Called with the number of connections that all servers together may open.
        self.on_connection_limit: Callable[[int], None] = lambda connections: None
        self.probes = broker.rules.settings.probes  # whether servers may be probed and tested
        self._sweep = LivenessSweep(
            self.clock, self.deadlines, self.servers.values, UpstreamServer.check_liveness
        )

    def start(self) -> None:
        """Starts the failure detectors of the servers."""
        self._sweep.start()

    def add(self, host: str, dial: str, started_ms: float) -> None:
        """Adds a listed server or updates it; called before the decision module learns of it.

        `started_ms` is when its process started, 0 if unknown: what was set up there before is gone."""
        server = self.servers.get(host)
        if server is not None and server.dial != dial:
            self.remove(host)
            server = None
        if server is None:
            server = self.servers[host] = UpstreamServer(self, host, dial)
            self.on_connection_limit(len(self.servers) * MAX_CONNECTIONS)
        if started_ms:
            server.reset(started_ms, "a new process")
        if not server.connections and self.dialing.connects_eagerly(host):
            server.schedule_dial(self.dialing.first_delay_ms(host))

    def remove(self, host: str) -> None:
        """Removes a server that is no longer listed, with its connections and calls."""
        server = self.servers.pop(host, None)
        if server is not None:
            server.on_unlisted()
            self.on_connection_limit(len(self.servers) * MAX_CONNECTIONS)

    def resume(self, releases: Iterable[tuple[str, str]]) -> None:
        """Sends releases that were pending before a restart or handover, as pairs of server and call."""
        for host, tag in releases:
            if host in self.servers:
                self.servers[host].release(tag, jsonl.NORMAL)
            else:
                self.broker.recorder.clear_pending_release(host, tag)

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt; fails it at once if its server is not listed."""
        server = self.servers.get(attempt.server)
        if server is None:
            self.broker.attempt_ended(attempt, Outcome.CONNECT_FAILED)
        else:
            server.send(attempt)

    def give_up(self, attempt: Attempt) -> None:
        if attempt.server in self.servers:
            self.servers[attempt.server].give_up(attempt)

    def release(self, attempt: Attempt) -> None:
        if attempt.server in self.servers:
            self.servers[attempt.server].release(attempt.request.id, jsonl.NORMAL)

    def release_unknown(self, call: str) -> None:
        """Sends the release to all servers, as any of them may have the call."""
        for server in self.servers.values():
            server.release(call, jsonl.NORMAL)

    def probe(self, server: str, number: int) -> None:
        """Sends a probe; fails it at once if the server is not listed."""
        listed = self.servers.get(server)
        if listed is None:
            self.broker.probe_ended(number, Outcome.CONNECT_FAILED)
        else:
            listed.probe(number)
