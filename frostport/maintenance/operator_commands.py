"""Parses operators' `work-...` commands into commands of the agreed log; renders the plan for operators."""

from __future__ import annotations

import re

import msgspec

from frostport.maintenance.commands import (
    AGENT,
    Cancel,
    Command,
    Force,
    Hold,
    Limits,
    MaintenanceRequest,
    Ready,
)
from frostport.maintenance.plan import Plan, TicketState, join_names

UNITS_MS = {"s": 1000.0, "m": 60_000.0, "h": 3600_000.0}
DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(s|m|h)\Z")
REQUEST_FIELDS = ("names", "zone", "takes", "within", "urgent", "who", "why")


class InvalidCommandError(ValueError):
    """An operator's command is malformed or doesn't fit the plan; the text is the answer after `ERR `."""


def parse_duration_ms(name: str, text: str) -> float:
    """Parses `90s`, `30m` or `2h`."""
    match = DURATION.match(text)
    if match is None or float(match[1]) <= 0.0:
        raise InvalidCommandError(f"{name}: not a duration like 90s, 30m or 2h")
    return float(match[1]) * UNITS_MS[match[2]]


def parse_fields(rest: str, known: tuple[str, ...]) -> dict[str, str]:
    """Parses `name=value` pairs; `why` takes all the text after it, spaces included."""
    parsed: dict[str, str] = {}
    words = rest.split()
    for number, word in enumerate(words):
        name, sign, value = word.partition("=")
        if not sign or name not in known or not value:
            raise InvalidCommandError(
                f"not one of {', '.join(f'{each}=...' for each in known)}: {word[:30]!r}"
            )
        if name == "why":
            parsed[name] = " ".join([value, *words[number + 1 :]])
            return parsed
        parsed[name] = value
    return parsed


def parse_request(rest: str) -> MaintenanceRequest:
    """Parses `names=a,b zone=east takes=30m within=8h urgent=yes who=me why=...`."""
    given = parse_fields(rest, REQUEST_FIELDS)
    names = tuple(name for name in given.get("names", "").split(",") if name)
    if not names and not given.get("zone"):
        raise InvalidCommandError("names= or zone= is needed")
    for needed in ("takes", "who", "why"):
        if needed not in given:
            raise InvalidCommandError(f"{needed}= is needed")
    if given.get("urgent", "no") not in ("yes", "no"):
        raise InvalidCommandError("urgent: yes or no")
    return MaintenanceRequest(
        names,
        given.get("zone", ""),
        given["why"],
        given["who"],
        parse_duration_ms("takes", given["takes"]),
        given.get("urgent") == "yes",
        parse_duration_ms("within", given["within"]) if "within" in given else 0.0,
    )


def parse_command(verb: str, rest: str, plan: Plan) -> Command:
    """Parses the command `work-VERB` and checks it against the plan as this agent knows it.

    Raises InvalidCommandError.
    """
    if verb == "request":
        return parse_request(rest)
    if verb in ("hold", "go-on"):
        given = parse_fields(rest, ("who",))
        if "who" not in given:
            raise InvalidCommandError("who= is needed")
        return Hold(verb == "hold", given["who"])
    if verb == "limits":
        return parse_limits(rest, plan.limits)
    name, _, rest = rest.strip().partition(" ")
    if not name:
        raise InvalidCommandError("no machine name given")
    ticket = plan.open_ticket(name)
    if ticket is None:
        raise InvalidCommandError(f"{name[:30]!r} has no ticket")
    if verb == "force":
        given = parse_fields(rest, ("who", "why"))
        if "who" not in given or "why" not in given:
            raise InvalidCommandError("who= and why= are needed")
        if ticket.state is not TicketState.GOING and not plan.is_overdue(ticket):
            raise InvalidCommandError(f"{name} is {ticket.state.value}, neither going nor overdue")
        return Force(name, given["who"], given["why"])
    if verb == "ready":
        if ticket.state not in (TicketState.OUT, TicketState.GIVEN_UP):
            raise InvalidCommandError(f"{name} is {ticket.state.value}, not out")
        return Ready(name)
    if ticket.state not in (TicketState.WAITING, TicketState.GOING):
        raise InvalidCommandError(f"{name} is {ticket.state.value}: work-ready takes it back")
    return Cancel(name)


def parse_limits(rest: str, current: Limits) -> Limits:
    """The current limits with the given fields replaced."""
    values = msgspec.structs.asdict(current)
    for name, text in parse_fields(rest, tuple(values)).items():
        try:
            value = float(text) if isinstance(values[name], float) else int(text)
        except ValueError:
            raise InvalidCommandError(f"{name}: not a number") from None
        if not 0 <= value < 1e12:
            raise InvalidCommandError(f"{name}: out of range")
        values[name] = value
    return Limits(**values)


def status_lines(plan: Plan) -> list[str]:
    """The lines of `work-status`; each ticket that has not ended says what it waits for."""
    limits = plan.limits
    lines = [
        f"limits all={limits.all} agents={limits.agents} servers={limits.servers} zone={limits.zone} "
        f"agent_calls={limits.agent_calls:g} share_calls={limits.share_calls:g} margin={limits.margin:g} "
        f"warm_ms={limits.warm_ms:g} overtakes={limits.overtakes} drain_ms={limits.drain_ms:g}"
    ]
    if plan.held_by:
        lines.append(f"held by {plan.held_by}")
    unplanned = [name for name in plan.out_of_service() if plan.open_ticket(name) is None]
    if unplanned:
        lines.append(f"out unasked: {join_names(unplanned, 20)}")
    places = {ticket.number: place for place, ticket in enumerate(plan.waiting_in_order(), start=1)}
    for ticket in plan.tickets:
        place = f" place={places[ticket.number]}" if ticket.number in places else ""
        late = " late" if plan.is_late(ticket) else ""
        lines.append(
            f"{ticket.number} {ticket.name} {ticket.kind or '-'} {ticket.state.value}{place}{late}"
            f"{' urgent' if ticket.urgent else ''}: {plan.explain(ticket)} "
            f"({ticket.operator}: {ticket.reason})"
        )
    load = sum(max(0.0, each.calls_per_second) for each in plan.machines.values() if each.kind == AGENT)
    return [*lines, f"load {load:.1f} calls a second"]
