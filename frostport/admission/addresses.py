"""Bounded tables by client address: token buckets, back-off of offenders, addresses trusted for their calls.

Each evicts the least recently updated entry once it is full. Times are in milliseconds.
"""

from __future__ import annotations

import ipaddress
from collections import OrderedDict
from collections.abc import Iterable
from functools import lru_cache

from frostport.admission.settings import Network

MAX_DOUBLINGS = 16  # of a back-off


@lru_cache(maxsize=4096)
def parse_address(address: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    """An IP address without its zone; IPv4-mapped IPv6 as IPv4.

    None for other names, such as those of tests and of Unix sockets."""
    try:
        found = ipaddress.ip_address(address.partition("%")[0])
    except ValueError:
        return None
    return (found.ipv4_mapped or found) if isinstance(found, ipaddress.IPv6Address) else found


def prefix_of(address: str, ipv4: int, ipv6: int) -> str:
    """The network of an address, by the prefix length of its family; the name itself if it is not IP."""
    found = parse_address(address)
    if found is None:
        return address
    length = ipv4 if found.version == 4 else ipv6
    return str(ipaddress.ip_network((found, length), strict=False))


def in_networks(address: str, networks: Iterable[Network]) -> bool:
    found = parse_address(address)
    return found is not None and any(found in network for network in networks)


class TokenBuckets:
    """Token buckets by key. A rate of 0: no limit.

    A key that was evicted starts again with a full bucket. A client that changes its address often enough to
    profit from this is limited by the bucket of its prefix."""

    def __init__(self, rate_per_second: float, burst: float, max_entries: int) -> None:
        self.rate_per_second = rate_per_second
        self.burst = max(1.0, burst or rate_per_second)
        self.max_entries = max_entries
        self._tokens: OrderedDict[str, tuple[float, float]] = OrderedDict()  # tokens, and as of when

    def __len__(self) -> int:
        return len(self._tokens)

    def take(self, key: str, now: float, scale: float = 1.0) -> bool:
        """Takes a token if there is one. `scale`: number of clients behind the key, multiplies the limits."""
        if not self.rate_per_second:
            return True
        capacity = self.burst * scale
        tokens, updated_at = self._tokens.pop(key, (capacity, now))
        tokens = min(capacity, tokens + max(0.0, now - updated_at) / 1000.0 * self.rate_per_second * scale)
        enough = tokens >= 1.0
        self._tokens[key] = (tokens - enough, now)
        if len(self._tokens) > self.max_entries:
            self._tokens.popitem(last=False)
        return enough


class Offenders:
    """Addresses that sent unreadable or too much data.

    Each is refused for an exponentially growing, bounded time. An initial time of 0: never."""

    def __init__(self, initial_ms: float, max_ms: float, max_entries: int) -> None:
        self.initial_ms = initial_ms
        self.max_ms = max_ms
        self.max_entries = max_entries
        # By address: consecutive offences, refused until.
        self._until: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._until)

    def record(self, address: str, now: float) -> float:
        """Records an offence; returns for how many ms the address is refused."""
        if not self.initial_ms:
            return 0.0
        count, until = self._until.pop(address, (0, now))
        if now > until + self.max_ms:
            count = 0  # no offence for max_ms after the last back-off
        wait = min(self.max_ms, self.initial_ms * 2.0 ** min(count, MAX_DOUBLINGS))
        self._until[address] = (count + 1, now + wait)
        if len(self._until) > self.max_entries:
            self._until.popitem(last=False)
        return wait

    def is_refused(self, address: str, now: float) -> bool:
        return address in self._until and now < self._until[address][1]


class TrustedAddresses:
    """Addresses with a successful call within the last `keep_ms`."""

    def __init__(self, keep_ms: float, max_entries: int) -> None:
        self.keep_ms = keep_ms
        self.max_entries = max_entries
        self._succeeded_at: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._succeeded_at)

    def add(self, address: str, now: float) -> None:
        """Records a successful call."""
        self._succeeded_at[address] = now
        self._succeeded_at.move_to_end(address)
        while self._succeeded_at and (
            len(self._succeeded_at) > self.max_entries
            or next(iter(self._succeeded_at.values())) < now - self.keep_ms
        ):
            self._succeeded_at.popitem(last=False)

    def has(self, address: str, now: float) -> bool:
        return self._succeeded_at.get(address, -self.keep_ms - 1.0) >= now - self.keep_ms
