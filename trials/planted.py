"""Starts an agent with a defect planted in it: `python -m trials.planted DEFECT ARGUMENT ...`.

Each defect breaks one rule on purpose, and the checker has to find it. The names of the functions are
the choices of `--planted`.
"""

from __future__ import annotations

import dataclasses
import sys
from collections.abc import Callable, Iterable
from typing import Any

from frostport import interface as api
from frostport import settings
from frostport.cli import main
from frostport.core.broker import Broker
from frostport.core.liveness_sweep import LivenessSweep
from frostport.net.front import PlatformFront
from frostport.net.upstream_pool import UpstreamPool


def release_not_sent() -> None:
    """The release of a call by its client is not sent on: the call stays established at its server."""
    setattr(UpstreamPool, "release", lambda self, attempt: None)  # noqa: B010 (mypy knows it as a method)


def guard_left_out() -> None:
    """The release guard is 0."""
    original = settings.read

    def read(conf: settings.SettingsReader) -> api.Settings:
        return dataclasses.replace(original(conf), release_guard_ms=0.0)

    setattr(settings, "read", read)  # noqa: B010


def drain_ignored() -> None:
    """A draining server counts as ready until it is gone."""
    original: Any = Broker.update_server_list

    def update_server_list(
        self: Broker, kind: api.ListKind, version: int, servers: Iterable[api.Server], dials: Any = None
    ) -> Any:
        changed = [
            dataclasses.replace(server, state=api.Lifecycle.READY)
            if server.state is api.Lifecycle.DRAINING
            else server
            for server in servers
        ]
        return original(self, kind, version, changed, dials)

    setattr(Broker, "update_server_list", update_server_list)  # noqa: B010


def answer_twice() -> None:
    """An answer is written to its client twice."""
    original: Any = PlatformFront.call_established

    def call_established(self: PlatformFront, request: Any, description: Any) -> None:
        connection = self.connections.get(request.connection_id)
        original(self, request, description)
        if connection is not None:
            connection.open_set_ups[request.id] = request
            original(self, request, description)

    setattr(PlatformFront, "call_established", call_established)  # noqa: B010


def attempts_for_the_gone() -> None:
    """Attempts are made for a client that has closed its connection or cancelled its set-up."""
    setattr(Broker, "gone", lambda self, request: None)  # noqa: B010
    setattr(PlatformFront, "is_waiting", lambda self, request: True)  # noqa: B010


def silence_ignored() -> None:
    """Silent servers are not detected."""
    setattr(LivenessSweep, "sweep", lambda self: None)  # noqa: B010


DEFECTS: dict[str, Callable[[], None]] = {
    defect.__name__: defect
    for defect in (
        release_not_sent,
        guard_left_out,
        drain_ignored,
        answer_twice,
        attempts_for_the_gone,
        silence_ignored,
    )
}

if __name__ == "__main__":
    DEFECTS[sys.argv[1]]()
    sys.exit(main(sys.argv[2:]))
