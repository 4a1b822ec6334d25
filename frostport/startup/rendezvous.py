"""Assigns roles and servers to agents by hashing, so that agents agree without exchanging messages.

Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
Transactions on Networking 6(1), 1998): each name has a weight for a key, and the lowest weights are chosen.
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterable, Sequence
from functools import lru_cache


@lru_cache(maxsize=8192)
def weight(key: str, name: str) -> float:
    """At least 0 and below 1; the same at every agent."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2.0**64


def ranked(key: str, names: Iterable[str], limit: int) -> list[str]:
    """Returns up to `limit` names with the lowest weights for the key, lowest first."""
    return heapq.nsmallest(limit, names, key=lambda name: (weight(key, name), name))


def initial_servers(servers: Sequence[str], name: str, agents: Sequence[str], count: int) -> set[str]:
    """Returns the servers that agent `name` connects to at first; all of them if there are at most `count`.

    An agent that sees others chooses by its position among them, which spreads the load evenly: over the same
    agents no server gets more than one connection more than another. One that sees no other agent chooses by
    its own hash."""
    if len(servers) <= count:
        return set(servers)
    order = ranked("servers", servers, len(servers))
    position = (
        sorted({*agents, name}).index(name) if len(agents) > 1 else int(weight("place", name) * 2.0**20)
    )
    return {order[(position * count + step) % len(order)] for step in range(count)}
