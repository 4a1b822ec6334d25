"""Accounting of limited resources: file descriptors by owner, and the bytes held for client connections."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class Owner(Enum):
    """Which part of the program a descriptor belongs to."""

    CLIENTS = "clients"
    SERVERS = "servers"
    BUS = "bus"
    PEERS = "peers"
    STORE = "store"
    LOGS = "logs"
    OWN = "own"  # standard streams, the listener, the reactor's own


class Descriptors:
    """Counts open descriptors by owner.

    `limit` is the limit of the process, `reserved` how many of it clients always leave to the other owners.
    """

    def __init__(self, limit: int, reserved: int) -> None:
        self.limit = limit
        self.reserved = reserved
        self.open: Counter[Owner] = Counter()
        self.guaranteed: Counter[Owner] = Counter()  # how many each other owner must be able to open
        self.refused: Counter[Owner] = Counter()

    def acquire(self, owner: Owner, count: int = 1) -> None:
        """Counts descriptors as open; it checks no limit, `available` does."""
        self.open[owner] += count

    def release(self, owner: Owner, count: int = 1) -> None:
        """Counts descriptors as closed.

        Raises ValueError if the owner has fewer: a negative count would hide a leak elsewhere."""
        if self.open[owner] < count:
            raise ValueError(f"{owner.value}: {count} descriptors released, {self.open[owner]} open")
        self.open[owner] -= count

    def total(self) -> int:
        return self.open.total()

    def outstanding(self, *owners: Owner) -> int:
        """How many of their guaranteed descriptors these owners have not open."""
        return sum(max(0, self.guaranteed[owner] - self.open[owner]) for owner in owners)

    def available(self, owner: Owner, released: int = 0) -> bool:
        """Whether the owner may open one more descriptor after `released` of its own are closed.

        Clients can't use what is reserved for or guaranteed to others, servers not what is guaranteed to the
        event bus. An accepted call can therefore always be sent on, and the event bus always be reached."""
        if owner is Owner.CLIENTS:
            return self.open[owner] - released < self._client_limit()
        return (
            self.total() - released + (self.outstanding(Owner.BUS) if owner is Owner.SERVERS else 0)
            < self.limit
        )

    def _client_limit(self) -> int:
        """How many descriptors clients may have.

        Excludes what others have open and what is guaranteed to the event bus, so that clients don't take,
        while the bus is disconnected, the descriptors to reconnect it. Also excludes what is guaranteed to
        servers and not open, but for this at most up to half of the limit."""
        others = self.total() - self.open[Owner.CLIENTS] + self.outstanding(Owner.BUS)
        withheld = min(others + self.outstanding(Owner.SERVERS), max(others, self.limit // 2))
        return self.limit - max(self.reserved, withheld)

    def utilization(self) -> float:
        """The share of the descriptors available to clients that clients have open."""
        return self.open[Owner.CLIENTS] / max(1, self._client_limit())


# A connection may hold up to the free bytes divided by this. However many connections hold all that they may,
# this part of one such connection's bytes is left for others (dynamic thresholds, Choudhury and Hahne, 1998).
FREE_BYTES_DIVISOR = 4


class Buffers:
    """Bytes held for connections: input not handled, open set-ups, output not read. A limit of 0: none."""

    def __init__(self, limit: int, connection_limit: int) -> None:
        self.limit = limit
        self.connection_limit = connection_limit
        self.by_number: dict[int, int] = {}
        self.total = 0

    def set(self, number: int, count: int) -> bool:
        """Sets the unread bytes of connection `number`; returns False if they exceed its limit."""
        self.total += count - self.by_number.get(number, 0)
        if count:
            self.by_number[number] = count
        else:
            self.by_number.pop(number, None)
        return not self.connection_limit or count <= self.connection_limit

    def may_hold(self, number: int, count: int) -> bool:
        """Whether connection `number` may hold `count` bytes more than now."""
        held = self.by_number.get(number, 0) + count
        if self.connection_limit and held > self.connection_limit:
            return False
        return not self.limit or held <= (self.limit - self.total) // FREE_BYTES_DIVISOR

    def exceeded(self) -> bool:
        """Whether all connections together hold more than the limit."""
        return bool(self.limit) and self.total > self.limit

    def largest_holder(self) -> int:
        """The connection that holds most. Raises ValueError if none holds anything."""
        return max(self.by_number, key=self.by_number.__getitem__)

    def utilization(self) -> float:
        """The share of the limit of all connections that is used; 0 without one."""
        return self.total / self.limit if self.limit else 0.0
