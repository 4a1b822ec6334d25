"""The server list between what the event bus sends and what other agents pass on."""

from __future__ import annotations

import orjson
import pytest

from frostport.core.event_position import DifferentStreamError, EventPosition, new_stream_id
from frostport.net.server_list import ServerList
from frostport.platform_side import PlatformSide
from tests.scenario import World, event, host, platform, play


def test_numbers_of_different_starts_cannot_be_compared() -> None:
    first = EventPosition(new_stream_id(), 3)
    second = EventPosition(new_stream_id(), 2)
    assert first.at(2).is_before(first) and not first.is_before(first)
    with pytest.raises(DifferentStreamError):
        second.is_before(first)
    with pytest.raises(TypeError):
        second < first  # type: ignore[operator]  # noqa: B015


def server_list_of(world: World) -> ServerList:
    assert isinstance(world.agent.side, PlatformSide)
    return world.agent.side.server_list


def states(server_list: ServerList) -> dict[str, str]:
    return {address: server.state.value for address, (server, _) in server_list.entries.items()}


def share(world: World, number: int, *hosts: dict[str, object], whole: bool = False) -> None:
    """Another agent passes an event on, with a number of its own count."""
    server_list_of(world).apply_shared_event(orjson.loads(event(number, *hosts, whole=whole)))


def test_older_events_of_the_bus_do_not_undo_a_drain_that_another_agent_passed_on() -> None:
    # Guards against numbers of another agent's count: older events of the own count come first.
    world = play("expect bus from 1", platform())
    server_list = server_list_of(world)
    share(world, 40, host(0, "draining"), host(1, "gone"))
    assert states(server_list) == {"h0": "draining"}
    world.step(f"send bus {event(2, host(0), host(1))}")
    assert states(server_list) == {"h0": "draining"}
    world.step(f"send bus {event(3, host(0, 'draining'))}")
    world.step(f"send bus {event(4, host(1, 'gone'))}")
    assert not server_list.is_of_bus()
    world.step("send bus raw 4\\n")
    assert server_list.is_of_bus() and states(server_list) == {"h0": "draining"}
    world.step(f"send bus {event(5, host(0))}")
    assert states(server_list) == {"h0": "ready"}


def test_the_bus_replaces_what_another_agent_passed_on() -> None:
    world = play("expect bus from 1", platform())
    server_list = server_list_of(world)
    share(world, 1, host(0), whole=True)
    assert states(server_list) == {"h0": "ready"}
    world.step("send bus raw 1\\n")
    assert server_list.is_of_bus() and states(server_list) == {"h0": "ready", "h1": "ready"}
