"""The agent's configuration: one JSON file, read with orjson; what is wrong is told by field."""

from __future__ import annotations

import dataclasses
import ipaddress
import pathlib
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from frostport import interface as api
from frostport import settings
from frostport.admission.settings import Limits, Network, Shared
from frostport.core import contracts
from frostport.core.contracts import Contract, ContractError
from frostport.diameter.settings import DiameterConfig, DiameterServer
from frostport.net.bus import parse_event
from frostport.net.jsonl import BadLineError
from frostport.settings import SettingsError

if TYPE_CHECKING:
    from frostport.config_fleet import FleetConfig
    from frostport.startup.settings import Settings as StartupSettings

CONFIG_VARIABLE = "PROXY_CONFIG"
OPERATOR_VARIABLE = "PROXY_OPERATOR"  # the door's address for this process; over the file's `operator`
LISTEN_FD_VARIABLE = "PROXY_LISTEN_FD"  # a listening socket inherited for the clients, on upgrades
SOCKETS_LEAST = 32
NUMERIC = re.compile(r"[0-9.]+\Z")
WATCHDOG_LEAST_MS = 6000.0


@dataclass(frozen=True, slots=True)
class Config:
    """What one call agent is told at its start."""

    name: str
    listen: str
    seed: int
    settings: api.Settings
    drain_grace_ms: float
    sockets: int
    bus: str | None
    known: list[dict[str, Any]]
    offset: int
    peer_listen: str | None
    peers: list[str]
    diameter: DiameterConfig | None = None
    contracts: tuple[Contract, ...] = ()
    store: StoreConfig | None = None
    admission: Limits = dataclasses.field(default_factory=lambda: Limits(most_clients(1024)))
    operator: str | None = None  # the operators' door
    fleet: FleetConfig | None = None
    startup: StartupSettings | None = None  # a cold start beside many others


@dataclass(frozen=True, slots=True)
class StoreConfig:
    """Where what must outlive a crash is kept, and what is done when that fails."""

    path: pathlib.Path
    durability: str = "always"
    on_failure: str = "refuse"
    interval_ms: float = 100.0
    stall_ms: float = 1000.0
    segment_bytes: int = 4 * 1024 * 1024
    record_bytes: int = 256 * 1024
    store_bytes: int = 1024 * 1024 * 1024
    checkpoint_records: int = 20_000


class ConfigError(ValueError):
    """A configuration that can't be used; the message names the field."""


def find_path(given: str | None, environment: Mapping[str, str]) -> pathlib.Path:
    path = given or environment.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError(f"{CONFIG_VARIABLE}: not set, and no file named")
    return pathlib.Path(path)


def from_environment(config: Config, environment: Mapping[str, str]) -> Config:
    """What the process's own environment says over the file: the door's address."""
    door = environment.get(OPERATOR_VARIABLE)
    if door:
        config = dataclasses.replace(config, operator=check_address(OPERATOR_VARIABLE, door))
    return config


def inherited_listener(environment: Mapping[str, str]) -> int | None:
    """The descriptor of a listening TCP socket that the process inherits, where one is named."""
    import socket

    text = environment.get(LISTEN_FD_VARIABLE)
    if text is None or text == "":
        return None
    if not text.isdecimal() or len(text) > 6:
        raise ConfigError(f"{LISTEN_FD_VARIABLE}: not a descriptor: {text[:20]!r}")
    descriptor = int(text)
    try:
        with socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM) as inherited:
            listening = inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            kind = inherited.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)
            family = inherited.getsockopt(socket.SOL_SOCKET, socket.SO_DOMAIN)
    except OSError as problem:
        reason = problem.strerror or str(problem)
        raise ConfigError(f"{LISTEN_FD_VARIABLE}: descriptor {descriptor}: {reason}") from None
    if kind != socket.SOCK_STREAM or family != socket.AF_INET or not listening:
        raise ConfigError(f"{LISTEN_FD_VARIABLE}: descriptor {descriptor}: not a listening IPv4 TCP socket")
    return descriptor


def load(path: pathlib.Path) -> Config:
    try:
        record = orjson.loads(path.read_bytes())
    except OSError as problem:
        raise ConfigError(f"file: {problem.strerror or problem}") from None
    except orjson.JSONDecodeError as problem:
        raise ConfigError(f"file: not JSON: {problem}") from None
    try:
        return read(record, path.parent)
    except RecursionError:
        raise ConfigError("file: nested too deep") from None


def read_yaml(text: str | bytes) -> Any:
    """Raises ValueError."""
    import yaml  # a start without YAML files does without it

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as problem:
        raise ValueError(str(problem)) from None


def load_contracts(path: pathlib.Path) -> list[Contract]:
    """The contracts of one description, JSON or YAML."""
    try:
        text = path.read_bytes()
        document = orjson.loads(text) if path.suffix == ".json" else read_yaml(text)
        return contracts.read(document)
    except OSError as problem:
        raise ConfigError(f"{path.name}: {problem.strerror or problem}") from None
    except ValueError as problem:
        raise ConfigError(f"{path.name}: not readable: {' '.join(str(problem).split())}") from None
    except ContractError as problem:
        raise ConfigError(f"{path.name}: {problem}") from None


def all_contracts(record: Mapping[str, Any], folder: pathlib.Path) -> tuple[Contract, ...]:
    """The contracts of all files that the configuration names; a class may have one in all."""
    found: dict[str, Contract] = {}
    for index, file in enumerate(field(record, "contracts", list, [])):
        for contract in load_contracts(folder / name(f"contracts.{index}", file)):
            if contract.service in found:
                raise ConfigError(f"contracts.{index}: a second contract for {contract.service}")
            found[contract.service] = contract
    return tuple(found.values())


def read(record: object, folder: pathlib.Path = pathlib.Path()) -> Config:
    if not isinstance(record, dict):
        raise ConfigError("file: not an object")
    conf = settings.SettingsReader(settings.flatten(field(record, "settings", dict, {})))
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
        try:
            parse_event(event)
        except BadLineError as problem:
            raise ConfigError(f"known.batch.{index}.{problem}") from None
    seed = record.get("seed", 0)
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigError("seed: neither hex text nor a number") from None
    peers = field(record, "peers", list, [])
    sockets = field(field(record, "limits", dict, {}), "sockets", int, 1024, "limits.")
    if sockets < SOCKETS_LEAST:
        raise ConfigError(f"limits.sockets: under {SOCKETS_LEAST}")
    return Config(
        name=field(record, "name", str, ""),
        listen=address(record, "listen") or "",
        seed=seed,
        settings=given,
        drain_grace_ms=grace,
        sockets=sockets,
        bus=address(record, "bus", optional=True),
        known=batch,
        offset=field(known, "offset", int, 0, "known."),
        peer_listen=address(record, "peer_listen", optional=True),
        peers=[check_address(f"peers.{index}", peer) for index, peer in enumerate(peers)],
        diameter=read_diameter(record, given) if "diameter" in record else None,
        contracts=all_contracts(record, folder),
        store=read_store(record, folder) if "store" in record else None,
        admission=read_admission(record, sockets),
        operator=address(record, "operator", optional=True),
        fleet=read_fleet(record, folder) if "fleet" in record else None,
        startup=read_startup(record) if "startup" in record else None,
    )


def read_startup(record: Mapping[str, Any]) -> StartupSettings:
    from frostport import config_startup  # nor of this part

    return config_startup.read(record)


def read_fleet(record: Mapping[str, Any], folder: pathlib.Path) -> FleetConfig:
    from frostport import config_fleet  # nothing of the fleet is loaded without it

    return config_fleet.read(record, folder)


OWN_SOCKETS = 64  # descriptors kept for servers, the event bus, peers and the program itself


def most_clients(sockets: int) -> int:
    """How many client connections are held: enough descriptors are left for servers and the event bus."""
    return max(sockets // 2, sockets - OWN_SOCKETS)


COUNTS = (
    "by_address",
    "by_prefix",
    "unidentified",
    "by_team",
    "reserve",
    "buffered_bytes",
    "buffered_connection_bytes",
)
RATES = ("address_a_second", "address_burst", "prefix_a_second", "prefix_burst")
TIMES = ("earned_ms", "back_off_ms", "back_off_most_ms")
PREFIXES = {"ipv4_prefix": 32, "ipv6_prefix": 128}


def read_admission(record: Mapping[str, Any], sockets: int) -> Limits:
    at = "admission."
    section = field(record, "admission", dict, {})
    known = {*COUNTS, *RATES, *TIMES, *PREFIXES, "known", "shared", "ladder", "remembered"}
    for entry in section:
        if entry not in known:
            raise ConfigError(f"{at}{entry}: unknown field")
    chosen: dict[str, Any] = {"connections": most_clients(sockets)}
    for entry in section:
        if entry in COUNTS:
            chosen[entry] = field(section, entry, int, 0, at)
            if chosen[entry] < 0:
                raise ConfigError(f"{at}{entry}: below 0")
        elif entry in RATES or entry in TIMES:
            value = section[entry]
            if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
                raise ConfigError(f"{at}{entry}: not a number from 0 on")
            chosen[entry] = float(value)
        elif entry in PREFIXES:
            chosen[entry] = field(section, entry, int, 0, at)
            if not 1 <= chosen[entry] <= PREFIXES[entry]:
                raise ConfigError(f"{at}{entry}: not 1 to {PREFIXES[entry]}")
    if "ladder" in section:
        chosen["ladder"] = field(section, "ladder", bool, False, at)
    if "remembered" in section:
        chosen["remembered"] = field(section, "remembered", int, 0, at)
        if not 16 <= chosen["remembered"] <= 10_000_000:
            raise ConfigError(f"{at}remembered: not 16 to 10000000")
    chosen["known"] = tuple(
        network(f"{at}known.{index}", entry)
        for index, entry in enumerate(field(section, "known", list, [], at))
    )
    chosen["shared"] = tuple(
        read_shared(f"{at}shared.{index}", entry)
        for index, entry in enumerate(field(section, "shared", list, [], at))
    )
    if chosen.get("reserve", 0) >= chosen["connections"]:
        raise ConfigError(f"{at}reserve: leaves nothing of {chosen['connections']} connections to strangers")
    return Limits(**chosen)


def network(place: str, value: object) -> Network:
    try:
        return ipaddress.ip_network(str(value) if isinstance(value, str) else "", strict=True)
    except ValueError as problem:
        raise ConfigError(f"{place}: no address and no network: {problem}") from None


def read_shared(place: str, entry: object) -> Shared:
    if not isinstance(entry, dict) or set(entry) != {"network", "clients"}:
        raise ConfigError(f"{place}: not an object of network and clients")
    clients = field(entry, "clients", int, 0, f"{place}.")
    if clients < 1:
        raise ConfigError(f"{place}.clients: under 1")
    return Shared(network(f"{place}.network", entry["network"]), clients)


STORE_CHOICES = {"durability": ("always", "interval", "none"), "on_failure": ("refuse", "serve")}
# Least and most of each size: a record has to fit what a Diameter message holds, a segment some records.
STORE_SIZES = {
    "segment_bytes": (1024 * 1024, 1024**3),
    "record_bytes": (128 * 1024, 16 * 1024 * 1024),
    "store_bytes": (16 * 1024 * 1024, 1024**4),
    "checkpoint_records": (100, 100_000_000),
}


def read_store(record: Mapping[str, Any], folder: pathlib.Path) -> StoreConfig:
    at = "store."
    section = field(record, "store", dict, {})
    known = {item.name for item in dataclasses.fields(StoreConfig)}
    for entry in section:
        if entry not in known:
            raise ConfigError(f"{at}{entry}: unknown field")
    path = folder / name(f"{at}path", section.get("path"))
    chosen: dict[str, Any] = {}
    for entry, choices in STORE_CHOICES.items():
        if entry in section:
            if section[entry] not in choices:
                raise ConfigError(f"{at}{entry}: none of {', '.join(choices)}")
            chosen[entry] = section[entry]
    for entry in ("interval_ms", "stall_ms"):
        if entry in section:
            chosen[entry] = milliseconds(section, entry, 0.0, at)
    for entry, (least, most) in STORE_SIZES.items():
        if entry in section:
            chosen[entry] = field(section, entry, int, 0, at)
            if not least <= chosen[entry] <= most:
                raise ConfigError(f"{at}{entry}: not {least} to {most}")
    made = StoreConfig(path, **chosen)
    if made.record_bytes > made.segment_bytes:
        raise ConfigError(f"{at}record_bytes: over segment_bytes")
    return made


def read_diameter(record: Mapping[str, Any], given: api.Settings) -> DiameterConfig:
    at = "diameter."
    section = field(record, "diameter", dict, {})
    if given.probes or given.peers:
        raise ConfigError("settings.caps: no probes and no peer messages with Diameter")
    clients, servers = field(section, "clients", list, [], at), []
    for index, client in enumerate(clients):
        name(f"{at}clients.{index}", client)
    for index, entry in enumerate(field(section, "servers", list, [], at)):
        place = f"{at}servers.{index}"
        if not isinstance(entry, dict):
            raise ConfigError(f"{place}: not an object")
        servers.append(
            DiameterServer(
                name(f"{place}.host", entry.get("host")),
                check_address(f"{place}.dial", entry.get("dial")),
                field(entry, "number", int, index, f"{place}."),
                field(entry, "zone", str, "", f"{place}."),
            )
        )
    if not clients or not servers:
        raise ConfigError(f"{at}{'servers' if clients else 'clients'}: none named")
    watchdog = milliseconds(section, "watchdog_ms", 30_000.0, at)
    if watchdog < WATCHDOG_LEAST_MS:
        raise ConfigError(f"{at}watchdog_ms: under {WATCHDOG_LEAST_MS:.0f}, the least that RFC 3539 allows")
    return DiameterConfig(
        name(f"{at}host", section.get("host")),
        name(f"{at}realm", section.get("realm")),
        clients,
        servers,
        watchdog,
        milliseconds(section, "sessions_lost_ms", 8_000.0, at),
    )


def name(place: str, value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{place}: no name")
    return value


def milliseconds(record: Mapping[str, Any], entry: str, default: float, inside: str) -> float:
    value = record.get(entry, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise ConfigError(f"{inside}{entry}: not a number above 0")
    return float(value)


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
    if not host or not colon or not port.isdecimal() or len(port) > 5 or not 0 <= int(port) < 65536:
        raise ConfigError(f"{name}: not host:port: {value!r}")
    if NUMERIC.match(host):
        try:
            ipaddress.IPv4Address(host)
        except ValueError:
            raise ConfigError(f"{name}: no IPv4 address: {host!r}") from None
    return str(value)
