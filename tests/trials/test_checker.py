"""The checker of the trials on hand-written histories: each rule just inside and just outside its limit."""

from __future__ import annotations

import pytest

from trials.checker import check
from trials.history import Event, Kind
from trials.site import TrialSettings

SETTINGS = TrialSettings(grace_ms=500.0, guard_ms=300.0, attempts=2)
END = Event(60.0, Kind.FINISHED, "trial")
ANSWER = "s0 made 1 for a"


def asked(at: float = 1.0, left: float = 2.0) -> Event:
    """A set-up of call `a` that allows `left` seconds for its answer."""
    return Event(at, Kind.ASKED, "c0", "a", number=left, text="n0")


def client(at: float, kind: Kind, text: str = "") -> Event:
    return Event(at, kind, "c0", "a", text=text)


def server(at: float, kind: Kind, name: str = "s0", text: str = "") -> Event:
    return Event(at, kind, name, "a", server=name, text=text)


def agent(at: float, kind: Kind, number: float = 0.0, text: str = "") -> Event:
    return Event(at, kind, "n0", number=number, text=text)


ESTABLISHED = [
    asked(),
    server(1.1, Kind.REACHED),
    server(1.2, Kind.REPLIED, text=ANSWER),
    client(1.3, Kind.ANSWERED, ANSWER),
]
FAILED = client(1.5, Kind.FAILED)
DRAINING = Event(2.0, Kind.LISTED, "discovery", server="s0", text="draining")
DELIVERED = Event(2.1, Kind.DELIVERED, "n0", server="s0", text="draining")
DISCOVERY_DOWN = Event(0.5, Kind.DISCOVERY_DOWN, "discovery")
UNREACHABLE = Event(1.15, Kind.UNREACHABLE, "s0")


def drained(reached_at: float, *before: Event) -> list[Event]:
    """A set-up that reaches a draining server."""
    return [
        *before,
        DRAINING,
        asked(reached_at - 0.1, 9.0),
        server(reached_at, Kind.REACHED),
        client(reached_at + 0.1, Kind.FAILED),
    ]


VALID = {
    "an answer half a second late": [asked(), client(3.5, Kind.FAILED)],
    "a request whose client gave it up": [asked(), client(2.0, Kind.GAVE_UP)],
    "a request that crosses a close": [asked(), client(1.04, Kind.CONNECTION_LOST)],
    "a request at an agent that was killed": [asked(), agent(1.5, Kind.KILLED)],
    "as many attempts as allowed": [
        asked(),
        server(1.1, Kind.REACHED),
        server(1.2, Kind.REPLIED, text="34"),
        server(1.3, Kind.REACHED, "s1"),
        server(1.4, Kind.REPLIED, "s1", "34"),
        FAILED,
    ],
    "a second attempt after the guard": [
        asked(),
        server(1.1, Kind.REACHED),
        server(1.2, Kind.WITHDRAWN),
        server(1.5, Kind.REACHED, "s1"),
        server(1.6, Kind.WITHDRAWN, "s1"),
        client(1.7, Kind.FAILED),
    ],
    "a second attempt while the first one's server is unreachable": [
        asked(),
        server(1.1, Kind.REACHED),
        UNREACHABLE,
        server(1.9, Kind.REACHED, "s1"),
        client(2.0, Kind.FAILED),
    ],
    "an attempt 0.1 s after a give-up": [asked(), client(1.5, Kind.GAVE_UP), server(1.6, Kind.REACHED)],
    "notified 1 s after the server's release": [
        *ESTABLISHED,
        server(5.0, Kind.ENDED),
        server(5.0, Kind.END_WRITTEN),
        client(6.0, Kind.TOLD_OVER),
    ],
    "notified 8 s after an end without a release": [
        *ESTABLISHED,
        server(5.0, Kind.CUT),
        client(13.0, Kind.TOLD_OVER),
    ],
    "notified 8 s after an end whose connection broke": [
        *ESTABLISHED,
        server(5.0, Kind.ENDED),
        server(5.0, Kind.END_WRITTEN),
        server(5.1, Kind.END_LOST),
        client(13.0, Kind.TOLD_OVER),
    ],
    "a set-up within the grace": drained(2.6, DELIVERED),
    "a set-up within the grace of 7 s after the change": drained(9.5),
    "a set-up within the grace of 6 s after a failed call": drained(8.5, DISCOVERY_DOWN),
    "a process that exits on SIGTERM": [
        agent(1.0, Kind.STARTED),
        agent(1.5, Kind.READY),
        agent(20.0, Kind.TERMINATED),
        agent(21.0, Kind.EXITED),
    ],
    "ready after 10 s": [agent(1.0, Kind.STARTED), agent(11.0, Kind.READY)],
    "an established call that its server keeps": [*ESTABLISHED, server(59.0, Kind.LEFT)],
}
VIOLATING = {
    "lost: an answer later than half a second": ("lost", [asked(), client(3.6, Kind.FAILED)]),
    "lost: none at all": ("lost", [asked()]),
    "lost: connection closed 0.2 s after the set-up": ("lost", [asked(), client(1.2, Kind.CONNECTION_LOST)]),
    "lost: unanswered at SIGKILL": ("lost", [asked(), agent(0.5, Kind.TERMINATED), agent(2.0, Kind.KILLED)]),
    "second answer": ("second answer", [*ESTABLISHED, client(1.5, Kind.FAILED)]),
    "foreign answer": ("foreign answer", [*ESTABLISHED[:3], client(1.3, Kind.ANSWERED, "another's")]),
    "attempts": (
        "attempts",
        [
            asked(),
            server(1.1, Kind.REACHED),
            server(1.2, Kind.REPLIED),
            server(1.3, Kind.REACHED),
            server(1.4, Kind.REPLIED),
            server(1.5, Kind.REACHED),
            server(1.6, Kind.REPLIED),
            client(1.7, Kind.FAILED),
        ],
    ),
    "second attempt": (
        "second attempt",
        [asked(), server(1.1, Kind.REACHED), server(1.9, Kind.REACHED, "s1"), client(2.0, Kind.FAILED)],
    ),
    "release guard": (
        "release guard",
        [
            asked(),
            server(1.1, Kind.REACHED),
            server(1.2, Kind.WITHDRAWN),
            server(1.39, Kind.REACHED, "s1"),
            server(1.5, Kind.WITHDRAWN, "s1"),
            client(1.7, Kind.FAILED),
        ],
    ),
    "client gone": ("client gone", [asked(), client(1.5, Kind.GAVE_UP), server(1.66, Kind.REACHED)]),
    "told: later than 1 s after the release": (
        "told",
        [*ESTABLISHED, server(5.0, Kind.ENDED), server(5.0, Kind.END_WRITTEN), client(6.06, Kind.TOLD_OVER)],
    ),
    "told: later than 8 s, the server being unreachable": (
        "told",
        [*ESTABLISHED, UNREACHABLE, server(5.0, Kind.CUT), client(13.06, Kind.TOLD_OVER)],
    ),
    "drain: past the grace": ("drain", drained(2.66, DELIVERED)),
    "drain: past the grace of 7 s": ("drain", drained(9.56)),
    "drain: past the grace of 6 s after a failed call": ("drain", drained(8.56, DISCOVERY_DOWN)),
    "crash: exit without a signal": ("crash", [agent(5.0, Kind.EXITED, 1.0, "unexpected")]),
    "crash: on SIGTERM": (
        "crash",
        [
            agent(1.0, Kind.STARTED),
            agent(2.0, Kind.READY),
            agent(5.0, Kind.TERMINATED),
            agent(6.0, Kind.EXITED, 1.0),
        ],
    ),
    "ready": ("ready", [agent(1.0, Kind.STARTED), agent(11.1, Kind.READY)]),
    "left standing": ("left standing", [*ESTABLISHED, client(20.0, Kind.RELEASED), server(59.0, Kind.LEFT)]),
}


@pytest.mark.parametrize("name", VALID)
def test_a_sound_history_has_no_violation(name: str) -> None:
    events = sorted([*VALID[name], END], key=lambda event: event.at)
    assert check(events, SETTINGS) == []


@pytest.mark.parametrize("name", VIOLATING)
def test_a_broken_rule_is_found_and_no_other(name: str) -> None:
    rule, history = VIOLATING[name]
    events = sorted([*history, END], key=lambda event: event.at)
    assert [violation.rule for violation in check(events, SETTINGS)] == [rule]
