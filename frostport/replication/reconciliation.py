"""Reconciliation of differing copies, as pure functions; docs/design/replication.md has the rule as a
table.

For each key, a copy knows the number and the value of the last write in each epoch that wrote it. Two
copies are joined by taking the higher number within each epoch. This is the join of a semilattice, and so
associative, commutative and idempotent (Shapiro et al., "Conflict-free replicated data types", 2011). The
effective value is then computed over the joined epochs in order: a deletion in a later epoch wins; of two
values, the preference function of the state decides. Two values under one number of one epoch can't result
from a crash or a network partition: the key is reported as a conflict and left out.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping

Value = bytes | None
LastWrite = tuple[int, frozenset[Value]]  # number of the last write, and the values seen under it
Versions = Mapping[int, LastWrite]  # by epoch
Preference = Callable[[str, bytes, bytes], bytes]
RANGE_COUNT = 256


def later_write(one: LastWrite, other: LastWrite) -> LastWrite:
    """Returns the write with the higher number; for equal numbers, the union of their values."""
    if one[0] != other[0]:
        return max(one, other, key=lambda seen: seen[0])
    return one[0], one[1] | other[1]


def join_versions(one: Versions, other: Versions) -> dict[int, LastWrite]:
    """Joins the versions of one key from two copies."""
    combined = dict(one)
    for epoch, seen in other.items():
        combined[epoch] = later_write(combined[epoch], seen) if epoch in combined else seen
    return combined


def merge_copies(
    one: Mapping[str, Versions], other: Mapping[str, Versions]
) -> dict[str, dict[int, LastWrite]]:
    """Joins two complete copies."""
    return {
        key: join_versions(one.get(key, {}), other.get(key, {})) for key in sorted(one.keys() | other.keys())
    }


class ConflictError(ValueError):
    """The versions of a key that no crash or partition explains; the message names the key."""


def effective_value(key: str, versions: Versions, prefer: Preference) -> Value:
    """Returns the value of a key, None if it is deleted. Raises ConflictError."""
    value: Value = None
    for epoch in sorted(versions):
        number, values = versions[epoch]
        if len(values) != 1:
            raise ConflictError(
                f"conflicting writes to {key!r}: {len(values)} different values under number {number} "
                f"of epoch {epoch}"
            )
        (candidate,) = values
        value = candidate if candidate is None or value is None else prefer(key, value, candidate)
    return value


def resolve_copy(copy: Mapping[str, Versions], prefer: Preference) -> tuple[dict[str, bytes], list[str]]:
    """Returns the effective values by key, and a reason for each key left out for a conflict."""
    combined: dict[str, bytes] = {}
    conflicts: list[str] = []
    for key, versions in copy.items():
        try:
            value = effective_value(key, versions, prefer)
        except ConflictError as problem:
            conflicts.append(str(problem))
        else:
            if value is not None:
                combined[key] = value
    return combined, conflicts


# Digests by range: a Merkle tree of two levels (Merkle 1987). Each leaf is the sum of its entries' digests.


def range_of(key: str) -> int:
    """Returns the number of the range that a key belongs to."""
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0]


def entry_digest(key: str, value: bytes) -> int:
    """Returns the 128-bit digest of one entry."""
    hashed = hashlib.blake2b(key.encode() + b"\0" + value, digest_size=16).digest()
    return int.from_bytes(hashed, "big")


class DigestTable:
    """Entries with the numbers of their last writes, and an incrementally updated digest of each range."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[int, bytes]] = {}
        self.keys_by_range: list[set[str]] = [set() for _ in range(RANGE_COUNT)]
        self.leaves = [0] * RANGE_COUNT

    def put(self, key: str, number: int, value: Value) -> None:
        """Sets a key's value; None deletes the key."""
        range_number = range_of(key)
        previous = self.entries.pop(key, None)
        if previous is not None:
            self.leaves[range_number] = (self.leaves[range_number] - entry_digest(key, previous[1])) % 2**128
            self.keys_by_range[range_number].discard(key)
        if value is not None:
            self.entries[key] = (number, value)
            self.keys_by_range[range_number].add(key)
            self.leaves[range_number] = (self.leaves[range_number] + entry_digest(key, value)) % 2**128

    def leaf_bytes(self) -> bytes:
        """Returns the digests of all ranges, 16 bytes each."""
        return b"".join(leaf.to_bytes(16, "big") for leaf in self.leaves)

    def root(self) -> bytes:
        """Returns the digest of the whole table."""
        return hashlib.blake2b(self.leaf_bytes(), digest_size=16).digest()

    def differing_ranges(self, leaves: bytes) -> list[int]:
        """Returns the ranges whose digests differ from the peer's `leaves`; all of them if `leaves` has a
        wrong length."""
        if len(leaves) != 16 * RANGE_COUNT:
            return list(range(RANGE_COUNT))
        return [
            range_number
            for range_number, leaf in enumerate(self.leaves)
            if leaf.to_bytes(16, "big") != leaves[16 * range_number : 16 * range_number + 16]
        ]
