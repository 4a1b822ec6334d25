"""The server list by the fleet: a few feeders a zone hear the list service, the others hear them.

`handle(event, now_ms)` returns what to do. Times are this agent's own ms; between agents only ages travel.

Invariants: events are taken in order, each once (S1); an agent whose list is older than `old_ms` is
looking for a younger one, at other agents or at the service itself (S2); a list is never replaced by an
older one (S3).
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from frostport.startup.messages import PART_BYTES, Ask, Enough, Message, Told
from frostport.startup.placing import ranked, weight
from frostport.startup.settings import Settings

TICK_MS = 250.0
BEAT_MS = 1000.0  # a word to those that are fed, at least so often
ASK_MS = 4000.0  # who is fed asks again so often, and is forgotten after three times of it
BLAME_MS = 5000.0  # a feeder found silent or old is not tried again before
FRESH = 3  # young words in a row after which one that had asked the service itself leaves it
KEPT = 1000  # events that are kept to be told
THINNED = 3  # times `feeders`: of those that see only a part of the fleet, so many may dial the service


class Role(Enum):
    """How this agent hears of the list."""

    WAITING = "waiting"  # nobody has told it of a list yet
    FEEDING = "feeding"  # by the service: it feeds others
    FED = "fed"
    ALONE = "alone"  # by the service, for want of a feeder


@dataclass(frozen=True, slots=True)
class Members:
    """Who is up, by name, with their zones; without this agent."""

    zones: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Up:
    """The service has taken this agent's connection."""


@dataclass(frozen=True, slots=True)
class Down:
    """That connection is lost, or was not to be had."""


@dataclass(frozen=True, slots=True)
class Word:
    """The service was heard, with an event where it has a number."""

    offset: int = -1
    line: bytes = b""


@dataclass(frozen=True, slots=True)
class Applied:
    """An event of another agent was taken in here (or had been before)."""

    offset: int
    line: bytes


@dataclass(frozen=True, slots=True)
class Heard:
    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Say:
    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Whole:
    """Tell this one the whole list: the events since its own are no longer kept."""

    to: str


@dataclass(frozen=True, slots=True)
class Take:
    """These events of another agent go into the list; each is to be answered with `Applied`."""

    events: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Connect:
    """Dial the service, at this agent's turn among so many (0: all)."""

    among: int


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Leave it, or the turn that was drawn for it."""


Event = Members | Up | Down | Word | Applied | Heard | Tick
Action = Say | Whole | Take | Connect | Disconnect


class Feed:
    """One agent's part in passing the list on. `offset`: the last event of the list that it starts with."""

    def __init__(self, name: str, zone: str, offset: int, settings: Settings, now_ms: float) -> None:
        self.name, self.zone, self.settings, self.began = name, zone, settings, now_ms
        self.role = Role.WAITING
        self.offset = offset
        self.events: deque[tuple[int, bytes]] = deque()
        self.floor = offset  # the number before the first event kept
        self.zones: dict[str, str] = {}
        self.whole = False  # at least half of the fleet is seen
        self._order: list[str] = []  # feeders, best first, of this zone and then of the others
        self.first = False  # this agent is one of its zone's
        self.dialling_too = 1  # how many feeders there may be, counting those that only think so
        self.source = ""
        self.here = self.dialling = False
        self.fresh_at = -math.inf  # when the service was last heard, by way of whoever
        self.source_at = -math.inf  # when the source was last heard
        self.source_asks = False
        self.asked_at = self.beat_at = -math.inf
        self.young = 0
        self.blamed: dict[str, float] = {}
        self.fed: dict[str, float] = {}  # who asks here, and until when
        self.pressed: tuple[tuple[str, float], ...] = ()  # passed on with each word
        self.in_vain_since = now_ms  # since when nobody has had a young list

    def age_ms(self, now: float) -> float:
        """Since the service was last heard; infinite: never."""
        return now - self.fresh_at

    def feeders(self) -> list[str]:
        """Of this zone, best first, then of the others; without this agent and those that are blamed."""
        return [name for name in self._order if name not in self.blamed]

    def _seen(self, zones: Mapping[str, str]) -> None:
        self.zones = dict(zones)
        by_zone: dict[str, list[str]] = {self.zone: [self.name]}
        for name, zone in zones.items():
            by_zone.setdefault(zone, []).append(name)
        least = {zone: ranked(zone, names, self.settings.feeders) for zone, names in by_zone.items()}
        self._order = [
            name
            for zone in sorted(least, key=lambda zone: (zone != self.zone, zone))
            for name in least[zone]
            if name != self.name
        ]
        # Guards against a start where each sees few others, and most think themselves first.
        self.whole = whole = len(zones) + 1 >= 0.5 * self.settings.agents
        self.dialling_too = THINNED * self.settings.feeders * len(by_zone)
        self.first = self.name in least[self.zone] and (
            whole or weight(self.zone, self.name) * self.settings.agents < self.dialling_too
        )

    def handle(self, event: Event, now: float) -> list[Action]:
        out: list[Action] = []
        match event:
            case Members(zones):
                self._seen(zones)
                if self.source and self.source not in self.zones:
                    self.source = ""  # its death is known: the next one is asked at once
                self._look(now, out)
            case Up():
                self.here, self.dialling, self.fresh_at = True, False, now
                self._beat(now, out)
            case Down():
                self.here = False
                self.dialling = self.role in (Role.FEEDING, Role.ALONE)  # it is dialled again by itself
                self._look(now, out)
                self._beat(now, out)
            case Word(offset, line):
                self.fresh_at = now
                if offset >= 0:
                    self._keep(offset, line, now, out)
                else:
                    self._beat(now, out)
            case Applied(offset, line):
                self._keep(offset, line, now, out)
            case Heard(sender, message):
                self._heard(sender, message, now, out)
            case Tick():
                self.blamed = {name: until for name, until in self.blamed.items() if until > now}
                self.fed = {name: until for name, until in self.fed.items() if until > now}
                self._look(now, out)
                if now - self.beat_at >= BEAT_MS:
                    self._beat(now, out)
        return out

    def next_ms(self, now: float) -> float:
        """When the next `Tick` is of use, at the latest a second on."""
        at = [now + BEAT_MS]
        if self.fed:
            at.append(self.beat_at + BEAT_MS)
        if self.role is Role.ALONE:
            at.append(self.asked_at + ASK_MS / 2.0)
        elif self.role is not Role.FEEDING:
            at.append(self.asked_at + ASK_MS)
            if self.source:
                at += (self.source_at + self.settings.old_ms, self.fresh_at + self.settings.old_ms + BEAT_MS)
        return min(each for each in at if each > now)

    # The list, towards those that are fed

    def _keep(self, offset: int, line: bytes, now: float, out: list[Action]) -> None:
        if offset <= self.offset:
            return
        before, self.offset = self.offset, offset
        self.events.append((offset, line))
        while len(self.events) > KEPT:
            self.floor = self.events.popleft()[0]
        told = self._told(before, (line,), now)
        out += [Say(name, told) for name in self.fed]

    def _told(self, at: int, events: tuple[bytes, ...], now: float) -> Told:
        age = self.age_ms(now)
        return Told(
            at,
            events,
            age if age < math.inf else -1.0,
            self.here,
            self.role in (Role.FEEDING, Role.ALONE),
            pressed=self.pressed,
        )

    def _beat(self, now: float, out: list[Action]) -> None:
        self.beat_at = now
        told = self._told(self.offset, (), now)
        out += [Say(name, told) for name in self.fed]

    def _answer(self, to: str, at: int, now: float, out: list[Action]) -> None:
        if at < self.floor and at < self.offset:
            out.append(Whole(to))
            return
        events: list[bytes] = []
        size = 0
        for offset, line in self.events:
            if offset > at and size < PART_BYTES:  # the rest when it asks on
                events.append(line)
                size += len(line)
        out.append(Say(to, self._told(min(at, self.offset), tuple(events), now)))

    # From others

    def _heard(self, sender: str, message: Message, now: float, out: list[Action]) -> None:
        match message:
            case Ask(at):
                self.fed[sender] = now + 3.0 * ASK_MS
                self._answer(sender, at, now, out)
            case Enough():
                self.fed.pop(sender, None)
            case Told():
                self._was_told(sender, message, now, out)

    def _was_told(self, sender: str, told: Told, now: float, out: list[Action]) -> None:
        if told.age_ms >= 0.0:
            # Guards against an agent that was only told late: the younger word counts (S3).
            self.fresh_at = max(self.fresh_at, now - told.age_ms)
        if sender == self.source:
            self.source_at, self.source_asks = now, told.asks and not told.here
        young = 0.0 <= told.age_ms < self.settings.old_ms
        if told.at > self.offset:
            self._ask(sender, now, out)  # a gap, or one that knows more
            return
        if told.events:
            out.append(Take(told.events))
            if len(told.events) > 1:
                self.asked_at = -math.inf  # there may be more
        if self.role is Role.ALONE and not self.first:
            self.young = self.young + 1 if young else 0
            if self.young >= FRESH:
                self._enter(Role.FED, sender, now, out)
        elif self.role is Role.WAITING and sender == self.source and told.age_ms >= 0.0:
            self.role = Role.FED
        elif self.role in (Role.WAITING, Role.FED) and not self.source and young:
            self._enter(Role.FED, sender, now, out)

    # How it hears of the list itself

    def _enter(self, role: Role, source: str, now: float, out: list[Action]) -> None:
        before, self.role = self.role, role
        if self.source and self.source != source and self.source in self.zones:
            out.append(Say(self.source, Enough()))
        self.source, self.young = source, 0
        if source:
            self.source_at = now
        wants = role in (Role.FEEDING, Role.ALONE)
        if wants and not (self.here or self.dialling):
            self.dialling = True
            out.append(Connect(self.dialling_too if role is Role.FEEDING else 0))
        elif not wants and (self.here or self.dialling):
            self.here = self.dialling = False
            out.append(Disconnect())
        if before is not role:
            self._beat(now, out)  # those that are fed here learn of it at once

    def _ask(self, name: str, now: float, out: list[Action]) -> None:
        self.asked_at = now
        out.append(Say(name, Ask(self.offset, pressed=self.pressed)))

    def _look(self, now: float, out: list[Action]) -> None:
        """Where this agent should hear of the list now."""
        if self.age_ms(now) < self.settings.old_ms:
            self.in_vain_since = now
        if self.first:
            if self.role is not Role.FEEDING:
                self._enter(Role.FEEDING, "", now, out)
            return
        if self.role is Role.FEEDING:  # another one is: it stays until that one has fed it
            self._enter(Role.ALONE, "", now, out)
        candidates = self.feeders()
        if self.role is Role.ALONE:
            if candidates and now - self.asked_at >= ASK_MS / 2.0:
                self._ask(candidates[0], now, out)
            return
        self._check(now)
        if not self.source:
            candidates = self.feeders()
            if candidates:
                self._enter(Role.WAITING if self.role is Role.WAITING else Role.FED, candidates[0], now, out)
                self._ask(candidates[0], now, out)
                # Guards against a zone whose feeders have all fallen silent: another zone's tells as well.
                other = next((name for name in candidates if self.zones[name] != self.zone), "")
                if other not in ("", candidates[0]):
                    self._ask(other, now, out)
        elif now - self.asked_at >= ASK_MS:
            self._ask(self.source, now, out)
        if self._in_vain(now):
            self._enter(Role.ALONE, "", now, out)

    def _check(self, now: float) -> None:
        """Blames a source that is silent, or that says it hears the service and has an old list."""
        if not self.source:
            return
        silent = now - self.source_at >= self.settings.old_ms
        old = self.age_ms(now) >= self.settings.old_ms + BEAT_MS and not self.source_asks
        if silent or old:
            self.blamed[self.source] = now + BLAME_MS
            self.source = ""

    def _in_vain(self, now: float) -> bool:
        """Whether to ask the service itself: no feeder is in reach, or all of them ask in vain for long."""
        waited = now - self.in_vain_since
        if not self.source and not self.feeders() and self.whole:
            return waited >= self.settings.old_ms
        return waited >= self.settings.patience_ms
