"""The guard before every send. It decides nothing: what it stops would have broken a rule."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from frostport import interface as api
from frostport.core.calls import Request
from frostport.interface import Lifecycle, ListKind

log = logging.getLogger("frostport.rules")

UNCLEAN_OUTCOMES = (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED)


@dataclass(slots=True)
class ListedServer:
    """What the list last said of a server, and since when it has said that nothing new may go there."""

    number: int
    closed_since_ms: float | None = None


class Rules:
    """Keeps what the rules need to know and says why a send may not go."""

    def __init__(self, settings: api.Settings, drain_grace_ms: float) -> None:
        self.settings, self.drain_grace_ms = settings, drain_grace_ms
        self.pools_by_class = {call_class.name: call_class.pools for call_class in settings.classes}
        self.single_run_classes = {
            cls.name for cls in settings.classes if cls.effect is api.Effect.SIDE_EFFECT
        }
        self.servers: dict[str, ListedServer] = {}
        self.violations: Counter[str] = Counter()

    def update_list(self, kind: ListKind, servers: Iterable[api.Server], now: float) -> set[str]:
        """Takes in a list and returns the servers that it removes."""
        removed = set()
        named = set()
        for server in servers:
            told = self.servers.setdefault(server.address, ListedServer(server.number))
            told.number = server.number
            named.add(server.address)
            if server.state is Lifecycle.READY:
                told.closed_since_ms = None
            else:
                told.closed_since_ms = now if told.closed_since_ms is None else told.closed_since_ms
            if server.state is Lifecycle.GONE:
                removed.add(server.address)
        if kind in (ListKind.COMPLETE, ListKind.PERSISTED):
            for address, told in self.servers.items():
                if address not in named:
                    told.closed_since_ms = now if told.closed_since_ms is None else told.closed_since_ms
                    removed.add(address)
        for address in removed:
            del self.servers[address]  # the list names ever new ones: nothing is kept of one that has left
        return removed

    def restore(self, address: str, number: int, stop_at: float | None) -> None:
        """What the list said before a restart; it stays in force until the list says otherwise."""
        self.servers[address] = ListedServer(number, stop_at)

    def violation(self, request: Request, server: str, within_ms: float, now: float) -> str | None:
        """Why this send may not go, or None."""
        told = self.servers.get(server)
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
        if told is None or (pools is not None and told.number not in pools):
            return "wrong server"
        return "drained server" if self.drained_past_grace(server, now) else None

    def drained_past_grace(self, server: str, now: float) -> bool:
        """Whether a server has been draining past the grace."""
        told = self.servers.get(server)
        return (
            told is not None
            and told.closed_since_ms is not None
            and now > told.closed_since_ms + self.drain_grace_ms
        )

    def record_violation(self, request: Request, server: str, reason: str) -> None:
        self.violations[reason] += 1
        log.warning(
            "send of %s to %s stopped: %s (%d so far)", request.id, server, reason, self.violations.total()
        )
