"""A site that starts from nothing: one list service and a few lobby servers for all agents, each with a cost
for every connection, ask and set-up, and a point past which it collapses and stays down.

After the protocol page: a cold server bears only so much from all call agents together, probes, handshakes
and lists are paid for over the whole fleet.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from typing import Any

from standins import starts
from standins.fleet import Outside
from standins.lists import ListService
from standins.lobby import Books, Caller, Lobby


class Processor:
    """One processor: work waits in line, and past `most_ms` of it in line it gives up for good."""

    def __init__(self, most_ms: float) -> None:
        self.most_ms, self.free_at, self.collapsed = most_ms, 0.0, False
        self.longest_ms = 0.0  # the most that has waited in line

    def takes(self, cost_ms: float) -> float:
        """Seconds until this work is done; 0 work is free. Sets `collapsed`."""
        now = asyncio.get_running_loop().time() * 1000.0
        self.free_at = max(now, self.free_at) + cost_ms
        self.longest_ms = max(self.longest_ms, self.free_at - now)
        if self.free_at - now > self.most_ms:
            self.collapsed = True
        return (self.free_at - now) / 1000.0


class Costly:
    """A listening stand-in that can go away and come back, and notes each connection (Unix s)."""

    def __init__(self, handshake_ms: float, most_ms: float) -> None:
        self.processor, self.handshake_ms = Processor(most_ms), handshake_ms
        self.accepted: list[float] = []
        self.held_open: set[asyncio.StreamWriter] = set()
        self.under_way: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.mute = False  # accepts, and never speaks

    async def open(self) -> int:
        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.ensure_future(self._accept(reader, writer))
            self.under_way.add(task)
            task.add_done_callback(self.under_way.discard)

        self.server = await asyncio.start_server(accept, "127.0.0.1", self.port, backlog=1024)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    def away(self) -> None:
        """Its process has died: nobody listens, what was open is broken."""
        if self.server is not None:
            self.server.close()
        for writer in self.held_open:
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted.append(time.time())
        wait_s = self.processor.takes(self.handshake_ms)
        if self.processor.collapsed:
            self.away()
            writer.transport.abort()
            return
        self.held_open.add(writer)
        try:
            await asyncio.sleep(wait_s)
            while self.mute:
                await asyncio.sleep(0.05)
            with contextlib.suppress(ConnectionError):
                await self.serve(reader, writer)
        finally:
            self.held_open.discard(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class CostlyList(ListService, Costly):
    """One address for all agents. `asked`: when, at which port, from where."""

    def __init__(self, ask_ms: float, handshake_ms: float = 2.0, most_ms: float = 1000.0) -> None:
        ListService.__init__(self)
        Costly.__init__(self, handshake_ms, most_ms)
        self.ask_ms = ask_ms
        self.dials: dict[str, str] = {}
        self.kept_from = 0  # who asks from before gets the whole list
        self.whole_lists = 0
        self.told_at: dict[int, float] = {}  # Unix ms

    def tell(self, hosts: list[dict[str, Any]]) -> None:
        super().tell(hosts)
        self.told_at[len(self.events)] = time.time() * 1000.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, ValueError, IndexError):
            at = int((await reader.readline()).split()[1])
            self.asked.append((time.time(), str(self.port), at))
            wait_s = self.processor.takes(self.ask_ms)
            if self.processor.collapsed:
                self.away()
                return
            await asyncio.sleep(wait_s)
            self.whole_lists += at < self.kept_from
            while not writer.is_closing():
                told = self.told
                while at < len(self.events):
                    at += 1
                    writer.write(self.event(at, self.dials))
                writer.write(b"%d\n" % at)
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(told.wait(), self.beat_s)
        writer.close()


class CostlyLobby(Lobby, Costly):
    """A lobby server for all agents."""

    def __init__(
        self,
        name: str,
        books: Books,
        chance: random.Random,
        set_up_ms: float,
        handshake_ms: float = 1.0,
        most_ms: float = 1000.0,
    ) -> None:
        Lobby.__init__(self, name, books, chance, busy=0.0)
        Costly.__init__(self, handshake_ms, most_ms)
        self.set_up_ms = set_up_ms

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await Lobby.serve(self, reader, writer)

    def began(self) -> None:
        self.processor.takes(self.set_up_ms)
        if self.processor.collapsed:
            self.away()


class DarkSite(Outside):
    """What all agents of a rig share; clients call each agent at its own port."""

    def __init__(
        self, callers: int = 1, servers: int = 3, ask_ms: float = 50.0, gap_ms: float = 100.0
    ) -> None:
        super().__init__(callers)
        self.gap_ms = gap_ms
        self.hosts = [
            {
                "host": f"h{number}",
                "site": "east",
                "class": "std",
                "block": number,
                "health": "ready",
                "share": 100,
                "born_ms": 0.0,
            }
            for number in range(servers)
        ]
        self.costly = self.list = CostlyList(ask_ms)
        self.list.tell(self.hosts)
        self.shared = [
            CostlyLobby(f"h{number}", self.books, random.Random(number), 1.0) for number in range(servers)
        ]

    async def join(self, name: str, listen: int, chance: random.Random) -> tuple[dict[str, str], str]:
        if not self.costly.port:
            for lobby in self.shared:
                self.costly.dials[lobby.name] = f"127.0.0.1:{await lobby.open()}"
            await self.costly.open()
            self.lobbies += self.shared
        first = len(self.callers)
        self.callers += [
            Caller(
                first + number, self.books, random.Random(chance.random()), lambda: listen, gap_ms=self.gap_ms
            )
            for number in range(self.each)
        ]
        return self.costly.dials, f"127.0.0.1:{self.costly.port}"

    def parties(self) -> dict[str, Costly]:
        return {"list": self.costly, **{lobby.name: lobby for lobby in self.shared}}

    async def stop(self) -> None:
        for party in self.parties().values():
            party.mute = False
            party.away()
            for task in party.under_way:
                task.cancel()
            await asyncio.gather(*party.under_way, return_exceptions=True)
        await super().stop()


def busiest(times: list[float], since: float = 0.0) -> int:
    """The most of these Unix seconds, from `since` on, in any 100 ms."""
    return starts.busiest([each * 1000.0 for each in times if each >= since])
