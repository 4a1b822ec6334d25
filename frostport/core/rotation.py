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
        self.last_records: dict[str, api.Server] = {}
        self.dial_addresses: dict[str, str] = {}
        self.disabled: set[str] = set()

    def find_address(self, name: str) -> str | None:
        """The listed server of this name or dial address."""
        if name in self.last_records:
            return name
        found = (
            address
            for address, dial in self.dial_addresses.items()
            if dial == name and address in self.last_records
        )
        return next(found, None)

    def update(self, servers: Iterable[api.Server], dials: Mapping[str, str]) -> None:
        for server in servers:
            self.last_records[server.address] = server
        self.dial_addresses.update(dials)

    def remove(self, address: str) -> None:
        self.last_records.pop(address, None)
        self.dial_addresses.pop(address, None)
        self.disabled.discard(address)

    def effective_record(self, server: api.Server) -> api.Server:
        """A record as the module is to see it."""
        if server.address in self.disabled and server.state is Lifecycle.READY:
            return dataclasses.replace(server, state=Lifecycle.DRAINING)
        return server

    def disable(self, address: str) -> api.Server | None:
        """Takes a server out; the record to tell, or None where it was out already."""
        if address in self.disabled:
            return None
        self.disabled.add(address)
        return self.effective_record(self.last_records[address])

    def enable(self, address: str) -> api.Server | None:
        """Puts a server back; the list's own last record, or None where it was not out."""
        if address not in self.disabled:
            return None
        self.disabled.discard(address)
        return self.last_records[address]
