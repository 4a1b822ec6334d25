"""Load on cold servers: guards against a fleet of call agents that together sends a cold server too much.

A simulation with one clock, the production decision module and servers that answer at once. In every window
of `fall_ms` a cold server may get N set-ups, `fall_multiple` times its present capacity; the tests allow
2 * sqrt(N) + 2 more for random variation. Runs with several seeds."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable

import pytest

from frostport import interface as api
from frostport.decide import Controller

COLD_FROM = 0.34  # capacity of a server that has just started, as a share of its warm capacity
COLD_MS = 10_000.0  # time until it is warm
FALL_MULTIPLE = 3.0
FALL_MS = 2000.0
ROUND_TRIP_MS = 12.0
SERVERS = 6
LOAD = 0.9  # share of the warm capacity of all servers
PROBE_COST = 0.28  # highest cost of a probe, as a share of that of a set-up
SETTINGS = api.Settings(
    (api.CallClass("race", 1500.0, 9000.0, holding_ms=9000.0),),
    release_guard_ms=500.0,
    retransmit_ms=400.0,
    cold_from=COLD_FROM,
    cold_ms=COLD_MS,
    fall_multiple=FALL_MULTIPLE,
    fall_ms=FALL_MS,
    try_limit=4,
    may_cancel=True,
    probes=True,
)


class Fleet:
    """Agents with unequal traffic, some of which get server lists late, and servers that count requests."""

    def __init__(self, agents: int, rate: float, seed: int) -> None:
        """`rate`: set-ups per second that one warm server can take."""
        self.rng = random.Random(seed)
        self.now = 1_000_000.0
        self.sequence = 0
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self.rate = rate
        self.agents = agents
        self.started_ms = dict.fromkeys(range(SERVERS), 0.0)
        # By server: time and cost of each request.
        self.received: dict[int, list[tuple[float, float]]] = {number: [] for number in range(SERVERS)}
        self.weights = [self.rng.paretovariate(1.5) for _ in range(agents)]
        self.list_delay_ms = [self.rng.choice((50.0, 300.0, 1500.0)) for _ in range(agents)]
        self.incarnations = [0] * agents
        self.controllers: list[Controller] = [self.start_agent(agent) for agent in range(agents)]
        self.calls = 0
        self.call_arrives()

    def call_later(self, after: float, callback: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.scheduled, (self.now + after, self.sequence, callback))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.scheduled[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.scheduled)
            callback()
        self.now = end

    def servers(self) -> tuple[api.Server, ...]:
        """The current server list."""
        return tuple(
            api.Server(f"s{number}", number, api.Lifecycle.READY, "", started)
            for number, started in self.started_ms.items()
        )

    def start_agent(self, agent: int) -> Controller:
        """Creates the controller of a new incarnation; only the first one gets the server list from here."""
        self.incarnations[agent] += 1
        settings = api.Settings(
            **{
                name: getattr(SETTINGS, name) for name in SETTINGS.__slots__ if name not in ("me", "siblings")
            },
            me=agent,
            siblings=self.agents,
        )
        controller = Controller(settings, self.rng.getrandbits(32))
        if self.incarnations[agent] == 1:
            self.call_later(
                0.0,
                lambda: self.handle_event(agent, api.ListUpdate(api.ListKind.PERSISTED, 1, self.servers())),
            )
        return controller

    def restart_agent(self, agent: int) -> None:
        self.controllers[agent] = self.start_agent(agent)
        self.handle_event(agent, api.ListUpdate(api.ListKind.PERSISTED, 1, self.servers()))

    def handle_event(self, agent: int, event: api.Event) -> None:
        """Passes an event to an agent's controller and carries out the actions that it returns."""
        incarnation = self.incarnations[agent]
        for action in self.controllers[agent].handle(event, self.now):
            match action:
                case api.SendAttempt(call, server):
                    self.handle_set_up(agent, incarnation, call, int(server[1:]))
                case api.SetTimer(name, after):
                    self.call_later(
                        after,
                        lambda name=name: self.deliver(  # type: ignore[misc]
                            agent, incarnation, api.TimerFired(name)
                        ),
                    )
                case api.Probe(server):
                    self.received[int(server[1:])].append((self.now, PROBE_COST))
                    self.call_later(
                        ROUND_TRIP_MS,
                        lambda server=server: self.deliver(  # type: ignore[misc]
                            agent, incarnation, api.ServerReport(server, api.Outcome.OK, ROUND_TRIP_MS)
                        ),
                    )

    def deliver(self, agent: int, incarnation: int, event: api.Event) -> None:
        """Passes an event on, unless the agent has restarted meanwhile."""
        if self.incarnations[agent] == incarnation:
            self.handle_event(agent, event)

    def handle_set_up(self, agent: int, incarnation: int, call: str, number: int) -> None:
        """Counts a set-up at a server; a few are reset, the others are established."""
        self.received[number].append((self.now, 1.0))
        attempt = self.attempts[call] = self.attempts.get(call, -1) + 1
        sent = self.now
        # Some are reset and sent again after the release guard: repeated ones count as well.
        reset = api.AttemptEnded(call, attempt, f"s{number}", api.Outcome.RESET, ROUND_TRIP_MS, False)
        established = api.CallEstablished(call, attempt, f"s{number}", ROUND_TRIP_MS)
        event = reset if self.rng.random() < 0.03 else established
        self.call_later(ROUND_TRIP_MS, lambda: self.deliver(agent, incarnation, event))
        assert sent <= self.now

    attempts: dict[str, int] = {}  # noqa: RUF012 (replaced by each fleet with its first call)

    def call_arrives(self) -> None:
        """Schedules the next call, and gives this one to an agent by the agents' weights."""
        self.call_later(self.rng.expovariate(LOAD * self.rate * SERVERS) * 1000.0, self.call_arrives)
        if not self.calls:
            self.attempts = {}
        self.calls += 1
        (agent,) = self.rng.choices(range(self.agents), self.weights)
        home = self.rng.randrange(SERVERS)
        self.handle_event(agent, api.CallArrived(f"c{self.calls}", "race", "", 9000.0, home))

    def replace_server(self, number: int) -> None:
        """Restarts a server's process; each agent learns of it after its own delay."""
        self.started_ms[number] = self.now
        update = api.ListUpdate(api.ListKind.CHANGES, 2, (self.servers()[number],))
        for agent in range(self.agents):
            self.call_later(self.list_delay_ms[agent], lambda agent=agent: self.handle_event(agent, update))  # type: ignore[misc]

    def worst_excess(self, number: int) -> float:
        """Returns by how much a cold server's worst window exceeds N plus the allowance for variation."""
        started = self.started_ms[number]
        worst = -math.inf
        received = [(at, cost) for at, cost in self.received[number] if started <= at <= started + COLD_MS]
        first = 0
        total = 0.0
        for at, cost in received:
            total += cost
            while received[first][0] <= at - FALL_MS:
                total -= received[first][1]
                first += 1
            capacity = (
                COLD_FROM + (1.0 - COLD_FROM) * (max(received[first][0], at - FALL_MS) - started) / COLD_MS
            )
            allowed = FALL_MULTIPLE * capacity * self.rate * FALL_MS / 1000.0
            worst = max(worst, total - allowed - 2.0 * math.sqrt(allowed) - 2.0)
        return worst


def replace_one(fleet: Fleet) -> list[int]:
    fleet.replace_server(0)
    return [0]


def replace_all_but_one(fleet: Fleet) -> list[int]:
    cold = list(range(SERVERS - 1))
    for number in cold:
        fleet.replace_server(number)
    return cold


def restart_agents_half_cold(fleet: Fleet) -> list[int]:
    """Restarts all agents at once, while half of the servers have just started."""
    cold = list(range(SERVERS // 2))
    for number in cold:
        fleet.started_ms[number] = fleet.now
    for agent in range(fleet.agents):
        fleet.call_later(fleet.rng.uniform(0.0, 300.0), lambda agent=agent: fleet.restart_agent(agent))  # type: ignore[misc]
    return cold


def restart_agents_all_cold(fleet: Fleet) -> list[int]:
    """The same with every server just started: no agent can estimate capacity from a warm one."""
    cold = list(range(SERVERS))
    for number in cold:
        fleet.started_ms[number] = fleet.now
    for agent in range(fleet.agents):
        fleet.call_later(fleet.rng.uniform(0.0, 300.0), lambda agent=agent: fleet.restart_agent(agent))  # type: ignore[misc]
    return cold


SCENARIOS: dict[str, Callable[[Fleet], list[int]]] = {
    "one replaced": replace_one,
    "all but one replaced": replace_all_but_one,
    "all agents restarted, half cold": restart_agents_half_cold,
    "all agents restarted, all cold": restart_agents_all_cold,
}


@pytest.mark.parametrize("agents", [20, 30, 200])
@pytest.mark.parametrize("name", SCENARIOS)
def test_the_whole_fleet_does_not_overload_a_cold_server(name: str, agents: int) -> None:
    excess: dict[tuple[float, int], float] = {}
    for rate in (6.0, 25.0):
        for seed in range(4 if agents < 100 else 1):
            fleet = Fleet(agents, rate, seed)
            fleet.run(12_000.0)
            cold = SCENARIOS[name](fleet)
            fleet.run(COLD_MS)
            excess[rate, seed] = max(fleet.worst_excess(number) for number in cold)
    assert max(excess.values()) <= 0.0, excess
