"""Settings and constants of replication; docs/design/replication.md gives the reason of each value."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of an owner's streams."""

    copies: int = 2  # holders of each stream
    # Holders that must confirm a record before its effect leaves the agent; with 0, nothing waits.
    required_acks: int = 1
    retained_batches: int = 4000  # kept in memory to be sent again
    window_batches: int = 256  # unacknowledged batches in flight to a holder
    part_bytes: int = 64 * 1024
    parts_per_second: float = 50.0  # to one holder


RESEND_INTERVAL_MS = 1000.0  # batches not acknowledged by then are sent again
VERIFY_INTERVAL_MS = 10_000.0  # interval at which a verified copy is compared with the owner's records
GATHER_TIMEOUT_MS = 2000.0  # how long a successor waits for the answers of other holders
