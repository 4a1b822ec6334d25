"""Servers that operators took out of rotation: these are presented as draining.

Plain data, no I/O. Invariant: while a server is disabled, every record of it that reaches the decision module
and the rules says that it drains (or that it is gone). When it is enabled, its last listed record applies.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from frostport import interface as api
from frostport.interface import Lifecycle


class Rotation:
    """The last listed records, and the servers that are out of rotation.

    `address` is a server's name on the list (`api.Server.address`)."""

    def __init__(self) -> None:
        self.last_records: dict[str, api.Server] = {}  # by address, as listed
        self.dial_addresses: dict[str, str] = {}  # by address
        self.disabled: set[str] = set()

    def find_address(self, name: str) -> str | None:
        """Returns the address of the listed server with this name or dial address, or None."""
        if name in self.last_records:
            return name
        found = (
            address
            for address, dial in self.dial_addresses.items()
            if dial == name and address in self.last_records
        )
        return next(found, None)

    def update(self, servers: Iterable[api.Server], dials: Mapping[str, str]) -> None:
        """Takes the servers of a list or of changes to it, before `effective_record` is asked for them."""
        for server in servers:
            self.last_records[server.address] = server
        self.dial_addresses.update(dials)

    def remove(self, address: str) -> None:
        """Forgets a server that has left the list; if it is listed again later, it is in rotation."""
        self.last_records.pop(address, None)
        self.dial_addresses.pop(address, None)
        self.disabled.discard(address)

    def effective_record(self, server: api.Server) -> api.Server:
        """Returns a record as the decision module must see it."""
        if server.address in self.disabled and server.state is Lifecycle.READY:
            return dataclasses.replace(server, state=Lifecycle.DRAINING)
        return server

    def disable(self, address: str) -> api.Server | None:
        """Takes a server out of rotation; returns its new effective record, None if it was out already."""
        if address in self.disabled:
            return None
        self.disabled.add(address)
        return self.effective_record(self.last_records[address])

    def enable(self, address: str) -> api.Server | None:
        """Puts a server back; returns its last listed record, None if it was not out of rotation."""
        if address not in self.disabled:
            return None
        self.disabled.discard(address)
        return self.last_records[address]
