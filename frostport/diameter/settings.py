"""The `diameter` section of the configuration; `frostport.config` reads and checks it.

The fields are configuration keys.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DiameterServer:
    """One lobby server that the agent calls.

    `host` is its Origin-Host, `dial` its address, `number` the number by which the
    decision module knows it."""

    host: str
    dial: str
    number: int
    zone: str = ""


@dataclass(frozen=True, slots=True)
class DiameterConfig:
    """This node's identity, the client peers that may connect, and the server peers that it calls.

    `watchdog_ms` is the interval Tw of RFC 3539. A server that has been away for `sessions_lost_ms` is taken
    to have lost its sessions."""

    host: str
    realm: str
    clients: list[str]
    servers: list[DiameterServer]
    watchdog_ms: float = 30_000.0
    sessions_lost_ms: float = 8_000.0
