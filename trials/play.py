"""Plays a plan on a site of real agent processes and returns its history."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
import time
from collections.abc import Awaitable, Callable

from trials.agents import AgentProcess
from trials.discovery import Mode
from trials.history import Event, Kind
from trials.plan import Fault, Plan
from trials.site import Site

QUIESCE_S = 10.0  # longer than a caller may wait to be notified of the end of its call
# Protocol page: "SIGKILL arrives no sooner than the longest deadline and 0.7 s more after SIGTERM".
SIGKILL_DELAY_S = 0.7
LONGEST_DEADLINE_S = 3.0  # protocol page: the deadline is "counted as 3 s where it is longer"
EXIT_AFTER_DRAIN_S = 2.0  # from the end of the drain grace to the end of the server's process
IDLE_CONNECTIONS = 120  # opened by one clients-crowd fault; nothing is sent on them
EARLY_SIGTERM_S = 0.1  # after its start, when a process is not ready yet


class Player:
    """Applies the faults of a plan to a site, each at its time.

    The method of a fault is found by the value of its kind: `agent-term` by `_agent_term`.
    """

    def __init__(self, site: Site, plan: Plan) -> None:
        self.site = site
        self.plan = plan
        self.next_spare = plan.size.servers
        self.faulted: set[str] = set()  # parties under a fault; a further fault for one of them is skipped
        self.idle_connections: list[asyncio.StreamWriter] = []

    async def run(self) -> None:
        """Plays all faults; returns once the plan's time has passed and the last fault is over."""
        tasks = [asyncio.ensure_future(self._play_fault(fault)) for fault in self.plan.faults]
        await asyncio.sleep(self.plan.seconds)
        await asyncio.gather(*tasks)
        for writer in self.idle_connections:
            writer.close()

    async def _play_fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        name, _, action = fault.kind.value.partition("-")
        targets = {
            "agent": list(self.site.agents),
            "server": self._ready_servers(),
            "discovery": ["discovery"],
            "clients": ["clients"],
        }[name]
        party = targets[fault.target % len(targets)]
        if party in self.faulted:
            return
        self.faulted.add(party)
        self.site.history.add(Kind.FAULT, party, text=fault.kind.value, number=fault.for_s)
        play: Callable[[Fault, str], Awaitable[None]] = getattr(self, f"_{name}_{action.replace('-', '_')}")
        await play(fault, party)
        self.faulted.discard(party)

    def _ready_servers(self) -> list[str]:
        names = [f"s{number}" for number in range(self.plan.size.servers)]
        return [name for name in names if self.site.entries[name]["health"] == "ready"] or names[:1]

    # Agents

    async def _agent_term(self, fault: Fault, party: str) -> None:
        await self._restart_agent(self.site.agents[party], 1)

    async def _agent_term_twice(self, fault: Fault, party: str) -> None:
        await self._restart_agent(self.site.agents[party], 2)

    async def _restart_agent(self, agent: AgentProcess, signals: int) -> None:
        longest_s = min(self.plan.settings.deadline_ms / 1000.0, LONGEST_DEADLINE_S)
        for number in range(signals):
            agent.send_signal(signal.SIGTERM)
            if number + 1 < signals:
                await asyncio.sleep(0.1)
        with contextlib.suppress(TimeoutError):
            assert agent.process is not None
            await asyncio.wait_for(agent.process.wait(), longest_s + SIGKILL_DELAY_S)
        agent.send_signal(signal.SIGKILL)
        await self._start_agent(agent)

    async def _start_agent(self, agent: AgentProcess) -> None:
        if agent.process is not None:
            await agent.process.wait()
        await self.site.start_agent(agent)
        await agent.wait_until_ready()

    async def _agent_term_early(self, fault: Fault, party: str) -> None:
        agent = self.site.agents[party]
        agent.send_signal(signal.SIGKILL)
        assert agent.process is not None
        await agent.process.wait()
        await self.site.start_agent(agent)
        await asyncio.sleep(EARLY_SIGTERM_S)
        await self._restart_agent(agent, 1)

    async def _agent_kill(self, fault: Fault, party: str) -> None:
        agent = self.site.agents[party]
        agent.send_signal(signal.SIGKILL)
        await asyncio.sleep(min(fault.for_s, 2.0))
        await self._start_agent(agent)

    async def _agent_stop(self, fault: Fault, party: str) -> None:
        self.site.agents[party].send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        self.site.agents[party].send_signal(signal.SIGCONT)

    async def _agent_reload(self, fault: Fault, party: str) -> None:
        assert self.site.discovery is not None
        if self.site.discovery.mode is Mode.UP:
            await self.site.move_discovery(party)

    async def _agent_drain(self, fault: Fault, party: str) -> None:
        agent = self.site.agents[party]
        if await agent.command("drain"):
            self.site.history.add(Kind.DRAINING, party)
            await asyncio.sleep(fault.for_s)
            self.site.history.add(Kind.RESUMING, party)
            await agent.command("resume")

    # Servers

    async def _server_vanish(self, fault: Fault, party: str) -> None:
        server = self.site.servers[party]
        server.vanish()
        if not fault.for_s:
            await asyncio.sleep(1.0)
            self.site.publish_health(party, "gone")
            return
        await asyncio.sleep(fault.for_s)
        server.come_back()
        self.site.publish_health(party, "ready", born_ms=round(time.time() * 1000.0))

    async def _server_cut(self, fault: Fault, party: str) -> None:
        server = self.site.servers[party]
        names = list(self.site.agents)
        server.cut_links(names if fault.target % 2 else names[:1])
        await asyncio.sleep(fault.for_s)
        server.restore_links()

    async def _server_hang(self, fault: Fault, party: str) -> None:
        self.site.servers[party].hang()
        await asyncio.sleep(fault.for_s)
        self.site.servers[party].wake()

    async def _server_crash(self, fault: Fault, party: str) -> None:
        server = self.site.servers[party]
        server.crash()
        await asyncio.sleep(fault.for_s)
        server.restart()
        self.site.publish_health(party, "ready", born_ms=round(time.time() * 1000.0))

    async def _server_drain(self, fault: Fault, party: str) -> None:
        await self._drain_and_stop(party)

    async def _drain_and_stop(self, party: str) -> None:
        server = self.site.servers[party]
        self.site.publish_health(party, "draining")
        await asyncio.sleep(self.plan.settings.grace_ms / 1000.0 + EXIT_AFTER_DRAIN_S)
        server.crash()
        self.site.publish_health(party, "gone")

    async def _server_replace(self, fault: Fault, party: str) -> None:
        if self.next_spare < len(self.site.servers):
            name = f"s{self.next_spare}"
            self.next_spare += 1
            self.site.servers[name].restart()
            self.site.publish_health(name, "ready", born_ms=round(time.time() * 1000.0))
        await self._drain_and_stop(party)

    async def _server_reset(self, fault: Fault, party: str) -> None:
        self.site.servers[party].reset_connections()

    async def _server_reset_idle(self, fault: Fault, party: str) -> None:
        self.site.servers[party].reset_connections(idle_only=True)

    async def _server_no_dials(self, fault: Fault, party: str) -> None:
        listeners = self.site.servers[party].listeners.values()
        for listener in listeners:
            listener.block()
        await asyncio.sleep(fault.for_s)
        for listener in listeners:
            listener.unblock()

    # Discovery

    async def _hold_mode(self, fault: Fault, mode: Mode) -> None:
        await self.site.set_discovery_mode(mode)
        await asyncio.sleep(fault.for_s)
        await self.site.set_discovery_mode(Mode.UP)

    async def _discovery_down(self, fault: Fault, party: str) -> None:
        await self._hold_mode(fault, Mode.DOWN)

    async def _discovery_silent(self, fault: Fault, party: str) -> None:
        await self._hold_mode(fault, Mode.SILENT)

    async def _discovery_stalled(self, fault: Fault, party: str) -> None:
        assert self.site.discovery is not None
        self.site.discovery.stall()

    async def _discovery_refusing(self, fault: Fault, party: str) -> None:
        await self._hold_mode(fault, Mode.REFUSING)

    async def _discovery_slow(self, fault: Fault, party: str) -> None:
        await self._hold_mode(fault, Mode.SLOW)

    # Clients

    async def _clients_close(self, fault: Fault, party: str) -> None:
        for client in self.site.clients:
            if self.site.rng.random() < 0.3:
                client.close()

    async def _clients_crowd(self, fault: Fault, party: str) -> None:
        agent = list(self.site.agents.values())[fault.target % len(self.site.agents)]
        host, _, port = str(agent.configuration["listen"]).rpartition(":")
        for _ in range(IDLE_CONNECTIONS):
            with contextlib.suppress(OSError, TimeoutError):
                _, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
                self.idle_connections.append(writer)


async def play(plan: Plan, folder: pathlib.Path, defect: str = "") -> tuple[list[Event], Site]:
    """Plays a plan and returns its events and its site.

    The history and the agents' logs are left in the folder. `defect` names a function of `trials.planted`.
    """
    site = Site(folder, plan.seed, plan.settings, plan.size, defect)
    try:
        await site.open()
        await Player(site, plan).run()
        await site.quiesce(QUIESCE_S)
    finally:
        await site.close()
    return site.history.events, site
