"""Turns instead of a rush: when each dial of the fleet may go, by a budget that all agents share unasked.

Each agent draws its turns from a window of (agents / budget) seconds, with full jitter (Brooker,
"Exponential Backoff and Jitter", AWS Architecture Blog, 2015): what `agents` of them dial in a window is the
budget's rate, however they are in step. Redials of one target have growing gaps and a token bucket.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from frostport.core.dial_policy import LIST_SERVICE
from frostport.startup.settings import PRESSURE_HALF_MS, PRESSURE_MOST, Settings


@dataclass(slots=True)
class Target:
    """What one agent knows of dialling one target."""

    among: int = 0  # so many agents dial it; 0: all
    failures: int = 0  # in a row
    due_at: float = -math.inf  # its turn
    troubled_until: float = -math.inf  # until then others dial as well: nothing goes out of turn
    tokens: float = 0.0
    tokens_at: float = 0.0
    pressure: float = 1.0
    pressed_at: float = 0.0


class Turns:
    """Owns the turns of one agent. Every method takes the time in ms and returns ms to wait."""

    def __init__(self, settings: Settings, chance: random.Random, now_ms: float) -> None:
        self.settings, self.chance, self.began = settings, chance, now_ms
        self.size = settings.agents
        self.targets: dict[str, Target] = {}

    def seen(self, members: int) -> None:
        """How many agents the membership shows. Guards against one that sees 3 of 200: never under the
        configuration's number."""
        self.size = max(self.settings.agents, members)

    def _target(self, name: str, now: float) -> Target:
        found = self.targets.get(name)
        if found is None:
            found = self.targets[name] = Target(tokens=self.settings.redials, tokens_at=now)
        return found

    def window_ms(self, name: str, now: float) -> float:
        """Over which the fleet's dials of a target are spread."""
        rate = self.settings.lists_a_second if name == LIST_SERVICE else self.settings.dials_a_second
        target = self.targets.get(name)
        among = target.among if target is not None and target.among else self.size
        return min(among, self.size) / rate * 1000.0 * self.pressure(name, now)

    def first(self, name: str, now: float, among: int = 0) -> float:
        """For the first dial of a target, which so many agents dial (0: all)."""
        target = self._target(name, now)
        target.among = among
        wait = self.chance.random() * self.window_ms(name, now)
        target.due_at, target.troubled_until = now + wait, now + self.window_ms(name, now)
        return wait

    def again(self, name: str, now: float) -> float:
        """After a connection that was lost, or could not be had."""
        target, at = self._target(name, now), self.settings
        if target.due_at > now:
            return target.due_at - now
        window = self.window_ms(name, now)
        if target.failures:
            window *= 2.0  # drawn anew each time: the mean gap is half of it
        gap = max(window, min(at.most_gap_ms, at.first_gap_ms * 2.0 ** min(target.failures, 20)))
        target.failures += 1
        target.tokens = min(at.redials, target.tokens + (now - target.tokens_at) / at.redial_ms) - 1.0
        target.tokens_at = now
        wait = max(self.chance.random() * gap, -target.tokens * at.redial_ms)
        target.due_at, target.troubled_until = now + wait, max(now + wait, now + window)
        return wait

    def needed(self, name: str, now: float) -> float:
        """For a call that waits: at once, unless all agents may be dialling this target now."""
        target = self._target(name, now)
        if target.due_at > now:
            return target.due_at - now
        if now >= target.troubled_until and now - self.began >= self.window_ms(name, now):
            return 0.0
        return self.again(name, now) if target.failures else self.first(name, now)

    def up(self, name: str, now: float) -> None:
        """A connection is there. The target stays troubled until the window is over: others come as well."""
        target = self._target(name, now)
        target.failures, target.due_at = 0, -math.inf

    def forget(self, name: str) -> None:
        self.targets.pop(name, None)

    # The target's own sign of pressure: refused, closed at once, slow

    def pressure(self, name: str, now: float) -> float:
        target = self.targets.get(name)
        if target is None or target.pressure <= 1.0:
            return 1.0
        return max(1.0, target.pressure * math.exp2((target.pressed_at - now) / PRESSURE_HALF_MS))

    def pressed(self, name: str, now: float) -> None:
        """It has shown a sign of pressure here."""
        self.heard(name, 2.0 * self.pressure(name, now), now)

    def heard(self, name: str, level: float, now: float) -> None:
        """So much was seen, here or by another agent. No word adds to another: the greater one counts."""
        if math.isfinite(level) and level > self.pressure(name, now):
            target = self._target(name, now)
            target.pressure, target.pressed_at = min(PRESSURE_MOST, level), now

    def pressures(self, now: float) -> tuple[tuple[str, float], ...]:
        """What is worth passing on."""
        levels = ((name, round(self.pressure(name, now), 2)) for name in sorted(self.targets))
        return tuple((name, level) for name, level in levels if level > 1.25)[:8]
