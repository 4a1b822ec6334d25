"""Simulates the cold start of hundreds of agents on one clock, reproducible from one seed.

The decisions are those of `frostport.startup`, as agents run them. The list service and the lobby servers are
modelled: everything costs them processor time, and past a limit of queued work they collapse and stay down.
Membership is modelled as well: each agent learns of the others after a delay, and may never learn of some.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable

from frostport.core.dial_policy import LIST_SERVICE
from frostport.startup import feed_events as feeding
from frostport.startup.feed import Feed, Role
from frostport.startup.messages import Message
from frostport.startup.pacing import DialPacer
from frostport.startup.readiness import StagedReadiness, StartProgress
from frostport.startup.rendezvous import initial_servers
from frostport.startup.settings import Settings

NETWORK_DELAY_MS = (0.5, 5.0)
TICK_MS = 250.0
HEARTBEAT_MS = 1000.0
SILENCE_TIMEOUT_MS = 2500.0
CONNECT_MS = 1000.0
MEMBERSHIP_DELAY_MS = (200.0, 4000.0)  # from an agent's start until another agent knows of it


class SimulatedServer:
    """A list service or a lobby server: one processor with a work queue. It collapses, for good, once more
    than `max_queue_ms` of work is queued."""

    def __init__(
        self, site: SimulatedSite, name: str, handshake_ms: float, work_ms: float, max_queue_ms: float
    ) -> None:
        self.site = site
        self.name = name
        self.handshake_ms = handshake_ms
        self.work_ms = work_ms
        self.max_queue_ms = max_queue_ms
        self.up = True
        self.silent = False
        self.collapsed = False
        self.free_at = -math.inf
        self.accepted_at: list[float] = []
        self.connections: dict[str, int] = {}  # number of the open connection, by agent
        self.connection_numbers = itertools.count(1)

    def add_work(self, cost_ms: float) -> float | None:
        """Queues work; returns the time at which it is done, or None if the server collapses under it."""
        self.free_at = max(self.free_at, self.site.now) + cost_ms
        if self.free_at - self.site.now > self.max_queue_ms:
            self.collapsed = True
            self.go_down()
            return None
        return self.free_at

    def go_down(self) -> None:
        """Goes down and breaks all its connections."""
        self.up = False
        for agent in list(self.connections):
            self.site.call_after_random(
                NETWORK_DELAY_MS,
                functools.partial(self.site.connection_broken, agent, self.name, self.connections[agent]),
            )
        self.connections.clear()

    def come_up(self) -> None:
        """Comes up again with an empty queue, unless it has collapsed."""
        if not self.collapsed:
            self.up = True
            self.free_at = self.site.now


class SimulatedAgent:
    """One call agent: its objects of `frostport.startup`, and the connections that the network code keeps.

    Its list is modelled by the number of the last event of the site that is in it. The agents can't compare
    these numbers: for each, the service counts from its start (`bus_offset` is where it stands there)."""

    def __init__(self, site: SimulatedSite, name: str, offset: int, skew_ms: float) -> None:
        self.site = site
        self.name = name
        self.clock_offset_ms = skew_ms
        self.incarnation = site.rng.getrandbits(32)
        self.zone = site.zone(name)
        now = self.clock()
        self.pacer = DialPacer(site.settings, random.Random(site.rng.random()), now)
        self.feed = Feed(name, self.zone, f"{name}/{self.incarnation}", True, site.settings, now)
        self.readiness = StagedReadiness(site.settings, now)
        self.offset = self.bus_offset = self.newest_offset = offset
        self.outdated_since: float | None = None  # the list is older than one that it has had
        self.longest_outdated_ms = 0.0
        self.members: dict[str, str] = {}
        self.births = self.deaths = 0  # how many of the site's births and deaths it has processed
        self.membership_delay_ms = site.rng.uniform(*MEMBERSHIP_DELAY_MS)
        self.connected: dict[str, int] = {}  # number of the connection, by endpoint
        self.answering: set[str] = set()  # connected lobby servers that are not silent
        self.dial_at: dict[str, float] = {}  # scheduled dials, by target
        self.chosen: set[str] = set()  # the lobby servers that it connects to first
        self.frozen_until = -math.inf
        self.list_last_received_at = -math.inf
        self.event_received_at: dict[int, float] = {}  # by offset of the event

    def clock(self) -> float:
        """This agent's own clock, ms."""
        return self.site.now + self.clock_offset_ms

    def alive(self) -> bool:
        """Whether this object is still the agent's running process."""
        return self.site.agents.get(self.name) is self

    # Connections

    def dial_after(self, target: str, wait_ms: float) -> None:
        """Schedules a dial; it replaces one that is already scheduled for the target."""
        at = self.dial_at[target] = self.site.now + wait_ms
        self.site.call_at(at, lambda: self._dial(target, at))

    def _dial(self, target: str, at: float) -> None:
        if not self.alive() or self.dial_at.get(target) != at:
            return
        if self.site.now < self.frozen_until:
            self.site.call_at(self.frozen_until, lambda: self._dial(target, at))
            return
        del self.dial_at[target]
        endpoint = self.site.endpoints[target]
        if not endpoint.up:
            self.site.call_after_random(NETWORK_DELAY_MS, lambda: self._refused(target))
            return
        endpoint.accepted_at.append(self.site.now)
        done = endpoint.add_work(endpoint.handshake_ms)
        if done is None:
            self.site.call_after_random(NETWORK_DELAY_MS, lambda: self._refused(target))
            return
        number = endpoint.connections[self.name] = next(endpoint.connection_numbers)
        self.site.call_at(done + 1.0, lambda: self._connected(target, number))

    def _refused(self, target: str) -> None:
        if not self.alive():
            return
        self.pacer.raise_pressure(target, self.clock())
        self._schedule_redial(target)

    def _schedule_redial(self, target: str) -> None:
        """Schedules a redial after a connection was lost or refused."""
        if target == LIST_SERVICE:
            self.handle(feeding.ServiceDisconnected())
            if self.feed.role not in (Role.FEEDING, Role.STANDALONE):
                return
        if target not in self.dial_at:
            self.dial_after(target, self.pacer.schedule_redial(target, self.clock()))

    def _connected(self, target: str, number: int) -> None:
        endpoint = self.site.endpoints[target]
        if not self.alive() or endpoint.connections.get(self.name) != number:
            return
        if target == LIST_SERVICE and self.feed.role not in (Role.FEEDING, Role.STANDALONE):
            del endpoint.connections[self.name]
            return
        self.connected[target] = number
        self.pacer.on_connected(target, self.clock())
        if target == LIST_SERVICE:
            self.handle(feeding.ServiceConnected())
            self.list_last_received_at = self.site.now
            done = endpoint.add_work(endpoint.work_ms)
            if done is not None:
                self.site.complete_lists += self.bus_offset < self.site.oldest_kept_event
                self.site.call_at(done, lambda: self.site.send_events(self.name, number))
        elif not endpoint.silent:
            self.answering.add(target)

    def connection_broken(self, target: str, number: int) -> None:
        """Schedules a redial, unless this connection has been replaced or closed already."""
        if self.alive() and self.connected.get(target) == number:
            del self.connected[target]
            self.answering.discard(target)
            self._schedule_redial(target)

    # The feed

    def handle(self, event: feeding.Event) -> None:
        """Passes an event to the feed and carries out the actions that it returns."""
        for action in self.feed.handle(event, self.clock()):
            match action:
                case feeding.Send(to, message):
                    self.site.send(self.name, to, message)
                case feeding.SendSnapshot(to):
                    snapshot = self.feed.snapshot_update(b"whole %d" % self.offset, self.clock())
                    self.site.send(self.name, to, snapshot)
                case feeding.ApplyEvents(events):
                    for line in events:
                        self.apply(line)
                        self.handle(feeding.EventApplied(line))
                case feeding.ApplySnapshot(complete_list):
                    self.apply(complete_list)
                case feeding.Connect(among):
                    if LIST_SERVICE not in self.dial_at:
                        self.dial_after(
                            LIST_SERVICE, self.pacer.schedule_first(LIST_SERVICE, self.clock(), among)
                        )
                case feeding.Disconnect():
                    self.dial_at.pop(LIST_SERVICE, None)
                    self.connected.pop(LIST_SERVICE, None)
                    self.site.endpoints[LIST_SERVICE].connections.pop(self.name, None)

    def apply(self, line: bytes) -> None:
        """Applies one event to the list. Raises AssertionError if the list lacks the one before it."""
        kind, number = line.split()
        offset = int(number)
        assert kind == b"whole" or offset == self.offset + 1, f"{self.name} applies {offset} to {self.offset}"
        for received in range(self.newest_offset + 1, offset + 1):
            self.event_received_at[received] = self.site.now
        self.newest_offset = max(self.newest_offset, offset)
        self.offset = offset
        if offset < self.newest_offset:
            self.outdated_since = self.outdated_since or self.site.now
        elif self.outdated_since is not None:
            self.longest_outdated_ms = max(self.longest_outdated_ms, self.site.now - self.outdated_since)
            self.outdated_since = None

    def receive_from_service(self, last: int) -> None:
        """Takes the service's events up to `last`, and its word that this is the last one."""
        self.list_last_received_at = self.site.now
        if self.offset == self.bus_offset < last:
            for number in range(self.bus_offset + 1, last + 1):
                self.apply(b"event %d" % number)
                self.handle(feeding.ServiceHeard(b"event %d" % number))
        elif self.offset != self.bus_offset:  # the list is another agent's: replaced as a whole
            complete_list = b"whole %d" % last
            self.apply(complete_list)
            self.handle(feeding.ServiceHeard(complete_list))
        self.bus_offset = last
        self.handle(feeding.ServiceHeard())

    def tick(self) -> None:
        """Runs periodically: detects a silent list service, updates members, drives feed and readiness."""
        if not self.alive():
            return
        wait_ms = TICK_MS
        if self.readiness.ready:
            wait_ms = max(20.0, self.feed.next_tick_at(self.clock()) - self.clock())
        self.site.call_after(wait_ms, self.tick)
        if self.site.now < self.frozen_until:
            return
        now = self.clock()
        if LIST_SERVICE in self.connected and self.site.now - self.list_last_received_at > SILENCE_TIMEOUT_MS:
            number = self.connected[LIST_SERVICE]
            self.site.endpoints[LIST_SERVICE].connections.pop(self.name, None)
            self.connection_broken(LIST_SERVICE, number)
        self.feed.pressures = self.pacer.reportable_pressures(now)
        if self._update_members():
            self.pacer.update_fleet_size(len(self.members) + 1)
            self.handle(feeding.MembersChanged(self.members))
        members = self.members
        self.handle(feeding.Tick())
        servers = self.site.servers
        if not self.chosen and self.offset >= 0:
            self.chosen = initial_servers(
                servers, self.name, [*members, self.name], self.site.settings.servers
            )
            for server in sorted(self.chosen):
                self.dial_after(server, self.pacer.schedule_first(server, now))
        if not self.readiness.ready:
            prepared = (
                self.site.prepared
                if len(members) + 1 >= len(self.site.agents)
                else {name for name in self.site.prepared if name in members}
            )
            local = StartProgress(
                len(servers),
                len(self.answering & self.chosen),
                len(self.chosen),
                len(prepared - {self.name}),
                0,
                len(members) + 1,
            )
            if self.readiness.update(local, now):
                self.site.served_at[self.name] = self.site.now
            (
                self.site.prepared.add
                if self.readiness.prepared_at is not None
                else self.site.prepared.discard
            )(self.name)

    def _update_members(self) -> bool:
        """Processes the births and deaths that this agent knows of by now; returns whether there were any."""
        site = self.site
        before = (self.births, self.deaths)
        while (
            self.births < len(site.births)
            and site.births[self.births][0] <= site.now - self.membership_delay_ms
        ):
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
            self.deaths < len(site.deaths)
            and site.deaths[self.deaths][0] <= site.now - 5000.0 - self.membership_delay_ms
        ):
            name = site.deaths[self.deaths][1]
            self.deaths += 1
            if name not in site.agents:
                self.members.pop(name, None)
        return before != (self.births, self.deaths)


class SimulatedSite:
    """Agents `a0`, `a1` ... in two zones, one list service and a few lobby servers, on one clock in ms."""

    def __init__(
        self,
        count: int,
        seed: int,
        settings: Settings | None = None,
        servers: int = 3,
        ask_ms: float = 50.0,
        max_queue_ms: float = 1000.0,
        spread_ms: float = 2000.0,
        offset: Callable[[int], int] = lambda number: 0,
        skew_ms: float = 0.0,
        eager: bool = False,
    ) -> None:
        """Schedules the agents' starts over `spread_ms`.

        `ask_ms` is the list service's cost of one request, `offset` gives the last event that an agent holds
        at its start, `skew_ms` bounds the errors of the agents' clocks. With `eager` the pacing of `startup`
        is disabled, so that all agents dial at once.
        """
        self.rng = random.Random(seed)
        self.now = 1e6
        self.count = count
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.settings = settings or Settings(agents=count)
        self.skew_ms = skew_ms
        self.first_offset = offset
        self.endpoints = {LIST_SERVICE: SimulatedServer(self, LIST_SERVICE, 1.0, ask_ms, max_queue_ms)}
        self.servers = [f"h{number}" for number in range(servers)]
        self.endpoints.update(
            {name: SimulatedServer(self, name, 1.0, 5.0, max_queue_ms) for name in self.servers}
        )
        self.agents: dict[str, SimulatedAgent] = {}
        self.births: list[tuple[float, str]] = []  # time and agent
        self.deaths: list[tuple[float, str]] = []
        self.prepared: set[str] = set()  # prepared or serving
        self.served_at: dict[str, float] = {}
        self.published_at: dict[int, float] = {}
        # The last event, and the oldest one from which changes can be sent: older lists are sent complete.
        self.last_event = self.oldest_kept_event = 0
        self.complete_lists = 0
        # Whether nothing passes from one agent to another, and whether one never learns of another.
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        self.hidden: Callable[[str, str], bool] = lambda viewer, other: False
        self.eager = eager
        for number in range(count):
            self.call_after(self.rng.uniform(0.0, spread_ms), functools.partial(self.start, number))
        self.call_after(HEARTBEAT_MS, self.heartbeat)

    def zone(self, name: str) -> str:
        """Agents with even numbers are in zone `z0`, the others in `z1`."""
        return f"z{int(name[1:]) % 2}"

    # Time

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedules a callback; a time in the past means now."""
        heapq.heappush(self.queue, (max(when, self.now), next(self.sequence), callback))

    def call_after(self, ms: float, callback: Callable[[], None]) -> None:
        self.call_at(self.now + ms, callback)

    def call_after_random(self, delay_ms: tuple[float, float], callback: Callable[[], None]) -> None:
        self.call_after(self.rng.uniform(*delay_ms), callback)

    def run(self, ms: float) -> None:
        """Advances the clock by `ms` and runs the callbacks that are due."""
        end = self.now + ms
        while self.queue and self.queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        self.now = end

    # Agents

    def start(self, number: int) -> None:
        """Starts the process of agent `a{number}`; a previous one is replaced."""
        name = f"a{number}"
        agent = self.agents[name] = SimulatedAgent(
            self, name, self.first_offset(number), self.rng.uniform(-self.skew_ms, self.skew_ms)
        )
        if self.eager:
            agent.pacer.settings = Settings(
                dials_a_second=1e9, lists_a_second=1e9, first_gap_ms=0.1, most_gap_ms=200.0, redials=1e9
            )
            agent.pacer.fleet_size = 1
            agent.feed.is_feeder = True
        self.births.append((self.now, name))
        self.prepared.discard(name)
        agent.tick()

    def kill(self, names: Iterable[str]) -> None:
        """Kills agents; the others know of it after 5 to 10 s."""
        for name in names:
            agent = self.agents.pop(name, None)
            if agent is None:
                continue
            for endpoint in self.endpoints.values():
                endpoint.connections.pop(name, None)
            self.deaths.append((self.now, name))
            self.prepared.discard(name)

    def freeze(self, names: Iterable[str], ms: float) -> None:
        """Stops agents' processing for a while; messages to them wait."""
        for name in names:
            self.agents[name].frozen_until = self.now + ms

    def isolate_zone(self, zone: str, ms: float) -> None:
        """Cuts a zone off from the other one, but not from list service and servers. Agents know of it after
        5 to 10 s."""

        def cut(sender: str, to: str) -> bool:
            return (self.zone(sender) == zone) is not (self.zone(to) == zone)

        self.cut = cut
        for viewer in self.agents.values():
            self.call_after(
                5000.0 + viewer.membership_delay_ms, functools.partial(self._forget_unreachable, viewer)
            )
        self.call_after(ms, self.heal)

    def _forget_unreachable(self, viewer: SimulatedAgent) -> None:
        viewer.members = {
            name: zone for name, zone in viewer.members.items() if not self.cut(name, viewer.name)
        }
        viewer.handle(feeding.MembersChanged(viewer.members))

    def heal(self) -> None:
        """Ends the isolation of a zone."""
        self.cut = lambda sender, to: False
        for viewer in self.agents.values():
            viewer.births = 0  # every living agent is learnt of again

    def send(self, sender: str, to: str, message: Message) -> None:
        """Delivers a message after the network's delay, unless the receiver is gone or cut off by then."""

        def arrive() -> None:
            agent = self.agents.get(to)
            if agent is None or self.cut(sender, to):
                return
            if self.now < agent.frozen_until:
                self.call_at(agent.frozen_until, arrive)
                return
            for target, level in getattr(message, "pressures", ()):
                agent.pacer.merge_pressure(target, level, agent.clock())
            agent.handle(feeding.MessageReceived(sender, message))

        self.call_after_random(NETWORK_DELAY_MS, arrive)

    # The list service

    def publish(self) -> int:
        """Publishes one more event to all connected agents, and returns its offset."""
        self.last_event += 1
        self.published_at[self.last_event] = self.now
        for name, number in list(self.endpoints[LIST_SERVICE].connections.items()):
            self.send_events(name, number)
        return self.last_event

    def heartbeat(self) -> None:
        """Sends a heartbeat to all connected agents."""
        self.call_after(HEARTBEAT_MS, self.heartbeat)
        for name, number in list(self.endpoints[LIST_SERVICE].connections.items()):
            self.send_events(name, number)

    def send_events(self, name: str, number: int) -> None:
        """Sends an agent the events that it lacks, or a heartbeat if there are none."""
        endpoint = self.endpoints[LIST_SERVICE]
        if endpoint.silent or not endpoint.up:
            return

        def arrive() -> None:
            agent = self.agents.get(name)
            if agent is None or agent.connected.get(LIST_SERVICE) != number:
                return
            if self.now < agent.frozen_until:
                self.call_at(agent.frozen_until, arrive)
                return
            agent.receive_from_service(self.last_event)

        self.call_after_random(NETWORK_DELAY_MS, arrive)

    def connection_broken(self, name: str, target: str, number: int) -> None:
        if (agent := self.agents.get(name)) is not None:
            agent.connection_broken(target, number)

    # Queries for tests

    def serving_count(self) -> int:
        """The number of running agents that are ready."""
        return sum(agent.readiness.ready for agent in self.agents.values())

    def longest_outdated_ms(self) -> float:
        """The longest time for which an agent's list was, or still is, older than one that it had had, ms."""
        times = [agent.longest_outdated_ms for agent in self.agents.values()]
        times += [
            self.now - agent.outdated_since
            for agent in self.agents.values()
            if agent.outdated_since is not None
        ]
        return max(times, default=0.0)

    def collapsed(self) -> list[str]:
        """The names of the endpoints that have collapsed."""
        return [name for name, endpoint in self.endpoints.items() if endpoint.collapsed]

    def max_delay_ms(self, offset: int) -> float:
        """The time from the publication of an event until the last of the living agents received it, ms."""
        return (
            max(
                (
                    agent.event_received_at.get(offset, self.now if agent.offset < offset else -math.inf)
                    for agent in self.agents.values()
                ),
                default=0.0,
            )
            - self.published_at[offset]
        )


def max_in_window(times: list[float], window_ms: float = 100.0) -> int:
    """The maximum number of these times that lie within one window."""
    ordered = sorted(times)
    highest = 0
    first = 0
    for last, when in enumerate(ordered):
        while ordered[first] <= when - window_ms:
            first += 1
        highest = max(highest, last - first + 1)
    return highest
