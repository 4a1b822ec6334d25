"""Composes the platform protocol of a call agent; `diameter_side.py` composes Diameter."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol as Wire

from frostport.admission.gate import Gate
from frostport.admission.resources import Owner
from frostport.config import Config
from frostport.core.broker import Broker
from frostport.core.clock import Clock
from frostport.core.lifecycle import Lifecycle
from frostport.net.bus import EventBus
from frostport.net.front import PlatformFront
from frostport.net.peers import Peers
from frostport.net.peers import listen as listen_peers
from frostport.net.server_list import ServerList
from frostport.net.upstream_pool import UpstreamPool

if TYPE_CHECKING:  # loaded only where a store is set
    from frostport.state.records import Standing
    from frostport.state.recovery import Restored

CONNECT_TIMEOUT_MS = 500.0  # default, if the settings give none


class AgentParts(Protocol):
    """The parts of the agent that a side uses."""

    config: Config
    reactor: Any
    broker: Broker
    lifecycle: Lifecycle
    gate: Gate
    clock: Clock

    @property
    def connect(self) -> Any:
        """See `Agent.connect`."""


class PlatformSide:
    """The platform protocol: JSON lines to clients and servers, the event bus, datagrams to other agents."""

    def __init__(self, agent: AgentParts) -> None:
        self.agent = agent
        config = agent.config
        self.front = PlatformFront(agent.broker, agent.lifecycle, agent.gate)
        self.route = UpstreamPool(
            agent.broker, self.front, agent.connect, config.settings.connect_timeout_ms or CONNECT_TIMEOUT_MS
        )
        agent.broker.route = self.route
        guaranteed = agent.gate.descriptors.guaranteed
        guaranteed[Owner.BUS] = 2 if config.bus else 0  # one that may be late, and one that is asked
        self.route.on_connection_limit = partial(guaranteed.__setitem__, Owner.SERVERS)
        self.server_list = ServerList(agent.broker, self.route)
        self.bus = EventBus(self.server_list, config.bus, agent.connect, random.Random(config.seed))

    def factory(self) -> Factory:
        """Returns the factory of client connections."""
        return FrontFactory(self.front.build)

    def start(self) -> None:
        """Opens the port for peers, loads the configured server list, and connects to servers and bus."""
        agent = self.agent
        config = self.agent.config
        if config.peer_listen:
            peers = Peers(agent.broker, config.peers)
            listen_peers(agent.reactor, config.peer_listen, peers)
            agent.gate.descriptors.acquire(Owner.PEERS)
            agent.broker.send_to_peer = peers.send
        self.server_list.load_known(config.known, config.offset)
        self.route.start()
        self.bus.start()

    def reload(self, config: Config) -> None:
        """Applies the address of the bus, which is the only setting reloaded here."""
        self.bus.change_address(config.bus)

    def restore(self, restored: Restored) -> None:
        """Restores the server list, and the pending releases to clients."""
        self.server_list.resume([(server, dial) for server, dial, _ in restored.servers.values() if dial])
        self.front.releases.resume(restored.pending_ends, restored.recorded_answer)

    def restore_pending_releases(self, restored: Restored) -> None:
        """Restores the pending releases to servers; called once the servers are known."""
        self.route.resume(restored.releases)

    def adopt_call(self, call: str, record: Standing) -> None:
        """Takes over an established call; the platform protocol keeps no state for it."""

    def restore_from_predecessor(self, restored: Restored) -> None:
        """Takes over the pending releases of the predecessor; called while serving."""
        self.front.releases.resume(restored.pending_ends, restored.recorded_answer)
        self.route.resume(restored.releases)

    def knows_server(self, server: str) -> bool:
        """Whether this server is known, so that calls may be established there."""
        return server in self.route.servers

    def disconnect(self) -> None:
        """Sends nothing: established calls go on without this process."""


class FrontFactory(Factory):
    """Builds the front's protocol for each accepted connection; `build` takes the peer's address."""

    noisy = False

    def __init__(self, build: Callable[[str], Wire | None]) -> None:
        self.build = build

    def buildProtocol(self, addr: IAddress | None) -> Wire | None:  # noqa: N802 (Twisted's name)
        return self.build(str(getattr(addr, "host", "")))
