"""The site of a trial: agents, servers, clients and discovery, connected on loopback."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
from dataclasses import dataclass, field
from typing import Any

from standins.ports import free_ports
from trials.agents import AgentProcess
from trials.client import Client, ClientBehaviour
from trials.discovery import Discovery, Mode
from trials.history import History, Kind
from trials.server import Server, ServerBehaviour

CALL_CLASS = "race"
FORMER_CLOSE_DELAY_S = 1.5  # after SIGHUP, until discovery closes the connections at its former address
READY_TIMEOUT_S = 30.0  # for all agents to be ready before the trial begins


@dataclass
class TrialSettings:
    """The settings that a trial varies; the names follow the agent's configuration."""

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
    store: bool = False  # each agent has one, which outlives its restarts

    def for_agent(self, servers: int, agent_number: int, agents: int) -> dict[str, Any]:
        """The `settings` entry of the configuration of one agent.

        `servers` counts the spare ones as well; `agent_number` is the agent's index among `agents`.
        """
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
            "me": agent_number,
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
    """How many parties of each kind a trial has, and how they behave."""

    agents: int = 3
    servers: int = 5
    clients: int = 4  # per agent
    spare_servers: int = 3  # join in `server-replace` faults
    client_behaviour: ClientBehaviour = field(default_factory=ClientBehaviour)
    server_behaviour: ServerBehaviour = field(default_factory=ServerBehaviour)


class Site:
    """The parties of one trial, and the history that they record."""

    def __init__(
        self, folder: pathlib.Path, seed: int, settings: TrialSettings, size: Size, defect: str = ""
    ) -> None:
        """`defect` names a function of `trials.planted` that every agent is started with, empty for none."""
        self.folder = folder
        self.settings = settings
        self.size = size
        self.defect = defect
        self.rng = random.Random(seed)
        self.history = History()
        self.agents: dict[str, AgentProcess] = {}
        self.servers: dict[str, Server] = {}
        self.clients: list[Client] = []
        self.discovery: Discovery | None = None
        self.entries: dict[str, dict[str, Any]] = {}  # the current list entry of each server
        self.peak_memory_bytes = 0
        self.peak_descriptors = 0
        self.resource_watch: asyncio.Task[None] | None = None

    def _fork_rng(self) -> random.Random:
        return random.Random(self.rng.random())

    async def open(self) -> None:
        """Starts all parties; the clients begin once all agents are ready.

        Raises TimeoutError if the agents are not ready within `READY_TIMEOUT_S`.
        """
        names = [f"n{number}" for number in range(self.size.agents)]
        server_ports: dict[str, dict[str, int]] = {name: {} for name in names}
        for number in range(self.size.servers + self.size.spare_servers):
            server = Server(
                f"s{number}",
                self.history,
                self._fork_rng(),
                self.size.server_behaviour,
                names,
                self.settings.diameter,
            )
            self.servers[server.name] = server
            for agent, port in server.start().items():
                server_ports[agent][server.name] = port
            if number >= self.size.servers:
                server.crash()  # a spare refuses connections until it joins
            self.entries[server.name] = {
                "host": server.name,
                "site": "east",
                "class": "std",
                "block": number,
                "health": "ready",
                "share": 4,
                "born_ms": 0,
            }
        self.discovery = Discovery(self.history, server_ports)
        self.discovery.changes.append([self.entries[f"s{number}"] for number in range(self.size.servers)])
        ports = free_ports(len(names) * 3)
        for number, name in enumerate(names):
            await self.discovery.start(name)
            configuration: dict[str, Any] = {
                "name": name,
                "listen": f"127.0.0.1:{ports[3 * number]}",
                "operator": f"127.0.0.1:{ports[3 * number + 2]}",
                "seed": f"{number:02x}",
                "limits": {"sockets": self.settings.sockets},
                "settings": self.settings.for_agent(len(self.servers), number, len(names)),
            }
            if self.settings.diameter:
                configuration["diameter"] = self._diameter_configuration(name, server_ports[name], len(names))
            else:
                configuration["bus"] = f"127.0.0.1:{self.discovery.ports[name]}"
            if self.settings.peers:
                configuration["peer_listen"] = f"127.0.0.1:{ports[3 * number + 1]}"
                configuration["peers"] = [f"127.0.0.1:{port}" for port in ports[1::3]]
            if self.settings.store:
                configuration["store"] = {"path": str(self.folder / f"{name}.store")}
            self.agents[name] = AgentProcess(name, self.folder, configuration, self.history, self.defect)
            await self.start_agent(self.agents[name])
        async with asyncio.timeout(READY_TIMEOUT_S):
            await asyncio.gather(*(agent.wait_until_ready() for agent in self.agents.values()))
        for number, name in enumerate(names * self.size.clients):
            client = Client(
                f"c{number}",
                name,
                ports[3 * names.index(name)],
                self.history,
                self._fork_rng(),
                self.size.client_behaviour,
                CALL_CLASS,
                number + 1,
                self.settings.diameter,
            )
            self.clients.append(client)
            client.start()
        self.resource_watch = asyncio.ensure_future(self._watch_resources())

    def _diameter_configuration(self, name: str, server_ports: dict[str, int], agents: int) -> dict[str, Any]:
        """The `diameter` entry of an agent's configuration: all clients and all but the spare servers."""
        return {
            "host": name,
            "realm": "here",
            "clients": [f"c{number}" for number in range(agents * self.size.clients)],
            "watchdog_ms": 6000,
            "servers": [
                {"host": f"s{number}", "dial": f"127.0.0.1:{server_ports[f's{number}']}", "number": number}
                for number in range(self.size.servers)
            ],
        }

    async def _watch_resources(self) -> None:
        while True:
            for agent in self.agents.values():
                self.peak_memory_bytes = max(self.peak_memory_bytes, agent.memory_bytes())
                self.peak_descriptors = max(self.peak_descriptors, agent.descriptors())
            await asyncio.sleep(0.25)

    def publish_health(self, name: str, health: str, born_ms: int | None = None) -> None:
        """Publishes a new state of a server to discovery; `born_ms` is the start of a new process."""
        assert self.discovery is not None
        entry = {**self.entries[name], "health": health}
        if born_ms is not None:
            entry["born_ms"] = born_ms
        self.entries[name] = entry
        self.discovery.publish([entry])

    async def start_agent(self, agent: AgentProcess) -> None:
        """Starts an agent's process, with the current server list and discovery address as configuration."""
        assert self.discovery is not None
        if not self.settings.diameter:
            agent.configuration["known"] = self.discovery.agent_starts(agent.name)
            agent.configuration["bus"] = f"127.0.0.1:{self.discovery.ports[agent.name]}"
        await agent.start()

    async def move_discovery(self, name: str) -> None:
        """Moves discovery to another address for one agent, sends it SIGHUP, and closes the former one."""
        assert self.discovery is not None
        agent = self.agents[name]
        await self.discovery.move_port(name)
        agent.write_configuration(bus=f"127.0.0.1:{self.discovery.ports[name]}")
        self.history.add(Kind.RELOADED, name)
        agent.send_signal(signal.SIGHUP)
        await asyncio.sleep(FORMER_CLOSE_DELAY_S)
        self.discovery.close_former(name)

    async def set_discovery_mode(self, mode: Mode) -> None:
        """Changes how discovery treats its connections."""
        assert self.discovery is not None
        await self.discovery.set_mode(mode)

    async def quiesce(self, wait_s: float) -> None:
        """Stops new set-ups and random closes, then waits for outstanding answers and notifications."""
        for client in self.clients:
            client.sends_set_ups = False
            client.behaviour = ClientBehaviour(closes_every_s=0.0)
        await asyncio.sleep(wait_s)

    async def close(self) -> None:
        """Records the calls that remain, stops all parties and saves the history to `history.jsonl`."""
        for server in self.servers.values():
            server.record_left_calls()
        self.history.add(Kind.FINISHED, "trial")
        if self.resource_watch is not None:
            self.resource_watch.cancel()
        for agent in self.agents.values():
            if agent.is_running():
                agent.send_signal(signal.SIGCONT)
            await agent.stop()
        for client in self.clients:
            client.stop()
        for server in self.servers.values():
            server.stop()
        if self.discovery is not None:
            await self.discovery.stop()
        self.history.save(self.folder / "history.jsonl")
