"""A cold start beside many others, joined to bus, lobby servers, link and door; decisions are in `startup`.

Imported only where the configuration has `startup`. Its times are the machine's monotonic ones.
"""

from __future__ import annotations

import logging
import random
import secrets
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
import orjson

from frostport.core.broker import Broker
from frostport.core.clock import Clock, MonotonicClock
from frostport.core.deadlines import Deadlines
from frostport.core.dial_policy import LIST_SERVICE, DialPolicy
from frostport.core.lifecycle import Lifecycle, Phase
from frostport.interface import Lifecycle as Listing
from frostport.membership.messages import State
from frostport.net.jsonl import BadLineError, Message
from frostport.net.operator import Operation
from frostport.startup import feed as feeding
from frostport.startup import messages
from frostport.startup.feed import Feed
from frostport.startup.placing import chosen_servers
from frostport.startup.settings import Settings
from frostport.startup.turns import Turns
from frostport.startup.waves import Local, Waves

if TYPE_CHECKING:
    from frostport.fleet import Fleet

log = logging.getLogger("frostport.starting")

KIND = "feed"
PREPARED = "prepared"  # as the other members see it: able to serve, and waiting for its wave
LEAST_MS, LATER_MS = 20.0, 1000.0  # between two looks once the start is over
AT_ONCE_MS = 500.0  # a connection that is closed so soon after it was made tells of pressure
_messages: msgspec.msgpack.Decoder[messages.Message] = msgspec.msgpack.Decoder(messages.Message)
_encoder = msgspec.msgpack.Encoder()


class Joined(Protocol):
    """The agent, as far as its start goes; its side is the platform's."""

    clock: Clock
    deadlines: Deadlines
    lifecycle: Lifecycle
    broker: Broker
    side: Any


class Starting(DialPolicy):
    """Turns, feed and waves of one agent."""

    def __init__(self, settings: Settings, name: str, fleet: Fleet | None) -> None:
        self.settings, self.name, self.fleet = settings, name, fleet
        self.monotonic = MonotonicClock()
        now = self.monotonic.now()
        self.turns = Turns(settings, random.Random(secrets.randbits(64)), now)
        self.waves = Waves(settings, now)
        self.feed: Feed | None = None
        self.chosen: set[str] = set()
        self.chosen_of: frozenset[str] = frozenset()  # the list that they were chosen from
        self.up_at: dict[str, float] = {}
        self.dirty, self.said = True, ""
        self.serving = 0  # agents, as the module was last told
        self.teller = ""  # whose words are being read; "": the service's
        self.agent: Joined | None = None

    def join(self, agent: Joined) -> None:
        """Before the agent's side starts."""
        self.agent = agent
        agent.side.bus.dialing = agent.side.servers.dialing = self

    def start(self) -> None:
        if self.fleet is not None:
            self.feed = Feed(
                self.name,
                self.fleet.config.zone,
                self._joined.side.list.offset,
                self.settings,
                self.monotonic.now(),
            )
            self.fleet.frame_handlers[KIND] = self._frame
            self.fleet.membership_listeners.append(self._changed)
        self._tick()

    @property
    def ready(self) -> bool:
        return self.waves.ready

    @property
    def _joined(self) -> Joined:
        assert self.agent is not None
        return self.agent

    def _changed(self) -> None:
        """At once, for all that changes in one turn; during the start, when much does, with the next look."""
        if not self.dirty:
            self.dirty = True
            if not self.ready:
                return
            self._joined.deadlines.set(self._joined.clock.now(), self._members)

    def _tick(self) -> None:
        agent, now = self._joined, self.monotonic.now()
        if self.dirty:
            self._members()
        if self.feed is not None:
            self.feed.pressed = self.turns.pressures(now)
            self._feed(feeding.Tick())
        self._choose()
        if not self.ready:
            self._look(now)
        if agent.lifecycle.phase is not Phase.STOPPED:
            wait = feeding.TICK_MS
            if self.ready:
                due = self.feed.next_ms(now) if self.feed is not None else now + LATER_MS
                wait = max(LEAST_MS, due - now)
            agent.deadlines.set(agent.clock.now() + wait, self._tick)

    def _members(self) -> None:
        if self.fleet is None or self.feed is None:
            return
        self.dirty = False
        here = [member for member in self.fleet.swim.table if member.state <= State.SUSPECT]
        self.turns.seen(len(here) + 1)
        serving = 1 + sum(member.info.phase == Phase.SERVING.value for member in here)
        if serving != self.serving:
            self.serving = serving
            self._joined.broker.set_sibling_count(serving)
        self._feed(
            feeding.Members({member.name: member.info.zone for member in here if member.state is State.ALIVE})
        )

    # The list by the fleet

    def _feed(self, event: feeding.Event) -> None:
        feed = self.feed
        if feed is None:
            return
        bus = self._joined.side.bus
        last, encoded = None, b""  # one word to many is encoded once
        for action in feed.handle(event, self.monotonic.now()):
            match action:
                case feeding.Say(to, message):
                    if message is not last:
                        last, encoded = message, _encoder.encode(message)
                    self._send(to, encoded)
                case feeding.Whole(to):
                    age = feed.age_ms(self.monotonic.now())
                    told = messages.Told(
                        -1,
                        (self._whole(),),
                        age if age < 1e12 else -1.0,
                        feed.here,
                        False,
                        pressed=feed.pressed,
                    )
                    self._send(to, _encoder.encode(told))
                case feeding.Take(events):
                    self._take(events)
                case feeding.Connect(among):
                    bus.start_in(self.turns.first(LIST_SERVICE, self.monotonic.now(), among))
                case feeding.Disconnect():
                    bus.disconnect()
        if self.said != (said := f"{feed.role.value} {feed.source}".strip()):
            self.said = said
            log.info("list: %s", said)
            if self.fleet is not None:
                self.fleet.record.event("feed", role=feed.role.value, source=feed.source)

    def _send(self, to: str, body: bytes) -> None:
        if self.fleet is not None:
            self.fleet.link.send(to, KIND, body)

    def _frame(self, sender: str, body: bytes) -> None:
        message = _messages.decode(body)
        if not isinstance(message, messages.Enough):
            for target, level in message.pressed:
                if target == LIST_SERVICE or target in self._joined.side.servers.members:
                    self.turns.heard(target, level, self.monotonic.now())
        self.teller = sender
        self._feed(feeding.Heard(sender, message))
        self.teller = ""

    def _take(self, events: tuple[bytes, ...]) -> None:
        """Guards the list against an event that can't be read: twice told, it is passed over there."""
        known = self._joined.side.list
        for line in events:
            for _ in range(2):
                try:
                    record = orjson.loads(line)
                    if not isinstance(record, dict):
                        raise BadLineError("not an event")
                    known.apply_event(record)
                    break
                except (BadLineError, orjson.JSONDecodeError) as problem:
                    log.warning("an event of another agent: %s", problem)
            self._heard_of(known.offset)
            self._feed(feeding.Applied(known.offset, line))

    def _heard_of(self, offset: int) -> None:
        if self.fleet is not None and self.feed is not None and offset > self.feed.offset:
            age = self.feed.age_ms(self.monotonic.now())
            self.fleet.record.event(
                "list",
                offset=offset,
                role=self.feed.role.value,
                source=self.teller,
                age_ms=round(age) if age < 1e12 else -1,
            )

    def _whole(self) -> bytes:
        """The list as one event."""
        known = self._joined.side.list
        hosts = [
            {
                "host": server.address,
                "dial": dial,
                "site": server.zone,
                "class": server.kind,
                "block": server.number,
                "health": server.state.value,
                "share": server.nominal,
                "born_ms": server.started_ms,
            }
            for server, dial in known.entries.values()
            if server.state is not Listing.GONE
        ]
        return orjson.dumps(
            {"offset": known.offset, "topology": {"seq": known.version, "whole": True, "hosts": hosts}}
        )

    # As the one whom bus and lobby servers ask before they dial

    def connects_eagerly(self, target: str) -> bool:
        return False  # those that are come from `_choose`

    def first_delay_ms(self, target: str) -> float:
        if target == LIST_SERVICE and self.fleet is not None:
            if self.feed is None or self.feed.role not in (feeding.Role.FEEDING, feeding.Role.ALONE):
                return float("inf")  # the feed says when
            self._feed(feeding.Down())  # the service has another address: the connection is gone
        return self.turns.first(target, self.monotonic.now())

    def redial_delay_ms(self, target: str, pause_ms: float) -> float:
        return self.turns.again(target, self.monotonic.now())

    def on_demand_delay_ms(self, target: str) -> float:
        return self.turns.needed(target, self.monotonic.now())

    def connected(self, target: str) -> None:
        now = self.up_at[target] = self.monotonic.now()
        self.turns.up(target, now)
        if target == LIST_SERVICE:
            self._feed(feeding.Up())
        else:
            # Its answer shows that it serves: one that accepts and never speaks counts for nothing.
            agent = self._joined
            agent.deadlines.set(agent.clock.now(), lambda: self._ask(target))

    def _ask(self, target: str) -> None:
        lobby = self._joined.side.servers.members.get(target)
        for connection in lobby.connections if lobby is not None else ():
            if connection.heard_at <= connection.opened_at:
                connection.send_message(Message("ECHO", "0" * 16, rc=0))

    def dial_failed(self, target: str) -> None:
        self.turns.pressed(target, self.monotonic.now())
        if target == LIST_SERVICE:
            self._feed(feeding.Down())

    def connection_lost(self, target: str) -> None:
        now = self.monotonic.now()
        if now - self.up_at.get(target, now) < AT_ONCE_MS:
            self.turns.pressed(target, now)
        if target == LIST_SERVICE:
            self._feed(feeding.Down())

    def list_unchanged(self) -> None:
        self._feed(feeding.Word())

    def list_event_received(self, offset: int, line: bytes) -> None:
        self._heard_of(offset)
        self._feed(feeding.Word(offset, line))

    # Lobby servers at first

    def _choose(self) -> None:
        servers = self._joined.side.servers.members
        listed = frozenset(servers)
        if listed == self.chosen_of:
            return
        for gone in self.chosen_of - listed:
            self.turns.forget(gone)
        self.chosen_of, before = listed, self.chosen
        agents = [] if self.feed is None else [*self.feed.zones, self.name]
        self.chosen &= listed
        if len(self.chosen) < min(self.settings.servers, len(listed)):
            self.chosen = chosen_servers(sorted(listed), self.name, agents, self.settings.servers)
        for host in sorted(self.chosen - before):
            if not servers[host].connections:
                servers[host].schedule_dial(self.turns.first(host, self.monotonic.now()))

    # Ready

    def _look(self, now: float) -> None:
        agent = self._joined
        lobbies = agent.side.servers.members
        answering = sum(
            any(at.heard_at > at.opened_at for at in lobbies[host].connections)
            for host in self.chosen
            if host in lobbies
        )
        members = list(self.fleet.swim.table.active()) if self.fleet is not None else []
        phases = [member.info.phase for member in members]
        listed = sum(server.state is Listing.READY for server, _ in agent.side.list.entries.values())
        local = Local(
            listed,
            answering,
            len(self.chosen),
            phases.count(PREPARED),
            phases.count(Phase.SERVING.value),
            len(members) + 1,
        )
        before = self.waves.prepared_at
        ready = self.waves.look(local, now)
        if self.fleet is not None:
            if before is None and self.waves.prepared_at is not None and not ready:
                self.fleet.phase(PREPARED)
            if ready:
                self.fleet.record.event("able", waited_ms=round(now - self.waves.began))
        elif ready and agent.lifecycle.can_enter(Phase.SERVING):
            agent.lifecycle.enter(Phase.SERVING)

    # The door

    def operations(self) -> Mapping[str, Operation]:
        return {"startup": self._startup}

    def _startup(self, _: str) -> list[str]:
        now, feed = self.monotonic.now(), self.feed
        waits = "able to serve" if self.ready else f"waits for {self.waves.why}"
        rate = f"{self.settings.dials_a_second:g} dials a second"
        lines = [f"OK {waits}; {self.turns.size} agents share {rate}"]
        if feed is not None:
            age = feed.age_ms(now)
            lines.append(
                f"list {self._joined.side.list.offset} {feed.role.value}"
                f"{f' by {feed.source}' if feed.source else ''}, the service heard "
                f"{f'{age:.0f} ms ago' if age < 1e12 else 'never'}; feeds {len(feed.fed)}"
            )
        for name, target in sorted(self.turns.targets.items()):
            if target.failures or target.due_at > now or self.turns.pressure(name, now) > 1.0:
                lines.append(
                    f"{name}: turn in {max(0.0, target.due_at - now):.0f} ms, {target.failures} "
                    f"failures, pressure {self.turns.pressure(name, now):.2f}"
                )
        return [*lines, "END"]
