"""What the core tells of each event that the figures count: by default nobody listens.

The broker, the fronts and the routes call these where the event happens; `observe/figures.py` counts.
"""

from __future__ import annotations


class Metrics:
    """Counts nothing."""

    def request_started(self) -> None:
        """A request is taken."""

    def request_ended(self) -> None:
        """A taken request has ended: refused, failed, gone, or released after it stood."""

    def answered(self, call_class: str) -> None:
        """A request is served: its call stands."""

    def deferred(self, call_class: str) -> None:
        """A request is refused."""

    def errored(self, call_class: str) -> None:
        """A request has failed."""

    def sent(self, call_class: str) -> None:
        """An attempt is written in full to a server."""

    def count_calls_cut(self, server: str, calls: int) -> None:
        """Calls that stood at a server are over, and the server did not say so."""

    def server_suspected(self, server: str) -> None:
        """A server with standing calls gives no sign of life though it was asked for one."""

    def set_cluster_size(self, size: int) -> None:
        """The server list has this many servers now."""

    def set_avoided(self, server: str, reason: str, avoided: bool) -> None:
        """A listed server is avoided for this reason from now on, or no longer."""

    def server_removed(self, server: str) -> None:
        """A server has left the list."""

    def configuration_loaded(self, valid: bool) -> None:
        """The configuration was read: valid and in force, or not."""
