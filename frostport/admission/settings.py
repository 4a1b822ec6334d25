"""The limits of admission. 0 or nothing: no such limit. The defaults are the platform's."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(frozen=True, slots=True)
class Shared:
    """Many clients behind one address or network: each of its addresses counts as so many."""

    network: Network
    clients: int


@dataclass(frozen=True, slots=True)
class Limits:
    """Counts of connections, accepts a second, times in milliseconds, sizes in bytes."""

    connections: int  # of all clients
    by_address: int = 0
    by_prefix: int = 0
    unidentified: int = 0  # no first line, no capabilities yet
    by_team: int = 0  # or Diameter realm, once it is known
    reserve: int = 0  # of `connections`, for known clients alone
    address_a_second: float = 0.0
    address_burst: float = 0.0
    prefix_a_second: float = 0.0
    prefix_burst: float = 0.0
    ipv4_prefix: int = 24
    ipv6_prefix: int = 64
    known: tuple[Network, ...] = ()
    shared: tuple[Shared, ...] = ()
    earned_ms: float = 600_000.0  # how long a client counts as known after a call of its stood
    back_off_ms: float = 0.0  # after the first offence; doubled for each more
    back_off_most_ms: float = 60_000.0
    buffered_bytes: int = 0  # waiting to be read by all clients together
    buffered_connection_bytes: int = 0
    ladder: bool = False  # whether its steps refuse and shed; where not, idle ones make room
    remembered: int = 4096  # addresses, prefixes and offenders kept at most, each
