"""The `startup` part of the configuration; imported only where there is one."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

from frostport import config as base
from frostport.config import ConfigError
from frostport.startup.settings import Settings

LEAST = {
    "agents": 1,
    "dials_a_second": 0.1,
    "lists_a_second": 0.1,
    "first_gap_ms": 10.0,
    "most_gap_ms": 100.0,
    "redials": 1.0,
    "redial_ms": 10.0,
    "feeders": 1,
    "old_ms": 1200.0,
    "patience_ms": 1000.0,
    "servers": 1,
    "wave": 0.0,
    "wave_ms": 0.0,
}
MOST = {"agents": 100_000, "wave": 1.0, "feeders": 100}


def read(record: Mapping[str, Any]) -> Settings:
    """Raises ConfigError, which names the field."""
    at = "startup."
    section = base.read_field(record, "startup", dict, {})
    if "diameter" in record:
        raise ConfigError("startup: only with the platform's wires, not with diameter")
    given: dict[str, Any] = {}
    kinds = {name: type(value) for name, value in dataclasses.asdict(Settings()).items()}
    for name, value in section.items():
        if name not in kinds:
            raise ConfigError(f"{at}{name}: unknown field")
        if isinstance(value, bool) or not isinstance(value, int if kinds[name] is int else int | float):
            raise ConfigError(f"{at}{name}: not a {'whole ' if kinds[name] is int else ''}number")
        if not LEAST[name] <= value <= MOST.get(name, 1e9):
            raise ConfigError(f"{at}{name}: not {LEAST[name]:g} to {MOST.get(name, 1e9):g}")
        given[name] = value if kinds[name] is int else float(value)
    return Settings(**given)
