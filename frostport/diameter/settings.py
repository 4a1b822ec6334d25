"""What the second front is told at its start."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DiameterServer:
    """One lobby server of the operator's file."""

    host: str
    dial: str
    number: int
    zone: str = ""


@dataclass(frozen=True, slots=True)
class DiameterConfig:
    """The second front: who this node is, which clients may connect, and which servers it calls."""

    host: str
    realm: str
    clients: list[str]
    servers: list[DiameterServer]
    watchdog_ms: float = 30_000.0
    sessions_lost_ms: float = 8_000.0
