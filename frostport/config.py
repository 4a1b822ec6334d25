"""The configuration of the agent: one JSON file. An error names the field at fault.

The field names of `Config` and `StoreConfig` are compared and read by name (see agent.py).
"""

from __future__ import annotations

import dataclasses
import ipaddress
import math
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
from frostport.net.jsonl import BadLineError
from frostport.net.server_list import parse_event
from frostport.settings import SettingsError

if TYPE_CHECKING:
    from frostport.config_fleet import FleetConfig
    from frostport.startup.settings import Settings as StartupSettings

CONFIG_VARIABLE = "PROXY_CONFIG"
OPERATOR_VARIABLE = "PROXY_OPERATOR"  # address of the operators' port; overrides `operator` in the file
LISTEN_FD_VARIABLE = "PROXY_LISTEN_FD"  # descriptor of an inherited listening socket for clients, on upgrades
MIN_SOCKETS = 32
NUMERIC_HOST = re.compile(r"[0-9.]+\Z")
MIN_WATCHDOG_MS = 6000.0  # RFC 3539, 3.4.1


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one call agent."""

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
    admission: Limits = dataclasses.field(default_factory=lambda: Limits(max_client_connections(1024)))
    operator: str | None = None  # address of the operators' port
    fleet: FleetConfig | None = None
    startup: StartupSettings | None = None  # for a cold start together with many other agents


@dataclass(frozen=True, slots=True)
class StoreConfig:
    """The `store` part: where the state that survives a crash is kept, and what happens if that fails."""

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
    """An invalid configuration; the message begins with the field."""


def find_path(named: str | None, environment: Mapping[str, str]) -> pathlib.Path:
    """Returns the path of the configuration file. Raises ConfigError if there is none."""
    path = named or environment.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError(f"{CONFIG_VARIABLE}: not set, and no file given with --config")
    return pathlib.Path(path)


def apply_environment(config: Config, environment: Mapping[str, str]) -> Config:
    """Applies settings of the process environment, which override the file: the operators' port."""
    operator = environment.get(OPERATOR_VARIABLE)
    if operator:
        config = dataclasses.replace(config, operator=check_address(OPERATOR_VARIABLE, operator))
    return config


def inherited_listener(environment: Mapping[str, str]) -> int | None:
    """Returns the descriptor of an inherited listening socket, None if the environment names none.

    Raises ConfigError if it is not a listening IPv4 TCP socket."""
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
    """Reads a configuration file. Raises ConfigError."""
    try:
        record = orjson.loads(path.read_bytes())
    except OSError as problem:
        raise ConfigError(f"file: cannot read {path}: {problem.strerror or problem}") from None
    except orjson.JSONDecodeError as problem:
        raise ConfigError(f"file: not JSON: {problem}") from None
    try:
        return read(record, path.parent)
    except RecursionError:
        raise ConfigError("file: nested too deep") from None


def read_yaml(text: str | bytes) -> Any:
    """Parses YAML. Raises ValueError."""
    import yaml  # imported only if a YAML file is read

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as problem:
        raise ValueError(str(problem)) from None


def load_contracts(path: pathlib.Path) -> list[Contract]:
    """Reads the contracts of one service description, JSON or YAML. Raises ConfigError."""
    try:
        text = path.read_bytes()
        document = orjson.loads(text) if path.suffix == ".json" else read_yaml(text)
        return contracts.read(document)
    except OSError as problem:
        raise ConfigError(f"{path.name}: {problem.strerror or problem}") from None
    except ValueError as problem:
        raise ConfigError(
            f"{path.name}: invalid service description: {' '.join(str(problem).split())}"
        ) from None
    except ContractError as problem:
        raise ConfigError(f"{path.name}: {problem}") from None


def read_contracts(record: Mapping[str, Any], folder: pathlib.Path) -> tuple[Contract, ...]:
    """Reads the contracts of all files that the configuration names. Raises ConfigError.

    A class of call may have only one contract."""
    found: dict[str, Contract] = {}
    for index, file in enumerate(read_field(record, "contracts", list, [])):
        for contract in load_contracts(folder / read_name(f"contracts.{index}", file)):
            if contract.service in found:
                raise ConfigError(f"contracts.{index}: a second contract for {contract.service}")
            found[contract.service] = contract
    return tuple(found.values())


def read(record: object, folder: pathlib.Path = pathlib.Path()) -> Config:
    """Reads a decoded configuration; relative paths in it start from `folder`. Raises ConfigError."""
    if not isinstance(record, dict):
        raise ConfigError(f"file: expected a JSON object, got {type(record).__name__}")
    reader = settings.SettingsReader(settings.flatten(read_field(record, "settings", dict, {})))
    try:
        call_settings = settings.read(reader)
        grace = reader.number("rules.drain-grace-ms", 0.0)
    except SettingsError as problem:
        raise ConfigError(f"settings.{problem}") from None
    if not call_settings.classes:
        raise ConfigError("settings.services: must define at least one class of call")
    known = read_field(record, "known", dict, {})
    batch = read_field(known, "batch", list, [], "known.")
    for index, event in enumerate(batch):
        if not isinstance(event, dict):
            raise ConfigError(f"known.batch.{index}: expected an object, got {type(event).__name__}")
        try:
            parse_event(event)
        except BadLineError as problem:
            raise ConfigError(f"known.batch.{index}.{problem}") from None
    seed = record.get("seed", 0)
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigError("seed: neither a hexadecimal string nor a number") from None
    peers = read_field(record, "peers", list, [])
    limits = read_field(record, "limits", dict, {})
    sockets = read_field(limits, "sockets", int, 1024, "limits.")
    if sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: must be at least {MIN_SOCKETS}, got {sockets}")
    return Config(
        name=read_field(record, "name", str, ""),
        listen=read_address(record, "listen") or "",
        seed=seed,
        settings=call_settings,
        drain_grace_ms=grace,
        sockets=sockets,
        bus=read_address(record, "bus", optional=True),
        known=batch,
        offset=read_field(known, "offset", int, 0, "known."),
        peer_listen=read_address(record, "peer_listen", optional=True),
        peers=[check_address(f"peers.{index}", peer) for index, peer in enumerate(peers)],
        diameter=read_diameter(record, call_settings) if "diameter" in record else None,
        contracts=read_contracts(record, folder),
        store=read_store(record, folder) if "store" in record else None,
        admission=read_admission(record, sockets, read_memory_mb(limits)),
        operator=read_address(record, "operator", optional=True),
        fleet=read_fleet(record, folder) if "fleet" in record else None,
        startup=read_startup(record) if "startup" in record else None,
    )


def read_startup(record: Mapping[str, Any]) -> StartupSettings:
    """Reads the `startup` part. Raises ConfigError."""
    from frostport import config_startup  # imported only if configured

    return config_startup.read(record)


def read_fleet(record: Mapping[str, Any], folder: pathlib.Path) -> FleetConfig:
    """Reads the `fleet` part; relative paths in it start from `folder`. Raises ConfigError."""
    from frostport import config_fleet  # imported only if configured

    return config_fleet.read(record, folder)


RESERVED_SOCKETS = 64  # descriptors kept for servers, the event bus, peers and the process itself


def max_client_connections(sockets: int) -> int:
    """Returns how many client connections are accepted, so that enough descriptors are left for the rest."""
    return max(sockets // 2, sockets - RESERVED_SOCKETS)


DEFAULT_MEMORY_MB = 192  # the least that the platform gives
BUFFER_SHARE = 4  # a quarter of the memory limit may be held for clients
MEGABYTE = 1024 * 1024


def read_memory_mb(limits: Mapping[str, Any]) -> float:
    """Reads the memory limit of the process, in MB. Raises ConfigError."""
    value = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
        raise ConfigError(f"limits.memory_mb: must be a number above 0, got {value!r:.40}")
    return float(value)


# Fields of the `admission` part, by how their values are checked.
COUNT_FIELDS = (
    "by_address",
    "by_prefix",
    "unidentified",
    "by_team",
    "reserve",
    "buffered_bytes",
    "buffered_connection_bytes",
)
RATE_FIELDS = ("address_a_second", "address_burst", "prefix_a_second", "prefix_burst")
TIME_FIELDS = ("earned_ms", "back_off_ms", "back_off_most_ms")
PREFIX_FIELDS = {"ipv4_prefix": 32, "ipv6_prefix": 128}


def read_admission(record: Mapping[str, Any], sockets: int, memory_mb: float) -> Limits:
    """Reads the `admission` part, which may be missing. Raises ConfigError.

    The limit of client connections follows from `sockets`, the descriptors of the process; that of the bytes
    held for them from `memory_mb`, its memory, if the part has none."""
    prefix = "admission."
    section = read_field(record, "admission", dict, {})
    field_names = {
        *COUNT_FIELDS,
        *RATE_FIELDS,
        *TIME_FIELDS,
        *PREFIX_FIELDS,
        "known",
        "shared",
        "ladder",
        "remembered",
    }
    for entry in section:
        if entry not in field_names:
            raise ConfigError(f"{prefix}{entry}: unknown field")
    values: dict[str, Any] = {
        "connections": max_client_connections(sockets),
        "buffered_bytes": int(memory_mb * MEGABYTE / BUFFER_SHARE),
    }
    for entry in section:
        if entry in COUNT_FIELDS:
            values[entry] = read_field(section, entry, int, 0, prefix)
            if values[entry] < 0:
                raise ConfigError(f"{prefix}{entry}: must not be negative")
        elif entry in RATE_FIELDS or entry in TIME_FIELDS:
            value = section[entry]
            if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
                raise ConfigError(f"{prefix}{entry}: must be a number of at least 0, got {value!r:.40}")
            values[entry] = float(value)
        elif entry in PREFIX_FIELDS:
            values[entry] = read_field(section, entry, int, 0, prefix)
            if not 1 <= values[entry] <= PREFIX_FIELDS[entry]:
                raise ConfigError(f"{prefix}{entry}: must be 1 to {PREFIX_FIELDS[entry]}")
    if "ladder" in section:
        values["ladder"] = read_field(section, "ladder", bool, False, prefix)
    if "remembered" in section:
        values["remembered"] = read_field(section, "remembered", int, 0, prefix)
        if not 16 <= values["remembered"] <= 10_000_000:
            raise ConfigError(f"{prefix}remembered: must be 16 to 10000000")
    values["known"] = tuple(
        parse_network(f"{prefix}known.{index}", entry)
        for index, entry in enumerate(read_field(section, "known", list, [], prefix))
    )
    values["shared"] = tuple(
        read_shared(f"{prefix}shared.{index}", entry)
        for index, entry in enumerate(read_field(section, "shared", list, [], prefix))
    )
    if values.get("reserve", 0) >= values["connections"]:
        raise ConfigError(
            f"{prefix}reserve: {values['reserve']} connections reserved for known clients leave none of "
            f"{values['connections']} to unknown clients"
        )
    return Limits(**values)


def parse_network(field_path: str, value: object) -> Network:
    """Parses an IPv4 or IPv6 address or network; one with host bits set is invalid. Raises ConfigError."""
    try:
        return ipaddress.ip_network(str(value) if isinstance(value, str) else "", strict=True)
    except ValueError as problem:
        raise ConfigError(f"{field_path}: neither an address nor a network: {problem}") from None


def read_shared(field_path: str, entry: object) -> Shared:
    """Reads an entry of `admission.shared`: a network, and how many clients share it. Raises ConfigError."""
    if not isinstance(entry, dict) or set(entry) != {"network", "clients"}:
        raise ConfigError(f"{field_path}: expected an object with the fields network and clients only")
    clients = read_field(entry, "clients", int, 0, f"{field_path}.")
    if clients < 1:
        raise ConfigError(f"{field_path}.clients: must be at least 1")
    return Shared(parse_network(f"{field_path}.network", entry["network"]), clients)


STORE_CHOICES = {"durability": ("always", "interval", "none"), "on_failure": ("refuse", "serve")}
# Minimum and maximum: a record has to hold the content of a Diameter message, and a segment several records.
STORE_SIZES = {
    "segment_bytes": (1024 * 1024, 1024**3),
    "record_bytes": (128 * 1024, 16 * 1024 * 1024),
    "store_bytes": (16 * 1024 * 1024, 1024**4),
    "checkpoint_records": (100, 100_000_000),
}


def read_store(record: Mapping[str, Any], folder: pathlib.Path) -> StoreConfig:
    """Reads the `store` part; a relative path in it starts from `folder`. Raises ConfigError."""
    prefix = "store."
    section = read_field(record, "store", dict, {})
    field_names = {item.name for item in dataclasses.fields(StoreConfig)}
    for entry in section:
        if entry not in field_names:
            raise ConfigError(f"{prefix}{entry}: unknown field")
    path = folder / read_name(f"{prefix}path", section.get("path"))
    values: dict[str, Any] = {}
    for entry, choices in STORE_CHOICES.items():
        if entry in section:
            if section[entry] not in choices:
                raise ConfigError(f"{prefix}{entry}: must be one of {', '.join(choices)}")
            values[entry] = section[entry]
    for entry in ("interval_ms", "stall_ms"):
        if entry in section:
            values[entry] = read_positive_ms(section, entry, 0.0, prefix)
    for entry, (minimum, maximum) in STORE_SIZES.items():
        if entry in section:
            values[entry] = read_field(section, entry, int, 0, prefix)
            if not minimum <= values[entry] <= maximum:
                raise ConfigError(f"{prefix}{entry}: must be {minimum} to {maximum}")
    store = StoreConfig(path, **values)
    if store.record_bytes > store.segment_bytes:
        raise ConfigError(
            f"{prefix}record_bytes: {store.record_bytes} exceeds segment_bytes, {store.segment_bytes}"
        )
    return store


def read_diameter(record: Mapping[str, Any], call_settings: api.Settings) -> DiameterConfig:
    """Reads the `diameter` part. Raises ConfigError, also if `call_settings` are not supported with it."""
    prefix = "diameter."
    section = read_field(record, "diameter", dict, {})
    if call_settings.probes or call_settings.peers:
        raise ConfigError("settings.caps: probes and peer messages are not supported with Diameter")
    clients = read_field(section, "clients", list, [], prefix)
    servers = []
    for index, client in enumerate(clients):
        read_name(f"{prefix}clients.{index}", client)
    for index, entry in enumerate(read_field(section, "servers", list, [], prefix)):
        field_path = f"{prefix}servers.{index}"
        if not isinstance(entry, dict):
            raise ConfigError(f"{field_path}: expected an object, got {type(entry).__name__}")
        servers.append(
            DiameterServer(
                read_name(f"{field_path}.host", entry.get("host")),
                check_address(f"{field_path}.dial", entry.get("dial")),
                read_field(entry, "number", int, index, f"{field_path}."),
                read_field(entry, "zone", str, "", f"{field_path}."),
            )
        )
    if not clients or not servers:
        raise ConfigError(f"{prefix}{'servers' if clients else 'clients'}: must name at least one")
    watchdog = read_positive_ms(section, "watchdog_ms", 30_000.0, prefix)
    if watchdog < MIN_WATCHDOG_MS:
        raise ConfigError(f"{prefix}watchdog_ms: below {MIN_WATCHDOG_MS:.0f}, the minimum of RFC 3539")
    return DiameterConfig(
        read_name(f"{prefix}host", section.get("host")),
        read_name(f"{prefix}realm", section.get("realm")),
        clients,
        servers,
        watchdog,
        read_positive_ms(section, "sessions_lost_ms", 8_000.0, prefix),
    )


def read_name(field_path: str, value: object) -> str:
    """Returns `value` unchanged if it is a non-empty string. Raises ConfigError otherwise."""
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{field_path}: must be a non-empty string")
    return value


def read_positive_ms(record: Mapping[str, Any], entry: str, default: float, prefix: str) -> float:
    """Returns the time in ms in a field, or `default` if the field is missing. Raises ConfigError."""
    value = record.get(entry, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise ConfigError(f"{prefix}{entry}: must be a number above 0, got {value!r:.40}")
    return float(value)


def read_field(record: Mapping[str, Any], name: str, kind: type, default: Any, prefix: str = "") -> Any:
    """Returns a field's value, or `default` if the field is missing. Raises ConfigError on another type.

    A boolean is not taken for an integer. `prefix` is the path of `record` in the file, with a dot."""
    value = record.get(name, default)
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise ConfigError(
            f"{prefix}{name}: expected a value of type {kind.__name__}, got {type(value).__name__}"
        )
    return value


def read_address(record: Mapping[str, Any], name: str, optional: bool = False) -> str | None:
    """Returns the `host:port` in a field; None if it is missing and `optional`. Raises ConfigError."""
    value = record.get(name)
    if value is None and optional:
        return None
    return check_address(name, value)


def check_address(name: str, value: object) -> str:
    """Returns `value` unchanged if it is `host:port`. Raises ConfigError, which begins with `name`."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not colon or not port.isdecimal() or len(port) > 5 or not 0 <= int(port) < 65536:
        raise ConfigError(f"{name}: not host:port: {value!r}")
    if NUMERIC_HOST.match(host):
        try:
            ipaddress.IPv4Address(host)
        except ValueError:
            raise ConfigError(f"{name}: not an IPv4 address: {host!r}") from None
    return str(value)
