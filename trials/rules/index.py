"""A history indexed by kind and by call, with the queries that several rules share."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from trials.history import Event, Kind
from trials.site import TrialSettings

SLACK_S = 0.05  # protocol page, section on sockets: "every time limit grows by 50 ms"
LATE_DELIVERY_S = 0.5  # data held by a cut link arrives within this time after the link is restored


@dataclass(frozen=True)
class Violation:
    """One breach of a rule. `at` is in seconds from the start of the trial; `call` is empty for a process."""

    rule: str
    at: float
    call: str
    text: str


@dataclass(frozen=True)
class Period:
    """The time between two events, in seconds from the start of the trial."""

    begin: float
    end: float

    def overlaps(self, begin: float, end: float) -> bool:
        """Whether the two periods share a moment; both ends are inclusive."""
        return self.begin <= end and self.end >= begin


@dataclass
class Index:
    """The events of one history by kind and by call, in the order of the history."""

    events: list[Event]
    settings: TrialSettings
    by_kind: dict[Kind, list[Event]] = field(default_factory=lambda: defaultdict(list))
    by_call: dict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))
    unreachable: dict[str, list[Period]] = field(default_factory=lambda: defaultdict(list))  # by server
    paused: dict[str, list[Period]] = field(default_factory=lambda: defaultdict(list))  # by agent: SIGSTOP

    @classmethod
    def of(cls, events: Iterable[Event], settings: TrialSettings) -> Index:
        """Builds the index. The events have to be in the order of their time."""
        index = cls(list(events), settings)
        for event in index.events:
            index.by_kind[event.kind].append(event)
            if event.call:
                index.by_call[event.call].append(event)
        index._collect_periods(Kind.UNREACHABLE, Kind.REACHABLE, index.unreachable)
        index._collect_periods(Kind.PAUSED, Kind.RESUMED, index.paused)
        return index

    def _collect_periods(self, begin_kind: Kind, end_kind: Kind, found: dict[str, list[Period]]) -> None:
        """Pairs the events that begin and end a state of a party; an open state lasts to the end."""
        open_periods: dict[str, float] = {}
        for event in self.events:
            if event.kind is begin_kind:
                open_periods.setdefault(event.party, event.at)
            elif event.kind is end_kind and event.party in open_periods:
                found[event.party].append(Period(open_periods.pop(event.party), event.at))
        for party, at in open_periods.items():
            found[party].append(Period(at, self.end))

    @property
    def end(self) -> float:
        """The time of the last event, 0 for an empty history."""
        return self.events[-1].at if self.events else 0.0

    def first(self, call: str, *kinds: Kind) -> Event | None:
        """The first event of a call of one of these kinds."""
        return next((event for event in self.by_call[call] if event.kind in kinds), None)

    def agent_of(self, call: str) -> str:
        """The agent that received the request, empty if the call has none."""
        asked = self.first(call, Kind.ASKED)
        return asked.text if asked is not None else ""

    def server_of(self, call: str, answered: Event) -> str:
        """The server that produced the description in an answer, empty if none did."""
        return next(
            (
                event.server
                for event in self.by_call[call]
                if event.kind is Kind.REPLIED and event.text == answered.text
            ),
            "",
        )

    def exited_after(self, agent: str, at: float) -> bool:
        """Whether an agent's process exited at or after a time, and so lost what it knew of its calls."""
        return any(event.party == agent and event.at >= at for event in self.by_kind[Kind.EXITED])

    def killed_within(self, agent: str, begin: float, end: float) -> bool:
        """Whether an agent got SIGKILL within a period without SIGTERM before."""
        for event in self.by_kind[Kind.KILLED]:
            within = event.party == agent and begin <= event.at <= end
            if within and not self.sigterm_before(agent, event.at):
                return True
        return False

    def sigterm_before(self, agent: str, at: float) -> Event | None:
        """The first SIGTERM sent by a time to the process that an agent ran then, if any."""
        last: Event | None = None
        for event in self.events:
            if event.at > at:
                break
            if event.party == agent and event.kind is Kind.STARTED:
                last = None
            elif event.party == agent and event.kind is Kind.TERMINATED and last is None:
                last = event
        return last

    def was_paused(self, agent: str, begin: float, end: float) -> bool:
        """Whether an agent was paused by SIGSTOP at some moment of a period."""
        return any(period.overlaps(begin, end) for period in self.paused[agent])

    def was_unreachable(self, server: str, begin: float, end: float) -> bool:
        """Whether a server was unreachable at some moment of a period, or up to `LATE_DELIVERY_S` before."""
        return any(period.overlaps(begin - LATE_DELIVERY_S, end) for period in self.unreachable[server])
