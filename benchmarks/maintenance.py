"""Measures the plan of work on machines: `python -m benchmarks.maintenance`. No part of the tests.

The real plan and keepers on one simulated clock, a log that all read in one order after 50 ms. Agents empty
within 10 s of a drain, servers within 30 s of being held out, staff need 60 s for each machine.
"""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Callable

import msgspec

from frostport.maintenance.keeper import Drain, HoldOut, Keeper, Local, Member, PutBack, Resume, Say, TurnAway
from frostport.maintenance.plan import Plan, State
from frostport.maintenance.words import Limits, Ready, Request, Server, Word

LOG_MS, LOOK_MS, SLOW_LOOK_MS = 50.0, 1000.0, 10_000.0
WORK_MS, AGENT_MS, SERVER_MS = 60_000.0, 10_000.0, 30_000.0


class Fleet:
    """`agents` and `servers` in ten zones; all agents share one copy of the plan (W1)."""

    def __init__(self, agents: int, servers: int, limits: Limits, seed: int) -> None:
        self.chance = random.Random(seed)
        self.now, self.order = 0.0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.plan, self.index = Plan(), 0
        self.words = self.bytes = 0
        self.apply_s: list[float] = []
        zones = min(10, agents)
        self.members = {f"a{number}": Member(f"z{number % zones}", number + 1, True, False, number < 3)
                        for number in range(agents)}
        self.servers = {f"h{number}": Server(f"h{number}", f"z{number % zones}", 1.0, True)
                        for number in range(servers)}
        self.keepers = {name: Keeper(name, member.life, 0.0, True, limits)
                        for name, member in self.members.items()}
        self.phase = dict.fromkeys(self.members, "serving")
        self.empty_at: dict[tuple[str, str], float] = {}
        for name in self.members:
            self.at(self.chance.uniform(0.0, LOOK_MS), lambda name=name: self.turn(name))  # type: ignore[misc]

    def at(self, after: float, do: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (self.now + after, self.order, do))

    def say(self, word: Word) -> None:
        self.words += 1
        self.bytes += len(msgspec.msgpack.encode(word))
        self.at(LOG_MS, lambda: self.read(word))

    def read(self, word: Word) -> None:
        self.index += 1
        began = time.perf_counter()
        self.plan.apply(self.index, 1, word)
        self.apply_s.append(time.perf_counter() - began)
        for ticket in self.plan.tickets:
            if ticket.state is State.OUT and not ticket.note:
                ticket.note = "asked"
                self.at(WORK_MS, lambda name=ticket.name: self.say(Ready(name)))  # type: ignore[misc]

    def turn(self, name: str) -> None:
        # With hundreds, one that neither leads nor is concerned looks less often: the simulation's own time.
        calm = len(self.members) > 50 and name != "a0" and not self.plan.held_out("agent").get(name)
        self.at(SLOW_LOOK_MS if calm else LOOK_MS, lambda: self.turn(name))
        keeper = self.keepers[name]
        busy = {server: int(self.empty_at.get((name, server), 0.0) > self.now) for server in keeper.holding}
        local = Local(name == "a0", 1, True, self.phase[name], True, 5.0, busy, frozenset(), frozenset(),
                      self.seen() if name == "a0" else {}, self.servers)
        for action in keeper.look(self.plan, local, self.now):
            match action:
                case Say(word):
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

    def seen(self) -> dict[str, Member]:
        for name, phase in self.phase.items():
            if self.members[name].up is not (phase == "serving"):
                member = self.members[name]
                self.members[name] = Member(member.zone, member.life, phase == "serving", False, member.voter)
        return self.members

    def run(self, until: Callable[[], bool]) -> None:
        while not until():
            self.now, _, do = heapq.heappop(self.events)
            do()


def whole(agents: int, servers: int, limits: Limits, seed: int = 1) -> None:
    fleet = Fleet(agents, servers, limits, seed)
    fleet.run(lambda: fleet.now > 10_000.0)
    began, words, size = fleet.now, fleet.words, fleet.bytes
    names = (*fleet.members, *fleet.servers)
    fleet.say(Request(names, "", "a new kernel", "ann", 600_000.0))
    fleet.run(lambda: sum(ticket.state is State.DONE for ticket in fleet.plan.tickets) >= min(200, len(names))
              and not fleet.plan.active())
    took = fleet.now - began
    # Nobody could be faster than this, were every drain over at once and every zone's places always full.
    zones: dict[str, list[int]] = {}
    for name, machine in fleet.plan.machines.items():
        zones.setdefault(machine.zone, [0, 0])[name not in fleet.members] += 1
    rounds = [max(-(-(a + s) // min(limits.all, limits.zone)), -(-a // limits.agents),
                  -(-s // limits.servers)) for a, s in zones.values()]
    least = sum(rounds) * (WORK_MS + limits.warm_ms)
    cost = sorted(fleet.apply_s)
    print(f"{agents} agents, {servers} servers, {limits.all} at once (agents {limits.agents}, "
          f"servers {limits.servers}): whole plan {took / 60_000:.0f} min, {took / least:.2f} times the "
          f"least that limits, work and warm-up give; {(fleet.words - words) / len(names):.1f} words and "
          f"{(fleet.bytes - size) / len(names):.0f} bytes a machine in the log; a word costs "
          f"p50 {cost[len(cost) // 2] * 1e6:.0f}, longest {cost[-1] * 1e6:.0f} us at each agent")


def main() -> None:
    whole(24, 3, Limits())
    whole(24, 3, Limits(all=3, agents=2, servers=1, zone=3))
    whole(200, 24, Limits(all=20, agents=20, servers=2, zone=20))


if __name__ == "__main__":
    main()
