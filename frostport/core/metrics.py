"""The interface through which the core reports the events that metrics count; counts nothing by default.

The broker, the fronts and the routes call it where an event happens; `observe/statsd.py` counts.
"""

from __future__ import annotations


class Metrics:
    """Ignores all events."""

    def request_started(self) -> None:
        """A request has arrived."""

    def request_ended(self) -> None:
        """A request has ended: refused, failed, gone, or released after its call was established."""

    def answered(self, call_class: str) -> None:
        """A request has been served: its call is established."""

    def deferred(self, call_class: str) -> None:
        """A request has been refused."""

    def errored(self, call_class: str) -> None:
        """A request has failed."""

    def sent(self, call_class: str) -> None:
        """An attempt has been written in full to a server."""

    def count_calls_cut(self, server: str, calls: int) -> None:
        """Established calls were ended because their server was lost, without a message from it."""

    def server_suspected(self, server: str) -> None:
        """A server with established calls has not answered a liveness check."""

    def release_unconfirmed(self) -> None:
        """The end of a call was not confirmed by its client in time, and is no longer sent."""

    def set_cluster_size(self, size: int) -> None:
        """Sets the number of servers on the list."""

    def set_avoided(self, server: str, reason: str, avoided: bool) -> None:
        """Sets whether a listed server is avoided for this reason."""

    def server_removed(self, server: str) -> None:
        """A server has left the list."""

    def configuration_loaded(self, valid: bool) -> None:
        """The configuration was read; `valid` if it is in force now."""
