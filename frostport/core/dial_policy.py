"""When connections are opened: by default at once, and again after a fixed pause.

The bus and the lobby servers ask here before they dial; `frostport/starting.py` answers with turns.
"""

from __future__ import annotations


class DialPolicy:
    """All times in ms. Targets are `LIST` and the names of lobby servers."""

    def connects_eagerly(self, target: str) -> bool:
        """Whether it is to be connected before a call needs it."""
        return True

    def first_delay_ms(self, target: str) -> float:
        """How long the first dial waits; infinite: it is asked for later, if at all."""
        return 0.0

    def redial_delay_ms(self, target: str, pause_ms: float) -> float:
        """How long a redial waits, where `pause_ms` is usual."""
        return pause_ms

    def on_demand_delay_ms(self, target: str) -> float:
        """How long a dial waits that a call needs."""
        return 0.0

    def connected(self, target: str) -> None:
        """A connection is there."""

    def dial_failed(self, target: str) -> None:
        """None was to be had."""

    def connection_lost(self, target: str) -> None:
        """It broke."""

    def list_unchanged(self) -> None:
        """The list service said that nothing is new."""

    def list_event_received(self, offset: int, line: bytes) -> None:
        """It said an event, which is in the list now."""


LIST_SERVICE = "list service"
DIAL_AT_ONCE = DialPolicy()
