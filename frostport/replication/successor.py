"""Taking a stream over: the successor of an owner that is gone. Decisions only.

It asks all other holders what they have behind its own copy, and waits for all that are up, `GATHER_MS` at
most. Invariant R6: it goes on with the longest prefix that any holder it heard has, never with a gap.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from frostport.replication.holder import Copy
from frostport.replication.messages import Gather, Rest
from frostport.replication.settings import GATHER_MS

AGAIN_MS = 250.0


class Gathering:
    """One takeover, from the successor's word in the log until its records are known."""

    def __init__(self, copy: Copy, others: Iterable[str], now_ms: float) -> None:
        self.copy, self.began, self.asked_at = copy, now_ms, -math.inf
        self.waits = set(others)
        self.written: dict[str, tuple[int, bytes | None]] = {}  # behind its own copy
        # Guards against a copy that was still being caught up: it has a number, and not all before it.
        self.after = copy.at if copy.whole else -1
        self.whole = copy.whole  # one that was is at hand

    def asks(self, now_ms: float) -> list[tuple[str, Gather]]:
        """Again where nobody has answered: a holder answers once it has applied the successor's word."""
        if now_ms - self.asked_at < AGAIN_MS:
            return []
        self.asked_at = now_ms
        return [(name, Gather(self.copy.owner, self.copy.epoch, self.after)) for name in sorted(self.waits)]

    def heard(self, sender: str, rest: Rest) -> None:
        if (rest.owner, rest.epoch) != (self.copy.owner, self.copy.epoch):
            return
        self.whole = self.whole or rest.whole
        if rest.last:
            self.waits.discard(sender)
        for key, number, value in rest.entries:
            if number > self.written.get(key, (self.after, None))[0]:
                self.written[key] = number, value

    def ready(self, up: Iterable[str], now_ms: float) -> bool:
        """All holders that are up have said what they have, or have been waited for."""
        return not self.waits & set(up) or now_ms - self.began >= GATHER_MS

    def records(self) -> dict[str, bytes]:
        """What the stream holds."""
        own = self.copy.whole or not self.whole  # else all is in what another has said
        found = {key: value for key, (_, value) in self.copy.table.entries.items()} if own else {}
        for key, (_, value) in self.written.items():
            if value is None:
                found.pop(key, None)
            else:
                found[key] = value
        return found
