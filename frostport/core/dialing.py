"""When connections are opened: by default at once, and again after a fixed pause.

The bus and the lobby servers ask here before they dial; `frostport/startup_coordinator.py` answers with turns.
"""

from __future__ import annotations


class Dialing:
    """All times in ms. Targets are `LIST` and the names of lobby servers."""

    def wanted(self, target: str) -> bool:
        """Whether it is to be connected before a call needs it."""
        return True

    def first(self, target: str) -> float:
        """How long the first dial waits; infinite: it is asked for later, if at all."""
        return 0.0

    def again(self, target: str, pause_ms: float) -> float:
        """How long a redial waits, where `pause_ms` is usual."""
        return pause_ms

    def needed(self, target: str) -> float:
        """How long a dial waits that a call needs."""
        return 0.0

    def up(self, target: str) -> None:
        """A connection is there."""

    def failed(self, target: str) -> None:
        """None was to be had."""

    def lost(self, target: str) -> None:
        """It broke."""

    def heard(self) -> None:
        """The list service said that nothing is new."""

    def told(self, offset: int, line: bytes) -> None:
        """It said an event, which is in the list now."""


LIST = "list service"
EAGER = Dialing()
