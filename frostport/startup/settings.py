"""What governs a cold start; docs/design/startup.md says why each figure is as it is."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Settings:
    """Times in ms. `agents` is how many the fleet has when all are up: with a smaller view of the membership
    the shares of the budget are still these."""

    agents: int = 1
    dials_a_second: float = 80.0  # of the whole fleet, at each lobby server
    lists_a_second: float = 10.0  # at the list service: each dial there brings an ask
    first_gap_ms: float = 200.0  # between an agent's redials of one target: doubles, drawn from 0 up
    most_gap_ms: float = 10_000.0
    redials: float = 10.0  # tokens for redials of one target, and how long one takes to come back
    redial_ms: float = 5_000.0
    feeders: int = 2  # in each zone
    old_ms: float = 1500.0  # a list whose service was not heard for so long is looked for elsewhere
    patience_ms: float = 20_000.0  # while all feeders ask in vain, or few agents are seen yet, one that is
    # none asks no sooner itself
    servers: int = 4  # lobby servers that an agent connects to before a call needs them
    wave: float = 0.25  # the share of the fleet that is to be prepared or serving before the first one serves
    wave_ms: float = 5_000.0  # and how long one that is prepared waits for it at the most


PRESSURE_MOST = 4.0  # times the usual window
PRESSURE_HALF_MS = 5_000.0
