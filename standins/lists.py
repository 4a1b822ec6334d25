"""A scripted list service: numbered events, sent from the offset that each connection asks for."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any


class ListService:
    """One list of servers, which every agent reads at a port of its own, since each agent reaches the servers
    at addresses of its own (through relays)."""

    def __init__(self, heartbeat_s: float = 1.0) -> None:
        self.heartbeat_s = heartbeat_s
        # The hosts in each event; the first event is a complete list, the later ones are changes.
        self.events: list[list[dict[str, Any]]] = []
        self.requests: list[tuple[float, str, int]] = []  # Unix s, agent, offset
        self.tasks: set[asyncio.Task[None]] = set()
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.changed = asyncio.Event()  # set, and replaced, with each new event

    def publish(self, hosts: list[dict[str, Any]]) -> None:
        """Adds an event and sends it on all connections."""
        self.events.append(hosts)
        self.changed.set()
        self.changed = asyncio.Event()

    def encode_event(self, number: int, dials: dict[str, str]) -> bytes:
        """The line for an event, counted from 1; `dials` maps host names to addresses."""
        hosts = [{**host, "dial": dials[host["host"]]} for host in self.events[number - 1]]
        return (
            json.dumps(
                {"offset": number, "topology": {"seq": number, "whole": number == 1, "hosts": hosts}}
            ).encode()
            + b"\n"
        )

    async def start(self, name: str, dials: dict[str, str]) -> int:
        """Listens for one agent, and returns the port."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, ValueError):
                offset = int((await reader.readline()).split()[1])
                self.requests.append((time.time(), name, offset))
                while True:
                    changed = self.changed
                    while offset < len(self.events):
                        offset += 1
                        writer.write(self.encode_event(offset, dials))
                    writer.write(b"%d\n" % offset)
                    await writer.drain()
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(changed.wait(), self.heartbeat_s)
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
