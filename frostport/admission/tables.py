"""Bounded tables by address: rates, offences, earned trust. Each forgets what it heard of least lately."""

from __future__ import annotations

import ipaddress
from collections import OrderedDict
from collections.abc import Iterable
from functools import lru_cache

from frostport.admission.settings import Network

DOUBLINGS = 16  # no back-off grows further


@lru_cache(maxsize=4096)
def parsed(address: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    """An address; IPv4 inside IPv6 counts as IPv4. None for what is none (a name in a test, a Unix
    socket)."""
    try:
        found = ipaddress.ip_address(address.partition("%")[0])
    except ValueError:
        return None
    return (found.ipv4_mapped or found) if isinstance(found, ipaddress.IPv6Address) else found


def prefix_of(address: str, ipv4: int, ipv6: int) -> str:
    found = parsed(address)
    if found is None:
        return address
    length = ipv4 if found.version == 4 else ipv6
    return str(ipaddress.ip_network((found, length), strict=False))


def within(address: str, networks: Iterable[Network]) -> bool:
    found = parsed(address)
    return found is not None and any(found in network for network in networks)


class Buckets:
    """Token buckets by key. Forgetting a key gives it a full bucket: who changes its address often enough to
    be
    forgotten is held by its prefix."""

    def __init__(self, a_second: float, burst: float, most: int) -> None:
        self.a_second, self.burst, self.most = a_second, max(1.0, burst or a_second), most
        self._tokens: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tokens)

    def take(self, key: str, now: float, scale: float = 1.0) -> bool:
        """Takes a token if there is one; `scale`: so many clients stand behind the key."""
        if not self.a_second:
            return True
        most = self.burst * scale
        tokens, at = self._tokens.pop(key, (most, now))
        tokens = min(most, tokens + max(0.0, now - at) / 1000.0 * self.a_second * scale)
        enough = tokens >= 1.0
        self._tokens[key] = (tokens - enough, now)
        if len(self._tokens) > self.most:
            self._tokens.popitem(last=False)
        return enough


class Offenders:
    """Addresses that sent what can't be read, or too much: each is turned away for a growing, bounded
    time."""

    def __init__(self, first_ms: float, most_ms: float, most: int) -> None:
        self.first_ms, self.most_ms, self.most = first_ms, most_ms, most
        self._until: OrderedDict[str, tuple[int, float]] = OrderedDict()  # offences in a row, and until when

    def __len__(self) -> int:
        return len(self._until)

    def offend(self, address: str, now: float) -> float:
        """Returns for how long it is turned away."""
        if not self.first_ms:
            return 0.0
        count, until = self._until.pop(address, (0, now))
        if now > until + self.most_ms:
            count = 0  # it has behaved for long enough
        wait = min(self.most_ms, self.first_ms * 2.0 ** min(count, DOUBLINGS))
        self._until[address] = (count + 1, now + wait)
        if len(self._until) > self.most:
            self._until.popitem(last=False)
        return wait

    def turned_away(self, address: str, now: float) -> bool:
        return address in self._until and now < self._until[address][1]


class Earned:
    """Addresses whose calls stood lately."""

    def __init__(self, keep_ms: float, most: int) -> None:
        self.keep_ms, self.most = keep_ms, most
        self._at: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._at)

    def earn(self, address: str, now: float) -> None:
        self._at[address] = now
        self._at.move_to_end(address)
        while self._at and (len(self._at) > self.most or next(iter(self._at.values())) < now - self.keep_ms):
            self._at.popitem(last=False)

    def has(self, address: str, now: float) -> bool:
        return self._at.get(address, -self.keep_ms - 1.0) >= now - self.keep_ms
