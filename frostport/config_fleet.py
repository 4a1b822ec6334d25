"""The `fleet` part of the configuration; imported only if there is one."""

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

VOTER_COUNTS = (0, 1, 3, 5, 7)
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The configuration of an agent as a member of a fleet.

    `fleet` and `agent` are names. `gossip` and `link` are the addresses (host:port) on which this agent
    listens for datagrams and for connections of other members."""

    fleet: str
    agent: str
    key: bytes  # authenticates datagrams; the same at all members
    gossip: str
    link: str
    path: pathlib.Path  # folder of the store that holds the agreed log
    zone: str = ""
    seeds: tuple[str, ...] = ()  # gossip addresses of members to join by
    voters: tuple[str, ...] = ()  # initial voters of the agreed log, by name
    record: pathlib.Path | None = None  # file of the event record
    routes: Mapping[str, str] = field(default_factory=dict)  # other addresses by which addresses are reached
    compact_after: int = 10_000  # applied entries after which the agreed log is replaced by a snapshot
    work: Limits | None = None  # limits of maintenance


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


def read_limited_name(field_path: str, value: object, max_bytes: int) -> str:
    """Returns a non-empty string of at most `max_bytes` in UTF-8. Raises ConfigError."""
    text = base.read_name(field_path, value)
    if len(text.encode()) > max_bytes:
        raise ConfigError(f"{field_path}: over {max_bytes} bytes")
    return text


def read(record: Mapping[str, Any], folder: pathlib.Path) -> FleetConfig:
    """Reads the `fleet` part; relative paths in it start from `folder`. Raises ConfigError."""
    prefix = "fleet."
    section = base.read_field(record, "fleet", dict, {})
    for entry in section:
        if entry not in FIELDS:
            raise ConfigError(f"{prefix}{entry}: unknown field")
    try:
        key = bytes.fromhex(base.read_name(f"{prefix}key", section.get("key")))
    except ValueError:
        raise ConfigError(f"{prefix}key: not hexadecimal") from None
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise ConfigError(f"{prefix}key: must be {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, got {len(key)}")
    addresses = {
        entry: read_limited_name(
            f"{prefix}{entry}", base.check_address(f"{prefix}{entry}", section.get(entry)), MAX_TEXT_BYTES
        )
        for entry in ("gossip", "link")
    }
    seeds = tuple(
        base.check_address(f"{prefix}seeds.{number}", seed)
        for number, seed in enumerate(base.read_field(section, "seeds", list, [], prefix))
    )
    voters = tuple(
        read_limited_name(f"{prefix}voters.{number}", voter, MAX_NAME_BYTES)
        for number, voter in enumerate(base.read_field(section, "voters", list, [], prefix))
    )
    if len(voters) not in VOTER_COUNTS or len(set(voters)) != len(voters):
        raise ConfigError(f"{prefix}voters: must be 1, 3, 5 or 7 different names, got {list(voters)}")
    routes = {}
    for address, route in base.read_field(section, "routes", dict, {}, prefix).items():
        base.check_address(f"{prefix}routes", address)
        routes[address] = base.check_address(f"{prefix}routes.{address}", route)
    zone = base.read_field(section, "zone", str, "", prefix)
    if len(zone.encode()) > MAX_TEXT_BYTES:
        raise ConfigError(f"{prefix}zone: over {MAX_TEXT_BYTES} bytes")
    compact_after = base.read_field(section, "compact_after", int, 10_000, prefix)
    if compact_after < 100:
        raise ConfigError(f"{prefix}compact_after: must be at least 100, got {compact_after}")
    return FleetConfig(
        base.read_name(f"{prefix}name", section.get("name")),
        read_limited_name("name", record.get("name"), MAX_NAME_BYTES),
        key,
        addresses["gossip"],
        addresses["link"],
        folder / base.read_name(f"{prefix}path", section.get("path")),
        zone,
        seeds,
        voters,
        folder / base.read_name(f"{prefix}record", section["record"]) if "record" in section else None,
        routes,
        compact_after,
        read_work_limits(section),
    )


def read_work_limits(section: Mapping[str, Any]) -> Limits | None:
    """Reads the limits of maintenance (`fleet.work`); those not given keep their defaults.

    Raises ConfigError."""
    prefix = "fleet.work."
    if "work" not in section:
        return None
    given = base.read_field(section, "work", dict, {}, "fleet.")
    values = msgspec.structs.asdict(Limits())
    for name in given:
        if name not in values:
            raise ConfigError(f"{prefix}{name}: unknown field")
        kind = type(values[name])
        is_integer = kind is float and isinstance(given[name], int) and not isinstance(given[name], bool)
        value = float(given[name]) if is_integer else base.read_field(given, name, kind, values[name], prefix)
        if not 0 <= value < 1e12:
            raise ConfigError(f"{prefix}{name}: must be at least 0 and below 1e12, got {value!r:.40}")
        values[name] = value
    return Limits(**values)
