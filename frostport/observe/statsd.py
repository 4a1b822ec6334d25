"""The metrics of one process, as statsd text with the prefix `app`.

Each metric counts from 0 at the start, where its event happens (see `core/metrics.py`); nothing is computed
from the broker's tables when the metrics are read. Per class `answered`, `deferred`, `errored`, `sends`
(counters); `current`, `cluster_size`, `cluster_unhealthy` (gauges); `conf_loaded`, `conf_invalid` (counters);
`calls_cut` and `servers_suspected` (counters): calls that were lost with their server or because of its
silence, and how often a server with established calls did not answer a liveness check. `releases_unconfirmed`
(counter): ends of calls that no client confirmed in time.
"""

from __future__ import annotations

from collections.abc import Iterable

from frostport.core.metrics import Metrics

PREFIX = "app"
PER_CLASS = ("answered", "deferred", "errored", "sends")


class StatsdMetrics(Metrics):
    """Counters and gauges, updated with each event."""

    def __init__(self, classes: Iterable[str]) -> None:
        classes = list(classes)
        self.counts: dict[str, dict[str, int]] = {name: dict.fromkeys(classes, 0) for name in PER_CLASS}
        self.current = 0
        self.cluster_size = 0
        self.avoidance_reasons: dict[str, set[str]] = {}  # by listed server that is avoided now
        self.calls_cut = 0
        self.servers_suspected = 0
        self.releases_unconfirmed = 0
        self.conf_loaded = 0
        self.conf_invalid = 0

    def _count(self, name: str, call_class: str) -> None:
        counts = self.counts[name]
        counts[call_class] = counts.get(call_class, 0) + 1

    def request_started(self) -> None:
        self.current += 1

    def request_ended(self) -> None:
        self.current -= 1

    def answered(self, call_class: str) -> None:
        self._count("answered", call_class)

    def deferred(self, call_class: str) -> None:
        self._count("deferred", call_class)

    def errored(self, call_class: str) -> None:
        self._count("errored", call_class)

    def sent(self, call_class: str) -> None:
        self._count("sends", call_class)

    def count_calls_cut(self, server: str, calls: int) -> None:
        self.calls_cut += calls

    def server_suspected(self, server: str) -> None:
        self.servers_suspected += 1

    def release_unconfirmed(self) -> None:
        self.releases_unconfirmed += 1

    def set_cluster_size(self, size: int) -> None:
        self.cluster_size = size

    def set_avoided(self, server: str, reason: str, avoided: bool) -> None:
        reasons = self.avoidance_reasons.setdefault(server, set())
        (reasons.add if avoided else reasons.discard)(reason)
        if not reasons:
            del self.avoidance_reasons[server]

    def server_removed(self, server: str) -> None:
        self.avoidance_reasons.pop(server, None)

    def configuration_loaded(self, valid: bool) -> None:
        if valid:
            self.conf_loaded += 1
        else:
            self.conf_invalid += 1

    def lines(self) -> list[str]:
        """Returns the metrics as statsd text, one a line: counters by class, then those of the process."""
        lines = [
            f"{PREFIX}.{name}.{call_class}:{count}|c"
            for name, counts in self.counts.items()
            for call_class, count in sorted(counts.items())
        ]
        lines += [
            f"{PREFIX}.current:{max(0, self.current)}|g",
            f"{PREFIX}.cluster_size:{self.cluster_size}|g",
            f"{PREFIX}.cluster_unhealthy:{len(self.avoidance_reasons)}|g",
            f"{PREFIX}.calls_cut:{self.calls_cut}|c",
            f"{PREFIX}.servers_suspected:{self.servers_suspected}|c",
            f"{PREFIX}.releases_unconfirmed:{self.releases_unconfirmed}|c",
            f"{PREFIX}.conf_loaded:{self.conf_loaded}|c",
            f"{PREFIX}.conf_invalid:{self.conf_invalid}|c",
        ]
        return lines
