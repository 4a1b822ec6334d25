"""Calls through real decision modules on one simulated clock, while their machines are taken out for work.

Lobby servers are stand-ins: one processor each, work in turn, refusing past a bounded queue, slow while cold.
A balancer gives each call to an agent that serves. Agents' decisions are `decide.Controller`'s, unchanged.
"""

from __future__ import annotations

import functools
import heapq
import math
import random
from collections.abc import Callable

from frostport import interface as api
from frostport.decide import Controller

AIM_MS, DEADLINE_MS, COLD_MS, COLD_FROM = 1500.0, 9000.0, 15_000.0, 0.34
WAY_MS, QUEUE_MS, CONNECT_MS = 10.0, 1200.0, 5.0  # there and back; the longest wait; until a dead one refuses
HOLD_MS = (500.0, 3000.0)  # how long a call stands
GUARD_MS = 500.0
BEGAN_MS = 100_000.0  # guards against servers of a time before it that would be cold at the beginning


class Clock:
    """Simulated ms, and what is due."""

    def __init__(self) -> None:
        self.now, self.order = BEGAN_MS, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, after: float, do: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (self.now + after, self.order, do))

    def run(self, until: Callable[[], bool]) -> None:
        while not until():
            self.now, _, do = heapq.heappop(self.events)
            do()


class LobbyServer:
    """One processor of `rate` set-ups a second."""

    def __init__(self, clock: Clock, name: str, number: int, rate: float) -> None:
        self.clock, self.name, self.number, self.rate = clock, name, number, rate
        self.up, self.started, self.free_at = True, -math.inf, 0.0
        self.life = 0

    def set_up(self, then: Callable[[api.Outcome, float], None]) -> None:
        """`then` hears how it ended, and the wait that was stated, if any."""
        now, life = self.clock.now, self.life
        if not self.up:
            self.clock.at(CONNECT_MS, lambda: then(api.Outcome.CONNECT_FAILED, 0.0))
            return
        if self.free_at - now > QUEUE_MS:
            self.clock.at(WAY_MS, lambda: then(api.Outcome.FULL, 0.0))
            return
        warm = min(1.0, max(0.0, now - self.started) / COLD_MS)
        rate = self.rate * (COLD_FROM + (1.0 - COLD_FROM) * warm)
        self.free_at = max(self.free_at, now) + 1000.0 / rate
        self.clock.at(
            self.free_at - now + WAY_MS,
            lambda: then(api.Outcome.OK if self.life == life else api.Outcome.RESET, 0.0),
        )

    def down(self) -> None:
        self.up, self.life = False, self.life + 1

    def back(self) -> None:
        self.up, self.started, self.free_at = True, self.clock.now, self.clock.now


class Agent:
    """One call agent: its module, its calls, the servers that it holds out."""

    def __init__(self, world: World, name: str, number: int) -> None:
        self.world, self.name, self.number = world, name, number
        self.phase = "serving"
        self.held: set[str] = set()
        self.calls: dict[str, tuple[float, int]] = {}  # without a final answer: since when, attempts so far
        self.there: dict[str, int] = dict.fromkeys(world.servers, 0)  # out or standing, by server
        self.boot()

    def boot(self) -> None:
        self.life = getattr(self, "life", 0) + 1
        self.calls.clear()
        self.there = dict.fromkeys(self.world.servers, 0)
        settings = api.Settings(
            (api.CallClass("race", AIM_MS, DEADLINE_MS, holding_ms=1000.0),),
            me=self.number,
            siblings=len(self.world.names),
            release_guard_ms=GUARD_MS,
            retransmit_ms=400.0,
            cold_from=COLD_FROM,
            cold_ms=COLD_MS,
            fall_multiple=3.0,
            fall_ms=2000.0,
            try_limit=4,
            may_cancel=True,
        )
        self.module = Controller(settings, self.world.chance.getrandbits(32))
        self.listed(api.ListKind.PERSISTED)

    def busy(self) -> bool:
        return bool(self.calls) or any(self.there.values())

    def listed(self, kind: api.ListKind = api.ListKind.COMPLETE) -> None:
        now = self.world.clock.now
        self.handle(
            api.ListUpdate(
                kind,
                1,
                tuple(
                    api.Server(
                        server.name,
                        server.number,
                        api.Lifecycle.DRAINING if server.name in self.held else api.Lifecycle.READY,
                        "",
                        max(0.0, server.started),
                        server.rate,
                    )
                    for server in self.world.servers.values()
                ),
            ),
            now,
        )

    def handle(self, event: api.Event, now: float) -> None:
        life = self.life
        for action in self.module.handle(event, now):
            match action:
                case api.SendAttempt(call, server):
                    self.send(call, server)
                case api.RefuseCall(call) | api.FailCall(call):
                    if self.calls.pop(call, None) is not None:
                        self.world.ended(call, False)
                case api.SetTimer(name, after):
                    self.world.clock.at(max(0.0, after), functools.partial(self.rang, life, name))

    def rang(self, life: int, name: str) -> None:
        if life == self.life:
            self.handle(api.TimerFired(name), self.world.clock.now)

    def arrive(self, call: str) -> None:
        self.calls[call] = (self.world.clock.now, 0)
        self.handle(api.CallArrived(call, "race", "", DEADLINE_MS, -1), self.world.clock.now)

    def send(self, call: str, server: str) -> None:
        sent, life = self.world.clock.now, self.life
        since, number = self.calls[call]
        self.calls[call] = (since, number + 1)
        self.there[server] += 1

        def ended(outcome: api.Outcome, _: float) -> None:
            if self.life != life:
                return
            now = self.world.clock.now
            if outcome is api.Outcome.OK:
                self.world.clock.at(self.world.chance.uniform(*HOLD_MS), lambda: self.over(life, server))
                if self.calls.pop(call, None) is not None:
                    self.world.ended(call, now - since <= AIM_MS)
                self.handle(api.CallEstablished(call, number, server, now - sent), now)
            else:
                self.over(life, server)
                late = call not in self.calls
                self.handle(api.AttemptEnded(call, number, server, outcome, now - sent, late), now)

        self.world.servers[server].set_up(ended)

    def over(self, life: int, server: str) -> None:
        if self.life == life:
            self.there[server] -= 1


class World:
    """Agents, servers, a balancer, and calls at a rate."""

    def __init__(
        self, clock: Clock, agents: int, servers: int, rate: float, a_second: float, seed: int
    ) -> None:
        """`rate`: set-ups a second that each server bears; `a_second`: calls."""
        self.clock, self.chance, self.rate = clock, random.Random(seed), a_second
        self.servers = {
            f"h{number}": LobbyServer(clock, f"h{number}", number, rate) for number in range(servers)
        }
        self.names = [f"a{number}" for number in range(agents)]
        self.agents = {name: Agent(self, name, number) for number, name in enumerate(self.names)}
        self.count = 0
        self.arrived: list[int] = []  # calls by second
        self.good: list[int] = []  # of these, in time
        self.since: dict[str, int] = {}
        self.arrive()

    def arrive(self) -> None:
        self.clock.at(self.chance.expovariate(self.rate) * 1000.0, self.arrive)
        self.count += 1
        call, second = f"c{self.count}", int(self.clock.now / 1000.0)
        while len(self.arrived) <= second:
            self.arrived.append(0)
            self.good.append(0)
        self.arrived[second] += 1
        self.since[call] = second
        serving = [agent for agent in self.agents.values() if agent.phase == "serving"]
        if serving:
            self.chance.choice(serving).arrive(call)

    def ended(self, call: str, in_time: bool) -> None:
        self.good[self.since.pop(call)] += in_time

    def share(self, first: float, last: float) -> tuple[float, int, float]:
        """Of the calls between two times: the share in time, how many were not, and the worst 10 s."""
        a, b = int(first / 1000.0), max(int(first / 1000.0) + 10, int(last / 1000.0))
        arrived, good = self.arrived[a:b], self.good[a:b]
        worst = min(
            sum(good[at : at + 10]) / max(1, sum(arrived[at : at + 10]))
            for at in range(max(1, len(good) - 9))
        )
        return sum(good) / sum(arrived), sum(arrived) - sum(good), worst
