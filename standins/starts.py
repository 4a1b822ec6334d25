"""Hundreds of agents' starts on one simulated clock: the decisions that serve, a list service and lobby
servers with a cost for everything and a point past which they collapse and stay down. One seed, one thread.

Membership is modelled: each agent hears of the others after a while, with a part that may stay hidden.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable

from frostport.core.dial_policy import LIST_SERVICE
from frostport.startup import feed as feeding
from frostport.startup.feed import Feed, Role
from frostport.startup.messages import FeedUpdate, Message
from frostport.startup.pacing import DialPacer
from frostport.startup.readiness import StagedReadiness, StartProgress
from frostport.startup.rendezvous import initial_servers
from frostport.startup.settings import Settings

WAY_MS = (0.5, 5.0)
TICK_MS, BEAT_MS = 250.0, 1000.0
SILENT_MS, CONNECT_MS = 2500.0, 1000.0
SEEN_MS = (200.0, 4000.0)  # until another agent's start is known


class Party:
    """A list service or a lobby server: one processor, work in line, collapse past `most_ms` of it."""

    def __init__(self, site: Site, name: str, handshake_ms: float, work_ms: float, most_ms: float) -> None:
        self.site, self.name = site, name
        self.handshake_ms, self.work_ms, self.most_ms = handshake_ms, work_ms, most_ms
        self.up, self.mute, self.collapsed = True, False, False
        self.free_at = -math.inf
        self.accepted: list[float] = []
        self.open: dict[str, int] = {}  # agents connected, with the number of that connection
        self.numbers = itertools.count(1)

    def takes(self, cost_ms: float) -> float | None:
        """When this work is done; None: it has collapsed."""
        self.free_at = max(self.free_at, self.site.now) + cost_ms
        if self.free_at - self.site.now > self.most_ms:
            self.collapsed = True
            self.away()
            return None
        return self.free_at

    def away(self) -> None:
        self.up = False
        for agent in list(self.open):
            self.site.later(WAY_MS, functools.partial(self.site.broken, agent, self.name, self.open[agent]))
        self.open.clear()

    def back(self) -> None:
        if not self.collapsed:
            self.up, self.free_at = True, self.site.now


class Agent:
    """One call agent: the objects of `frostport/startup`, and what the wires would keep."""

    def __init__(self, site: Site, name: str, offset: int, skew_ms: float) -> None:
        self.site, self.name, self.skew, self.life = site, name, skew_ms, site.chance.getrandbits(32)
        self.zone = site.zone(name)
        now = self.clock()
        self.turns = DialPacer(site.settings, random.Random(site.chance.random()), now)
        self.feed = Feed(name, self.zone, offset, site.settings, now)
        self.waves = StagedReadiness(site.settings, now)
        self.offset = offset
        self.members: dict[str, str] = {}
        self.births = self.deaths = 0  # how many of the site's this agent has heard of
        self.lag_ms = site.chance.uniform(*SEEN_MS)
        self.connected: dict[str, int] = {}  # to servers and the list service
        self.answering: set[str] = set()
        self.dial_at: dict[str, float] = {}  # its turn, by target
        self.chosen: set[str] = set()
        self.frozen_until = -math.inf
        self.heard_list = -math.inf
        self.heard_at: dict[int, float] = {}  # when it knew of an event

    def clock(self) -> float:
        return self.site.now + self.skew

    def alive(self) -> bool:
        return self.site.agents.get(self.name) is self

    # Turns

    def dial_in(self, target: str, wait: float) -> None:
        at = self.dial_at[target] = self.site.now + wait
        self.site.at(at, lambda: self._dial(target, at))

    def _dial(self, target: str, at: float) -> None:
        if not self.alive() or self.dial_at.get(target) != at:
            return
        if self.site.now < self.frozen_until:
            self.site.at(self.frozen_until, lambda: self._dial(target, at))
            return
        del self.dial_at[target]
        party = self.site.parties[target]
        if not party.up:
            self.site.later(WAY_MS, lambda: self._refused(target))
            return
        party.accepted.append(self.site.now)
        done = party.takes(party.handshake_ms)
        if done is None:
            self.site.later(WAY_MS, lambda: self._refused(target))
            return
        number = party.open[self.name] = next(party.numbers)
        self.site.at(done + 1.0, lambda: self._up(target, number))

    def _refused(self, target: str) -> None:
        if not self.alive():
            return
        self.turns.raise_pressure(target, self.clock())
        self._again(target)

    def _again(self, target: str) -> None:
        """A connection is lost, or was not to be had."""
        if target == LIST_SERVICE:
            self.do(feeding.ServiceDisconnected())
            if self.feed.role not in (Role.FEEDING, Role.STANDALONE):
                return
        if target not in self.dial_at:
            self.dial_in(target, self.turns.schedule_redial(target, self.clock()))

    def _up(self, target: str, number: int) -> None:
        party = self.site.parties[target]
        if not self.alive() or party.open.get(self.name) != number:
            return
        if target == LIST_SERVICE and self.feed.role not in (Role.FEEDING, Role.STANDALONE):
            del party.open[self.name]
            return
        self.connected[target] = number
        self.turns.on_connected(target, self.clock())
        if target == LIST_SERVICE:
            self.do(feeding.ServiceConnected())
            self.heard_list = self.site.now
            done = party.takes(party.work_ms)
            if done is not None:
                self.site.whole_lists += self.offset < self.site.kept_from
                self.site.at(done, lambda: self.site.tell(self.name, number))
        elif not party.mute:
            self.answering.add(target)

    def broken(self, target: str, number: int) -> None:
        if self.alive() and self.connected.get(target) == number:
            del self.connected[target]
            self.answering.discard(target)
            self._again(target)

    # The feed

    def do(self, event: feeding.Event) -> None:
        for action in self.feed.handle(event, self.clock()):
            match action:
                case feeding.Send(to, message):
                    self.site.send(self.name, to, message)
                case feeding.SendSnapshot(to):
                    age = self.feed.age_ms(self.clock())
                    self.site.send(
                        self.name,
                        to,
                        FeedUpdate(-1, (b"whole %d" % self.offset,), age, self.feed.connected, False),
                    )
                case feeding.ApplyEvents(events):
                    for line in events:
                        self.takes(int(line.split()[-1]))
                        self.do(feeding.EventApplied(self.offset, line))
                case feeding.Connect(among):
                    if LIST_SERVICE not in self.dial_at:
                        self.dial_in(
                            LIST_SERVICE, self.turns.schedule_first(LIST_SERVICE, self.clock(), among)
                        )
                case feeding.Disconnect():
                    self.dial_at.pop(LIST_SERVICE, None)
                    self.connected.pop(LIST_SERVICE, None)
                    self.site.parties[LIST_SERVICE].open.pop(self.name, None)

    def takes(self, offset: int) -> None:
        for each in range(self.offset + 1, offset + 1):
            self.heard_at[each] = self.site.now
        self.offset = max(self.offset, offset)

    def tick(self) -> None:
        if not self.alive():
            return
        wait = TICK_MS
        if self.waves.ready:
            wait = max(20.0, self.feed.next_tick_at(self.clock()) - self.clock())
        self.site.after(wait, self.tick)
        if self.site.now < self.frozen_until:
            return
        now = self.clock()
        if LIST_SERVICE in self.connected and self.site.now - self.heard_list > SILENT_MS:
            number = self.connected[LIST_SERVICE]
            self.site.parties[LIST_SERVICE].open.pop(self.name, None)
            self.broken(LIST_SERVICE, number)
        self.feed.pressures = self.turns.reportable_pressures(now)
        if self._learn():
            self.turns.update_fleet_size(len(self.members) + 1)
            self.do(feeding.MembersChanged(self.members))
        members = self.members
        self.do(feeding.Tick())
        servers = self.site.servers
        if not self.chosen and self.offset >= 0:
            self.chosen = initial_servers(
                servers, self.name, [*members, self.name], self.site.settings.servers
            )
            for server in sorted(self.chosen):
                self.dial_in(server, self.turns.schedule_first(server, now))
        if not self.waves.ready:
            able = (
                self.site.able
                if len(members) + 1 >= len(self.site.agents)
                else {name for name in self.site.able if name in members}
            )
            local = StartProgress(
                len(servers),
                len(self.answering & self.chosen),
                len(self.chosen),
                len(able - {self.name}),
                0,
                len(members) + 1,
            )
            if self.waves.update(local, now):
                self.site.served_at[self.name] = self.site.now
            (self.site.able.add if self.waves.prepared_at is not None else self.site.able.discard)(self.name)

    def _learn(self) -> bool:
        """Takes in what the membership has brought here by now; whether anything is new."""
        site, before = self.site, (self.births, self.deaths)
        while self.births < len(site.births) and site.births[self.births][0] <= site.now - self.lag_ms:
            name = site.births[self.births][1]
            self.births += 1
            if (
                name != self.name
                and name in site.agents
                and not site.hidden(self.name, name)
                and not site.cut(name, self.name)
            ):
                self.members[name] = site.zone(name)
        while (
            self.deaths < len(site.deaths) and site.deaths[self.deaths][0] <= site.now - 5000.0 - self.lag_ms
        ):
            name = site.deaths[self.deaths][1]
            self.deaths += 1
            if name not in site.agents:
                self.members.pop(name, None)
        return before != (self.births, self.deaths)


class Site:
    """Agents `a0` ... in two zones, one list service, a few lobby servers."""

    def __init__(
        self,
        count: int,
        seed: int,
        settings: Settings | None = None,
        servers: int = 3,
        ask_ms: float = 50.0,
        most_ms: float = 1000.0,
        spread_ms: float = 2000.0,
        offset: Callable[[int], int] = lambda number: 0,
        skew_ms: float = 0.0,
        eager: bool = False,
    ) -> None:
        """`ask_ms`: what an ask costs the list service; `eager`: the part turned off, all dial at once."""
        self.chance, self.now, self.count = random.Random(seed), 1e6, count
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.settings = settings or Settings(agents=count)
        self.skew_ms, self.first_offset = skew_ms, offset
        self.parties = {LIST_SERVICE: Party(self, LIST_SERVICE, 1.0, ask_ms, most_ms)}
        self.servers = [f"h{number}" for number in range(servers)]
        self.parties.update({name: Party(self, name, 1.0, 5.0, most_ms) for name in self.servers})
        self.agents: dict[str, Agent] = {}
        self.births: list[tuple[float, str]] = []
        self.deaths: list[tuple[float, str]] = []
        self.able: set[str] = set()  # prepared or serving
        self.served_at: dict[str, float] = {}
        self.told_at: dict[int, float] = {}
        self.last = self.kept_from = 0  # events
        self.whole_lists = 0
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        self.hidden: Callable[[str, str], bool] = lambda viewer, other: False
        self.eager = eager
        for number in range(count):
            self.after(self.chance.uniform(0.0, spread_ms), functools.partial(self.start, number))
        self.after(BEAT_MS, self.beat)

    def zone(self, name: str) -> str:
        return f"z{int(name[1:]) % 2}"

    # Time

    def at(self, when: float, do: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (max(when, self.now), next(self.order), do))

    def after(self, ms: float, do: Callable[[], None]) -> None:
        self.at(self.now + ms, do)

    def later(self, way: tuple[float, float], do: Callable[[], None]) -> None:
        self.after(self.chance.uniform(*way), do)

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.queue and self.queue[0][0] <= end:
            self.now, _, do = heapq.heappop(self.queue)
            do()
        self.now = end

    # Agents

    def start(self, number: int) -> None:
        name = f"a{number}"
        agent = self.agents[name] = Agent(
            self, name, self.first_offset(number), self.chance.uniform(-self.skew_ms, self.skew_ms)
        )
        if self.eager:
            agent.turns.settings = Settings(
                dials_a_second=1e9, lists_a_second=1e9, first_gap_ms=0.1, most_gap_ms=200.0, redials=1e9
            )
            agent.turns.fleet_size = 1
            agent.feed.is_feeder = True
        self.births.append((self.now, name))
        self.able.discard(name)
        agent.tick()

    def kill(self, names: Iterable[str]) -> None:
        """Their deaths are known after 5 to 10 s."""
        for name in names:
            agent = self.agents.pop(name, None)
            if agent is None:
                continue
            for party in self.parties.values():
                party.open.pop(name, None)
            self.deaths.append((self.now, name))
            self.able.discard(name)

    def freeze(self, names: Iterable[str], ms: float) -> None:
        for name in names:
            self.agents[name].frozen_until = self.now + ms

    def apart(self, zone: str, ms: float) -> None:
        """A zone is cut off from the other, not from service and servers; known after 5 to 10 s."""

        def cut(sender: str, to: str) -> bool:
            return (self.zone(sender) == zone) is not (self.zone(to) == zone)

        self.cut = cut
        for viewer in self.agents.values():
            self.after(5000.0 + viewer.lag_ms, functools.partial(self._lost_sight, viewer))
        self.after(ms, self.heal)

    def _lost_sight(self, viewer: Agent) -> None:
        viewer.members = {
            name: zone for name, zone in viewer.members.items() if not self.cut(name, viewer.name)
        }
        viewer.do(feeding.MembersChanged(viewer.members))

    def heal(self) -> None:
        self.cut = lambda sender, to: False
        for viewer in self.agents.values():
            viewer.births = 0  # all that live are learnt anew

    def send(self, sender: str, to: str, message: Message) -> None:
        def arrive() -> None:
            agent = self.agents.get(to)
            if agent is None or self.cut(sender, to):
                return
            if self.now < agent.frozen_until:
                self.at(agent.frozen_until, arrive)
                return
            for target, level in getattr(message, "pressures", ()):
                agent.turns.merge_pressure(target, level, agent.clock())
            agent.do(feeding.MessageReceived(sender, message))

        self.later(WAY_MS, arrive)

    # The list service

    def publish(self) -> int:
        """One event more; all that are connected are told."""
        self.last += 1
        self.told_at[self.last] = self.now
        for name, number in list(self.parties[LIST_SERVICE].open.items()):
            self.tell(name, number)
        return self.last

    def beat(self) -> None:
        self.after(BEAT_MS, self.beat)
        for name, number in list(self.parties[LIST_SERVICE].open.items()):
            self.tell(name, number)

    def tell(self, name: str, number: int) -> None:
        party = self.parties[LIST_SERVICE]
        if party.mute or not party.up:
            return

        def arrive() -> None:
            agent = self.agents.get(name)
            if agent is None or agent.connected.get(LIST_SERVICE) != number:
                return
            if self.now < agent.frozen_until:
                self.at(agent.frozen_until, arrive)
                return
            agent.heard_list = self.now
            told = agent.offset < self.last
            while agent.offset < self.last:
                agent.takes(agent.offset + 1)
                agent.do(feeding.ServiceDataReceived(agent.offset, b"event %d" % agent.offset))
            if not told:
                agent.do(feeding.ServiceDataReceived())

        self.later(WAY_MS, arrive)

    def broken(self, name: str, target: str, number: int) -> None:
        if (agent := self.agents.get(name)) is not None:
            agent.broken(target, number)

    # What is to be judged

    def serving(self) -> int:
        return sum(agent.waves.ready for agent in self.agents.values())

    def collapsed(self) -> list[str]:
        return [name for name, party in self.parties.items() if party.collapsed]

    def latest(self, offset: int) -> float:
        """How long after it was said the last agent that lives now knew of an event, ms."""
        return (
            max(
                (
                    agent.heard_at.get(offset, self.now if agent.offset < offset else -math.inf)
                    for agent in self.agents.values()
                ),
                default=0.0,
            )
            - self.told_at[offset]
        )


def busiest(times: list[float], span_ms: float = 100.0) -> int:
    """The most of these in any such span."""
    at, most, first = sorted(times), 0, 0
    for last, when in enumerate(at):
        while at[first] <= when - span_ms:
            first += 1
        most = max(most, last - first + 1)
    return most
