"""Ledgers: who holds how many descriptors, and how many bytes wait to be read by clients."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class Owner(Enum):
    """Whose descriptors these are."""

    CLIENTS = "clients"
    SERVERS = "servers"
    BUS = "bus"
    PEERS = "peers"
    STORE = "store"
    LOGS = "logs"
    OWN = "own"  # the program's: standard streams, the listener, the reactor's own


class Descriptors:
    """Counts what is open by owner. `limit` is the process's, `kept` what clients leave to the other
    owners."""

    def __init__(self, limit: int, kept: int) -> None:
        self.limit, self.kept = limit, kept
        self.open: Counter[Owner] = Counter()
        self.due: Counter[Owner] = Counter()  # what each other owner is to be able to open
        self.refused: Counter[Owner] = Counter()

    def take(self, owner: Owner, count: int = 1) -> None:
        self.open[owner] += count

    def give(self, owner: Owner, count: int = 1) -> None:
        """Guards against a count that would go below nothing: it would hide a leak elsewhere."""
        if self.open[owner] < count:
            raise ValueError(f"{owner.value}: {count} given back of {self.open[owner]}")
        self.open[owner] -= count

    def total(self) -> int:
        return self.open.total()

    def missing(self, *owners: Owner) -> int:
        """What these owners are due and have not open."""
        return sum(max(0, self.due[owner] - self.open[owner]) for owner in owners)

    def room(self, owner: Owner, fewer: int = 0) -> bool:
        """Whether one more is to be had, with so many given back: for clients outside what is kept for
        others, for servers outside what the event bus is due.

        Guards a call that was taken: it can always be sent on, and the event bus always be reached."""
        if owner is Owner.CLIENTS:
            return self.open[owner] - fewer < self._for_clients()
        return self.total() - fewer + (self.missing(Owner.BUS) if owner is Owner.SERVERS else 0) < self.limit

    def _for_clients(self) -> int:
        """How many clients may have: what others have and are due stays out, though half of the limit does
        for what is only due to servers.

        Guards against clients that take, while the event bus is away, what it is dialled with."""
        others = self.total() - self.open[Owner.CLIENTS] + self.missing(Owner.BUS)
        due = min(others + self.missing(Owner.SERVERS), max(others, self.limit // 2))
        return self.limit - max(self.kept, due)

    def share(self) -> float:
        """How much of what clients may have they have."""
        return self.open[Owner.CLIENTS] / max(1, self._for_clients())


class Buffers:
    """Bytes written to connections and not yet read by the other side."""

    def __init__(self, limit: int, by_connection: int) -> None:
        self.limit, self.by_connection = limit, by_connection
        self.bytes: dict[int, int] = {}
        self.total = 0

    def set(self, seat: int, count: int) -> bool:
        """A connection's bytes now; False where they are over its limit."""
        self.total += count - self.bytes.get(seat, 0)
        if count:
            self.bytes[seat] = count
        else:
            self.bytes.pop(seat, None)
        return not self.by_connection or count <= self.by_connection

    def share(self) -> float:
        return self.total / self.limit if self.limit else 0.0
