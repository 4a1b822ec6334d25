"""Probes in progress, direct and on behalf of others."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Probe:
    """This agent's probe of the current protocol period."""

    target: str
    sequence: int
    indirect_at: float  # when it sends PingReq if no Ack has arrived; infinite once it has
    requested: int = 0  # PingReq sent; from each a Nack is expected
    nacks: set[str] = field(default_factory=set)  # members that sent one
    acked: bool = False


@dataclass(slots=True)
class IndirectProbe:
    """A probe at the request of another agent, the requester."""

    requester_address: str
    requester_sequence: int
    nack_at: float
    expires_at: float
    nack_sent: bool = False
