"""The configured limits of admission control. 0 or empty: no such limit."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(frozen=True, slots=True)
class Shared:
    """A network whose addresses many clients share, as behind NAT: each address counts as `clients`."""

    network: Network
    clients: int


@dataclass(frozen=True, slots=True)
class Limits:
    """Counts are of connections, rates of new connections per second, times in milliseconds, sizes in bytes.

    The defaults are those of the platform's front. The field names are configuration keys."""

    connections: int  # of all clients
    by_address: int = 0
    by_prefix: int = 0
    unidentified: int = 0  # without a first line or capabilities yet
    by_team: int = 0  # or by Diameter realm, once it is known
    reserve: int = 0  # of `connections`, for known clients alone
    address_a_second: float = 0.0
    address_burst: float = 0.0
    prefix_a_second: float = 0.0
    prefix_burst: float = 0.0
    ipv4_prefix: int = 24
    ipv6_prefix: int = 64
    known: tuple[Network, ...] = ()
    shared: tuple[Shared, ...] = ()
    earned_ms: float = 600_000.0  # how long a client counts as known after one of its calls succeeded
    back_off_ms: float = 0.0  # after the first offence; doubled with each further one
    back_off_most_ms: float = 60_000.0
    buffered_bytes: int = 0  # held for all clients: input that waits, open set-ups, output that is not read
    buffered_connection_bytes: int = 0  # the same for one connection
    ladder: bool = False  # whether the ladder's steps refuse and shed; if not, idle connections are evicted
    remembered: int = 4096  # maximum entries of each table of addresses, prefixes or offenders
