"""Timeouts and sizes of the agreed log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Thesis, 9.2: the election timeout is far above the heartbeat interval and the round-trip time, and far
    below the time between failures."""

    election_timeout_ms: float = 1500.0  # without a message from a leader; randomised up to twice as long
    heartbeat_interval_ms: float = 300.0
    command_retry_ms: float = 1000.0  # a command that is not committed by then is sent again
    feed_request_interval_ms: float = 1000.0  # a learner renews its request to be fed
    feed_lease_ms: float = 3500.0  # a learner is fed for this long after its last request
    feeder_timeout_ms: float = 4000.0  # a feeder that is silent for this long is replaced
    max_batch_bytes: int = 64 * 1024  # entries in one message
    snapshot_chunk_bytes: int = 64 * 1024  # snapshot data in one message
    max_fed_learners: int = 8  # learners per feeder in the tree; more only after failures of others
    max_pending_commands: int = 1000  # uncommitted commands of one agent; more are refused
