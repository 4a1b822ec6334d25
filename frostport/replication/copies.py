"""The rule for copies that differ, as a pure function; docs/design/replication.md has it as a table.

What is known of a key is, for each epoch that wrote it, the number and the value of the last write. Copies
are joined by the greater number within an epoch: a join of a semilattice, and so associative, commutative and
idempotent (Shapiro and others, "Conflict-free replicated data types", 2011). What holds is then read from
the join: epoch by epoch, a later one's deletion wins, of two values the `better` one by the state's own rule.
Two values under one number can't be explained by a crash or a cut: that key is set aside, by name.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping

Value = bytes | None
Seen = tuple[int, frozenset[Value]]  # the number of the last write, and what was seen under it
Versions = Mapping[int, Seen]  # by epoch
Better = Callable[[str, bytes, bytes], bytes]
RANGES = 256


def newer(one: Seen, other: Seen) -> Seen:
    if one[0] != other[0]:
        return max(one, other, key=lambda seen: seen[0])
    return one[0], one[1] | other[1]


def joined(one: Versions, other: Versions) -> dict[int, Seen]:
    """All that two copies know of a key."""
    found = dict(one)
    for epoch, seen in other.items():
        found[epoch] = newer(found[epoch], seen) if epoch in found else seen
    return found


def merged(one: Mapping[str, Versions], other: Mapping[str, Versions]) -> dict[str, dict[int, Seen]]:
    """Two whole copies."""
    return {key: joined(one.get(key, {}), other.get(key, {})) for key in sorted(one.keys() | other.keys())}


class SetAsideError(ValueError):
    """A key whose copies no crash and no cut explains; the message names it."""


def holds(key: str, versions: Versions, better: Better) -> Value:
    """What counts. Raises SetAsideError."""
    value: Value = None
    for epoch in sorted(versions):
        number, values = versions[epoch]
        if len(values) != 1:
            raise SetAsideError(f"{key!r}: {len(values)} values of epoch {epoch}, number {number}")
        (told,) = values
        value = told if told is None or value is None else better(key, value, told)
    return value


def resolved(copy: Mapping[str, Versions], better: Better) -> tuple[dict[str, bytes], list[str]]:
    """All that counts by key, and what was set aside, each with its reason."""
    found: dict[str, bytes] = {}
    aside: list[str] = []
    for key, versions in copy.items():
        try:
            value = holds(key, versions, better)
        except SetAsideError as problem:
            aside.append(str(problem))
        else:
            if value is not None:
                found[key] = value
    return found, aside


# Digests by range: a Merkle tree of two floors (Merkle 1987), each leaf the sum of its entries' digests


def range_of(key: str) -> int:
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0]


def digest(key: str, value: bytes) -> int:
    made = hashlib.blake2b(key.encode() + b"\0" + value, digest_size=16).digest()
    return int.from_bytes(made, "big")


class Table:
    """Keys, values and the numbers of their last writes, with the digests of their ranges kept along."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[int, bytes]] = {}
        self.ranges: list[set[str]] = [set() for _ in range(RANGES)]
        self.leaves = [0] * RANGES

    def put(self, key: str, number: int, value: Value) -> None:
        where = range_of(key)
        before = self.entries.pop(key, None)
        if before is not None:
            self.leaves[where] = (self.leaves[where] - digest(key, before[1])) % 2**128
            self.ranges[where].discard(key)
        if value is not None:
            self.entries[key] = (number, value)
            self.ranges[where].add(key)
            self.leaves[where] = (self.leaves[where] + digest(key, value)) % 2**128

    def leaf_bytes(self) -> bytes:
        return b"".join(leaf.to_bytes(16, "big") for leaf in self.leaves)

    def root(self) -> bytes:
        return hashlib.blake2b(self.leaf_bytes(), digest_size=16).digest()

    def differing(self, leaves: bytes) -> list[int]:
        """Ranges whose digest is another there. All of them where that can't be read."""
        if len(leaves) != 16 * RANGES:
            return list(range(RANGES))
        return [
            at
            for at, leaf in enumerate(self.leaves)
            if leaf.to_bytes(16, "big") != leaves[16 * at : 16 * at + 16]
        ]
