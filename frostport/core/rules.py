"""Checks every send of the decision module against the rules, and stops those that would break one.

It makes no decisions of its own.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from frostport import interface as api
from frostport.core.calls import Request
from frostport.interface import Lifecycle, ListKind

log = logging.getLogger("frostport.rules")

# After these the server may still be running the attempt, so the release guard starts.
UNCLEAN_OUTCOMES = (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED)


@dataclass(slots=True)
class ListedServer:
    """The last listed state of a server."""

    number: int
    closed_since_ms: float | None = None  # since when the list has forbidden new calls there


class Rules:
    """The state that the rules depend on, and the check of a send against it.

    `drain_grace_ms`: how long a send may still go to a server after the list has marked it as draining."""

    def __init__(self, settings: api.Settings, drain_grace_ms: float) -> None:
        self.settings = settings
        self.drain_grace_ms = drain_grace_ms
        self.pools_by_class = {call_class.name: call_class.pools for call_class in settings.classes}
        self.single_run_classes = {
            call_class.name for call_class in settings.classes if call_class.effect is api.Effect.SIDE_EFFECT
        }
        self.servers: dict[str, ListedServer] = {}
        self.violations: Counter[str] = Counter()

    def update_list(self, kind: ListKind, servers: Iterable[api.Server], now: float) -> set[str]:
        """Takes the server list or changes to it, and returns the servers that this removes."""
        removed = set()
        named = set()
        for server in servers:
            listed = self.servers.setdefault(server.address, ListedServer(server.number))
            listed.number = server.number
            named.add(server.address)
            if server.state is Lifecycle.READY:
                listed.closed_since_ms = None
            else:
                listed.closed_since_ms = now if listed.closed_since_ms is None else listed.closed_since_ms
            if server.state is Lifecycle.GONE:
                removed.add(server.address)
        if kind in (ListKind.COMPLETE, ListKind.PERSISTED):
            for address, listed in self.servers.items():
                if address not in named:
                    listed.closed_since_ms = now if listed.closed_since_ms is None else listed.closed_since_ms
                    removed.add(address)
        for address in removed:
            # The list keeps naming new servers: entries of removed ones would accumulate.
            del self.servers[address]
        return removed

    def restore(self, address: str, number: int, closed_since_ms: float | None) -> None:
        """Restores a server as listed before a restart; valid until the list changes it."""
        self.servers[address] = ListedServer(number, closed_since_ms)

    def violation(self, request: Request, server: str, within_ms: float, now: float) -> str | None:
        """Returns the rule that this send would break, or None.

        `within_ms`: the time limit of the attempt; 0: it may take until the deadline of the request."""
        listed = self.servers.get(server)
        pools = self.pools_by_class.get(request.call_class)
        if request.attempt is not None:
            return "second attempt"
        if request.attempts >= self.settings.try_limit:
            return "try limit"
        if now < request.not_before:
            return "release guard"
        if request.ran_on and request.call_class in self.single_run_classes:
            return "may have run"
        if within_ms < 0.0 or now >= request.deadline_at_ms:
            return "too late"
        if listed is None or (pools is not None and listed.number not in pools):
            return "wrong server"
        return "drained server" if self.drained_past_grace(server, now) else None

    def drained_past_grace(self, server: str, now: float) -> bool:
        """Whether a server has been draining for longer than the grace period."""
        listed = self.servers.get(server)
        return (
            listed is not None
            and listed.closed_since_ms is not None
            and now > listed.closed_since_ms + self.drain_grace_ms
        )

    def record_violation(self, request: Request, server: str, reason: str) -> None:
        """Counts and logs a send that was stopped."""
        self.violations[reason] += 1
        log.warning(
            "send of call %s to %s stopped: it would break a rule (%s); %d such sends so far",
            request.id,
            server,
            reason,
            self.violations.total(),
        )
