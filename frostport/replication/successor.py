"""Takeover of a stream whose owner is gone, by its successor. Pure logic, without I/O.

The successor asks all other holders for the writes that its own copy lacks, and waits for all that are
alive, at most `GATHER_TIMEOUT_MS`. Invariant R6: it continues with the longest prefix that any holder that
answered has, never with a gap.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from frostport.replication.holder import StreamCopy
from frostport.replication.messages import GatherRequest, Remainder
from frostport.replication.settings import GATHER_TIMEOUT_MS

RETRY_INTERVAL_MS = 250.0


class Takeover:
    """One takeover, from the successor's command in the agreed log until the stream's records are known."""

    def __init__(self, copy: StreamCopy, others: Iterable[str], now_ms: float) -> None:
        self.copy = copy
        self.started_at_ms = now_ms
        self.asked_at_ms = -math.inf
        self.pending = set(others)
        self.later_writes: dict[str, tuple[int, bytes | None]] = {}  # that its own copy lacks
        # A copy that was still catching up has a batch number but may lack earlier batches: all writes are
        # requested.
        self.after_batch = copy.batch_number if copy.verified else -1
        self.verified_copy_found = copy.verified  # its own, or that of a holder that answered

    def requests(self, now_ms: float) -> list[tuple[str, GatherRequest]]:
        """Returns requests to the holders that have not answered. They are repeated: a holder answers only
        once it has applied the successor's command."""
        if now_ms - self.asked_at_ms < RETRY_INTERVAL_MS:
            return []
        self.asked_at_ms = now_ms
        return [
            (name, GatherRequest(self.copy.owner, self.copy.epoch, self.after_batch))
            for name in sorted(self.pending)
        ]

    def receive(self, sender: str, remainder: Remainder) -> None:
        """Handles the answer of another holder."""
        if (remainder.owner, remainder.epoch) != (self.copy.owner, self.copy.epoch):
            return
        self.verified_copy_found = self.verified_copy_found or remainder.verified
        if remainder.last:
            self.pending.discard(sender)
        for key, number, value in remainder.entries:
            if number > self.later_writes.get(key, (self.after_batch, None))[0]:
                self.later_writes[key] = number, value

    def ready(self, alive: Iterable[str], now_ms: float) -> bool:
        """Returns whether all holders in `alive` have answered, or the timeout is over."""
        return not self.pending & set(alive) or now_ms - self.started_at_ms >= GATHER_TIMEOUT_MS

    def records(self) -> dict[str, bytes]:
        """Returns the stream's records."""
        # Otherwise the answer of another holder, whose copy is verified, contains all records.
        use_own_copy = self.copy.verified or not self.verified_copy_found
        found = {key: value for key, (_, value) in self.copy.table.entries.items()} if use_own_copy else {}
        for key, (_, value) in self.later_writes.items():
            if value is None:
                found.pop(key, None)
            else:
                found[key] = value
        return found
