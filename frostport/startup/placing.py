"""Who does what, by hashing alone: no word is needed to settle it.

Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
Transactions on Networking 6(1), 1998): each name has a weight for a key, the least weights are chosen.
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterable, Sequence
from functools import lru_cache


@lru_cache(maxsize=8192)
def weight(key: str, name: str) -> float:
    """From 0 up to 1, the same at every agent."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2.0**64


def ranked(key: str, names: Iterable[str], most: int) -> list[str]:
    """The first of these for a key, best first."""
    return heapq.nsmallest(most, names, key=lambda name: (weight(key, name), name))


def chosen_servers(servers: Sequence[str], name: str, agents: Sequence[str], count: int) -> set[str]:
    """The servers that an agent connects to at first. By its place among the agents, so that they spread
    evenly (no server has over one more than another for the same agents); by its own hash where it sees few.

    Raises nothing; all servers where there are no more than `count`."""
    if len(servers) <= count:
        return set(servers)
    order = ranked("servers", servers, len(servers))
    place = sorted({*agents, name}).index(name) if len(agents) > 1 else int(weight("place", name) * 2.0**20)
    return {order[(place * count + step) % len(order)] for step in range(count)}
