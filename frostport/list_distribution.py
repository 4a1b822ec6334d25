"""Distributes the server list among the agents of a fleet.

Connects the decisions of `frostport.startup.feed` to the event bus, the server list and the link between
agents. Imported only if the configuration has `startup`. Times are in ms of the monotonic clock.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
import orjson

from frostport.config import Config
from frostport.core.clock import MonotonicClock
from frostport.core.dial_policy import LIST_SERVICE
from frostport.core.event_position import new_stream_id
from frostport.net.jsonl import BadLineError
from frostport.startup import feed_events as feeding
from frostport.startup import messages
from frostport.startup.feed import Feed, Role
from frostport.startup.pacing import DialPacer
from frostport.startup.settings import Settings

if TYPE_CHECKING:
    from frostport.fleet import Fleet

log = logging.getLogger("frostport.starting")

FRAME_KIND = "feed"
MAX_REPORTED_AGE_MS = 1e12  # an age above it, in records and answers, means that the service was never heard
_decoder: msgspec.msgpack.Decoder[messages.Message] = msgspec.msgpack.Decoder(messages.Message)
_encoder = msgspec.msgpack.Encoder()


class DistributingAgent(Protocol):
    """What the distribution uses of the agent; `side` is a PlatformSide."""

    config: Config
    side: Any


class ListDistribution:
    """Runs one agent's `Feed`: passes it what is heard, and carries out its actions."""

    def __init__(
        self, settings: Settings, name: str, fleet: Fleet, pacer: DialPacer, monotonic: MonotonicClock
    ) -> None:
        self.settings = settings
        self.name = name
        self.fleet = fleet
        self.pacer = pacer
        self.monotonic = monotonic
        self.feed: Feed | None = None  # from `start` on
        self._agent: DistributingAgent | None = None
        self._logged_role = ""
        self._update_sender = ""  # the agent whose message is being handled; "": the list service

    def start(self, agent: DistributingAgent) -> None:
        """Called once the agent's side has started."""
        self._agent = agent
        self.feed = Feed(
            self.name,
            self.fleet.config.zone,
            new_stream_id(),
            bool(agent.config.known),
            self.settings,
            self.monotonic.now(),
        )
        self.fleet.frame_handlers[FRAME_KIND] = self._on_frame

    @property
    def _side(self) -> Any:
        assert self._agent is not None
        return self._agent.side

    def dials_service(self) -> bool:
        """Whether this agent's role is to be connected to the list service."""
        return self.feed is not None and self.feed.role in (Role.FEEDING, Role.STANDALONE)

    def age_ms(self) -> float:
        """The time since the list service was last heard, -1 if it never was."""
        age = self.feed.age_ms(self.monotonic.now()) if self.feed is not None else MAX_REPORTED_AGE_MS
        return age if age < MAX_REPORTED_AGE_MS else -1.0

    def handle(self, event: feeding.Event) -> None:
        """Passes an event to the feed and carries out its actions; does nothing before `start`."""
        feed = self.feed
        if feed is None:
            return
        last = None  # a message to several agents is encoded once
        encoded = b""
        for action in feed.handle(event, self.monotonic.now()):
            match action:
                case feeding.Send(to, message):
                    if message is not last:
                        last = message
                        encoded = _encoder.encode(message)
                    self._send(to, encoded)
                case feeding.SendSnapshot(to):
                    own_list = self._side.server_list.encode_complete()
                    snapshot = feed.snapshot_update(own_list, self.monotonic.now())
                    self._send(to, _encoder.encode(snapshot))
                case feeding.ApplyEvents(events):
                    self._apply_events(events)
                case feeding.ApplySnapshot(complete_list):
                    if self._apply(complete_list):
                        self._record_change(complete_list)
                case feeding.Connect(dialer_count):
                    wait_ms = self.pacer.schedule_first(LIST_SERVICE, self.monotonic.now(), dialer_count)
                    self._side.bus.start_in(wait_ms)
                case feeding.Disconnect():
                    self._side.bus.disconnect()
        self._log_role(feed)

    def _log_role(self, feed: Feed) -> None:
        role = f"{feed.role.value} {feed.source}".strip()
        if role != self._logged_role:
            self._logged_role = role
            log.info("role in distributing the server list: %s", role)
            self.fleet.record.event("feed", role=feed.role.value, source=feed.source)

    def _send(self, to: str, body: bytes) -> None:
        self.fleet.link.send(to, FRAME_KIND, body)

    def _on_frame(self, sender: str, body: bytes) -> None:
        message = _decoder.decode(body)
        if not isinstance(message, messages.Unsubscribe):
            for target, level in message.pressures:
                if target == LIST_SERVICE or target in self._side.route.servers:
                    self.pacer.merge_pressure(target, level, self.monotonic.now())
        self._update_sender = sender
        self.handle(feeding.MessageReceived(sender, message))
        self._update_sender = ""

    def _apply_events(self, events: tuple[bytes, ...]) -> None:
        """Applies events of another agent to the list, up to the first that can't be read."""
        for line in events:
            if not self._apply(line):
                return
            self.handle(feeding.EventApplied(line))
            self._record_change(line)

    def _apply(self, line: bytes) -> bool:
        """Applies one event of another agent to the list; returns False if it can't be read."""
        try:
            record = orjson.loads(line)
            if not isinstance(record, dict):
                raise BadLineError(f"expected a JSON object, found {type(record).__name__}")
            self._side.server_list.apply_shared_event(record)
        except (BadLineError, orjson.JSONDecodeError) as error:
            log.warning("can't apply a server list event from another agent: %s", error)
            self.handle(feeding.EventRejected())
            return False
        return True

    def service_event_received(self, line: bytes) -> None:
        """The list service has changed the list by the event `line`."""
        self.handle(feeding.ServiceHeard(line))
        self._record_change(line)

    def _record_change(self, line: bytes) -> None:
        """Adds a change of the list to the fleet's record, with the states of the servers that it names."""
        if self.feed is None:
            return
        hosts = orjson.loads(line)["topology"]["hosts"]
        self.fleet.record.event(
            "list",
            number=self.feed.changes.position.number,
            role=self.feed.role.value,
            source=self._update_sender,
            age_ms=round(self.age_ms()),
            servers={host["host"]: host["health"] for host in hosts},
        )

    def describe(self) -> str:
        """One line for operators: where the list comes from, how old it is, and whom it is passed on to."""
        assert self.feed is not None
        age = self.age_ms()
        source = f" by {self.feed.source}" if self.feed.source else ""
        heard = f"{age:.0f} ms ago" if age >= 0.0 else "never"
        number = self.feed.changes.position.number
        return (
            f"list {number} {self.feed.role.value}{source}, the service heard {heard}; "
            f"feeds {len(self.feed.subscribers)}"
        )
