"""Reads the decision module's settings from path=value pairs of the simulator's wire or from nested JSON."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, TypeVar

from frostport import interface as api

ABSENT = "-"  # stands for an absent value on the wire
EnumType = TypeVar("EnumType", bound=Enum)


class SettingsError(ValueError):
    """A setting that can't be read; `field` is its path, `problem` the reason."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Nested JSON as path=value pairs, in the form of the simulator's `launch` line.

    A list of scalars becomes one value separated by commas. A list with objects or lists in it becomes a
    `.count` and a numbered path for each item. Null values are left out.
    """
    if isinstance(value, dict):
        pairs: dict[str, str] = {}
        for name, item in value.items():
            pairs.update(flatten(item, f"{path}.{name}" if path else str(name)))
        return pairs
    if isinstance(value, list):
        if any(isinstance(item, dict | list) for item in value):
            pairs = {f"{path}.count": str(len(value))}
            for index, item in enumerate(value):
                pairs.update(flatten(item, f"{path}.{index}"))
            return pairs
        return {path: ",".join(scalar_text(item) for item in value)}
    return {} if value is None else {path: scalar_text(value)}


def scalar_text(value: Any) -> str:
    """A JSON scalar as the wire writes it: `true` and `false` in lower case."""
    return ("true" if value else "false") if isinstance(value, bool) else str(value)


class SettingsReader:
    """Typed access to path=value pairs: unknown paths are ignored, absent ones give the default.

    A value that can't be read raises what `error` makes of its path and the problem.
    """

    def __init__(
        self, pairs: Mapping[str, str], error: Callable[[str, str], Exception] = SettingsError
    ) -> None:
        self._pairs = pairs
        self._error = error

    def text(self, path: str, default: str = "") -> str:
        return self._pairs.get(path, default)

    def _number(self, path: str, text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            raise self._error(path, f"not a number: {text!r}") from None
        if not math.isfinite(value):
            raise self._error(path, f"not a finite number: {text!r}")
        return value

    def number(self, path: str, default: float) -> float:
        """A finite number."""
        return self._number(path, self._pairs[path]) if path in self._pairs else default

    def integer(self, path: str, default: int) -> int:
        """A number without its fraction."""
        return int(self.number(path, default))

    def flag(self, path: str) -> bool:
        """True for `true` or `1`; false for `false` or `0`, and if absent."""
        value = self._pairs.get(path, "false")
        if value not in ("true", "false", "1", "0"):
            raise self._error(path, f"not true or false: {value!r}")
        return value in ("true", "1")

    def one_of(self, path: str, kind: type[EnumType], default: EnumType) -> EnumType:
        """The member of an enumeration that has this value."""
        try:
            return kind(self._pairs[path]) if path in self._pairs else default
        except ValueError:
            words = ", ".join(str(member.value) for member in kind)
            raise self._error(path, f"must be one of {words}, got {self._pairs[path]!r}") from None

    def words(self, path: str) -> list[str]:
        """Values separated by commas; none if absent."""
        value = self._pairs.get(path, "")
        return value.split(",") if value not in ("", ABSENT) else []

    def numbers(self, path: str) -> tuple[float, ...]:
        """Finite numbers separated by commas; none if absent."""
        return tuple(self._number(path, part) for part in self.words(path))

    def integers(self, path: str) -> tuple[int, ...]:
        """The values of `numbers` without their fractions."""
        return tuple(int(value) for value in self.numbers(path))


def read(conf: SettingsReader) -> api.Settings:
    """The decision module's settings; what is absent keeps the defaults of interface.py.

    A class without an aim gets its deadline as aim.
    """
    defaults = api.Settings(classes=())
    classes = []
    holding_ms = conf.numbers("family-info.holding-ms")
    for index in range(conf.integer("services.count", 0)):
        prefix = f"services.{index}."
        pools = f"family-info.pools-by-class.{index}"
        deadline_ms = conf.number(prefix + "deadline-ms", 0.0)
        classes.append(
            api.CallClass(
                name=conf.text(prefix + "name"),
                aim_ms=conf.number(prefix + "aim-ms", deadline_ms),
                deadline_ms=deadline_ms,
                gain=conf.number(prefix + "gain", 1.0),
                late_worth=conf.number(prefix + "late-worth", 0.0),
                effect=conf.one_of(prefix + "effect", api.Effect, api.Effect.PURE),
                key_scope=conf.text(prefix + "key-scope", "all"),
                window_ms=conf.number(prefix + "window-ms", 0.0),
                holding_ms=holding_ms[index] if index < len(holding_ms) else 0.0,
                pools=conf.integers(pools) or None if conf.text("family-info.topology") == "pools" else None,
            )
        )
    tenants = tuple(
        api.Tenant(
            conf.text(f"tenants.{index}.name"),
            conf.number(f"tenants.{index}.quota-per-s", 0.0),
            conf.number(f"tenants.{index}.share", 0.0),
        )
        for index in range(conf.integer("tenants.count", 0))
    )
    return api.Settings(
        classes=tuple(classes),
        tenants=tenants,
        me=conf.integer("me", defaults.me),
        siblings=conf.integer("siblings", defaults.siblings),
        home_number=conf.integer("family-info.home-no", defaults.home_number),
        step_ms=conf.number("step-ms", defaults.step_ms),
        retransmit_ms=conf.number("family-info.retransmit-ms", defaults.retransmit_ms),
        release_guard_ms=conf.number("family-info.release-guard-ms", defaults.release_guard_ms),
        gives_wait=conf.flag("family-info.gives-wait"),
        cold_from=conf.number("rules.cold-from", defaults.cold_from),
        cold_ms=conf.number("rules.cold-ms", defaults.cold_ms),
        fall_multiple=conf.number("rules.fall-multiple", defaults.fall_multiple),
        fall_ms=conf.number("rules.fall-ms", defaults.fall_ms),
        over_share_worth=conf.number("over-share-worth", defaults.over_share_worth),
        try_limit=conf.integer("caps.try-limit", defaults.try_limit),
        may_cancel=conf.flag("caps.may-cancel"),
        peers=conf.flag("caps.peers"),
        probes=conf.flag("caps.probes"),
        retry_after=conf.flag("caps.retry-after"),
        max_retry_after_ms=conf.number("caps.max-retry-after-ms", defaults.max_retry_after_ms),
        connect_timeout_ms=conf.number("caps.connect-timeout-ms", defaults.connect_timeout_ms),
        late_fail_price=conf.number("prices.late-fail", defaults.late_fail_price),
        subscribe=conf.text("discovery") == "subscribe",
        report_columns=tuple(conf.words("report.columns")),
    )
