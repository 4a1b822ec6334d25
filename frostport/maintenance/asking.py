"""What staff say at a door, as words of the log; and the plan as they read it."""

from __future__ import annotations

import re

import msgspec

from frostport.maintenance.plan import Plan, State, named
from frostport.maintenance.words import AGENT, Cancel, Force, Hold, Limits, Ready, Request, Word

UNITS_MS = {"s": 1000.0, "m": 60_000.0, "h": 3600_000.0}
SPAN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(s|m|h)\Z")
FIELDS = ("names", "zone", "takes", "within", "urgent", "who", "why")


class BadWordsError(ValueError):
    """The text names what is wrong."""


def span(name: str, text: str) -> float:
    """`90s`, `30m`, `2h` in ms."""
    found = SPAN.match(text)
    if found is None or float(found[1]) <= 0.0:
        raise BadWordsError(f"{name}: not like 90s, 30m or 2h")
    return float(found[1]) * UNITS_MS[found[2]]


def fields(rest: str, known: tuple[str, ...]) -> dict[str, str]:
    """`name=value` pairs; the last one may hold spaces where it is `why`."""
    found: dict[str, str] = {}
    words = rest.split()
    for number, word in enumerate(words):
        name, sign, value = word.partition("=")
        if not sign or name not in known or not value:
            raise BadWordsError(f"not one of {', '.join(f'{each}=...' for each in known)}: {word[:30]!r}")
        if name == "why":
            found[name] = " ".join([value, *words[number + 1 :]])
            return found
        found[name] = value
    return found


def request(rest: str) -> Request:
    """`names=a,b zone=east takes=30m within=8h urgent=yes who=me why=...`."""
    told = fields(rest, FIELDS)
    names = tuple(name for name in told.get("names", "").split(",") if name)
    if not names and not told.get("zone"):
        raise BadWordsError("names= or zone= is needed")
    for needed in ("takes", "who", "why"):
        if needed not in told:
            raise BadWordsError(f"{needed}= is needed")
    if told.get("urgent", "no") not in ("yes", "no"):
        raise BadWordsError("urgent: yes or no")
    return Request(
        names,
        told.get("zone", ""),
        told["why"],
        told["who"],
        span("takes", told["takes"]),
        told.get("urgent") == "yes",
        span("within", told["within"]) if "within" in told else 0.0,
    )


def word(what: str, rest: str, plan: Plan) -> Word:
    """A word of staff, checked against the plan as it stands here. Raises BadWordsError."""
    if what == "request":
        return request(rest)
    if what in ("hold", "go-on"):
        told = fields(rest, ("who",))
        if "who" not in told:
            raise BadWordsError("who= is needed")
        return Hold(what == "hold", told["who"])
    if what == "limits":
        return limits(rest, plan.limits)
    name, _, rest = rest.strip().partition(" ")
    if not name:
        raise BadWordsError("no name")
    ticket = plan.ticket(name)
    if ticket is None:
        raise BadWordsError(f"{name[:30]!r} has no ticket")
    if what == "force":
        told = fields(rest, ("who", "why"))
        if "who" not in told or "why" not in told:
            raise BadWordsError("who= and why= are needed")
        if ticket.state is not State.GOING and not plan.overdue(ticket):
            raise BadWordsError(f"{name} is {ticket.state.value}, neither going nor overdue")
        return Force(name, told["who"], told["why"])
    if what == "ready":
        if ticket.state not in (State.OUT, State.GIVEN_UP):
            raise BadWordsError(f"{name} is {ticket.state.value}, not out")
        return Ready(name)
    if ticket.state not in (State.WAITING, State.GOING):
        raise BadWordsError(f"{name} is {ticket.state.value}: work-ready takes it back")
    return Cancel(name)


def limits(rest: str, now: Limits) -> Limits:
    known = msgspec.structs.asdict(now)
    for name, text in fields(rest, tuple(known)).items():
        try:
            value = float(text) if isinstance(known[name], float) else int(text)
        except ValueError:
            raise BadWordsError(f"{name}: not a number") from None
        if not 0 <= value < 1e12:
            raise BadWordsError(f"{name}: out of range")
        known[name] = value
    return Limits(**known)


def status(plan: Plan) -> list[str]:
    """The plan in lines; each ticket that has not ended says what it waits for."""
    at = plan.limits
    lines = [
        f"limits all={at.all} agents={at.agents} servers={at.servers} zone={at.zone} "
        f"agent_calls={at.agent_calls:g} share_calls={at.share_calls:g} margin={at.margin:g} "
        f"warm_ms={at.warm_ms:g} overtakes={at.overtakes} drain_ms={at.drain_ms:g}"
    ]
    if plan.held:
        lines.append(f"held by {plan.held}")
    unasked = [name for name in plan.out() if plan.ticket(name) is None]
    if unasked:
        lines.append(f"out unasked: {named(unasked, 20)}")
    waiting = {ticket.number: place for place, ticket in enumerate(plan.order(), start=1)}
    for ticket in plan.tickets:
        place = f" place={waiting[ticket.number]}" if ticket.number in waiting else ""
        late = " late" if plan.late(ticket) else ""
        lines.append(
            f"{ticket.number} {ticket.name} {ticket.kind or '-'} {ticket.state.value}{place}{late}"
            f"{' urgent' if ticket.urgent else ''}: {plan.why(ticket)} "
            f"({ticket.who}: {ticket.reason})"
        )
    load = sum(max(0.0, each.calls) for each in plan.machines.values() if each.kind == AGENT)
    return [*lines, f"load {load:.1f} calls a second"]
