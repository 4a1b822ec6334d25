"""The `fleet` part of the configuration; imported only where there is one."""

from __future__ import annotations

import pathlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from frostport import config as base
from frostport.config import ConfigError
from frostport.maintenance.commands import Limits
from frostport.membership.messages import MAX_NAME_BYTES, MAX_TEXT_BYTES

VOTERS = (0, 1, 3, 5, 7)
KEY_LEAST, KEY_MOST = 16, 64  # bytes


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """What an agent is told of its fleet."""

    fleet: str
    agent: str
    key: bytes
    gossip: str
    link: str
    path: pathlib.Path
    zone: str = ""
    seeds: tuple[str, ...] = ()
    voters: tuple[str, ...] = ()
    record: pathlib.Path | None = None
    routes: Mapping[str, str] = field(default_factory=dict)
    compact_after: int = 10_000
    work: Limits | None = None  # of work on machines


FIELDS = (
    "name",
    "key",
    "gossip",
    "link",
    "path",
    "zone",
    "seeds",
    "voters",
    "record",
    "routes",
    "compact_after",
    "work",
)


def short(place: str, value: object, most: int) -> str:
    text = base.name(place, value)
    if len(text.encode()) > most:
        raise ConfigError(f"{place}: over {most} bytes")
    return text


def read(record: Mapping[str, Any], folder: pathlib.Path) -> FleetConfig:
    """Raises ConfigError, which names the field."""
    at = "fleet."
    section = base.field(record, "fleet", dict, {})
    for entry in section:
        if entry not in FIELDS:
            raise ConfigError(f"{at}{entry}: unknown field")
    try:
        key = bytes.fromhex(base.name(f"{at}key", section.get("key")))
    except ValueError:
        raise ConfigError(f"{at}key: not hexadecimal") from None
    if not KEY_LEAST <= len(key) <= KEY_MOST:
        raise ConfigError(f"{at}key: not {KEY_LEAST} to {KEY_MOST} bytes")
    addresses = {
        entry: short(f"{at}{entry}", base.check_address(f"{at}{entry}", section.get(entry)), MAX_TEXT_BYTES)
        for entry in ("gossip", "link")
    }
    seeds = tuple(
        base.check_address(f"{at}seeds.{number}", seed)
        for number, seed in enumerate(base.field(section, "seeds", list, [], at))
    )
    voters = tuple(
        short(f"{at}voters.{number}", voter, MAX_NAME_BYTES)
        for number, voter in enumerate(base.field(section, "voters", list, [], at))
    )
    if len(voters) not in VOTERS or len(set(voters)) != len(voters):
        raise ConfigError(f"{at}voters: not 1, 3, 5 or 7 different names")
    routes = {}
    for place, way in base.field(section, "routes", dict, {}, at).items():
        base.check_address(f"{at}routes", place)
        routes[place] = base.check_address(f"{at}routes.{place}", way)
    zone = base.field(section, "zone", str, "", at)
    if len(zone.encode()) > MAX_TEXT_BYTES:
        raise ConfigError(f"{at}zone: over {MAX_TEXT_BYTES} bytes")
    compact_after = base.field(section, "compact_after", int, 10_000, at)
    if compact_after < 100:
        raise ConfigError(f"{at}compact_after: under 100")
    return FleetConfig(
        base.name(f"{at}name", section.get("name")),
        short("name", record.get("name"), MAX_NAME_BYTES),
        key,
        addresses["gossip"],
        addresses["link"],
        folder / base.name(f"{at}path", section.get("path")),
        zone,
        seeds,
        voters,
        folder / base.name(f"{at}record", section["record"]) if "record" in section else None,
        routes,
        compact_after,
        limits(section),
    )


def limits(section: Mapping[str, Any]) -> Limits | None:
    """The limits of work on machines; the rest of them as they are by themselves."""
    at = "fleet.work."
    if "work" not in section:
        return None
    told, known = base.field(section, "work", dict, {}, "fleet."), msgspec.structs.asdict(Limits())
    for name in told:
        if name not in known:
            raise ConfigError(f"{at}{name}: unknown field")
        kind = type(known[name])
        whole = kind is float and isinstance(told[name], int) and not isinstance(told[name], bool)
        value = float(told[name]) if whole else base.field(told, name, kind, known[name], at)
        if not 0 <= value < 1e12:
            raise ConfigError(f"{at}{name}: out of range")
        known[name] = value
    return Limits(**known)
