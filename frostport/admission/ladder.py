"""The overload ladder: the load of the process as one of four named steps, with hysteresis.

A step up is taken at once. A step is left only once the load is `HYSTERESIS` below its threshold, so that a
load that oscillates around a threshold causes no transitions.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum


class Step(IntEnum):
    """What each step refuses or sheds, in addition to the one before."""

    OPEN = 0  # nothing
    PRESSED = 1  # unidentified connections of unknown clients past the grace period are shed
    SCARCE = 2  # new unknown clients are refused; their idle connections are shed, a few at a time
    EXHAUSTED = 3  # only configured clients are admitted, not those known by their recent calls alone


THRESHOLDS = {Step.PRESSED: 0.75, Step.SCARCE: 0.90, Step.EXHAUSTED: 0.98}  # share of a limit that is used
HYSTERESIS = 0.05  # how far the load falls below a step's threshold before the step is left


class Ladder:
    """Takes the utilization of each limited resource; the highest one determines the step."""

    def __init__(self, on_step_changed: Callable[[Step, Step], None] = lambda before, after: None) -> None:
        """`on_step_changed` is called with the old and the new step at each transition."""
        self.step = Step.OPEN
        self.on_step_changed = on_step_changed
        self.transitions = 0

    def update(self, *loads: float) -> Step:
        """Returns the step for these loads, each a share of its limit."""
        load = max(loads, default=0.0)
        reached = max(
            (step for step, threshold in THRESHOLDS.items() if load >= threshold), default=Step.OPEN
        )
        held = max(
            (
                step
                for step, threshold in THRESHOLDS.items()
                if load >= threshold - HYSTERESIS and step <= self.step
            ),
            default=Step.OPEN,
        )
        after = max(reached, held)
        if after is not self.step:
            before, self.step = self.step, after
            self.transitions += 1
            self.on_step_changed(before, after)
        return self.step
