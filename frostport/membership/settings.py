"""The parameters of SWIM and Lifeguard, named with their symbols in the papers."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Settings:
    """The defaults are those of the papers for a local network."""

    protocol_period_ms: float = 1000.0  # SWIM's protocol period T'
    probe_timeout_ms: float = 500.0  # of a direct probe, before the indirect ones
    indirect_probes: int = 3  # SWIM's k: members asked to probe on our behalf
    alpha: float = 5.0  # Lifeguard: the minimum suspicion timeout is alpha log10(n) protocol periods
    beta: float = 6.0  # Lifeguard: the maximum, without confirmations, is beta times the minimum
    confirmations: int = 3  # Lifeguard's K: confirmations that reduce the timeout to the minimum
    max_health: int = 8  # Lifeguard's S: maximum of the local health multiplier
    retransmit_multiplier: float = 4.0  # SWIM's lambda: each update is sent lambda log10(n + 1) times
    gossip_interval_ms: float = 200.0  # while updates are pending, independent of the local health
    gossip_fanout: int = 3
    exchange_interval_ms: float = 30_000.0  # between two exchanges of full views (anti-entropy)
    forget_after_ms: float = 60_000.0  # how long a dead or left member stays in the list
    reconnect_interval_ms: float = 5_000.0  # between messages to dead members and absent seeds
    join_interval_ms: float = 1_000.0  # between two attempts to join
    datagram_bytes: int = 220  # maximum of one message without version and digest

    def suspicion_timeout_ms(self, members: int, confirmed: int) -> float:
        """Lifeguard's suspicion timeout: falls logarithmically with the confirmations to the minimum."""
        minimum = self.alpha * max(1.0, math.log10(max(1, members))) * self.protocol_period_ms
        maximum = self.beta * minimum
        share = math.log(min(confirmed, self.confirmations) + 1) / math.log(self.confirmations + 1)
        return max(minimum, maximum - (maximum - minimum) * share)

    def max_sends(self, members: int) -> int:
        """How often each update is sent (SWIM, section 4.1)."""
        return math.ceil(self.retransmit_multiplier * math.log10(members + 1))
