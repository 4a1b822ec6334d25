"""Settings of a cold start. docs/design/startup.md gives the reason for each default."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Settings:
    """The field names are configuration keys; times are in ms.

    `agents` is the size of the whole fleet. Each agent's share of the dial budget follows from it even while
    the membership shows fewer agents."""

    agents: int = 1
    dials_a_second: float = 80.0  # of the whole fleet, to each lobby server
    lists_a_second: float = 10.0  # of the whole fleet, to the list service: each dial there requests the list
    first_gap_ms: float = 200.0  # bound of the random gap before a redial of a target; doubles per failure
    most_gap_ms: float = 10_000.0  # upper limit of that bound
    redials: float = 10.0  # size of the token bucket for redials of one target
    redial_ms: float = 5_000.0  # time in which one of these tokens is refilled
    feeders: int = 2  # in each zone
    old_ms: float = 1500.0  # after this time without a message of the service, the list is sought elsewhere
    # An agent that is no feeder dials the list service itself after this time without a current list, if the
    # feeders can't reach the service either or the membership shows few agents yet.
    patience_ms: float = 20_000.0
    servers: int = 4  # lobby servers that an agent connects to before a call needs them
    wave: float = 0.25  # share of the fleet that must be prepared or serving before the first agent serves
    wave_ms: float = 5_000.0  # longest time that a prepared agent waits for that share


MAX_PRESSURE = 4.0  # largest factor by which the dial window of a target is stretched
PRESSURE_HALF_LIFE_MS = 5_000.0
