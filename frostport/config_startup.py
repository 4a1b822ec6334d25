"""Reads the `startup` section of the configuration. Imported only if there is one."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

from frostport import config as base
from frostport.config import ConfigError
from frostport.startup.settings import Settings

MINIMUMS = {
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
# Fields without an entry may be up to 1e9.
MAXIMUMS = {"agents": 100_000, "wave": 1.0, "feeders": 100}


def read(record: Mapping[str, Any]) -> Settings:
    """Returns the settings of a cold start. Raises ConfigError, which names the field."""
    prefix = "startup."
    section = base.read_field(record, "startup", dict, {})
    if "diameter" in record:
        raise ConfigError("startup: not supported together with diameter")
    values: dict[str, Any] = {}
    kinds = {name: type(value) for name, value in dataclasses.asdict(Settings()).items()}
    for name, value in section.items():
        if name not in kinds:
            raise ConfigError(f"{prefix}{name}: unknown field")
        if isinstance(value, bool) or not isinstance(value, int if kinds[name] is int else int | float):
            raise ConfigError(f"{prefix}{name}: must be {'an integer' if kinds[name] is int else 'a number'}")
        if not MINIMUMS[name] <= value <= MAXIMUMS.get(name, 1e9):
            raise ConfigError(
                f"{prefix}{name}: must be between {MINIMUMS[name]:g} and {MAXIMUMS.get(name, 1e9):g}"
            )
        values[name] = value if kinds[name] is int else float(value)
    return Settings(**values)
