"""A site of a trial: agents, servers, clients and discovery, wired together on loopback."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
from dataclasses import dataclass, field
from typing import Any

from standins.ports import free_ports
from trials.agents import AgentProcess
from trials.client import Client, Habits
from trials.discovery import Discovery, Mode
from trials.history import History, Kind
from trials.server import Behaviour, Server

CALL_CLASS = "race"
OLD_ADDRESS_S = 1.5  # after SIGHUP, discovery closes what is open at its old address
READY_S = 30.0  # how long the agents may take to be ready before the trial begins


@dataclass
class Day:
    """The settings of a trial. Times in ms."""

    deadline_ms: float = 3000.0
    grace_ms: float = 500.0
    guard_ms: float = 300.0
    attempts: int = 4
    connect_timeout_ms: float = 500.0
    cold_from: float = 0.34
    cold_ms: float = 6000.0
    fall_multiple: float = 3.0
    fall_ms: float = 2000.0
    probes: bool = True
    peers: bool = True
    effect: str = "pure"
    sockets: int = 256
    diameter: bool = False  # clients and servers are Diameter peers

    def settings(self, servers: int, me: int, agents: int) -> dict[str, Any]:
        """The settings as an agent's configuration has them."""
        return {
            "services": [
                {
                    "name": CALL_CLASS,
                    "aim-ms": self.deadline_ms / 2.0,
                    "deadline-ms": self.deadline_ms,
                    "late-worth": 0.1,
                    "effect": self.effect,
                }
            ],
            "caps": {
                "try-limit": self.attempts,
                "may-cancel": True,
                "probes": self.probes,
                "peers": self.peers,
                "connect-timeout-ms": self.connect_timeout_ms,
            },
            "family-info": {
                "topology": "pools",
                "pools-by-class": [list(range(servers))],
                "holding-ms": [4000.0],
                "release-guard-ms": self.guard_ms,
                "retransmit-ms": 400.0,
            },
            "report": {"columns": ["free", "size", "can_take"], "how": "piggyback"},
            "me": me,
            "siblings": agents,
            "rules": {
                "drain-grace-ms": self.grace_ms,
                "cold-from": self.cold_from,
                "cold-ms": self.cold_ms,
                "fall-multiple": self.fall_multiple,
                "fall-ms": self.fall_ms,
            },
        }


@dataclass
class Size:
    """How many of each party there are."""

    agents: int = 3
    servers: int = 5
    clients: int = 4  # of each agent
    spare_servers: int = 3  # that may join later
    habits: Habits = field(default_factory=Habits)
    behaviour: Behaviour = field(default_factory=Behaviour)


class Site:
    """The parties of one trial."""

    def __init__(self, folder: pathlib.Path, seed: int, day: Day, size: Size, defect: str = "") -> None:
        """`defect`: one of `trials.planted`, put into every agent."""
        self.folder, self.day, self.size, self.defect = folder, day, size, defect
        self.chance, self.history = random.Random(seed), History()
        self.agents: dict[str, AgentProcess] = {}
        self.servers: dict[str, Server] = {}
        self.clients: list[Client] = []
        self.discovery: Discovery | None = None
        self.entries: dict[str, dict[str, Any]] = {}
        self.most_memory_bytes = 0
        self.most_descriptors = 0
        self.watching: asyncio.Task[None] | None = None

    def _fork(self) -> random.Random:
        return random.Random(self.chance.random())

    async def open(self) -> None:
        """Starts everything, and waits until all agents are ready."""
        names = [f"n{number}" for number in range(self.size.agents)]
        dials: dict[str, dict[str, int]] = {name: {} for name in names}
        for number in range(self.size.servers + self.size.spare_servers):
            server = Server(
                f"s{number}", self.history, self._fork(), self.size.behaviour, names, self.day.diameter
            )
            self.servers[server.name] = server
            for agent, port in server.start().items():
                dials[agent][server.name] = port
            if number >= self.size.servers:
                server.crash()  # nobody there yet: refuses
            self.entries[server.name] = {
                "host": server.name,
                "site": "east",
                "class": "std",
                "block": number,
                "health": "ready",
                "share": 4,
                "born_ms": 0,
            }
        self.discovery = Discovery(self.history, dials)
        self.discovery.changes.append([self.entries[f"s{number}"] for number in range(self.size.servers)])
        ports = free_ports(len(names) * 3)
        for number, name in enumerate(names):
            await self.discovery.start(name)
            record: dict[str, Any] = {
                "name": name,
                "listen": f"127.0.0.1:{ports[3 * number]}",
                "operator": f"127.0.0.1:{ports[3 * number + 2]}",
                "seed": f"{number:02x}",
                "limits": {"sockets": self.day.sockets},
                "settings": self.day.settings(len(self.servers), number, len(names)),
            }
            if self.day.diameter:
                record["diameter"] = self._diameter(name, dials[name], len(names))
            else:
                record["bus"] = f"127.0.0.1:{self.discovery.ports[name]}"
                record["known"] = {"offset": 1, "batch": [self.discovery.event(name, 1)]}
            if self.day.peers:
                record["peer_listen"] = f"127.0.0.1:{ports[3 * number + 1]}"
                record["peers"] = [f"127.0.0.1:{port}" for port in ports[1::3]]
            self.agents[name] = AgentProcess(name, self.folder, record, self.history, self.defect)
            await self.agents[name].start()
        async with asyncio.timeout(READY_S):
            await asyncio.gather(*(agent.ready() for agent in self.agents.values()))
        for number, name in enumerate(names * self.size.clients):
            client = Client(
                f"c{number}",
                name,
                ports[3 * names.index(name)],
                self.history,
                self._fork(),
                self.size.habits,
                CALL_CLASS,
                number + 1,
                self.day.diameter,
            )
            self.clients.append(client)
            client.start()
        self.watching = asyncio.ensure_future(self._watch())

    def _diameter(self, name: str, dials: dict[str, int], agents: int) -> dict[str, Any]:
        """An agent's peers: all clients, and the servers that are there from the start."""
        return {
            "host": name,
            "realm": "here",
            "clients": [f"c{number}" for number in range(agents * self.size.clients)],
            "watchdog_ms": 6000,
            "servers": [
                {"host": f"s{number}", "dial": f"127.0.0.1:{dials[f's{number}']}", "number": number}
                for number in range(self.size.servers)
            ],
        }

    async def _watch(self) -> None:
        while True:
            for agent in self.agents.values():
                self.most_memory_bytes = max(self.most_memory_bytes, agent.memory_bytes())
                self.most_descriptors = max(self.most_descriptors, agent.descriptors())
            await asyncio.sleep(0.25)

    def list_as(self, name: str, health: str, born_ms: int | None = None) -> None:
        """Discovery has a new state of a server."""
        assert self.discovery is not None
        entry = {**self.entries[name], "health": health}
        if born_ms is not None:
            entry["born_ms"] = born_ms
        self.entries[name] = entry
        self.discovery.change([entry])

    def refresh_known(self, agent: AgentProcess) -> None:
        """A process that starts is given the list as it stands."""
        assert self.discovery is not None
        if self.day.diameter:
            return
        number = len(self.discovery.changes)
        events = [self.discovery.event(agent.name, at) for at in range(1, number + 1)]
        agent.record["known"] = {"offset": number, "batch": events}
        agent.record["bus"] = f"127.0.0.1:{self.discovery.ports[agent.name]}"

    async def move_discovery(self, name: str) -> None:
        """Discovery moves to another address for an agent, which is told by SIGHUP; the old one ends."""
        assert self.discovery is not None
        agent = self.agents[name]
        await self.discovery.move(name)
        agent.write_configuration(bus=f"127.0.0.1:{self.discovery.ports[name]}")
        self.history.add(Kind.RELOADED, name)
        agent.send(signal.SIGHUP)
        await asyncio.sleep(OLD_ADDRESS_S)
        self.discovery.end_old(name)

    async def discovery_mode(self, mode: Mode) -> None:
        """Changes how discovery treats those who ask."""
        assert self.discovery is not None
        await self.discovery.enter(mode)

    async def quiesce(self, patience_s: float) -> None:
        """Clients ask no more; those that are left have their calls ended; waits until all is told."""
        for client in self.clients:
            client.asking = False
            client.habits = Habits(closes_every_s=0.0)
        await asyncio.sleep(patience_s)

    async def close(self) -> None:
        """Ends everything and saves the history."""
        for server in self.servers.values():
            server.tell_left()
        self.history.add(Kind.FINISHED, "trial")
        if self.watching is not None:
            self.watching.cancel()
        for agent in self.agents.values():
            if agent.running():
                agent.send(signal.SIGCONT)
            await agent.stop()
        for client in self.clients:
            client.stop()
        for server in self.servers.values():
            server.stop()
        if self.discovery is not None:
            await self.discovery.stop()
        self.history.save(self.folder / "history.jsonl")
