"""A scripted list service, called discovery in the trials: numbered events, and the ways it can fail."""

from __future__ import annotations

import asyncio
import contextlib
import json
from enum import StrEnum
from typing import Any

from standins.event_numbering import EventNumbering, Hosts
from standins.ports import free_ports
from trials.history import History, Kind

HEARTBEAT_S = 1.0  # longest time between two lines with the number of the last event


class Mode(StrEnum):
    """How discovery treats its connections."""

    UP = "up"
    DOWN = "down"  # refuses, and resets open connections
    SILENT = "silent"  # accepts, keeps open connections, and sends nothing
    REFUSING = "refusing"  # accepts, and closes at once; open connections are reset
    SLOW = "slow"  # accepts, and sends the first line after FIRST_LINE_DELAY_S


FIRST_LINE_DELAY_S = 3.0


class Discovery:
    """One discovery service with a port for each agent, since each agent has its own ports to the servers."""

    def __init__(self, history: History, server_ports: dict[str, dict[str, int]]) -> None:
        """`server_ports`: by agent, the port of each server."""
        self.history = history
        self.server_ports = server_ports
        self.mode = Mode.UP
        self.changes: list[Hosts] = []
        self.pending_changes: list[Hosts] = []  # published once the mode allows it
        self.numberings: dict[str, EventNumbering] = {}  # of the present start of each agent
        self.listeners: dict[str, asyncio.Server] = {}
        self.ports: dict[str, int] = {}
        self.connections: dict[asyncio.StreamWriter, str] = {}  # with the agent of each
        self.stalled: set[asyncio.StreamWriter] = set()
        self.former_listeners: dict[str, asyncio.Server] = {}  # at addresses before a move, by agent
        self.former_connections: dict[str, set[asyncio.StreamWriter]] = {}  # their connections, by agent
        self.changed = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()

    def agent_starts(self, agent: str) -> dict[str, Any]:
        """An agent starts: its numbers count from 1 again. Returns `known` for its configuration."""
        numbering = self.numberings[agent] = EventNumbering(self.changes)
        return numbering.known(self._dials(agent))

    def _dials(self, agent: str) -> dict[str, str]:
        return {server: f"127.0.0.1:{port}" for server, port in self.server_ports[agent].items()}

    async def start(self, agent: str) -> None:
        """Listens for an agent, on its previous port if it had one."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections[writer] = agent
            with contextlib.suppress(ConnectionError, ValueError, IndexError):
                await self._serve(agent, reader, writer)
            del self.connections[writer]
            self.stalled.discard(writer)
            writer.close()

        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.ensure_future(serve(reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

        port = self.ports.setdefault(agent, free_ports(1)[0])
        self.listeners[agent] = await asyncio.start_server(accept, "127.0.0.1", port)

    async def _serve(self, agent: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is Mode.REFUSING:
            return
        last_sent = int((await reader.readline()).split()[1])
        numbering = self.numberings[agent]
        if self.mode is Mode.SLOW:
            await asyncio.sleep(FIRST_LINE_DELAY_S)
        while not (writer.is_closing() or reader.at_eof()):
            changed = self.changed
            if self.mode in (Mode.UP, Mode.SLOW) and writer not in self.stalled:
                for number in range(last_sent + 1, numbering.last() + 1):
                    event = numbering.event(number, self._dials(agent))
                    writer.write(json.dumps(event).encode() + b"\n")
                    self._record_delivery(agent, number, numbering.hosts(number))
                last_sent = max(last_sent, numbering.last())
                writer.write(b"%d\n" % numbering.last())
                await writer.drain()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), HEARTBEAT_S)

    def _record_delivery(self, agent: str, number: int, hosts: Hosts) -> None:
        for host in hosts:
            self.history.add(Kind.DELIVERED, agent, server=host["host"], text=host["health"], number=number)

    def publish(self, hosts: Hosts) -> None:
        """Publishes a change of servers: now, or once discovery serves again."""
        if self.mode in (Mode.DOWN, Mode.SILENT, Mode.REFUSING):
            self.pending_changes.append(hosts)
            return
        self.changes.append(hosts)
        for host in hosts:
            self.history.add(
                Kind.LISTED, "discovery", server=host["host"], text=host["health"], number=len(self.changes)
            )
        self._notify_change()

    def _notify_change(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def set_mode(self, mode: Mode) -> None:
        """Changes the mode; changes that were held back are published when it serves again."""
        previous, self.mode = self.mode, mode
        if mode is Mode.UP and previous is not Mode.UP:
            self.history.add(Kind.DISCOVERY_UP, "discovery")
        elif previous is Mode.UP:
            self.history.add(Kind.DISCOVERY_DOWN, "discovery", text=mode.value)
        if mode is Mode.DOWN:
            for listener in self.listeners.values():
                listener.close()
        if mode in (Mode.DOWN, Mode.REFUSING):
            for writer in list(self.connections):
                writer.transport.abort()
        if previous is Mode.DOWN and mode is not Mode.DOWN:
            for agent in list(self.listeners):
                await self.start(agent)
        if mode in (Mode.UP, Mode.SLOW):
            pending_changes, self.pending_changes = self.pending_changes, []
            for hosts in pending_changes:
                self.publish(hosts)
        self._notify_change()

    def stall(self) -> None:
        """Sends nothing more on the connections that are open, and keeps them; new ones are served."""
        self.history.add(Kind.DISCOVERY_STALLED, "discovery")
        self.stalled.update(self.connections)

    async def move_port(self, agent: str) -> None:
        """Opens another port for an agent; the former one accepts nothing and sends nothing more."""
        self.former_listeners[agent] = self.listeners.pop(agent)
        self.former_listeners[agent].close()
        self.former_connections[agent] = {
            writer for writer, owner in self.connections.items() if owner == agent
        }
        self.stalled |= self.former_connections[agent]
        del self.ports[agent]
        await self.start(agent)

    def close_former(self, agent: str) -> None:
        """Closes the connections at an agent's former port."""
        for writer in self.former_connections.pop(agent, set()):
            writer.close()

    async def stop(self) -> None:
        """Closes all listeners and connections."""
        for listener in self.listeners.values():
            listener.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
