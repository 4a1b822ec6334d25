"""Scripted discovery: numbered events, and the ways in which it can fail."""

from __future__ import annotations

import asyncio
import contextlib
import json
from enum import StrEnum
from typing import Any

from standins.ports import free_ports
from trials.history import History, Kind

BEAT_S = 1.0  # between two lines with the last number


class Mode(StrEnum):
    """How discovery treats those who ask."""

    UP = "up"
    DOWN = "down"  # refuses, and breaks what is open
    SILENT = "silent"  # accepts and keeps what is open, and says nothing
    REFUSING = "refusing"  # accepts, and closes at once
    SLOW = "slow"  # answers after SLOW_S


SLOW_S = 3.0


class Discovery:
    """One discovery service with a port for each agent, since each reaches the servers by its own ports."""

    def __init__(self, history: History, dials: dict[str, dict[str, int]]) -> None:
        """`dials`: by agent, the port of each server."""
        self.history, self.dials = history, dials
        self.mode = Mode.UP
        self.changes: list[list[dict[str, Any]]] = []
        self.waiting: list[list[dict[str, Any]]] = []  # changes that come once it is up
        self.servers: dict[str, asyncio.Server] = {}
        self.ports: dict[str, int] = {}
        self.open: dict[asyncio.StreamWriter, str] = {}  # and the agent of each
        self.stalled: set[asyncio.StreamWriter] = set()
        self.old_servers: dict[str, asyncio.Server] = {}  # at addresses that were left
        self.old: dict[str, set[asyncio.StreamWriter]] = {}  # and what is open there
        self.changed = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, agent: str) -> None:
        """Listens for an agent, on its port of before if there was one."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.open[writer] = agent
            with contextlib.suppress(ConnectionError, ValueError, IndexError):
                await self._serve(agent, reader, writer)
            del self.open[writer]
            self.stalled.discard(writer)
            writer.close()

        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.ensure_future(serve(reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

        port = self.ports.setdefault(agent, free_ports(1)[0])
        self.servers[agent] = await asyncio.start_server(accept, "127.0.0.1", port)

    async def _serve(self, agent: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is Mode.REFUSING:
            return
        had = int((await reader.readline()).split()[1])
        if self.mode is Mode.SLOW:
            await asyncio.sleep(SLOW_S)
        while not (writer.is_closing() or reader.at_eof()):
            changed = self.changed
            if self.mode in (Mode.UP, Mode.SLOW) and writer not in self.stalled:
                for number in range(had + 1, len(self.changes) + 1):
                    writer.write(self.line(agent, number))
                    self._note(agent, number)
                had = len(self.changes)
                writer.write(b"%d\n" % had)
                await writer.drain()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), BEAT_S)

    def _note(self, agent: str, number: int) -> None:
        for host in self.changes[number - 1]:
            self.history.add(Kind.DELIVERED, agent, server=host["host"], text=host["health"], number=number)

    def line(self, agent: str, number: int) -> bytes:
        """One event as this agent hears it."""
        return json.dumps(self.event(agent, number)).encode() + b"\n"

    def event(self, agent: str, number: int) -> dict[str, Any]:
        """One event with this agent's ports."""
        hosts = [
            {**host, "dial": f"127.0.0.1:{self.dials[agent][host['host']]}"}
            for host in self.changes[number - 1]
        ]
        return {"offset": number, "topology": {"seq": number, "whole": number == 1, "hosts": hosts}}

    def change(self, hosts: list[dict[str, Any]]) -> None:
        """Takes a change in: now, or once it is up again."""
        if self.mode in (Mode.DOWN, Mode.SILENT, Mode.REFUSING):
            self.waiting.append(hosts)
            return
        self.changes.append(hosts)
        for host in hosts:
            self.history.add(
                Kind.LISTED, "discovery", server=host["host"], text=host["health"], number=len(self.changes)
            )
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def enter(self, mode: Mode) -> None:
        """Changes how it treats those who ask."""
        before, self.mode = self.mode, mode
        if mode is Mode.UP and before is not Mode.UP:
            self.history.add(Kind.DISCOVERY_UP, "discovery")
        elif before is Mode.UP:
            self.history.add(Kind.DISCOVERY_DOWN, "discovery", text=mode.value)
        if mode is Mode.DOWN:
            for server in self.servers.values():
                server.close()
        if mode in (Mode.DOWN, Mode.REFUSING):
            for writer in list(self.open):
                writer.transport.abort()
        if before is Mode.DOWN and mode is not Mode.DOWN:
            for agent in list(self.servers):
                await self.start(agent)
        if mode in (Mode.UP, Mode.SLOW):
            waiting, self.waiting = self.waiting, []
            for hosts in waiting:
                self.change(hosts)
        self._wake()

    def stall(self) -> None:
        """What is open falls silent, and stays open; new connections are served."""
        self.history.add(Kind.DISCOVERY_STALLED, "discovery")
        self.stalled.update(self.open)

    async def move(self, agent: str) -> None:
        """Another port for an agent; the old one accepts nothing more, and says nothing more."""
        self.old_servers[agent] = self.servers.pop(agent)
        self.old_servers[agent].close()
        self.old[agent] = {writer for writer, whose in self.open.items() if whose == agent}
        self.stalled |= self.old[agent]
        del self.ports[agent]
        await self.start(agent)

    def end_old(self, agent: str) -> None:
        """Closes what is open at the address that was left."""
        for writer in self.old.pop(agent, set()):
            writer.close()

    async def stop(self) -> None:
        """Closes everything."""
        for server in self.servers.values():
            server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
