"""Simulates calls through call agents on one clock, while machines are taken out of service for maintenance.

Agents decide by the real `decide.Controller`. Lobby servers are modelled as one processor each with a bounded
queue: a full queue refuses set-ups, and a cold server is slow. A load balancer gives each call to a random
agent that serves.
"""

from __future__ import annotations

import functools
import heapq
import math
import random
from collections.abc import Callable

from frostport import interface as api
from frostport.decide import Controller

AIM_MS = 1500.0
DEADLINE_MS = 9000.0
COLD_MS = 15_000.0
COLD_FROM = 0.34
ROUND_TRIP_MS = 10.0
MAX_QUEUE_MS = 1200.0  # the longest wait in a server's queue
CONNECT_REFUSAL_MS = 5.0  # until a stopped server has refused a connection
CALL_DURATION_MS = (500.0, 3000.0)
RELEASE_GUARD_MS = 500.0
START_MS = 100_000.0  # large enough that servers started before it are not cold at the beginning


class SimulatedClock:
    """The simulated time in ms, and the callbacks that are due."""

    def __init__(self) -> None:
        self.now = START_MS
        self.sequence = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay_ms, self.sequence, callback))

    def run(self, until: Callable[[], bool]) -> None:
        """Runs callbacks in the order of their time; `until` is checked before each."""
        while not until():
            self.now, _, callback = heapq.heappop(self.events)
            callback()


class SimulatedLobbyServer:
    """One processor that handles `rate` set-ups per second when it is warm."""

    def __init__(self, clock: SimulatedClock, name: str, number: int, rate: float) -> None:
        self.clock = clock
        self.name = name
        self.number = number
        self.rate = rate
        self.up = True
        self.started = -math.inf
        self.free_at = 0.0
        self.incarnation = 0

    def set_up(self, on_end: Callable[[api.Outcome, float], None]) -> None:
        """Sends a set-up; calls `on_end` with its outcome and a stated wait in ms, which is always 0."""
        now = self.clock.now
        incarnation = self.incarnation
        if not self.up:
            self.clock.call_after(CONNECT_REFUSAL_MS, lambda: on_end(api.Outcome.CONNECT_FAILED, 0.0))
            return
        if self.free_at - now > MAX_QUEUE_MS:
            self.clock.call_after(ROUND_TRIP_MS, lambda: on_end(api.Outcome.FULL, 0.0))
            return
        warm = min(1.0, max(0.0, now - self.started) / COLD_MS)
        rate = self.rate * (COLD_FROM + (1.0 - COLD_FROM) * warm)
        self.free_at = max(self.free_at, now) + 1000.0 / rate
        self.clock.call_after(
            self.free_at - now + ROUND_TRIP_MS,
            lambda: on_end(api.Outcome.OK if self.incarnation == incarnation else api.Outcome.RESET, 0.0),
        )

    def go_down(self) -> None:
        """Stops the process: unanswered set-ups end as reset, new ones fail to connect."""
        self.up = False
        self.incarnation += 1

    def come_up(self) -> None:
        """Starts a new process, cold and with an empty queue."""
        self.up = True
        self.started = self.clock.now
        self.free_at = self.clock.now


class SimulatedAgent:
    """One call agent: its controller, its calls and the servers that are disabled at it."""

    def __init__(self, simulation: CallSimulation, name: str, number: int) -> None:
        self.simulation = simulation
        self.name = name
        self.number = number
        self.phase = "serving"
        self.disabled: set[str] = set()
        self.calls: dict[str, tuple[float, int]] = {}  # unanswered: arrival time, attempts so far
        self.calls_by_server: dict[str, int] = dict.fromkeys(simulation.servers, 0)  # open ones
        self.boot()

    def boot(self) -> None:
        """Starts a new incarnation, without any of the calls."""
        self.incarnation = getattr(self, "incarnation", 0) + 1
        self.calls.clear()
        self.calls_by_server = dict.fromkeys(self.simulation.servers, 0)
        settings = api.Settings(
            (api.CallClass("race", AIM_MS, DEADLINE_MS, holding_ms=1000.0),),
            me=self.number,
            siblings=len(self.simulation.names),
            release_guard_ms=RELEASE_GUARD_MS,
            retransmit_ms=400.0,
            cold_from=COLD_FROM,
            cold_ms=COLD_MS,
            fall_multiple=3.0,
            fall_ms=2000.0,
            try_limit=4,
            may_cancel=True,
        )
        self.controller = Controller(settings, self.simulation.rng.getrandbits(32))
        self.send_server_list(api.ListKind.PERSISTED)

    def busy(self) -> bool:
        """Whether a call is unanswered, or an attempt or call is open at a server."""
        return bool(self.calls) or any(self.calls_by_server.values())

    def send_server_list(self, kind: api.ListKind = api.ListKind.COMPLETE) -> None:
        """Gives the controller the current server list, with disabled servers as draining."""
        now = self.simulation.clock.now
        self.handle(
            api.ListUpdate(
                kind,
                1,
                tuple(
                    api.Server(
                        server.name,
                        server.number,
                        api.Lifecycle.DRAINING if server.name in self.disabled else api.Lifecycle.READY,
                        "",
                        max(0.0, server.started),
                        server.rate,
                    )
                    for server in self.simulation.servers.values()
                ),
            ),
            now,
        )

    def handle(self, event: api.Event, now: float) -> None:
        """Passes an event to the controller and carries out the actions that it returns."""
        incarnation = self.incarnation
        for action in self.controller.handle(event, now):
            match action:
                case api.SendAttempt(call, server):
                    self.send(call, server)
                case api.RefuseCall(call) | api.FailCall(call):
                    if self.calls.pop(call, None) is not None:
                        self.simulation.ended(call, False)
                case api.SetTimer(name, delay_ms):
                    self.simulation.clock.call_after(
                        max(0.0, delay_ms), functools.partial(self.timer_fired, incarnation, name)
                    )

    def timer_fired(self, incarnation: int, name: str) -> None:
        """Passes a timer on, unless an earlier incarnation set it."""
        if incarnation == self.incarnation:
            self.handle(api.TimerFired(name), self.simulation.clock.now)

    def arrive(self, call: str) -> None:
        """Takes a call from the load balancer."""
        self.calls[call] = (self.simulation.clock.now, 0)
        self.handle(api.CallArrived(call, "race", "", DEADLINE_MS, -1), self.simulation.clock.now)

    def send(self, call: str, server: str) -> None:
        """Sends an attempt; its outcome is dropped if the agent restarts meanwhile."""
        sent = self.simulation.clock.now
        incarnation = self.incarnation
        since, number = self.calls[call]
        self.calls[call] = (since, number + 1)
        self.calls_by_server[server] += 1

        def ended(outcome: api.Outcome, _: float) -> None:
            if self.incarnation != incarnation:
                return
            now = self.simulation.clock.now
            if outcome is api.Outcome.OK:
                self.simulation.clock.call_after(
                    self.simulation.rng.uniform(*CALL_DURATION_MS),
                    lambda: self.call_over(incarnation, server),
                )
                if self.calls.pop(call, None) is not None:
                    self.simulation.ended(call, now - since <= AIM_MS)
                self.handle(api.CallEstablished(call, number, server, now - sent), now)
            else:
                self.call_over(incarnation, server)
                late = call not in self.calls
                self.handle(api.AttemptEnded(call, number, server, outcome, now - sent, late), now)

        self.simulation.servers[server].set_up(ended)

    def call_over(self, incarnation: int, server: str) -> None:
        """Counts an attempt or call as no longer open at its server."""
        if self.incarnation == incarnation:
            self.calls_by_server[server] -= 1


class CallSimulation:
    """Agents, lobby servers, a load balancer, and calls that arrive at a rate."""

    def __init__(
        self,
        clock: SimulatedClock,
        agents: int,
        servers: int,
        server_rate: float,
        calls_per_second: float,
        seed: int,
    ) -> None:
        """`server_rate` is each server's capacity in set-ups per second."""
        self.clock = clock
        self.rng = random.Random(seed)
        self.calls_per_second = calls_per_second
        self.servers = {
            f"h{number}": SimulatedLobbyServer(clock, f"h{number}", number, server_rate)
            for number in range(servers)
        }
        self.names = [f"a{number}" for number in range(agents)]
        self.agents = {name: SimulatedAgent(self, name, number) for number, name in enumerate(self.names)}
        self.call_count = 0
        self.arrived_by_second: list[int] = []
        self.in_time_by_second: list[int] = []  # calls of each second that were answered within their aim
        self.arrival_second: dict[str, int] = {}
        self.arrive()

    def arrive(self) -> None:
        """Schedules the next call; gives this one to a random serving agent, or drops it if none serves."""
        self.clock.call_after(self.rng.expovariate(self.calls_per_second) * 1000.0, self.arrive)
        self.call_count += 1
        call = f"c{self.call_count}"
        second = int(self.clock.now / 1000.0)
        while len(self.arrived_by_second) <= second:
            self.arrived_by_second.append(0)
            self.in_time_by_second.append(0)
        self.arrived_by_second[second] += 1
        self.arrival_second[call] = second
        serving = [agent for agent in self.agents.values() if agent.phase == "serving"]
        if serving:
            self.rng.choice(serving).arrive(call)

    def ended(self, call: str, in_time: bool) -> None:
        """Counts an answered or failed call in the second in which it arrived."""
        self.in_time_by_second[self.arrival_second.pop(call)] += in_time

    def in_time_share(self, first: float, last: float) -> tuple[float, int, float]:
        """Of the calls that arrived in a span (extended to at least 10 s): the share answered in time, the
        number of the others, and the share in the worst 10 s."""
        start, end = int(first / 1000.0), max(int(first / 1000.0) + 10, int(last / 1000.0))
        arrived, answered = self.arrived_by_second[start:end], self.in_time_by_second[start:end]
        worst = min(
            sum(answered[at : at + 10]) / max(1, sum(arrived[at : at + 10]))
            for at in range(max(1, len(answered) - 9))
        )
        return sum(answered) / sum(arrived), sum(arrived) - sum(answered), worst
