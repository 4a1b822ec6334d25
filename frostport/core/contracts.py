"""Contracts and budgets: the service levels of each service, and the rate that each team may ask of it.

A contract is the extension `x-frostport-contract` of an operation in a service's OpenAPI 3 or AsyncAPI 3
description. This module reads the decoded description.
"""

from __future__ import annotations

import dataclasses
import math
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from frostport import interface as api
from frostport.core.recorder import Recorder

EXTENSION = "x-frostport-contract"
HTTP_METHODS = ("get", "put", "post", "delete", "options", "head", "patch", "trace")
FIELDS = ("class", "aim_ms", "deadline_ms", "attempts", "set_ups_per_second")
MAX_BUCKETS = 10_000  # above this number, the one not used for longest is removed: its team starts anew
BURST_SECONDS = 1.0  # a team may spend the budget of this many seconds at once
# The share of agents that are out of service goes to the others, up to MAX_SCALE times their own.
SCALE_STEP_PER_SECOND = 0.1
MAX_SCALE = 2.0


class ContractError(ValueError):
    """An invalid contract; the message names the place in the document and the field."""


@dataclass(frozen=True, slots=True)
class Contract:
    """One service's contract; each team has a budget of its own."""

    service: str
    aim_ms: float
    deadline_ms: float
    attempts: int
    set_ups_per_second: float


def read(document: object) -> list[Contract]:
    """Returns the contracts of a description, at most one for each class. Raises ContractError."""
    if not isinstance(document, dict):
        raise ContractError(f"document: expected an object, got {type(document).__name__}")
    contracts: dict[str, Contract] = {}
    for place, content in find_extensions(document):
        contract = parse_contract(place, content)
        if contract.service in contracts:
            raise ContractError(f"{place}.class: a second contract for {contract.service}")
        contracts[contract.service] = contract
    if not contracts:
        raise ContractError(f"document: no operation has {EXTENSION}")
    return list(contracts.values())


def find_extensions(document: Mapping[str, Any]) -> Iterator[tuple[str, object]]:
    """Yields the place and the undecoded content of each contract. Raises ContractError."""
    if str(document.get("openapi", "")).startswith("3."):
        for path, item in object_member(document, "paths").items():
            for method in HTTP_METHODS:
                if isinstance(item, dict) and isinstance(item.get(method), dict):
                    yield from operation_extension(f"paths.{path}.{method}", item[method])
    elif str(document.get("asyncapi", "")).startswith("3."):
        for name, operation in object_member(document, "operations").items():
            if isinstance(operation, dict):
                yield from operation_extension(f"operations.{name}", operation)
    else:
        raise ContractError("document: neither an OpenAPI 3 nor an AsyncAPI 3 description")


def object_member(document: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    """Returns a member of the document that must be an object; an empty one if it is missing."""
    found = document.get(name, {})
    if not isinstance(found, dict):
        raise ContractError(f"{name}: expected an object, got {type(found).__name__}")
    return found


def operation_extension(place: str, operation: Mapping[str, Any]) -> Iterator[tuple[str, object]]:
    """Yields the place and the undecoded content of the operation's contract, if it has one."""
    if EXTENSION in operation:
        yield f"{place}.{EXTENSION}", operation[EXTENSION]


def parse_contract(place: str, content: object) -> Contract:
    """Checks and converts the content of a contract. Raises ContractError."""
    if not isinstance(content, dict):
        raise ContractError(f"{place}: expected an object, got {type(content).__name__}")
    for name in content:
        if name not in FIELDS:
            raise ContractError(f"{place}.{name}: unknown field")
    service = content.get("class")
    if not isinstance(service, str) or not service:
        raise ContractError(f"{place}.class: must be a non-empty string")
    numbers = {name: positive_number(f"{place}.{name}", content.get(name)) for name in FIELDS[1:]}
    if numbers["attempts"] != int(numbers["attempts"]):
        raise ContractError(f"{place}.attempts: not a whole number")
    if numbers["aim_ms"] > numbers["deadline_ms"]:
        raise ContractError(
            f"{place}.aim_ms: {numbers['aim_ms']:g} ms exceeds deadline_ms, {numbers['deadline_ms']:g} ms"
        )
    return Contract(
        service,
        numbers["aim_ms"],
        numbers["deadline_ms"],
        int(numbers["attempts"]),
        numbers["set_ups_per_second"],
    )


def positive_number(place: str, value: object) -> float:
    """Returns the value as a float. Raises ContractError unless it is a finite number above 0."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 < value < math.inf:
        raise ContractError(f"{place}: must be a number above 0, got {value!r:.40}")
    return float(value)


def with_contracts(settings: api.Settings, contracts: Iterable[Contract]) -> api.Settings:
    """Returns the settings with each contract's aim and deadline, and with the classes that only it names."""
    classes = {cls.name: cls for cls in settings.classes}
    for contract in contracts:
        known = classes.get(contract.service) or api.CallClass(contract.service, 0.0, 0.0)
        classes[contract.service] = dataclasses.replace(
            known, aim_ms=contract.aim_ms, deadline_ms=contract.deadline_ms
        )
    return dataclasses.replace(settings, classes=tuple(classes.values()))


class Budgets:
    """One token bucket for each team and service under contract; a service without contract has no limit."""

    def __init__(self, contracts: Iterable[Contract] = ()) -> None:
        self.recorder = Recorder()
        self.contracts = {contract.service: contract for contract in contracts}
        # (team, service) -> tokens, counted at (ms); the one not used for longest first
        self._buckets: OrderedDict[tuple[str, str], tuple[float, float]] = OrderedDict()
        self.scale = 1.0  # multiple of the contracts' rates
        self._scaled_at = -math.inf  # when the scale was last set, ms

    def take_token(self, team: str, service: str, now: float) -> float:
        """Spends a token for a set-up and returns 0; without a token, returns how long until there is one."""
        contract = self.contracts.get(service)
        if contract is None:
            return 0.0
        rate = contract.set_ups_per_second * self.scale
        capacity = max(1.0, rate * BURST_SECONDS)
        tokens, at = self._buckets.get((team, service), (capacity, now))
        tokens = min(capacity, tokens + (now - at) / 1000.0 * rate)
        if tokens >= 1.0:
            self._set_bucket(team, service, (tokens - 1.0, now))
            self.recorder.record_budget(team, service, tokens - 1.0, now)
            return 0.0
        self._set_bucket(team, service, (tokens, now))
        return (1.0 - tokens) / rate * 1000.0

    def set_scale(self, wanted: float, now: float) -> None:
        """Moves this agent's share of the budgets towards `wanted` times the configured one.

        The scale is at most `MAX_SCALE`, and changes by at most `SCALE_STEP_PER_SECOND`."""
        room = (
            SCALE_STEP_PER_SECOND * max(0.0, now - self._scaled_at) / 1000.0
            if self._scaled_at > -math.inf
            else 0.0
        )
        self._scaled_at = now
        wanted = min(MAX_SCALE, max(1.0, wanted))
        self.scale += max(-room, min(room, wanted - self.scale))

    def _set_bucket(self, team: str, service: str, bucket: tuple[float, float]) -> None:
        """Stores a bucket; their number is limited, since clients can make up any number of team names."""
        self._buckets[team, service] = bucket
        self._buckets.move_to_end((team, service))
        if len(self._buckets) > MAX_BUCKETS:
            oldest, _ = self._buckets.popitem(last=False)
            self.recorder.clear_budget(*oldest)

    def _replace_buckets(self, buckets: Mapping[tuple[str, str], tuple[float, float]]) -> None:
        for team, service in self._buckets.keys() - buckets.keys():
            self.recorder.clear_budget(team, service)
        self._buckets = OrderedDict(buckets)

    def restore(self, buckets: Mapping[tuple[str, str], tuple[float, float]]) -> None:
        """Restores the buckets from before a restart: (team, service) -> tokens, counted at (ms).

        Buckets of services that have no contract any more are dropped."""
        self._buckets = OrderedDict(buckets)
        self._replace_buckets({key: bucket for key, bucket in buckets.items() if key[1] in self.contracts})

    def replace_contracts(self, contracts: Iterable[Contract]) -> None:
        """Replaces the contracts; the buckets of services that keep a contract stay as they are."""
        self.contracts = {contract.service: contract for contract in contracts}
        self._replace_buckets(
            {key: bucket for key, bucket in self._buckets.items() if key[1] in self.contracts}
        )

    def deadline_ms(self, service: str, left_ms: float) -> float:
        """Returns the time that a call may take: `left_ms`, limited by its contract."""
        contract = self.contracts.get(service)
        return left_ms if contract is None else min(left_ms, contract.deadline_ms)

    def attempts_exhausted(self, service: str, attempts: int) -> bool:
        """Whether a call that has made `attempts` has used up those of its contract."""
        contract = self.contracts.get(service)
        return contract is not None and attempts >= contract.attempts
