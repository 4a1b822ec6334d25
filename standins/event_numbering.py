"""Numbers of the event bus, as the protocol page counts them: from 1 at each start of a call agent."""

from __future__ import annotations

from typing import Any

Hosts = list[dict[str, Any]]


def complete_list(changes: list[Hosts]) -> Hosts:
    """The list after all these changes, without the servers that are gone."""
    entries = {host["host"]: host for hosts in changes for host in hosts}
    return [entry for entry in entries.values() if entry["health"] != "gone"]


class EventNumbering:
    """The events of one start of one agent.

    Number 1 carries the complete list as of the start, each later number one change since."""

    def __init__(self, changes: list[Hosts]) -> None:
        """`changes` holds all changes so far, over all starts; later ones are appended by its owner."""
        self._changes = changes
        self._changes_before = len(changes)
        self._complete = complete_list(changes)

    def last(self) -> int:
        """The number of the last event."""
        return 1 + len(self._changes) - self._changes_before

    def hosts(self, number: int) -> Hosts:
        """The entries that an event carries."""
        if number == 1:
            return self._complete
        return self._changes[self._changes_before + number - 2]

    def event(self, number: int, dials: dict[str, str]) -> dict[str, Any]:
        """An event as it is sent; `dials` maps the names of servers to addresses."""
        hosts = [{**host, "dial": dials[host["host"]]} for host in self.hosts(number)]
        return {"offset": number, "topology": {"seq": number, "whole": number == 1, "hosts": hosts}}

    def known(self, dials: dict[str, str]) -> dict[str, Any]:
        """The events up to now, in the form of `known` of a configuration."""
        last = self.last()
        return {"offset": last, "batch": [self.event(number, dials) for number in range(1, last + 1)]}
