"""The commands of the operators' port that concern this agent."""

from __future__ import annotations

from collections.abc import Callable

from frostport.core.broker import Broker
from frostport.core.lifecycle import DRAINING_PHASES, Lifecycle, Phase
from frostport.net.operator import Operation, OperatorError, parse_argument
from frostport.observe.statsd import StatsdMetrics


class Operations:
    """Implements the commands; `operations` returns them by name.

    A handler takes the text after the command's name and returns the lines of the answer. OperatorError
    becomes an answer with `ERR`."""

    def __init__(self, broker: Broker, lifecycle: Lifecycle, metrics: StatsdMetrics) -> None:
        self.broker = broker
        self.lifecycle = lifecycle
        self.metrics = metrics
        # Why a server ("": this agent) must stay out of rotation; "" if it need not.
        self.held_reason: Callable[[str], str] = lambda name: ""

    def operations(self) -> dict[str, Operation]:
        return {
            "ready": self.ready,
            "drain": self.drain,
            "resume": self.resume,
            "show-stat": self.show_stat,
            "disable-server": self.disable_server,
            "enable-server": self.enable_server,
        }

    def disable_server(self, rest: str) -> list[str]:
        return self._set_rotation(rest, True, "out of rotation")

    def enable_server(self, rest: str) -> list[str]:
        return self._set_rotation(rest, False, "in rotation")

    def _set_rotation(self, rest: str, out: bool, result: str) -> list[str]:
        """`rest`: the name or dial address of a listed server."""
        name = parse_argument(rest)
        if not out and (why := self.held_reason(self.broker.rotation.find_address(name) or name)):
            raise OperatorError(why)
        address = self.broker.set_rotation(name, out)
        if address is None:
            raise OperatorError(f"unknown server {name[:60]!r}")
        return [f"OK {address} {result}"]

    def show_stat(self, _: str) -> list[str]:
        """Returns the metrics as statsd text, with a last line `END`."""
        return [*self.metrics.lines(), "END"]

    def ready(self, _: str) -> list[str]:
        phase = self.lifecycle.phase
        return ["OK yes"] if self.lifecycle.is_ready() else [f"ERR no: {phase.value}"]

    def drain(self, _: str) -> list[str]:
        """Starts a drain; the agent enters DRAINED by itself once nothing is left to drain."""
        phase = self.lifecycle.phase
        if phase in DRAINING_PHASES:
            return [f"OK {phase.value} already"]
        if not self.lifecycle.can_enter(Phase.DRAINING):
            return [f"ERR not while {phase.value}"]
        self.lifecycle.enter(Phase.DRAINING)
        return ["OK draining"]

    def resume(self, _: str) -> list[str]:
        """Ends a drain, unless a maintenance ticket holds this agent out of service."""
        phase = self.lifecycle.phase
        if phase is Phase.SERVING:
            return ["OK serving already"]
        if why := self.held_reason(""):
            return [f"ERR {why}"]
        if phase not in DRAINING_PHASES:
            return [f"ERR not while {phase.value}"]
        self.lifecycle.enter(Phase.SERVING)
        return ["OK serving"]
