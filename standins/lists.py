"""A scripted list service: numbered events, sent from the number that each connection asks for."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any

from standins.event_numbering import EventNumbering, Hosts


class ListService:
    """One list of servers, which every agent reads at a port of its own, since each agent reaches the servers
    at addresses of its own (through relays). Its numbers count from 1 at each start of an agent."""

    def __init__(self, heartbeat_s: float = 1.0) -> None:
        self.heartbeat_s = heartbeat_s
        self.changes: list[Hosts] = []  # over all starts
        self.numberings: dict[str, EventNumbering] = {}  # of the present start of each agent
        self.dials: dict[str, dict[str, str]] = {}  # by agent: the address of each server
        self.requests: list[tuple[float, str, int]] = []  # Unix s, agent, number
        self.tasks: set[asyncio.Task[None]] = set()
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.changed = asyncio.Event()  # set, and replaced, with each new event

    def publish(self, hosts: Hosts) -> None:
        """Adds an event and sends it on all connections."""
        self.changes.append(hosts)
        self.changed.set()
        self.changed = asyncio.Event()

    def agent_starts(self, name: str) -> dict[str, Any]:
        """An agent starts: its numbers count from 1 again. Returns `known` for its configuration."""
        numbering = self.numberings[name] = EventNumbering(self.changes)
        return numbering.known(self.dials[name])

    async def send_events(
        self, name: str, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Sends an agent the events after `number`, and at least each `heartbeat_s` the last one's number."""
        numbering = self.numberings.get(name)
        while not (writer.is_closing() or reader.at_eof()):
            changed = self.changed
            last = numbering.last() if numbering is not None else 0
            if numbering is not None:
                for later in range(number + 1, last + 1):
                    event = numbering.event(later, self.dials[name])
                    writer.write(json.dumps(event).encode() + b"\n")
            number = max(number, last)
            writer.write(b"%d\n" % last)
            await writer.drain()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), self.heartbeat_s)

    async def start(self, name: str, dials: dict[str, str]) -> int:
        """Listens for one agent, and returns the port; `dials` maps the names of servers to addresses."""
        self.dials[name] = dials

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, ValueError):
                number = int((await reader.readline()).split()[1])
                self.requests.append((time.time(), name, number))
                await self.send_events(name, number, reader, writer)
            writer.close()
            self.writers.discard(writer)

        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.add(writer)
            task = asyncio.ensure_future(serve(reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stops listening, and closes all connections: a cancelled task doesn't close its own."""
        for server in self.servers:
            server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.writers:
            writer.close()
        await asyncio.gather(*(writer.wait_closed() for writer in self.writers), return_exceptions=True)
