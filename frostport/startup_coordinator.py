"""Coordinates an agent's cold start with those of the other agents.

Connects the decisions of `frostport.startup` to the event bus, the lobby servers and the operators' port.
Imported only if the configuration has `startup`. Times are in ms of the monotonic clock.
"""

from __future__ import annotations

import logging
import random
import secrets
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Protocol

from frostport.config import Config
from frostport.core.broker import Broker
from frostport.core.clock import Clock, MonotonicClock
from frostport.core.deadlines import Deadlines
from frostport.core.dial_policy import LIST_SERVICE, DialPolicy
from frostport.core.lifecycle import Lifecycle, Phase
from frostport.interface import Lifecycle as ServerLifecycle
from frostport.list_distribution import ListDistribution
from frostport.membership.messages import State
from frostport.net.jsonl import Message
from frostport.net.operator import Operation
from frostport.startup import feed_events as feeding
from frostport.startup.feed import TICK_MS
from frostport.startup.pacing import DialPacer
from frostport.startup.readiness import StagedReadiness, StartProgress
from frostport.startup.rendezvous import initial_servers
from frostport.startup.settings import Settings

if TYPE_CHECKING:
    from frostport.fleet import Fleet

log = logging.getLogger("frostport.starting")

PREPARED = "prepared"  # phase shown to the other members: able to serve, but waiting for enough others
MIN_TICK_MS = 20.0  # between two ticks once this agent is ready
IDLE_TICK_MS = 1000.0  # between two ticks of a ready agent that has no feed
EARLY_CLOSE_MS = 500.0  # a connection that is lost so soon after it was made is a sign of overload


class StartingAgent(Protocol):
    """What the coordinator uses of the agent; `side` is a PlatformSide."""

    config: Config
    clock: Clock
    deadlines: Deadlines
    lifecycle: Lifecycle
    broker: Broker
    side: Any


class StartupCoordinator(DialPolicy):
    """Runs one agent's dial pacer, staged readiness and part in the distribution of the server list.

    It also decides when the bus and the lobby servers may dial."""

    def __init__(self, settings: Settings, name: str, fleet: Fleet | None) -> None:
        self.settings = settings
        self.name = name
        self.fleet = fleet
        self.monotonic = MonotonicClock()
        now = self.monotonic.now()
        self.pacer = DialPacer(settings, random.Random(secrets.randbits(64)), now)
        self.readiness = StagedReadiness(settings, now)
        # Without a fleet each agent hears the list service itself.
        self.distribution = (
            ListDistribution(settings, name, fleet, self.pacer, self.monotonic) if fleet is not None else None
        )
        self.chosen: set[str] = set()  # lobby servers connected to before a call needs them
        self.chosen_from: frozenset[str] = frozenset()  # the servers that they were chosen from
        self.connected_at: dict[str, float] = {}  # by target
        self.members_changed = True
        self.serving_agents = 0  # count last passed to the broker, this agent included
        self.agent: StartingAgent | None = None

    def attach(self, agent: StartingAgent) -> None:
        """Called before the agent's side starts, so that each of its dials is paced."""
        self.agent = agent
        agent.side.bus.dialing = agent.side.route.dialing = self

    def start(self) -> None:
        """Called once the agent's side has started."""
        if self.fleet is not None and self.distribution is not None:
            self.distribution.start(self._attached_agent)
            self.fleet.membership_listeners.append(self._on_membership_changed)
        self._tick()

    @property
    def ready(self) -> bool:
        """Whether this agent may serve; stays true once it is."""
        return self.readiness.ready

    @property
    def _attached_agent(self) -> StartingAgent:
        assert self.agent is not None
        return self.agent

    def _on_membership_changed(self) -> None:
        """Schedules one update for all changes of the same event-loop iteration.

        During the start, when many members change, they wait for the next tick."""
        if not self.members_changed:
            self.members_changed = True
            if not self.ready:
                return
            self._attached_agent.deadlines.set(self._attached_agent.clock.now(), self._update_members)

    def _tick(self) -> None:
        agent = self._attached_agent
        now = self.monotonic.now()
        if self.members_changed:
            self._update_members()
        feed = self.distribution.feed if self.distribution is not None else None
        if feed is not None:
            feed.pressures = self.pacer.reportable_pressures(now)
            self._handle_feed_event(feeding.Tick())
        self._choose_servers()
        if not self.ready:
            self._check_readiness(now)
        if agent.lifecycle.phase is not Phase.STOPPED:
            wait = TICK_MS
            if self.ready:
                due = feed.next_tick_at(now) if feed is not None else now + IDLE_TICK_MS
                wait = max(MIN_TICK_MS, due - now)
            agent.deadlines.set(agent.clock.now() + wait, self._tick)

    def _update_members(self) -> None:
        if self.fleet is None:
            return
        self.members_changed = False
        visible = [member for member in self.fleet.swim.table if member.state <= State.SUSPECT]
        self.pacer.update_fleet_size(len(visible) + 1)
        serving = 1 + sum(member.info.phase == Phase.SERVING.value for member in visible)
        if serving != self.serving_agents:
            self.serving_agents = serving
            self._attached_agent.broker.set_sibling_count(serving)
        self._handle_feed_event(
            feeding.MembersChanged(
                {member.name: member.info.zone for member in visible if member.state is State.ALIVE}
            )
        )

    def _handle_feed_event(self, event: feeding.Event) -> None:
        if self.distribution is not None:
            self.distribution.handle(event)

    # When the bus and the lobby servers may dial

    def connects_eagerly(self, target: str) -> bool:
        return False  # `_choose_servers` dials the initial ones

    def first_delay_ms(self, target: str) -> float:
        if target == LIST_SERVICE and self.distribution is not None:
            if not self.distribution.dials_service():
                return float("inf")  # dialed when the feed asks for it
            # Asked for again, because the address of the service has changed: the old connection is closed.
            self._handle_feed_event(feeding.ServiceDisconnected())
        return self.pacer.schedule_first(target, self.monotonic.now())

    def redial_delay_ms(self, target: str, pause_ms: float) -> float:
        return self.pacer.schedule_redial(target, self.monotonic.now())

    def on_demand_delay_ms(self, target: str) -> float:
        return self.pacer.schedule_on_demand(target, self.monotonic.now())

    def connected(self, target: str) -> None:
        now = self.connected_at[target] = self.monotonic.now()
        self.pacer.on_connected(target, now)
        if target == LIST_SERVICE:
            self._handle_feed_event(feeding.ServiceConnected())
        else:
            # Only an answer shows that the server works: one that accepts connections may never answer.
            agent = self._attached_agent
            agent.deadlines.set(agent.clock.now(), lambda: self._send_echo(target))

    def _send_echo(self, target: str) -> None:
        lobby = self._attached_agent.side.route.servers.get(target)
        for connection in lobby.connections if lobby is not None else ():
            if connection.last_received_at <= connection.opened_at:
                connection.send_message(Message("ECHO", "0" * 16, rc=0))

    def dial_failed(self, target: str) -> None:
        self.pacer.raise_pressure(target, self.monotonic.now())
        if target == LIST_SERVICE:
            self._handle_feed_event(feeding.ServiceDisconnected())

    def connection_lost(self, target: str) -> None:
        now = self.monotonic.now()
        if now - self.connected_at.get(target, now) < EARLY_CLOSE_MS:
            self.pacer.raise_pressure(target, now)
        if target == LIST_SERVICE:
            self._handle_feed_event(feeding.ServiceDisconnected())

    def list_silent(self) -> None:
        self._handle_feed_event(feeding.ServiceDisconnected())

    def list_unchanged(self) -> None:
        self._handle_feed_event(feeding.ServiceHeard())

    def list_event_received(self, line: bytes) -> None:
        if self.distribution is not None:
            self.distribution.service_event_received(line)

    # Initial connections to lobby servers

    def _choose_servers(self) -> None:
        servers = self._attached_agent.side.route.servers
        listed = frozenset(servers)
        if listed == self.chosen_from:
            return
        for removed in self.chosen_from - listed:
            self.pacer.forget(removed)
        self.chosen_from = listed
        previously_chosen = self.chosen
        feed = self.distribution.feed if self.distribution is not None else None
        agents = [] if feed is None else [*feed.zones, self.name]
        self.chosen &= listed
        if len(self.chosen) < min(self.settings.servers, len(listed)):
            self.chosen = initial_servers(sorted(listed), self.name, agents, self.settings.servers)
        for host in sorted(self.chosen - previously_chosen):
            if not servers[host].connections:
                servers[host].schedule_dial(self.pacer.schedule_first(host, self.monotonic.now()))

    # Readiness

    def _check_readiness(self, now: float) -> None:
        agent = self._attached_agent
        lobbies = agent.side.route.servers
        answering = sum(
            any(
                connection.last_received_at > connection.opened_at for connection in lobbies[host].connections
            )
            for host in self.chosen
            if host in lobbies
        )
        members = list(self.fleet.swim.table.active()) if self.fleet is not None else []
        phases = [member.info.phase for member in members]
        listed = sum(
            server.state is ServerLifecycle.READY for server, _ in agent.side.server_list.entries.values()
        )
        progress = StartProgress(
            listed,
            answering,
            len(self.chosen),
            phases.count(PREPARED),
            phases.count(Phase.SERVING.value),
            len(members) + 1,
        )
        prepared_before = self.readiness.prepared_at
        ready = self.readiness.update(progress, now)
        if self.fleet is not None:
            if prepared_before is None and self.readiness.prepared_at is not None and not ready:
                self.fleet.announce_phase(PREPARED)
            if ready:
                self.fleet.record.event("able", waited_ms=round(now - self.readiness.started_at))
        elif ready and agent.lifecycle.can_enter(Phase.SERVING):
            agent.lifecycle.enter(Phase.SERVING)

    # The operators' port

    def operations(self) -> Mapping[str, Operation]:
        return {"startup": self._describe}

    def _describe(self, _: str) -> list[str]:
        now = self.monotonic.now()
        waits = "able to serve" if self.ready else f"waits for {self.readiness.waits_for}"
        rate = f"{self.settings.dials_a_second:g} dials a second"
        lines = [f"OK {waits}; {self.pacer.fleet_size} agents share {rate}"]
        if self.distribution is not None and self.distribution.feed is not None:
            lines.append(self.distribution.describe())
        for name, target in sorted(self.pacer.targets.items()):
            if target.failures or target.due_at > now or self.pacer.pressure(name, now) > 1.0:
                lines.append(
                    f"{name}: turn in {max(0.0, target.due_at - now):.0f} ms, {target.failures} "
                    f"failures, pressure {self.pacer.pressure(name, now):.2f}"
                )
        return [*lines, "END"]
