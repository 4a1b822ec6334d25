"""A cold site: one list service and a few lobby servers that all agents share, with limited capacity.

Every connection, list request and set-up costs a server processor time, and past a limit of queued work it
collapses and stays down. This follows the protocol: a cold server bears only a limited load from all call
agents together, and handshakes, probes and lists are paid for over the whole fleet.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time

from standins import cold_start_simulation
from standins.event_numbering import Hosts
from standins.fleet import Environment
from standins.lists import ListService
from standins.lobby import Caller, LobbyServer, Observations


class Processor:
    """One processor with a work queue. It collapses, for good, once more than `max_queue_ms` is queued."""

    def __init__(self, max_queue_ms: float) -> None:
        self.max_queue_ms = max_queue_ms
        self.free_at = 0.0
        self.collapsed = False
        self.longest_queue_ms = 0.0  # the longest that the queue has been

    def add_work(self, cost_ms: float) -> float:
        """Queues work and returns the seconds until it is done; sets `collapsed` if the queue is too long."""
        now = asyncio.get_running_loop().time() * 1000.0
        self.free_at = max(now, self.free_at) + cost_ms
        self.longest_queue_ms = max(self.longest_queue_ms, self.free_at - now)
        if self.free_at - now > self.max_queue_ms:
            self.collapsed = True
        return (self.free_at - now) / 1000.0


class LimitedServer:
    """A server with a `Processor`, of which each connection takes `handshake_ms`.

    It can go down and come up again, and notes when it accepted each connection (Unix s).
    """

    def __init__(self, handshake_ms: float, max_queue_ms: float) -> None:
        self.processor = Processor(max_queue_ms)
        self.handshake_ms = handshake_ms
        self.accepted_at: list[float] = []
        self.connections: set[asyncio.StreamWriter] = set()
        self.handler_tasks: set[asyncio.Task[None]] = set()
        self.listeners: list[asyncio.Server] = []
        self.port = 0
        self.silent = False  # accepts connections and never sends anything

    async def open(self) -> int:
        """Listens, on the same port as before if it has been up already, and returns the port."""
        self.port = await self.listen(self.port)
        return self.port

    async def listen(self, port: int, client: str = "") -> int:
        """Listens on one more port, 0 for a free one; `client` is whom it is for. Returns the port."""

        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.ensure_future(self._accept(reader, writer, client))
            self.handler_tasks.add(task)
            task.add_done_callback(self.handler_tasks.discard)

        listener = await asyncio.start_server(accept, "127.0.0.1", port, backlog=1024)
        self.listeners.append(listener)
        return int(listener.sockets[0].getsockname()[1])

    def go_down(self) -> None:
        """Closes the listening sockets and aborts all connections, as if its process had died."""
        for listener in self.listeners:
            listener.close()
        self.listeners.clear()
        for writer in self.connections:
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, client: str) -> None:
        self.accepted_at.append(time.time())
        wait_s = self.processor.add_work(self.handshake_ms)
        if self.processor.collapsed:
            self.go_down()
            writer.transport.abort()
            return
        self.connections.add(writer)
        try:
            await asyncio.sleep(wait_s)
            while self.silent:
                await asyncio.sleep(0.05)
            with contextlib.suppress(ConnectionError):
                await self.serve_client(reader, writer, client)
        finally:
            self.connections.discard(writer)

    async def serve_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, client: str
    ) -> None:
        """Serves one connection after its handshake; `client` is whom its port is for."""
        raise NotImplementedError


class LimitedListService(ListService, LimitedServer):
    """A list service with one processor for all agents, of which each request costs `ask_ms`.

    Each agent has a port of its own, since its numbers count from 1 at each of its starts.
    """

    def __init__(self, ask_ms: float, handshake_ms: float = 2.0, max_queue_ms: float = 1000.0) -> None:
        ListService.__init__(self)
        LimitedServer.__init__(self, handshake_ms, max_queue_ms)
        self.ask_ms = ask_ms
        self.agent_ports: dict[str, int] = {}
        self.oldest_kept_event = 0  # a request from before this offset counts as one for the complete list
        self.complete_lists = 0
        self.published_at: dict[int, float] = {}  # Unix ms, by event

    async def open(self) -> int:
        """Listens on the port of each agent; returns 0, as it has no port for all."""
        for name, port in self.agent_ports.items():
            self.agent_ports[name] = await self.listen(port, name)
        return 0

    async def open_for(self, name: str, dials: dict[str, str]) -> int:
        """Listens for one more agent, and returns the port; `dials` are its addresses of the servers."""
        self.dials[name] = dials
        self.agent_ports[name] = await self.listen(0, name)
        return self.agent_ports[name]

    def publish(self, hosts: Hosts) -> None:
        """Adds an event, sends it on all connections and notes its time in `published_at`."""
        super().publish(hosts)
        self.published_at[len(self.changes)] = time.time() * 1000.0

    async def serve_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, client: str
    ) -> None:
        with contextlib.suppress(ConnectionError, ValueError, IndexError):
            number = int((await reader.readline()).split()[1])
            self.requests.append((time.time(), client, number))
            wait_s = self.processor.add_work(self.ask_ms)
            if self.processor.collapsed:
                self.go_down()
                return
            await asyncio.sleep(wait_s)
            self.complete_lists += number < self.oldest_kept_event
            await self.send_events(client, number, reader, writer)
        writer.close()


class LimitedLobbyServer(LobbyServer, LimitedServer):
    """A lobby server that all agents share; each set-up costs `set_up_ms` of its processor."""

    def __init__(
        self,
        name: str,
        observed: Observations,
        rng: random.Random,
        set_up_ms: float,
        handshake_ms: float = 1.0,
        max_queue_ms: float = 1000.0,
    ) -> None:
        LobbyServer.__init__(self, name, observed, rng, refusal_probability=0.0)
        LimitedServer.__init__(self, handshake_ms, max_queue_ms)
        self.set_up_ms = set_up_ms

    async def serve_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, client: str
    ) -> None:
        await LobbyServer.serve(self, reader, writer)

    def on_set_up(self) -> None:
        """Queues the work of a set-up; the server goes down if it collapses under it."""
        self.processor.add_work(self.set_up_ms)
        if self.processor.collapsed:
            self.go_down()


class ColdSite(Environment):
    """The list service and lobby servers that all agents of a rig share; each agent has its own clients."""

    def __init__(
        self, callers: int = 1, servers: int = 3, ask_ms: float = 50.0, mean_gap_ms: float = 100.0
    ) -> None:
        super().__init__(callers)
        self.mean_gap_ms = mean_gap_ms
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
        self.dials: dict[str, str] = {}  # the address of each lobby server, the same for all agents
        self.limited_list = self.list_service = LimitedListService(ask_ms)
        self.list_service.publish(self.hosts)
        self.shared_servers = [
            LimitedLobbyServer(f"h{number}", self.observed, random.Random(number), 1.0)
            for number in range(servers)
        ]

    async def add_agent(self, name: str, listen: int, rng: random.Random) -> tuple[dict[str, str], str]:
        """Adds an agent's clients; the first call also starts the shared servers.

        Returns the lobby servers' addresses by host, and the list service's address.
        """
        if not self.dials:
            for lobby in self.shared_servers:
                self.dials[lobby.name] = f"127.0.0.1:{await lobby.open()}"
            self.lobbies += self.shared_servers
        list_port = await self.limited_list.open_for(name, self.dials)
        first = len(self.callers)
        self.callers += [
            Caller(
                first + number,
                self.observed,
                random.Random(rng.random()),
                lambda: listen,
                mean_gap_ms=self.mean_gap_ms,
            )
            for number in range(self.callers_per_agent)
        ]
        return self.dials, f"127.0.0.1:{list_port}"

    def endpoints(self) -> dict[str, LimitedServer]:
        """The list service as "list", and the lobby servers by name."""
        return {"list": self.limited_list, **{lobby.name: lobby for lobby in self.shared_servers}}

    async def stop(self) -> None:
        for endpoint in self.endpoints().values():
            endpoint.silent = False
            endpoint.go_down()
            for task in endpoint.handler_tasks:
                task.cancel()
            await asyncio.gather(*endpoint.handler_tasks, return_exceptions=True)
        await super().stop()


def max_in_window(times: list[float], since: float = 0.0) -> int:
    """The maximum number of these times (Unix s), from `since` on, within any 100 ms."""
    return cold_start_simulation.max_in_window([time_s * 1000.0 for time_s in times if time_s >= since])
