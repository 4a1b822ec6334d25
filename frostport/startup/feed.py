"""Distributes the server list within the fleet: a few feeders in each zone receive it from the list service
and pass its events on to the other agents, their subscribers.

`handle(event, now_ms)` returns the actions to carry out. Times are this agent's own, in ms; messages between
agents carry ages only, so their clocks need not agree.

A feeder numbers the changes of its list in a stream of its own. Those that follow it take each change in
order and pass it on with the same number. With the stream of another feeder they begin anew, with the
complete list.

Invariants: the changes of a stream are applied in order, each once (S1); an agent whose list is older than
`old_ms` looks for a newer one, at other agents or at the service itself (S2); a list is not replaced by a
complete list that was heard from the service before it (S3).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum

from frostport.core.event_position import EventPosition
from frostport.startup.change_stream import ChangeStream
from frostport.startup.feed_events import (
    Action,
    ApplyEvents,
    ApplySnapshot,
    Connect,
    Disconnect,
    Event,
    EventApplied,
    EventRejected,
    MembersChanged,
    MessageReceived,
    Send,
    SendSnapshot,
    ServiceConnected,
    ServiceDisconnected,
    ServiceHeard,
    Tick,
)
from frostport.startup.messages import (
    MAX_BATCH_BYTES,
    VERSION,
    FeedUpdate,
    Message,
    Subscribe,
    Unsubscribe,
)
from frostport.startup.rendezvous import ranked, weight
from frostport.startup.settings import Settings

TICK_MS = 250.0  # between two ticks until the agent is ready
HEARTBEAT_MS = 1000.0  # subscribers get an update at least so often
RENEWAL_MS = 4000.0  # a subscription is renewed so often; it expires after three times this
EXCLUSION_MS = 5000.0  # a feeder that was silent or had an old list is not tried again for this time
CURRENT_UPDATES = 3  # consecutive current updates after which a standalone agent leaves the list service
# Times `feeders` in each zone: so many agents with a partial view of the fleet may dial the service.
PARTIAL_VIEW_FACTOR = 3


class Role(Enum):
    """Where this agent gets the list from."""

    WAITING = "waiting"  # no agent has sent it an update yet
    FEEDING = "feeding"  # from the service; it is a feeder of its zone
    FED = "fed"  # from another agent
    STANDALONE = "alone"  # from the service, although it is no feeder: it found none that is of use


class Feed:
    """One agent's part in the distribution.

    `stream`: the id of this agent's own stream. `has_list`: its configuration has a list of servers."""

    def __init__(
        self,
        name: str,
        zone: str,
        stream: str,
        has_list: bool,
        settings: Settings,
        now_ms: float,
    ) -> None:
        self.name = name
        self.zone = zone
        self.settings = settings
        self.started_at = now_ms
        self.role = Role.WAITING
        self.changes = ChangeStream(stream)
        self.initial_list_at = now_ms if has_list else -math.inf
        self.zones: dict[str, str] = {}  # the zone of each other agent
        self.sees_half = False  # the membership shows at least half of the fleet
        self._feeder_order: list[str] = []  # feeders, best first, of this zone and then of the others
        self.is_feeder = False  # this agent is a feeder of its zone
        self.dialer_count = 1  # agents that may dial the service as feeders; more while views are partial
        self.source = ""  # the agent that this one is subscribed to; "": none
        self.connected = self.dialing = False  # to the service
        self.hears_service = False  # on this connection; the list follows no agent meanwhile
        # When the service last sent something, to this agent or to one on the way here.
        self.service_last_received_at = -math.inf
        self.source_last_received_at = -math.inf
        # The source's role is to be connected to the service, and it is not.
        self.source_lacks_service = False
        self.source_current = False  # the source's last update was current
        self.subscribed_at = self.heartbeat_at = -math.inf  # when each was last sent
        self.current_updates = 0  # consecutive
        self.excluded: dict[str, float] = {}  # feeders not to be tried, and until when
        self.subscribers: dict[str, float] = {}  # and until when each subscription lasts
        self.pressures: tuple[tuple[str, float], ...] = ()  # sent with each message
        self.outdated_since = now_ms  # start of the time without a current list

    def age_ms(self, now: float) -> float:
        """Returns the time since the last message of the service that the list accounts for, received by this
        agent or by one on the way here; infinite: none."""
        return now - self.service_last_received_at

    def feeders(self) -> list[str]:
        """Returns this zone's feeders, best first, then the others'; without this agent and excluded ones."""
        return [name for name in self._feeder_order if name not in self.excluded]

    def _update_members(self, zones: Mapping[str, str]) -> None:
        self.zones = dict(zones)
        by_zone: dict[str, list[str]] = {self.zone: [self.name]}
        for name, zone in zones.items():
            by_zone.setdefault(zone, []).append(name)
        feeders = {zone: ranked(zone, names, self.settings.feeders) for zone, names in by_zone.items()}
        self._feeder_order = [
            name
            for zone in sorted(feeders, key=lambda zone: (zone != self.zone, zone))
            for name in feeders[zone]
            if name != self.name
        ]
        # At a start each agent sees few others, and most would take themselves for a feeder. Until an agent
        # sees half of the fleet, it also needs a low weight of its own.
        self.sees_half = sees_half = len(zones) + 1 >= 0.5 * self.settings.agents
        self.dialer_count = PARTIAL_VIEW_FACTOR * self.settings.feeders * len(by_zone)
        self.is_feeder = self.name in feeders[self.zone] and (
            sees_half or weight(self.zone, self.name) * self.settings.agents < self.dialer_count
        )

    def handle(self, event: Event, now: float) -> list[Action]:
        """Processes one event; returns the actions to carry out, in order. `now` is in ms, and monotonic."""
        actions: list[Action] = []
        match event:
            case MembersChanged(zones):
                self._update_members(zones)
                if self.source and self.source not in self.zones:
                    # Known to be down: the next feeder is asked without waiting for a time-out.
                    self.source = ""
                self._update_source(now, actions)
            case ServiceConnected():
                self.connected = True
                self.dialing = False
                self._send_heartbeat(now, actions)
            case ServiceDisconnected():
                self.connected = self.hears_service = False
                # The connection redials by itself.
                self.dialing = self.role in (Role.FEEDING, Role.STANDALONE)
                self._update_source(now, actions)
                self._send_heartbeat(now, actions)
            case ServiceHeard(line):
                self.service_last_received_at = now
                self.hears_service = True
                if not self.changes.is_own:
                    self.changes.return_to_own()
                if line:
                    self._retain(line, now, actions)
                else:
                    self._send_heartbeat(now, actions)
            case EventApplied(line):
                self._retain(line, now, actions)
            case EventRejected():
                self.changes.return_to_own()  # the next update is answered by asking for the complete list
            case MessageReceived(sender, message):
                self._receive(sender, message, now, actions)
            case Tick():
                self.excluded = {name: until for name, until in self.excluded.items() if until > now}
                self.subscribers = {name: until for name, until in self.subscribers.items() if until > now}
                self._update_source(now, actions)
                if now - self.heartbeat_at >= HEARTBEAT_MS:
                    self._send_heartbeat(now, actions)
        return actions

    def next_tick_at(self, now: float) -> float:
        """Returns the time at which the next `Tick` is due, at most `HEARTBEAT_MS` from now."""
        times = [now + HEARTBEAT_MS]
        if self.subscribers:
            times.append(self.heartbeat_at + HEARTBEAT_MS)
        if self.role is Role.STANDALONE:
            times.append(self.subscribed_at + RENEWAL_MS / 2.0)
        elif self.role is not Role.FEEDING:
            times.append(self.subscribed_at + RENEWAL_MS)
            if self.source:
                times += (
                    self.source_last_received_at + self.settings.old_ms,
                    self.service_last_received_at + self.settings.old_ms + HEARTBEAT_MS,
                )
        return min(time for time in times if time > now)

    # To subscribers

    def _retain(self, line: bytes, now: float, actions: list[Action]) -> None:
        """Retains a change of the list, and sends it to the subscribers."""
        before = self.changes.append(line)
        update = self._build_update(before, (line,), now)
        actions += [Send(name, update) for name in self.subscribers]

    def _build_update(
        self, after: EventPosition, events: tuple[bytes, ...], now: float, is_snapshot: bool = False
    ) -> FeedUpdate:
        age = self.age_ms(now)
        return FeedUpdate(
            after.number,
            events,
            age if age < math.inf else -1.0,
            self.connected,
            self.role in (Role.FEEDING, Role.STANDALONE),
            pressures=self.pressures,
            stream=after.stream,
            is_snapshot=is_snapshot,
        )

    def snapshot_update(self, complete_list: bytes, now: float) -> FeedUpdate:
        """Returns the message that carries the complete list, given as one event."""
        return self._build_update(self.changes.position, (complete_list,), now, is_snapshot=True)

    def _send_heartbeat(self, now: float, actions: list[Action]) -> None:
        self.heartbeat_at = now
        update = self._build_update(self.changes.position, (), now)
        actions += [Send(name, update) for name in self.subscribers]

    def _answer_subscriber(self, to: str, request: Subscribe, now: float, actions: list[Action]) -> None:
        after = EventPosition(request.stream, request.after_number)
        # It asks again for those that are left out.
        events = self.changes.changes_after(after, MAX_BATCH_BYTES)
        if events is not None:
            actions.append(Send(to, self._build_update(after, events, now)))
        elif request.complete:
            actions.append(SendSnapshot(to))
        else:
            actions.append(Send(to, self._build_update(self.changes.position, (), now)))

    # From other agents

    def _receive(self, sender: str, message: Message, now: float, actions: list[Action]) -> None:
        match message:
            case Subscribe() if message.version >= VERSION:
                self.subscribers[sender] = now + 3.0 * RENEWAL_MS
                self._answer_subscriber(sender, message, now, actions)
            case Unsubscribe():
                self.subscribers.pop(sender, None)
            case FeedUpdate() if message.version >= VERSION:
                self._receive_update(sender, message, now, actions)

    def _receive_update(self, sender: str, update: FeedUpdate, now: float, actions: list[Action]) -> None:
        current = 0.0 <= update.age_ms < self.settings.old_ms
        is_first = self.role is Role.WAITING and sender == self.source and update.age_ms >= 0.0
        if is_first or (current and self.role in (Role.WAITING, Role.FED) and self._prefers(sender)):
            self._set_role(Role.FED, sender, now, actions)
        if sender == self.source:
            self.source_last_received_at = now
            self.source_lacks_service = update.dials_service and not update.connected
            self.source_current = current
        if sender == self.source or (self.role is Role.STANDALONE and not self.hears_service):
            self._follow(sender, update, now, actions)
        if self.role is Role.STANDALONE and not self.is_feeder:
            self.current_updates = self.current_updates + 1 if current else 0
            if self.current_updates >= CURRENT_UPDATES:
                self._set_role(Role.FED, sender, now, actions)
                self._subscribe(sender, now, actions)

    def _prefers(self, sender: str) -> bool:
        """Whether an agent with a current list replaces the source: that has none, or is in another zone."""
        if sender == self.source:
            return False
        return not self.source_current or (self._in_own_zone(sender) and not self._in_own_zone(self.source))

    def _in_own_zone(self, name: str) -> bool:
        return self.zones.get(name) == self.zone

    def _follow(self, sender: str, update: FeedUpdate, now: float, actions: list[Action]) -> None:
        """Applies what the list lacks of a stream, or asks for it."""
        after = EventPosition(update.stream, update.after_number)
        same_stream = after.stream == self.changes.position.stream
        is_behind = self.changes.position.is_before(after) if same_stream else self._is_newer(update, now)
        if update.is_snapshot and is_behind:
            self.changes.begin_at(after)
            actions.append(ApplySnapshot(update.events[0]))
        elif is_behind:
            self._subscribe(sender, now, actions, complete=True)
            return
        elif not same_stream:
            return  # the list follows that stream once the sender has heard the service again
        elif not update.is_snapshot:
            events = update.events[self.changes.position.number - after.number :]
            if events:
                actions.append(ApplyEvents(events))
            if len(update.events) > 1:
                self.subscribed_at = -math.inf  # there may be more: asks again with the next tick
        if update.age_ms >= 0.0:
            # An update that arrives late must not make the list look older than it is known to be (S3).
            self.service_last_received_at = max(self.service_last_received_at, now - update.age_ms)

    def _is_newer(self, update: FeedUpdate, now: float) -> bool:
        """Whether a complete list was heard from the service after this agent's list."""
        if update.age_ms < 0.0:
            return False
        return now - update.age_ms >= max(self.initial_list_at, self.service_last_received_at)

    # Where this agent gets the list from

    def _set_role(self, role: Role, source: str, now: float, actions: list[Action]) -> None:
        previous_role = self.role
        self.role = role
        if self.source != source:
            self.source_current = False
        if self.source and self.source != source and self.source in self.zones:
            actions.append(Send(self.source, Unsubscribe()))
        self.source = source
        self.current_updates = 0
        if source:
            self.source_last_received_at = now
        dials_service = role in (Role.FEEDING, Role.STANDALONE)
        if dials_service and not (self.connected or self.dialing):
            self.dialing = True
            actions.append(Connect(self.dialer_count if role is Role.FEEDING else 0))
        elif not dials_service and (self.connected or self.dialing):
            self.connected = self.dialing = self.hears_service = False
            actions.append(Disconnect())
        if previous_role is not role:
            self._send_heartbeat(now, actions)  # subscribers learn of the change at once

    def _subscribe(self, name: str, now: float, actions: list[Action], complete: bool = False) -> None:
        self.subscribed_at = now
        request = Subscribe(
            self.changes.position.number,
            pressures=self.pressures,
            stream=self.changes.position.stream,
            complete=complete,
        )
        actions.append(Send(name, request))

    def _update_source(self, now: float, actions: list[Action]) -> None:
        """Chooses where this agent gets the list from."""
        if self.age_ms(now) < self.settings.old_ms:
            self.outdated_since = now
        if self.is_feeder:
            if self.role is not Role.FEEDING:
                self._set_role(Role.FEEDING, "", now, actions)
            return
        if self.role is Role.FEEDING:  # another agent is feeder now: stays connected until that one feeds it
            self._set_role(Role.STANDALONE, "", now, actions)
        candidates = self.feeders()
        if self.role is Role.STANDALONE:
            if candidates and now - self.subscribed_at >= RENEWAL_MS / 2.0:
                self._subscribe(candidates[0], now, actions)
            return
        self._exclude_bad_source(now)
        if not self.source:
            candidates = self.feeders()
            if candidates:
                self._set_role(
                    Role.WAITING if self.role is Role.WAITING else Role.FED, candidates[0], now, actions
                )
                self._subscribe(candidates[0], now, actions)
                # All feeders of this zone may have become silent: one of another zone is asked as well.
                other = next((name for name in candidates if self.zones[name] != self.zone), "")
                if other not in ("", candidates[0]):
                    self._subscribe(other, now, actions)
        elif now - self.subscribed_at >= RENEWAL_MS:
            self._subscribe(self.source, now, actions)
            best = self.feeders()[:1]
            if best and self._in_own_zone(best[0]) and not self._in_own_zone(self.source):
                self._subscribe(best[0], now, actions)
        if self._needs_service(now):
            self._set_role(Role.STANDALONE, "", now, actions)

    def _exclude_bad_source(self, now: float) -> None:
        """Drops a source that is silent, or that has an old list without saying that it lacks the service."""
        if not self.source:
            return
        silent = now - self.source_last_received_at >= self.settings.old_ms
        outdated = self.age_ms(now) >= self.settings.old_ms + HEARTBEAT_MS and not self.source_lacks_service
        if silent or outdated:
            self.excluded[self.source] = now + EXCLUSION_MS
            self.source = ""

    def _needs_service(self, now: float) -> bool:
        """Whether to dial the service itself: no feeder is in reach, or the list is outdated for too long."""
        waited = now - self.outdated_since
        if not self.source and not self.feeders() and self.sees_half:
            return waited >= self.settings.old_ms
        return waited >= self.settings.patience_ms
