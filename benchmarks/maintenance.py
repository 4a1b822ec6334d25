"""Measures work on machines: `python -m benchmarks.maintenance [plans] [calls] [faults]`, or all three.

Plans: the real plan and keepers on one simulated clock, a log that all read in one order after 50 ms. Agents
empty within 10 s of a drain, servers within 30 s of being held out, staff need 60 s for each machine. Calls:
the same with real decision modules and calls. Faults: real processes. No part of the tests.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import pathlib
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Mapping

import msgspec

from benchmarks.calls import BEGAN_MS, COLD_MS, Clock, World
from frostport.maintenance.commands import Command, Limits, MaintenanceRequest, Ready, ServerStatus
from frostport.maintenance.plan import Plan, TicketState
from frostport.maintenance.reconciler import (
    Drain,
    HoldOut,
    LocalState,
    MemberStatus,
    ProposeCommand,
    PutBack,
    Reconciler,
    Resume,
    TurnAway,
)
from standins.fleet import Outside, Rig

LOG_MS, LOOK_MS, SLOW_LOOK_MS = 50.0, 1000.0, 10_000.0
WORK_MS, AGENT_MS, SERVER_MS = 60_000.0, 10_000.0, 30_000.0


class Fleet(Clock):
    """`agents` and `servers` in `zones`; all agents share one copy of the plan (W1)."""

    def __init__(self, agents: int, servers: int, limits: Limits, seed: int, zones: int = 10) -> None:
        super().__init__()
        self.chance = random.Random(seed)
        self.plan, self.index = Plan(), 0
        self.words = self.bytes = 0
        self.apply_s: list[float] = []
        zones = min(zones, agents)
        self.members = {
            f"a{number}": MemberStatus(f"z{number % zones}", number + 1, True, False, number < 3)
            for number in range(agents)
        }
        self.servers = {
            f"h{number}": ServerStatus(f"h{number}", f"z{number % zones}", 1.0, True)
            for number in range(servers)
        }
        self.keepers = {
            name: Reconciler(name, member.life, 0.0, True, limits) for name, member in self.members.items()
        }
        self.phase = dict.fromkeys(self.members, "serving")
        self.empty_at: dict[tuple[str, str], float] = {}
        for name in self.members:
            self.at(self.chance.uniform(0.0, LOOK_MS), lambda name=name: self.turn(name))  # type: ignore[misc]

    def say(self, word: Command) -> None:
        self.words += 1
        self.bytes += len(msgspec.msgpack.encode(word))
        self.at(LOG_MS, lambda: self.read(word))

    def read(self, word: Command) -> None:
        self.index += 1
        began = time.perf_counter()
        self.plan.apply(self.index, 1, word)
        self.apply_s.append(time.perf_counter() - began)
        for ticket in self.plan.tickets:
            if ticket.state is TicketState.OUT and not ticket.note:
                ticket.note = "asked"
                self.touched(ticket.name)

    def touched(self, name: str) -> None:
        """Staff work on a machine."""
        self.at(WORK_MS, lambda: self.say(Ready(name)))

    def turn(self, name: str) -> None:
        # With hundreds, one that neither leads nor is concerned looks less often: the simulation's own time.
        calm = len(self.members) > 50 and name != "a0" and not self.plan.held_out("agent").get(name)
        self.at(SLOW_LOOK_MS if calm else LOOK_MS, lambda: self.turn(name))
        for action in self.keepers[name].reconcile(self.plan, self.local(name), self.now):
            self.do(name, action)

    def local(self, name: str) -> LocalState:
        busy = {
            server: int(self.empty_at.get((name, server), 0.0) > self.now)
            for server in self.keepers[name].held_out
        }
        return LocalState(
            name == "a0",
            1,
            True,
            self.phase[name],
            True,
            5.0,
            busy,
            frozenset(),
            frozenset(),
            self.seen() if name == "a0" else {},
            self.servers,
        )

    def do(self, name: str, action: object) -> None:
        match action:
            case ProposeCommand(word):
                self.say(word)
            case Drain():
                self.phase[name] = "draining"
                self.at(self.chance.uniform(0.0, AGENT_MS), lambda: self.phase.update({name: "drained"}))
            case TurnAway():
                self.phase[name] = "turning away"
            case Resume():
                self.phase[name] = "serving"
            case HoldOut(server):
                self.empty_at[name, server] = self.now + self.chance.uniform(2000.0, SERVER_MS)
            case PutBack(server):
                self.empty_at.pop((name, server), None)

    def seen(self) -> dict[str, MemberStatus]:
        for name, phase in self.phase.items():
            if self.members[name].up is not (phase == "serving"):
                member = self.members[name]
                self.members[name] = MemberStatus(
                    member.zone, member.life, phase == "serving", False, member.voter
                )
        return self.members


def whole(agents: int, servers: int, limits: Limits, seed: int = 1) -> None:
    fleet = Fleet(agents, servers, limits, seed)
    fleet.run(lambda: fleet.now > BEGAN_MS + 10_000.0)
    began, words, size = fleet.now, fleet.words, fleet.bytes
    names = (*fleet.members, *fleet.servers)
    fleet.say(MaintenanceRequest(names, "", "a new kernel", "ann", 600_000.0))
    fleet.run(
        lambda: sum(ticket.state is TicketState.DONE for ticket in fleet.plan.tickets) >= min(200, len(names))
        and not fleet.plan.has_open_tickets()
    )
    took = fleet.now - began
    # Nobody could be faster than this, were every drain over at once and every zone's places always full.
    zones: dict[str, list[int]] = {}
    for name, machine in fleet.plan.machines.items():
        zones.setdefault(machine.zone, [0, 0])[name not in fleet.members] += 1
    rounds = [
        max(-(-(a + s) // min(limits.all, limits.zone)), -(-a // limits.agents), -(-s // limits.servers))
        for a, s in zones.values()
    ]
    least = sum(rounds) * (WORK_MS + limits.warm_ms)
    cost = sorted(fleet.apply_s)
    print(
        f"{agents} agents, {servers} servers, {limits.all} at once (agents {limits.agents}, "
        f"servers {limits.servers}): whole plan {took / 60_000:.0f} min, {took / least:.2f} times the "
        f"least that limits, work and warm-up give; {(fleet.words - words) / len(names):.1f} words and "
        f"{(fleet.bytes - size) / len(names):.0f} bytes a machine in the log; a word costs "
        f"p50 {cost[len(cost) // 2] * 1e6:.0f}, longest {cost[-1] * 1e6:.0f} us at each agent"
    )


# Calls served while machines go out: by the plan, by hand one after the other, all at once

AGENTS, SERVERS, RATE = 24, 3, 30.0  # a lobby server sets up so many a second
SHORT_MS = 10_000.0  # the work on one machine, here
DOOR_MS = 1000.0  # a person's call at one door
LOOKS_MS = 10_000.0  # and how long one waits after taking a server out, who can't see what is open there
CALM_MS = 180_000.0  # before it
QUIET = 0.55  # the load of the quiet hour that servers may have to wait for


class Served(Fleet):
    """The fleet with real modules and calls."""

    def __init__(self, load: float, seed: int) -> None:
        limits = Limits(all=1, share_calls=RATE, agent_calls=10.0, margin=0.1, warm_ms=COLD_MS)
        super().__init__(AGENTS, SERVERS, limits, seed, zones=1)
        self.world = World(self, AGENTS, SERVERS, RATE, load * RATE * SERVERS, seed)
        self.run(lambda: self.now >= BEGAN_MS + CALM_MS)

    def local(self, name: str) -> LocalState:
        agent = self.world.agents[name]
        if agent.phase == "draining" and not agent.busy():
            agent.phase = "drained"
        self.phase[name] = agent.phase
        calls = self.world.rate / max(1, sum(each.phase == "serving" for each in self.world.agents.values()))
        return LocalState(
            name == "a0",
            1,
            True,
            agent.phase,
            not agent.busy(),
            calls,
            dict(agent.there),
            frozenset(),
            frozenset(),
            self.seen() if name == "a0" else {},
            self.servers,
        )

    def do(self, name: str, action: object) -> None:
        agent = self.world.agents[name]
        match action:
            case ProposeCommand(word):
                self.say(word)
            case Drain():
                agent.phase = "draining"
            case TurnAway():
                agent.phase = "turning away"
            case Resume():
                agent.phase = "serving"
            case HoldOut(server):
                self.hold(name, server, True)
            case PutBack(server):
                self.hold(name, server, False)

    def hold(self, name: str, server: str, out: bool) -> None:
        agent = self.world.agents[name]
        (agent.held.add if out else agent.held.discard)(server)
        agent.listed()

    def touched(self, name: str) -> None:
        self.work(name, lambda: self.say(Ready(name)))

    def work(self, name: str, then: Callable[[], None]) -> None:
        """The machine is off, and on again."""
        if name in self.world.servers:
            server = self.world.servers[name]
            server.down()

            def back() -> None:
                server.back()
                for agent in self.world.agents.values():
                    agent.listed()
                then()
        else:

            def back() -> None:
                self.world.agents[name].boot()
                then()

        self.at(SHORT_MS, back)

    def by_plan(self) -> str:
        names = (*self.members, *self.servers)
        self.say(MaintenanceRequest(names, "", "a new kernel", "ann", 600_000.0))
        self.run(lambda: len(self.plan.tickets) == len(names))

        def stuck() -> bool:
            return all(
                ticket.kind == "server" and ticket.state is TicketState.WAITING
                for ticket in self.plan.tickets
                if ticket.state is not TicketState.DONE
            )

        self.run(stuck)
        left = [
            self.plan.explain(ticket) for ticket in self.plan.tickets if ticket.state is TicketState.WAITING
        ]
        if left:
            self.at_load = self.now
            self.world.rate = QUIET * RATE * SERVERS
            self.run(lambda: not self.plan.has_open_tickets())
        return f"; {len(left)} servers waited for the quiet hour ({left[0]})" if left else ""

    def by_hand(self) -> str:
        todo = [*self.members, *self.servers]

        def next_one() -> None:
            if not todo:
                return
            name = todo.pop(0)
            if name in self.members:
                agent = self.world.agents[name]
                agent.phase = "draining"

                def empty() -> None:
                    if agent.busy():
                        self.at(250.0, empty)
                    else:
                        self.work(name, serve)

                def serve() -> None:
                    agent.phase = "serving"
                    self.at(DOOR_MS, next_one)

                empty()
                return
            doors = list(self.members)
            for number, door in enumerate(doors, start=1):
                self.at(number * DOOR_MS, lambda door=door: self.hold(door, name, True))  # type: ignore[misc]

            def enable() -> None:
                for number, door in enumerate(doors, start=1):
                    self.at(number * DOOR_MS, lambda door=door: self.hold(door, name, False))  # type: ignore[misc]
                self.at(len(doors) * DOOR_MS, next_one)

            self.at(len(doors) * DOOR_MS + LOOKS_MS, lambda: self.work(name, enable))

        next_one()
        self.run(
            lambda: not todo
            and all(agent.phase == "serving" and not agent.held for agent in self.world.agents.values())
        )
        return ""

    def at_once(self) -> str:
        names = [*self.members, *self.servers]
        for agent in self.world.agents.values():
            agent.phase = "draining"
        back: list[str] = []

        def one(name: str) -> None:
            if name in self.members:
                self.world.agents[name].phase = "serving"
            back.append(name)

        for name in names:
            self.work(name, lambda name=name: one(name))  # type: ignore[misc]
        self.run(lambda: len(back) == len(names))
        return ""


def served(load: float, how: str, seed: int) -> tuple[float, str, float, int, float, float, str]:
    fleet = Served(load, seed)
    before = fleet.world.share(BEGAN_MS + CALM_MS / 3.0, fleet.now)[0]
    began = fleet.now
    note = {"plan": fleet.by_plan, "hand": fleet.by_hand, "all": fleet.at_once}[how]()
    ended = fleet.now
    until = getattr(fleet, "at_load", ended)
    fleet.run(lambda: fleet.now >= ended + 30_000.0)  # what it leaves behind counts too
    share, lost, worst = fleet.world.share(began, ended + 20_000.0)
    if until < ended:
        note += f", {fleet.world.share(began, until)[0]:.4f} in time until then"
    return load, how, share, lost, worst, (ended - began) / 60_000.0, f"{note}; without work {before:.4f}"


def calls(seed: int = 1) -> None:
    """Shares of calls in time from the first word to 20 s after the last machine is back."""
    jobs = [(load, how, seed) for load in (0.6, 0.95, 1.1) for how in ("plan", "hand", "all")]
    with concurrent.futures.ProcessPoolExecutor() as pool:
        for load, how, share, lost, worst, took, note in pool.map(served, *zip(*jobs, strict=True)):
            print(
                f"{AGENTS} agents, {SERVERS} servers at {load:.0%} load, {how}: {share:.4f} in time, "
                f"{lost} calls not; worst 10 s {worst:.4f}; {took:.1f} min{note}"
            )


# From a fault to the plan's next step, or to the reason why it holds: real processes


async def fault(kind: str, seed: int) -> float:
    """Seconds until any agent's door shows a ticket's next state, or the plan's reason."""
    with tempfile.TemporaryDirectory() as folder:
        outside = Outside(1)
        async with Rig(
            pathlib.Path(folder), 5, 3, seed, outside=outside, work={"warm_ms": 500.0, "all": 1}
        ) as rig:
            leader = await rig.leader()
            follower = next(name for name in rig.voters if name != leader)

            async def shows(words: str) -> None:
                async def shown() -> bool:
                    doors = [await rig.ask(name, "work-status") for name in rig.names if name != leader]
                    return any(words in line for lines in doors for line in lines)

                await rig.until(words, shown)

            async def all_up() -> bool:
                lines = await rig.ask(leader, "work-status")
                return bool(lines) and not any("out unasked" in line for line in lines)

            for name in rig.names:
                await rig.until("ready", lambda name=name: ready(rig, name))  # type: ignore[misc]
            await rig.until("all are known", all_up)
            await rig.ask(leader, "work-request names=n4,n3 takes=1h who=ann why=disks")
            await shows("n4 agent out")
            leader = await rig.leader()  # it may have changed since
            follower = next(name for name in rig.voters if name != leader)
            began = time.monotonic()
            match kind:
                case "leader killed, then work-ready":
                    await rig.kill(leader)
                case "leader stalled, then work-ready":
                    rig.freeze(leader)
                case "leader cut off, then work-ready":
                    rig.apart([leader])
                case "a follower killed: the hold":
                    await rig.kill(follower)
                    await shows(f"out unasked: {follower}")
                    return time.monotonic() - began
            asked = rig.names[3]
            while time.monotonic() - began < 60.0:
                await rig.ask(asked, "work-ready n4")  # staff say it until it counts
                lines = await rig.ask(asked, "work-status")
                later = tuple(f"n4 agent {state}" for state in ("back", "warming", "done"))
                if any(state in line for line in lines for state in later):
                    break
                await asyncio.sleep(0.1)
            return time.monotonic() - began


async def ready(rig: Rig, name: str) -> bool:
    return (await rig.ask(name, "ready"))[:1] == ["OK yes"]


def faults(rounds: int = 5) -> None:
    for kind in (
        "no fault, work-ready",
        "leader killed, then work-ready",
        "leader stalled, then work-ready",
        "leader cut off, then work-ready",
        "a follower killed: the hold",
    ):
        took = sorted(asyncio.run(fault(kind, seed)) for seed in range(rounds))
        print(
            f"{kind}: {took[0]:.1f}, {statistics.median(took):.1f}, {took[-1]:.1f} s "
            f"(shortest, median, longest of {rounds})"
        )


def plans() -> None:
    whole(24, 3, Limits())
    whole(24, 3, Limits(all=3, agents=2, servers=1, zone=3))
    whole(200, 24, Limits(all=20, agents=20, servers=2, zone=20))


PARTS: Mapping[str, Callable[[], None]] = {"plans": plans, "calls": calls, "faults": faults}

if __name__ == "__main__":
    for part in sys.argv[1:] or PARTS:
        PARTS[part]()
