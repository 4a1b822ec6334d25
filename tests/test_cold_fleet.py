"""Cold servers under a whole fleet: what all call agents send together, over many seeds and every window.

One clock, the program's own decision objects, servers that answer at once. N is what the settings allow a
cold server in `fall_ms`: the multiple of its present capacity. Chance covers 2 root N + 2 beyond it."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable

import pytest

from frostport import interface as api
from frostport.decide import Controller

COLD_FROM, COLD_MS, MULTIPLE, FALL_MS, WAY_MS = 0.34, 10_000.0, 3.0, 2000.0, 12.0
SERVERS, LOAD, PROBE_WORK = 6, 0.9, 0.28  # of a set-up's work, as dear as a probe gets
SETTINGS = api.Settings(
    (api.CallClass("race", 1500.0, 9000.0, holding_ms=9000.0),),
    release_guard_ms=500.0,
    retransmit_ms=400.0,
    cold_from=COLD_FROM,
    cold_ms=COLD_MS,
    fall_multiple=MULTIPLE,
    fall_ms=FALL_MS,
    try_limit=4,
    may_cancel=True,
    probes=True,
)


class Fleet:
    """Agents of unequal traffic, some of which hear lists late, and servers that count what comes."""

    def __init__(self, agents: int, rate: float, seed: int) -> None:
        """`rate`: set-ups a second that one warm server bears."""
        self.chance, self.now, self.order = random.Random(seed), 1_000_000.0, 0
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.rate, self.agents = rate, agents
        self.started = dict.fromkeys(range(SERVERS), 0.0)
        self.came: dict[int, list[tuple[float, float]]] = {number: [] for number in range(SERVERS)}
        self.weights = [self.chance.paretovariate(1.5) for _ in range(agents)]
        self.late = [self.chance.choice((50.0, 300.0, 1500.0)) for _ in range(agents)]
        self.lives = [0] * agents
        self.modules: list[Controller] = [self.boot(me) for me in range(agents)]
        self.calls = 0
        self.arrive()

    def at(self, after: float, do: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.due, (self.now + after, self.order, do))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.due[0][0] <= end:
            self.now, _, do = heapq.heappop(self.due)
            do()
        self.now = end

    def servers(self) -> tuple[api.Server, ...]:
        return tuple(
            api.Server(f"s{number}", number, api.Lifecycle.READY, "", started)
            for number, started in self.started.items()
        )

    def boot(self, me: int) -> Controller:
        self.lives[me] += 1
        settings = api.Settings(
            **{
                name: getattr(SETTINGS, name) for name in SETTINGS.__slots__ if name not in ("me", "siblings")
            },
            me=me,
            siblings=self.agents,
        )
        module = Controller(settings, self.chance.getrandbits(32))
        if self.lives[me] == 1:
            self.at(0.0, lambda: self.give(me, api.ListUpdate(api.ListKind.PERSISTED, 1, self.servers())))
        return module

    def restart(self, me: int) -> None:
        self.modules[me] = self.boot(me)
        self.give(me, api.ListUpdate(api.ListKind.PERSISTED, 1, self.servers()))

    def give(self, me: int, event: api.Event) -> None:
        life = self.lives[me]
        for action in self.modules[me].handle(event, self.now):
            match action:
                case api.SendAttempt(call, server):
                    self.set_up(me, life, call, int(server[1:]))
                case api.SetTimer(name, after):
                    self.at(after, lambda name=name: self.tell(me, life, api.TimerFired(name)))  # type: ignore[misc]
                case api.Probe(server):
                    self.came[int(server[1:])].append((self.now, PROBE_WORK))
                    self.at(
                        WAY_MS,
                        lambda server=server: self.tell(  # type: ignore[misc]
                            me, life, api.ServerReport(server, api.Outcome.OK, WAY_MS)
                        ),
                    )

    def tell(self, me: int, life: int, event: api.Event) -> None:
        if self.lives[me] == life:
            self.give(me, event)

    def set_up(self, me: int, life: int, call: str, number: int) -> None:
        self.came[number].append((self.now, 1.0))
        attempt = self.attempts[call] = self.attempts.get(call, -1) + 1
        sent = self.now
        # Some are reset and sent again after the guard: what is repeated counts as well.
        ended = api.AttemptEnded(call, attempt, f"s{number}", api.Outcome.RESET, WAY_MS, False)
        stands = api.CallStands(call, attempt, f"s{number}", WAY_MS)
        event = ended if self.chance.random() < 0.03 else stands
        self.at(WAY_MS, lambda: self.tell(me, life, event))
        assert sent <= self.now

    attempts: dict[str, int] = {}  # noqa: RUF012 (set anew with each fleet)

    def arrive(self) -> None:
        self.at(self.chance.expovariate(LOAD * self.rate * SERVERS) * 1000.0, self.arrive)
        if not self.calls:
            self.attempts = {}
        self.calls += 1
        (me,) = self.chance.choices(range(self.agents), self.weights)
        first = self.chance.randrange(SERVERS)
        self.give(me, api.CallArrived(f"c{self.calls}", "race", "", 9000.0, first))

    def replaced(self, number: int) -> None:
        """The server's process is another from now on; each agent hears of it in its own time."""
        self.started[number] = self.now
        update = api.ListUpdate(api.ListKind.CHANGES, 2, (self.servers()[number],))
        for me in range(self.agents):
            self.at(self.late[me], lambda me=me: self.give(me, update))  # type: ignore[misc]

    def over(self, number: int) -> float:
        """The worst window of a cold server: what came, less N and what chance covers."""
        began, worst = self.started[number], -math.inf
        came = [(at, work) for at, work in self.came[number] if began <= at <= began + COLD_MS]
        first, total = 0, 0.0
        for at, work in came:
            total += work
            while came[first][0] <= at - FALL_MS:
                total -= came[first][1]
                first += 1
            warm = COLD_FROM + (1.0 - COLD_FROM) * (max(came[first][0], at - FALL_MS) - began) / COLD_MS
            allowed = MULTIPLE * warm * self.rate * FALL_MS / 1000.0
            worst = max(worst, total - allowed - 2.0 * math.sqrt(allowed) - 2.0)
        return worst


def one(fleet: Fleet) -> list[int]:
    fleet.replaced(0)
    return [0]


def most(fleet: Fleet) -> list[int]:
    cold = list(range(SERVERS - 1))
    for number in cold:
        fleet.replaced(number)
    return cold


def restarted(fleet: Fleet) -> list[int]:
    """All agents anew at once, among servers of which half have just started."""
    cold = list(range(SERVERS // 2))
    for number in cold:
        fleet.started[number] = fleet.now
    for me in range(fleet.agents):
        fleet.at(fleet.chance.uniform(0.0, 300.0), lambda me=me: fleet.restart(me))  # type: ignore[misc]
    return cold


def restarted_cold(fleet: Fleet) -> list[int]:
    """The same where every server has just started: nobody has a warm one to go by."""
    cold = list(range(SERVERS))
    for number in cold:
        fleet.started[number] = fleet.now
    for me in range(fleet.agents):
        fleet.at(fleet.chance.uniform(0.0, 300.0), lambda me=me: fleet.restart(me))  # type: ignore[misc]
    return cold


CASES: dict[str, Callable[[Fleet], list[int]]] = {
    "one replaced": one,
    "all but one replaced": most,
    "all agents restarted, half cold": restarted,
    "all agents restarted, all cold": restarted_cold,
}


@pytest.mark.parametrize("agents", [20, 30, 200])
@pytest.mark.parametrize("name", CASES)
def test_a_cold_server_bears_what_the_whole_fleet_sends(name: str, agents: int) -> None:
    over: dict[tuple[float, int], float] = {}
    for rate in (6.0, 25.0):
        for seed in range(4 if agents < 100 else 1):
            fleet = Fleet(agents, rate, seed)
            fleet.run(12_000.0)
            cold = CASES[name](fleet)
            fleet.run(COLD_MS)
            over[rate, seed] = max(fleet.over(number) for number in cold)
    assert max(over.values()) <= 0.0, over
