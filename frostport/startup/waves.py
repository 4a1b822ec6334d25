"""Ready in waves: an agent serves once it can, and once enough others can as well. Decisions only."""

from __future__ import annotations

from dataclasses import dataclass

from frostport.startup.settings import Settings


@dataclass(frozen=True, slots=True)
class Local:
    """What is so here and in the membership. `listed`: servers on the list that may be called; `answering`:
    those of them that have answered; `prepared`, `serving`: other agents."""

    listed: int
    answering: int
    wanted: int  # servers that this agent connects to at first
    prepared: int = 0
    serving: int = 0
    members: int = 1  # with this one


class Waves:
    """One agent's way to `ready`; once it serves, this is over."""

    def __init__(self, settings: Settings, now_ms: float) -> None:
        self.settings, self.began = settings, now_ms
        self.prepared_at: float | None = None
        self.why = "a list of servers"
        self.ready = False

    def look(self, local: Local, now: float) -> bool:
        """Whether it may serve now; `why` says what it waits for."""
        if self.ready:
            return True
        need = max(1, (local.wanted + 1) // 2)
        if not local.listed:
            self.prepared_at, self.why = None, "a list of servers"
        elif local.answering < need:
            self.prepared_at = None
            self.why = f"servers that answer: {local.answering} of {need}"
        else:
            if self.prepared_at is None:
                self.prepared_at = now
            expected = max(self.settings.agents, local.members)
            here = 1 + local.prepared + local.serving
            # Guards the first agents up, and the cold servers behind them, against the calls of all.
            enough = here >= self.settings.wave * expected
            late = now - self.prepared_at >= self.settings.wave_ms
            self.why = f"its wave: {here} of {expected} are prepared or serve"
            self.ready = enough or late
        if self.ready:
            self.why = ""
        return self.ready
