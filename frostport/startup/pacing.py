"""Paces dials: agents share a budget of dials per second for each target without coordinating.

Each agent draws its delay from a window of (agents / budget) seconds with full jitter (Brooker, "Exponential
Backoff and Jitter", AWS Architecture Blog, 2015). All agents together then dial at the budget's rate, even if
they begin at the same moment. Redials of one target back off exponentially and take tokens from a bucket.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from frostport.core.dial_policy import LIST_SERVICE
from frostport.startup.settings import MAX_PRESSURE, PRESSURE_HALF_LIFE_MS, Settings


@dataclass(slots=True)
class TargetState:
    """What one agent keeps for a target that it dials. Times in ms."""

    dialer_count: int = 0  # how many agents dial it; 0: the whole fleet
    failures: int = 0  # consecutive
    due_at: float = -math.inf  # when the scheduled dial goes out
    contended_until: float = -math.inf  # until then other agents may dial it too: no dial skips its delay
    tokens: float = 0.0
    tokens_at: float = 0.0  # when `tokens` was last updated
    pressure: float = 1.0  # level at `pressure_at`; decays from then on
    pressure_at: float = 0.0


class DialPacer:
    """The dial schedule of one agent. Methods take the current time in ms; delays are returned in ms."""

    def __init__(self, settings: Settings, rng: random.Random, now_ms: float) -> None:
        self.settings = settings
        self.rng = rng
        self.started_at = now_ms
        self.fleet_size = settings.agents
        self.targets: dict[str, TargetState] = {}

    def update_fleet_size(self, members: int) -> None:
        """Takes the number of agents that the membership shows.

        Never goes below the configured number: an agent that sees 3 of 200 would otherwise use far more than
        its share of the budget."""
        self.fleet_size = max(self.settings.agents, members)

    def _target(self, name: str, now: float) -> TargetState:
        target = self.targets.get(name)
        if target is None:
            target = self.targets[name] = TargetState(tokens=self.settings.redials, tokens_at=now)
        return target

    def window_ms(self, name: str, now: float) -> float:
        """Returns the time over which the fleet's dials of a target are spread."""
        rate = self.settings.lists_a_second if name == LIST_SERVICE else self.settings.dials_a_second
        target = self.targets.get(name)
        dialers = target.dialer_count if target is not None and target.dialer_count else self.fleet_size
        return min(dialers, self.fleet_size) / rate * 1000.0 * self.pressure(name, now)

    def schedule_first(self, name: str, now: float, dialer_count: int = 0) -> float:
        """Returns the delay of the first dial of a target that so many agents dial (0: the whole fleet)."""
        target = self._target(name, now)
        target.dialer_count = dialer_count
        delay = self.rng.random() * self.window_ms(name, now)
        target.due_at = now + delay
        target.contended_until = now + self.window_ms(name, now)
        return delay

    def schedule_redial(self, name: str, now: float) -> float:
        """Returns the delay of a redial after a connection was lost or could not be made.

        A dial that is already scheduled keeps its time."""
        target = self._target(name, now)
        settings = self.settings
        if target.due_at > now:
            return target.due_at - now
        window = self.window_ms(name, now)
        if target.failures:
            # A delay drawn anew after each failure averages half the window: doubled, to keep the budget.
            window *= 2.0
        gap = max(window, min(settings.most_gap_ms, settings.first_gap_ms * 2.0 ** min(target.failures, 20)))
        target.failures += 1
        target.tokens = (
            min(settings.redials, target.tokens + (now - target.tokens_at) / settings.redial_ms) - 1.0
        )
        target.tokens_at = now
        delay = max(self.rng.random() * gap, -target.tokens * settings.redial_ms)
        target.due_at = now + delay
        target.contended_until = max(now + delay, now + window)
        return delay

    def schedule_on_demand(self, name: str, now: float) -> float:
        """Returns the delay of a dial that a waiting call needs.

        0 unless a dial is already scheduled or the whole fleet may be dialing this target now."""
        target = self._target(name, now)
        if target.due_at > now:
            return target.due_at - now
        if now >= target.contended_until and now - self.started_at >= self.window_ms(name, now):
            return 0.0
        return self.schedule_redial(name, now) if target.failures else self.schedule_first(name, now)

    def on_connected(self, name: str, now: float) -> None:
        """Resets the backoff. The target stays contended until its window ends, as others dial it as well."""
        target = self._target(name, now)
        target.failures = 0
        target.due_at = -math.inf

    def forget(self, name: str) -> None:
        """Drops the state of a target that has left the server list."""
        self.targets.pop(name, None)

    # Pressure: a target that refuses, closes at once or answers slowly gets a wider window

    def pressure(self, name: str, now: float) -> float:
        """Returns the factor, 1 to `MAX_PRESSURE`, by which the window of a target is stretched."""
        target = self.targets.get(name)
        if target is None or target.pressure <= 1.0:
            return 1.0
        return max(1.0, target.pressure * math.exp2((target.pressure_at - now) / PRESSURE_HALF_LIFE_MS))

    def raise_pressure(self, name: str, now: float) -> None:
        """Doubles the level: this agent has seen a sign of overload."""
        self.merge_pressure(name, 2.0 * self.pressure(name, now), now)

    def merge_pressure(self, name: str, level: float, now: float) -> None:
        """Takes a level seen here or reported by another agent.

        The higher level counts and levels are never added, so that a report that returns by way of other
        agents raises nothing."""
        if math.isfinite(level) and level > self.pressure(name, now):
            target = self._target(name, now)
            target.pressure = min(MAX_PRESSURE, level)
            target.pressure_at = now

    def reportable_pressures(self, now: float) -> tuple[tuple[str, float], ...]:
        """Returns up to 8 targets with their level, leaving out levels too low to matter to other agents."""
        levels = ((name, round(self.pressure(name, now), 2)) for name in sorted(self.targets))
        return tuple((name, level) for name, level in levels if level > 1.25)[:8]
