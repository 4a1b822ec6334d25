"""Staged readiness: an agent serves once it is able to and enough other agents are able to as well."""

from __future__ import annotations

from dataclasses import dataclass

from frostport.startup.settings import Settings


@dataclass(frozen=True, slots=True)
class StartProgress:
    """Counts of servers and agents as this agent sees them."""

    callable_servers: int  # on the list and ready for calls
    answering_servers: int  # of the chosen ones
    chosen_servers: int  # to which this agent connects before a call needs them
    prepared: int = 0  # other agents
    serving: int = 0  # other agents
    members: int = 1  # agents in the membership, this one included


class StagedReadiness:
    """Decides when one agent becomes ready. Once ready, it stays so."""

    def __init__(self, settings: Settings, now_ms: float) -> None:
        self.settings = settings
        self.started_at = now_ms
        self.prepared_at: float | None = None  # when it began to wait for other agents only
        self.waits_for = "a list of servers"
        self.ready = False

    def update(self, progress: StartProgress, now: float) -> bool:
        """Returns whether the agent may serve now; if not, `waits_for` says what is missing."""
        if self.ready:
            return True
        needed = max(1, (progress.chosen_servers + 1) // 2)
        if not progress.callable_servers:
            self.prepared_at = None
            self.waits_for = "a list of servers"
        elif progress.answering_servers < needed:
            self.prepared_at = None
            self.waits_for = f"servers that answer: {progress.answering_servers} of {needed}"
        else:
            if self.prepared_at is None:
                self.prepared_at = now
            expected = max(self.settings.agents, progress.members)
            able = 1 + progress.prepared + progress.serving
            # Otherwise the first agents up, and the cold servers behind them, would get the calls of the
            # whole fleet.
            enough = able >= self.settings.wave * expected
            timed_out = now - self.prepared_at >= self.settings.wave_ms
            self.waits_for = f"its wave: {able} of {expected} are prepared or serve"
            self.ready = enough or timed_out
        if self.ready:
            self.waits_for = ""
        return self.ready
