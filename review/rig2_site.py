"""A small deployment: two or three lobby servers, an event bus for each agent, and the agents."""

from __future__ import annotations

import pathlib
from typing import Any

import rig2_core as core
import rig2_parties as parties


class Site:
    """The parties of one run. Every agent has its own event bus, as its event numbers are its own."""

    def __init__(self, record: core.Record, folder: pathlib.Path, agents: list[core.Agent]) -> None:
        self.record = record
        self.folder = folder
        self.agents = agents
        self.lobbies: list[parties.Lobby] = []
        self.buses: list[parties.Bus] = []

    async def add_lobbies(self, count: int, *answers: parties.Answer) -> None:
        """Starts lobby servers; `answers` says what the first of them do with set-ups."""
        for number in range(count):
            answer = answers[number] if number < len(answers) else None
            self.lobbies.append(parties.Lobby(self.record, f"s-{number}", number, answer))
            await self.lobbies[-1].start()

    def hosts(self, count: int | None = None) -> list[dict[str, Any]]:
        """The whole list, or its first entries."""
        return [lobby.host() for lobby in self.lobbies[:count]]

    async def add_agent(
        self, listed: int | None = None, of: int = 1, **more: Any
    ) -> tuple[core.Agent, parties.Bus]:
        """Starts one of `of` agents; `listed` servers are on the list at its start."""
        number = len(self.agents)
        bus = parties.Bus(self.record)
        await bus.open()
        self.buses.append(bus)
        config: dict[str, Any] = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{core.free_port()}",
            "seed": f"8c1f30d27a5be96{number}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "bus": f"127.0.0.1:{bus.port}",
            "known": bus.begin(self.hosts(listed)),
            "settings": core.settings(len(self.lobbies), of, number),
            **more,
        }
        agent = core.Agent(self.record, f"n{number}", self.folder, config)
        self.agents.append(agent)
        agent.start()
        return agent, bus

    def client(self, letter: str, number: int, agent: core.Agent) -> parties.Client:
        """A client with an address of its own."""
        listen = str(agent.config["listen"])
        return parties.Client(self.record, f"client {letter}", f"127.0.0.{10 + number}", listen, number)

    async def relayed(
        self, letter: str, number: int, agent: core.Agent
    ) -> tuple[parties.Client, parties.Relay]:
        """A client with an address of its own, behind a relay."""
        client = self.client(letter, number, agent)
        relay = parties.Relay(self.record, client.address, str(agent.config["listen"]))
        client.listen = await relay.open()
        return client, relay

    def standing_at(self, tag: str) -> parties.Lobby:
        """The server where a call stands."""
        for lobby in self.lobbies:
            if tag in lobby.standing:
                return lobby
        raise core.NotRunError(f"{tag} stands nowhere")

    async def stop(self) -> None:
        for lobby in self.lobbies:
            await lobby.stop()
        for bus in self.buses:
            await bus.close()


async def all_stand(calls: list[parties.Call], limit_s: float = 4.0) -> None:
    """Waits until all calls stand; the case can't be run where they don't."""
    if not await parties.until(lambda: all(call.stands for call in calls), limit_s):
        raise core.NotRunError("calls that were to stand do not stand")
