"""Datagrams between call agents: late, lost, and never longer than the platform allows."""

from __future__ import annotations

import logging
import socket
from typing import Any

from twisted.internet import protocol, udp
from twisted.internet.posixbase import PosixReactorBase

from frostport.core.broker import Broker
from frostport.core.rate_limited_log import RateLimitedLog

log = logging.getLogger("frostport.peers")

LONGEST = 256


def split(address: str) -> tuple[str, int]:
    """`host:port` as a pair."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class SharedPort(udp.Port):
    """A datagram port that a second process may bind as well, while both run: an upgrade's overlap.

    Guards the newer process against `address already in use`: the old one holds the port until it ends."""

    def createInternetSocket(self) -> socket.socket:  # noqa: N802 (Twisted's name)
        made: socket.socket = super().createInternetSocket()
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return made


def listen(reactor: Any, address: str, peers: Peers) -> None:
    """Binds the peers' datagrams, shared with a process that upgrades this one, where sockets are real."""
    host, port = split(address)
    if not isinstance(reactor, PosixReactorBase):
        reactor.listenUDP(port, peers, interface=host)
        return
    made: Any = SharedPort(port, peers, interface=host, reactor=reactor)  # type: ignore[no-untyped-call]
    made.startListening()


class Peers(protocol.DatagramProtocol):
    """Sends to peers by their number, and knows a sender by its address."""

    transport: Any = None

    def __init__(self, broker: Broker, addresses: list[str]) -> None:
        self.broker, self.complaints = broker, RateLimitedLog(log)
        self.addresses = [split(address) for address in addresses]
        self.numbers = {address: number for number, address in enumerate(self.addresses)}

    def tell(self, peer: int, data: bytes) -> None:
        if len(data) > LONGEST or not 0 <= peer < len(self.addresses):
            log.warning("message of %d bytes to peer %d not sent", len(data), peer)
        elif self.transport is not None:
            try:
                self.transport.write(data, self.addresses[peer])
            except OSError as problem:  # a datagram may be lost anyway
                log.warning("message to peer %d lost: %s", peer, problem)

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        sender = self.numbers.get((addr[0], addr[1]))
        if sender is None:
            self.complaints.warn(self.broker.clock.now(), addr[0], "message from an unknown address dropped")
        else:
            self.broker.peer_message_received(sender, datagram)
