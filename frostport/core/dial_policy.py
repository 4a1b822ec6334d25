"""When connections are opened: by default at once, and again after a fixed pause.

The event bus and the lobby servers' connections ask the policy before they dial.
`frostport/startup_coordinator.py` spreads the dials of a fleet over time instead.
"""

from __future__ import annotations


class DialPolicy:
    """Connects at once. All times are in ms; targets are `LIST_SERVICE` and the names of lobby servers."""

    def connects_eagerly(self, target: str) -> bool:
        """Whether to connect to the target before a call needs it."""
        return True

    def first_delay_ms(self, target: str) -> float:
        """Returns the delay of the first dial; infinity if the policy starts the dial itself, if at all."""
        return 0.0

    def redial_delay_ms(self, target: str, pause_ms: float) -> float:
        """Returns the delay of a redial; `pause_ms` is the default one."""
        return pause_ms

    def on_demand_delay_ms(self, target: str) -> float:
        """Returns the delay of a dial that a call waits for."""
        return 0.0

    def connected(self, target: str) -> None:
        """A connection was established."""

    def dial_failed(self, target: str) -> None:
        """A dial has failed."""

    def connection_lost(self, target: str) -> None:
        """An established connection was lost."""

    def list_silent(self) -> None:
        """Nothing was heard of the list service for too long; its connections stay open, another is asked."""

    def list_unchanged(self) -> None:
        """The list service has reported that there is no new event."""

    def list_event_received(self, line: bytes) -> None:
        """The list service has changed the list by the event `line`."""


LIST_SERVICE = "list service"
DIAL_AT_ONCE = DialPolicy()
