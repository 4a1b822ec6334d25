"""A history's events by kind and by call, and what several rules ask of them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from trials.history import Event, Kind
from trials.site import Day

SLACK_S = 0.05  # "every time limit grows by 50 ms" (the protocol page, the rules on sockets)
REACHED_LATE_S = 0.5  # what a link held while it was cut arrives within this after it is mended


@dataclass(frozen=True)
class Violation:
    """One breach of a rule."""

    rule: str
    at: float
    call: str
    text: str


@dataclass(frozen=True)
class Period:
    """A time from one event to another, in seconds."""

    begin: float
    end: float

    def meets(self, begin: float, end: float) -> bool:
        """Whether it has a moment in common with another period."""
        return self.begin <= end and self.end >= begin


@dataclass
class Index:
    """The events of a history by kind and by call."""

    events: list[Event]
    day: Day
    by_kind: dict[Kind, list[Event]] = field(default_factory=lambda: defaultdict(list))
    by_call: dict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))
    unreachable: dict[str, list[Period]] = field(default_factory=lambda: defaultdict(list))  # by server
    stopped: dict[str, list[Period]] = field(default_factory=lambda: defaultdict(list))  # by agent: SIGSTOP

    @classmethod
    def of(cls, events: Iterable[Event], day: Day) -> Index:
        """Sorts the events in."""
        index = cls(list(events), day)
        for event in index.events:
            index.by_kind[event.kind].append(event)
            if event.call:
                index.by_call[event.call].append(event)
        index._periods(Kind.UNREACHABLE, Kind.REACHABLE, index.unreachable)
        index._periods(Kind.PAUSED, Kind.RESUMED, index.stopped)
        return index

    def _periods(self, begins: Kind, ends: Kind, found: dict[str, list[Period]]) -> None:
        """Pairs the events that begin and end a state of a party."""
        begun: dict[str, float] = {}
        for event in self.events:
            if event.kind is begins:
                begun.setdefault(event.party, event.at)
            elif event.kind is ends and event.party in begun:
                found[event.party].append(Period(begun.pop(event.party), event.at))
        for party, at in begun.items():
            found[party].append(Period(at, self.end))

    @property
    def end(self) -> float:
        """When the trial ended."""
        return self.events[-1].at if self.events else 0.0

    def first(self, call: str, *kinds: Kind) -> Event | None:
        """The first event of a call that is of one of these kinds."""
        return next((event for event in self.by_call[call] if event.kind in kinds), None)

    def agent_of(self, call: str) -> str:
        """The agent that a call was asked of."""
        asked = self.first(call, Kind.ASKED)
        return asked.text if asked is not None else ""

    def server_of(self, call: str, answered: Event) -> str:
        """The server that made the description which a client was given."""
        return next(
            (
                event.server
                for event in self.by_call[call]
                if event.kind is Kind.REPLIED and event.text == answered.text
            ),
            "",
        )

    def ended_after(self, agent: str, at: float) -> bool:
        """Whether an agent's process ended after a time: what it knew of its calls is gone with it."""
        return any(event.party == agent and event.at >= at for event in self.by_kind[Kind.EXITED])

    def killed_within(self, agent: str, begin: float, end: float) -> bool:
        """Whether an agent was killed (SIGKILL, with no SIGTERM before) in a period."""
        for event in self.by_kind[Kind.KILLED]:
            within = event.party == agent and begin <= event.at <= end
            if within and not self.terminated_before(agent, event.at):
                return True
        return False

    def terminated_before(self, agent: str, at: float) -> Event | None:
        """The SIGTERM that the process of an agent got which ran at a time, if any."""
        last: Event | None = None
        for event in self.events:
            if event.at > at:
                break
            if event.party == agent and event.kind is Kind.STARTED:
                last = None
            elif event.party == agent and event.kind is Kind.TERMINATED and last is None:
                last = event
        return last

    def was_stopped(self, agent: str, begin: float, end: float) -> bool:
        """Whether an agent was stopped (SIGSTOP) at some moment of a period."""
        return any(period.meets(begin, end) for period in self.stopped[agent])

    def was_unreachable(self, server: str, begin: float, end: float) -> bool:
        """Whether a server was silent at some moment of a period, or had just been."""
        return any(period.meets(begin - REACHED_LATE_S, end) for period in self.unreachable[server])
