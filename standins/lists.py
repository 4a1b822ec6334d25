"""The list service as a stand-in: numbered events, told from where each connection asks."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any


class ListService:
    """One list; each agent has a port of its own, since it reaches the servers by addresses of its own."""

    def __init__(self, beat_s: float = 1.0) -> None:
        self.beat_s = beat_s
        self.events: list[list[dict[str, Any]]] = []  # the hosts that each one tells of; the first is whole
        self.asked: list[tuple[float, str, int]] = []  # when (s), by whom, from where
        self.tasks: set[asyncio.Task[None]] = set()
        self.servers: list[asyncio.Server] = []
        self.told = asyncio.Event()

    def tell(self, hosts: list[dict[str, Any]]) -> None:
        self.events.append(hosts)
        self.told.set()
        self.told = asyncio.Event()

    def event(self, number: int, dials: dict[str, str]) -> bytes:
        hosts = [{**host, "dial": dials[host["host"]]} for host in self.events[number - 1]]
        return (
            json.dumps(
                {"offset": number, "topology": {"seq": number, "whole": number == 1, "hosts": hosts}}
            ).encode()
            + b"\n"
        )

    async def start(self, name: str, dials: dict[str, str]) -> int:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, ValueError):
                at = int((await reader.readline()).split()[1])
                self.asked.append((time.time(), name, at))
                while True:
                    told = self.told
                    while at < len(self.events):
                        at += 1
                        writer.write(self.event(at, dials))
                    writer.write(b"%d\n" % at)
                    await writer.drain()
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(told.wait(), self.beat_s)
            writer.close()

        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.ensure_future(serve(reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        for server in self.servers:
            server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
