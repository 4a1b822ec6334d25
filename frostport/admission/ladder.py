"""The ladder: how hard the program is pressed, in named steps with hysteresis.

A step up is taken at once, a step down only once the load is well below where the step began: a load that
hovers
at a mark moves nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum


class Step(IntEnum):
    """What each step refuses or sheds, beyond the one before."""

    OPEN = 0  # nothing
    PRESSED = 1  # strangers who have said nothing for a while are shed
    SCARCE = 2  # new strangers are refused; idle ones are shed, a few at a time
    EXHAUSTED = 3  # only configured clients are let in; trust that was earned does not reach so far


MARKS = {Step.PRESSED: 0.75, Step.SCARCE: 0.90, Step.EXHAUSTED: 0.98}
GAP = 0.05  # so far below its mark a step is left


class Ladder:
    """Told the loads, each as a share of its limit; stands on the step of the highest."""

    def __init__(self, changed: Callable[[Step, Step], None] = lambda before, after: None) -> None:
        self.step = Step.OPEN
        self.changed = changed
        self.moves = 0

    def load(self, *shares: float) -> Step:
        """The step for these loads; `changed` hears of a move."""
        share = max(shares, default=0.0)
        reached = max((step for step, mark in MARKS.items() if share >= mark), default=Step.OPEN)
        held = max(
            (step for step, mark in MARKS.items() if share >= mark - GAP and step <= self.step),
            default=Step.OPEN,
        )
        after = max(reached, held)
        if after is not self.step:
            before, self.step = self.step, after
            self.moves += 1
            self.changed(before, after)
        return self.step
