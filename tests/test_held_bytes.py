"""What the agent holds for its clients is bounded in bytes, on both fronts."""

from __future__ import annotations

from tests import diameter, test_diameter, test_platform
from tests.diameter import DiameterWorld
from tests.scenario import platform, play


def test_an_established_call_does_not_hold_its_description() -> None:
    # Guards against descriptions of 16 KiB that are held for as long as calls stand, and never sent again.
    for world in (
        play(test_platform.ESTABLISHED, platform()),
        play(test_diameter.ESTABLISHED, diameter.config(), DiameterWorld),
    ):
        (request,) = world.agent.broker.requests
        assert len(request.description) == 0
