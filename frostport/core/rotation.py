"""Servers that operators took out of rotation: the list's word on them is held as draining.

Plain data, no I/O. Invariant: while a server is held, every record of it that reaches the module and the
rules says it drains (or that it is gone); once let go, the last record that the list gave goes on.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from frostport import interface as api
from frostport.interface import Lifecycle


class Rotation:
    """The records that the list last gave, and the servers held out."""

    def __init__(self) -> None:
        self.last: dict[str, api.Server] = {}
        self.dials: dict[str, str] = {}
        self.held: set[str] = set()

    def find(self, name: str) -> str | None:
        """The listed server of this name or dial address."""
        if name in self.last:
            return name
        found = (address for address, dial in self.dials.items() if dial == name and address in self.last)
        return next(found, None)

    def listed(self, servers: Iterable[api.Server], dials: Mapping[str, str]) -> None:
        for server in servers:
            self.last[server.address] = server
        self.dials.update(dials)

    def unlisted(self, address: str) -> None:
        self.last.pop(address, None)
        self.dials.pop(address, None)
        self.held.discard(address)

    def shown(self, server: api.Server) -> api.Server:
        """A record as the module is to see it."""
        if server.address in self.held and server.state is Lifecycle.READY:
            return dataclasses.replace(server, state=Lifecycle.DRAINING)
        return server

    def hold(self, address: str) -> api.Server | None:
        """Takes a server out; the record to tell, or None where it was out already."""
        if address in self.held:
            return None
        self.held.add(address)
        return self.shown(self.last[address])

    def release(self, address: str) -> api.Server | None:
        """Puts a server back; the list's own last record, or None where it was not out."""
        if address not in self.held:
            return None
        self.held.discard(address)
        return self.last[address]
