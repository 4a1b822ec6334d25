"""Composes Diameter on both sides of a call agent; imported only if the configuration has `diameter`."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from twisted.internet.protocol import Factory

from frostport.config import Config
from frostport.diameter.front import DiameterFront
from frostport.diameter.peer import Identity
from frostport.diameter.route import DiameterRoute
from frostport.net import peer_close
from frostport.net.peers import split
from frostport.platform_side import AgentParts, FrontFactory

if TYPE_CHECKING:  # loaded only where a store is set
    from frostport.state.records import Standing
    from frostport.state.recovery import Restored


class DiameterSide:
    """Diameter to clients and servers, with the peers from the configuration."""

    def __init__(self, agent: AgentParts) -> None:
        config = agent.config
        settings = agent.config.diameter
        assert settings is not None
        identity = self.identity = Identity(
            settings.host, settings.realm, int(agent.clock.now() / 1000.0), split(config.listen)[0]
        )
        rng = random.Random(config.seed)
        numbers = {server.host: server.number for server in settings.servers}
        self.front = DiameterFront(
            agent.broker,
            agent.lifecycle,
            identity,
            settings.clients,
            numbers,
            settings.watchdog_ms,
            rng,
            agent.gate,
            peer_close.closed_by_peer,
        )
        self.route = DiameterRoute(
            agent.broker,
            self.front,
            identity,
            settings.servers,
            settings.watchdog_ms,
            settings.sessions_lost_ms,
            rng,
            agent.connect,
        )
        agent.broker.route = self.route

    def factory(self) -> Factory:
        """Returns the factory of client connections."""
        return FrontFactory(self.front.build)

    def start(self) -> None:
        """Starts connecting to the servers."""
        self.route.start()

    def reload(self, config: Config) -> None:
        """Does nothing: no setting of Diameter is reloaded."""

    def restore(self, restored: Restored) -> None:
        """Restores the Origin-State-Id, the sessions, and the pending releases to clients."""
        if restored.state_id is not None:
            self.identity.state_id = restored.state_id
        for call, record in restored.established.items():
            self.adopt_call(call, record)
        self._restore_ended_sessions(restored)
        self.front.resume(restored.pending_ends, restored.recorded_answer)

    def adopt_call(self, call: str, record: Standing) -> None:
        """Takes over an established call: restores its session."""
        self.front.resume_session(call, record.client, record.team, "stands", record.answer)

    def _restore_ended_sessions(self, restored: Restored) -> None:
        """Restores the sessions of ended calls, so that repeated requests get the same answer."""
        for call, ended in restored.over.items():
            if ended.answer != "gone" and call not in self.front.sessions:
                self.front.resume_session(
                    call, ended.client, "", ended.answer, ended.body, ended.ended_by, ended.at
                )

    def restore_from_predecessor(self, restored: Restored) -> None:
        """Takes over the ended sessions and pending releases of the predecessor; called while serving."""
        self._restore_ended_sessions(restored)
        self.front.resume(restored.pending_ends, restored.recorded_answer)
        self.route.resume({}, restored.releases)

    def restore_pending_releases(self, restored: Restored) -> None:
        """Restores the peers and the pending releases to servers; called once the servers are known."""
        self.route.resume(restored.peers, restored.releases)

    def knows_server(self, server: str) -> bool:
        """Whether this server is known, so that calls may be established there."""
        return server in self.route.servers

    def disconnect(self) -> None:
        """Disconnects from all peers; the route opens no further connection."""
        self.route.stopping = True
        self.front.disconnect()
        self.route.disconnect()
