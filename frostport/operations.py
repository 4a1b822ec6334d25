"""What staff may ask at the operators' door."""

from __future__ import annotations

from collections.abc import Callable

from frostport.core.broker import Broker
from frostport.core.lifecycle import DRAINS, Lifecycle, Phase
from frostport.net.operator import Operation, OperatorError, parse_argument
from frostport.observe.figures import Figures


class Operations:
    """The calls of the door, by name."""

    def __init__(self, broker: Broker, lifecycle: Lifecycle, figures: Figures) -> None:
        self.broker, self.lifecycle, self.figures = broker, lifecycle, figures
        self.kept: Callable[[str], str] = lambda name: ""  # why a server ("": this agent) stays out

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
        return self._rotate(rest, True, "out of rotation")

    def enable_server(self, rest: str) -> list[str]:
        return self._rotate(rest, False, "in rotation")

    def _rotate(self, rest: str, out: bool, said: str) -> list[str]:
        name = parse_argument(rest)
        if not out and (why := self.kept(self.broker.rotation.find(name) or name)):
            raise OperatorError(why)
        address = self.broker.rotate(name, out)
        if address is None:
            raise OperatorError(f"unknown server {name[:60]!r}")
        return [f"OK {address} {said}"]

    def show_stat(self, _: str) -> list[str]:
        return [*self.figures.lines(), "END"]

    def ready(self, _: str) -> list[str]:
        phase = self.lifecycle.phase
        return ["OK yes"] if self.lifecycle.ready() else [f"ERR no: {phase.value}"]

    def drain(self, _: str) -> list[str]:
        phase = self.lifecycle.phase
        if phase in DRAINS:
            return [f"OK {phase.value} already"]
        if not self.lifecycle.may(Phase.DRAINING):
            return [f"ERR not while {phase.value}"]
        self.lifecycle.enter(Phase.DRAINING)
        return ["OK draining"]

    def resume(self, _: str) -> list[str]:
        phase = self.lifecycle.phase
        if phase is Phase.SERVING:
            return ["OK serving already"]
        if why := self.kept(""):
            return [f"ERR {why}"]
        if phase not in DRAINS:
            return [f"ERR not while {phase.value}"]
        self.lifecycle.enter(Phase.SERVING)
        return ["OK serving"]
