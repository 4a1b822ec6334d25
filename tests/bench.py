"""Drives a Controller under test: a simulated clock, servers, timers, and a log of the actions."""

from __future__ import annotations

import dataclasses
from typing import Any

from frostport import decide
from frostport import interface as api

SETTINGS = api.Settings(
    classes=(
        api.CallClass("plain", 2000.0, 9000.0, 1.0, 0.2),
        api.CallClass("dear", 1200.0, 9000.0, 4.0, 0.2),
    ),
    siblings=4,
    retransmit_ms=800.0,
    release_guard_ms=300.0,
    cold_from=0.3,
    cold_ms=10_000.0,
    fall_multiple=4.0,
    fall_ms=1500.0,
    try_limit=4,
    may_cancel=True,
)


def server(number: int, state: api.Lifecycle = api.Lifecycle.READY, started: float = 0.0) -> api.Server:
    return api.Server(f"10.0.0.{number}:80", number, state, "z", started)


def number_of(address: str) -> int:
    """The number of a server from `server()`, taken from its address."""
    return int(address.split(".")[3].split(":")[0])


class Proxy:
    """One Controller with a simulated clock that fires its timers."""

    def __init__(self, servers: int = 2, seed: int = 7, **changes: Any) -> None:
        self.settings = dataclasses.replace(SETTINGS, **changes)
        self.logic = decide.Controller(self.settings, seed)
        self.now = 1_000_000.0
        self.timers: list[tuple[float, str]] = []
        self.log: list[tuple[float, api.Action]] = []
        self.calls = 0
        self.attempts: dict[str, int] = {}
        self.give(api.ListUpdate(api.ListKind.PERSISTED, 1, tuple(server(n) for n in range(servers))))

    def give(self, event: api.Event) -> list[api.Action]:
        """Passes an event to the controller; logs its actions, keeps its timers, and returns the actions."""
        actions = self.logic.handle(event, self.now)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.after_ms, action.name))
            if isinstance(action, api.SendAttempt):
                self.attempts[action.call] = self.attempts.get(action.call, -1) + 1
        return actions

    def run(self, ms: float) -> list[api.Action]:
        """Advances the clock, fires the timers that expire, and returns the actions."""
        end = self.now + ms
        collected: list[api.Action] = []
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            collected += self.give(api.TimerFired(due[1]))
        self.now = end
        return collected

    def call(self, call_class: str = "plain", first: int = 0, **more: Any) -> tuple[str, list[api.Action]]:
        """Lets a call arrive; `more` replaces fields of the event. Returns its name and the actions."""
        self.calls += 1
        fields: dict[str, Any] = {"tenant": "", "budget_ms": 3000.0, "number_called": self.calls}
        fields.update(more)
        name = f"call-{self.calls}"
        return name, self.give(
            api.CallArrived(call=name, call_class=call_class, first_choice=first, **fields)
        )

    def answer(self, call: str, number: int = 0, elapsed: float = 60.0) -> list[api.Action]:
        """Establishes the call by its latest attempt."""
        return self.give(api.CallEstablished(call, self.attempts[call], server(number).address, elapsed))

    def fail(
        self, call: str, outcome: api.Outcome, number: int = 0, closed: bool = False, note: int = 0
    ) -> list[api.Action]:
        """Ends the call's latest attempt after 50 ms."""
        return self.give(
            api.AttemptEnded(call, self.attempts[call], server(number).address, outcome, 50.0, closed, note)
        )

    def control(self, number: int = 0) -> decide.ServerControl:
        return self.logic.controls[server(number).address]

    def load(
        self, seconds: float, per_s: float, elapsed: float, first: int = 0, call_class: str = "plain"
    ) -> None:
        """Calls at a steady rate, answered at once: after `elapsed` ms by the first choice, else 60 ms."""
        for _ in range(int(seconds * per_s)):
            _, actions = self.call(call_class, first)
            sent = [*actions, *self.run(1000.0 / per_s)]
            for action in sent:
                if isinstance(action, api.SendAttempt):
                    number = number_of(action.server)
                    self.answer(action.call, number, elapsed if number == first else 60.0)


def sends(actions: list[api.Action]) -> list[api.SendAttempt]:
    return [action for action in actions if isinstance(action, api.SendAttempt)]


def finals(actions: list[api.Action]) -> list[str]:
    """The calls that these actions refuse or fail."""
    return [action.call for action in actions if isinstance(action, api.RefuseCall | api.FailCall)]
