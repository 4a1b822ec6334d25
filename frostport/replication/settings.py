"""What governs replication; docs/design/replication.md says why each figure is as it is."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Settings:
    """Times in ms."""

    copies: int = 2  # holders of each stream
    acks: int = 1  # of these that have a record before its effect leaves; 0: `soon`, nothing waits
    tail_batches: int = 4000  # kept to be sent again
    window: int = 256  # batches on their way to a holder
    piece_bytes: int = 64 * 1024
    pieces_a_second: float = 50.0  # towards one holder


RESEND_MS = 1000.0  # what was not confirmed by then is sent again
VERIFY_MS = 10_000.0  # a copy is compared with the owner's records so often
GATHER_MS = 2000.0  # a successor waits so long for what other holders have
