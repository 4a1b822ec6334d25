"""Plays a plan on a site of real processes, and returns its history."""

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

QUIESCE_S = 10.0  # longer than any caller may wait to be told
KILL_AFTER_S = 0.7  # "SIGKILL arrives no sooner than the longest deadline and 0.7 s more after SIGTERM"
LONGEST_DEADLINE_S = 3.0  # "counted as 3 s where it is longer" (the protocol page)
GONE_AFTER_S = 2.0  # from a drain to the end of the process
CROWD = 120  # connections that say nothing
EARLY_S = 0.1  # after its start, a process is not ready yet


class Player:
    """Applies faults to a site, each at its time."""

    def __init__(self, site: Site, plan: Plan) -> None:
        self.site, self.plan = site, plan
        self.spare = plan.size.servers
        self.busy: set[str] = set()  # parties under a fault: a second one passes them over
        self.crowd: list[asyncio.StreamWriter] = []

    async def run(self) -> None:
        """Plays all faults; returns once the last is over."""
        tasks = [asyncio.ensure_future(self._at(fault)) for fault in self.plan.faults]
        await asyncio.sleep(self.plan.seconds)
        await asyncio.gather(*tasks)
        for writer in self.crowd:
            writer.close()

    async def _at(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        name, _, rest = fault.kind.value.partition("-")
        target = {
            "agent": list(self.site.agents),
            "server": self._listed(),
            "discovery": ["discovery"],
            "clients": ["clients"],
        }[name]
        party = target[fault.target % len(target)]
        if party in self.busy:
            return
        self.busy.add(party)
        self.site.history.add(Kind.FAULT, party, text=fault.kind.value, number=fault.for_s)
        play: Callable[[Fault, str], Awaitable[None]] = getattr(self, f"_{name}_{rest.replace('-', '_')}")
        await play(fault, party)
        self.busy.discard(party)

    def _listed(self) -> list[str]:
        names = [f"s{number}" for number in range(self.plan.size.servers)]
        return [name for name in names if self.site.entries[name]["health"] == "ready"] or names[:1]

    # Agents

    async def _agent_term(self, fault: Fault, party: str) -> None:
        await self._restart(self.site.agents[party], 1)

    async def _agent_term_twice(self, fault: Fault, party: str) -> None:
        await self._restart(self.site.agents[party], 2)

    async def _restart(self, agent: AgentProcess, signals: int) -> None:
        longest_s = min(self.plan.day.deadline_ms / 1000.0, LONGEST_DEADLINE_S)
        for number in range(signals):
            agent.send(signal.SIGTERM)
            if number + 1 < signals:
                await asyncio.sleep(0.1)
        with contextlib.suppress(TimeoutError):
            assert agent.program is not None
            await asyncio.wait_for(agent.program.wait(), longest_s + KILL_AFTER_S)
        agent.send(signal.SIGKILL)
        await self._start(agent)

    async def _start(self, agent: AgentProcess) -> None:
        if agent.program is not None:
            await agent.program.wait()
        self.site.refresh_known(agent)
        await agent.start()
        await agent.ready()

    async def _agent_term_early(self, fault: Fault, party: str) -> None:
        agent = self.site.agents[party]
        agent.send(signal.SIGKILL)
        assert agent.program is not None
        await agent.program.wait()
        await agent.start()
        await asyncio.sleep(EARLY_S)
        await self._restart(agent, 1)

    async def _agent_kill(self, fault: Fault, party: str) -> None:
        agent = self.site.agents[party]
        agent.send(signal.SIGKILL)
        await asyncio.sleep(min(fault.for_s, 2.0))
        await self._start(agent)

    async def _agent_stop(self, fault: Fault, party: str) -> None:
        self.site.agents[party].send(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        self.site.agents[party].send(signal.SIGCONT)

    async def _agent_reload(self, fault: Fault, party: str) -> None:
        assert self.site.discovery is not None
        if self.site.discovery.mode is Mode.UP:
            await self.site.move_discovery(party)

    async def _agent_drain(self, fault: Fault, party: str) -> None:
        agent = self.site.agents[party]
        if await agent.ask("drain"):
            self.site.history.add(Kind.DRAINING, party)
            await asyncio.sleep(fault.for_s)
            self.site.history.add(Kind.RESUMING, party)
            await agent.ask("resume")

    # Servers

    async def _server_vanish(self, fault: Fault, party: str) -> None:
        server = self.site.servers[party]
        server.vanish()
        if not fault.for_s:
            await asyncio.sleep(1.0)
            self.site.list_as(party, "gone")
            return
        await asyncio.sleep(fault.for_s)
        server.come_back()
        self.site.list_as(party, "ready", born_ms=round(time.time() * 1000.0))

    async def _server_cut(self, fault: Fault, party: str) -> None:
        server = self.site.servers[party]
        names = list(self.site.agents)
        server.cut_links(names if fault.target % 2 else names[:1])
        await asyncio.sleep(fault.for_s)
        server.mend_links()

    async def _server_hang(self, fault: Fault, party: str) -> None:
        self.site.servers[party].hang()
        await asyncio.sleep(fault.for_s)
        self.site.servers[party].wake()

    async def _server_crash(self, fault: Fault, party: str) -> None:
        server = self.site.servers[party]
        server.crash()
        await asyncio.sleep(fault.for_s)
        server.restart()
        self.site.list_as(party, "ready", born_ms=round(time.time() * 1000.0))

    async def _server_drain(self, fault: Fault, party: str) -> None:
        await self._leave(party)

    async def _leave(self, party: str) -> None:
        server = self.site.servers[party]
        self.site.list_as(party, "draining")
        await asyncio.sleep(self.plan.day.grace_ms / 1000.0 + GONE_AFTER_S)
        server.crash()
        self.site.list_as(party, "gone")

    async def _server_replace(self, fault: Fault, party: str) -> None:
        if self.spare < len(self.site.servers):
            name = f"s{self.spare}"
            self.spare += 1
            self.site.servers[name].restart()
            self.site.list_as(name, "ready", born_ms=round(time.time() * 1000.0))
        await self._leave(party)

    async def _server_reset(self, fault: Fault, party: str) -> None:
        self.site.servers[party].reset_connections()

    async def _server_reset_idle(self, fault: Fault, party: str) -> None:
        self.site.servers[party].reset_connections(idle_only=True)

    async def _server_no_dials(self, fault: Fault, party: str) -> None:
        doors = self.site.servers[party].doors.values()
        for door in doors:
            door.hang()
        await asyncio.sleep(fault.for_s)
        for door in doors:
            door.resume()

    # Discovery

    async def _mode(self, fault: Fault, mode: Mode) -> None:
        await self.site.discovery_mode(mode)
        await asyncio.sleep(fault.for_s)
        await self.site.discovery_mode(Mode.UP)

    async def _discovery_down(self, fault: Fault, party: str) -> None:
        await self._mode(fault, Mode.DOWN)

    async def _discovery_silent(self, fault: Fault, party: str) -> None:
        await self._mode(fault, Mode.SILENT)

    async def _discovery_stalled(self, fault: Fault, party: str) -> None:
        assert self.site.discovery is not None
        self.site.discovery.stall()

    async def _discovery_refusing(self, fault: Fault, party: str) -> None:
        await self._mode(fault, Mode.REFUSING)

    async def _discovery_slow(self, fault: Fault, party: str) -> None:
        await self._mode(fault, Mode.SLOW)

    # Clients

    async def _clients_close(self, fault: Fault, party: str) -> None:
        for client in self.site.clients:
            if self.site.chance.random() < 0.3:
                client.close()

    async def _clients_crowd(self, fault: Fault, party: str) -> None:
        agent = list(self.site.agents.values())[fault.target % len(self.site.agents)]
        host, _, port = str(agent.record["listen"]).rpartition(":")
        for _ in range(CROWD):
            with contextlib.suppress(OSError, TimeoutError):
                _, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
                self.crowd.append(writer)


async def play(plan: Plan, folder: pathlib.Path, defect: str = "") -> tuple[list[Event], Site]:
    """Plays a plan; its history and the logs of its agents are left in the folder."""
    site = Site(folder, plan.seed, plan.day, plan.size, defect)
    try:
        await site.open()
        await Player(site, plan).run()
        await site.quiesce(QUIESCE_S)
    finally:
        await site.close()
    return site.history.events, site
