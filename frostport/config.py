"""The agent's configuration: one JSON file, read with orjson; what is wrong is told by field."""

from __future__ import annotations

import pathlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from frostport import interface as api
from frostport import settings
from frostport.settings import SettingsError

CONFIG_VARIABLE = "PROXY_CONFIG"


@dataclass(frozen=True, slots=True)
class Config:
    """What one call agent is told at its start."""

    name: str
    listen: str
    seed: int
    settings: api.Settings
    drain_grace_ms: float
    longest_ms: float  # the longest deadline of a class
    sockets: int
    bus: str | None
    known: list[dict[str, Any]]
    offset: int
    peer_listen: str | None
    peers: list[str]


class ConfigError(ValueError):
    """A configuration that can't be used; the message names the field."""


def find_path(given: str | None, environment: Mapping[str, str]) -> pathlib.Path:
    path = given or environment.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError(f"{CONFIG_VARIABLE}: not set, and no file named")
    return pathlib.Path(path)


def load(path: pathlib.Path) -> Config:
    try:
        record = orjson.loads(path.read_bytes())
    except OSError as problem:
        raise ConfigError(f"file: {problem.strerror or problem}") from None
    except orjson.JSONDecodeError as problem:
        raise ConfigError(f"file: not JSON: {problem}") from None
    return read(record)


def read(record: object) -> Config:
    if not isinstance(record, dict):
        raise ConfigError("file: not an object")
    conf = settings.Conf(settings.flatten(field(record, "settings", dict, {})))
    try:
        given = settings.read(conf)
        grace = conf.number("rules.drain-grace-ms", 0.0)
    except SettingsError as problem:
        raise ConfigError(f"settings.{problem}") from None
    if not given.classes:
        raise ConfigError("settings.services: no class of call")
    known = field(record, "known", dict, {})
    batch = field(known, "batch", list, [], "known.")
    for index, event in enumerate(batch):
        if not isinstance(event, dict):
            raise ConfigError(f"known.batch.{index}: not an object")
    seed = record.get("seed", 0)
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigError("seed: neither hex text nor a number") from None
    peers = field(record, "peers", list, [])
    return Config(
        name=field(record, "name", str, ""), listen=address(record, "listen") or "",
        seed=seed, settings=given,
        drain_grace_ms=grace, longest_ms=max(cls.deadline_ms for cls in given.classes),
        sockets=field(field(record, "limits", dict, {}), "sockets", int, 1024, "limits."),
        bus=address(record, "bus", optional=True), known=batch,
        offset=field(known, "offset", int, 0, "known."),
        peer_listen=address(record, "peer_listen", optional=True),
        peers=[check_address(f"peers.{index}", peer) for index, peer in enumerate(peers)])


def field(record: Mapping[str, Any], name: str, kind: type, default: Any, inside: str = "") -> Any:
    value = record.get(name, default)
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise ConfigError(f"{inside}{name}: not of type {kind.__name__}")
    return value


def address(record: Mapping[str, Any], name: str, optional: bool = False) -> str | None:
    value = record.get(name)
    if value is None and optional:
        return None
    return check_address(name, value)


def check_address(name: str, value: object) -> str:
    """`host:port`, as given."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not colon or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{name}: not host:port: {value!r}")
    return str(value)
