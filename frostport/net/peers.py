"""Unreliable datagrams between the call agents that the platform's configuration lists as peers."""

from __future__ import annotations

import logging
import socket
from typing import Any

from twisted.internet import protocol, udp
from twisted.internet.posixbase import PosixReactorBase

from frostport.core.broker import Broker
from frostport.core.rate_limited_log import RateLimitedLog

log = logging.getLogger("frostport.peers")

MAX_DATAGRAM_BYTES = 256


def split(address: str) -> tuple[str, int]:
    """Splits `host:port`. Raises ValueError where the port is not a number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class SharedPort(udp.Port):
    """A datagram port that two processes may bind during an upgrade (SO_REUSEPORT).

    Otherwise the successor would fail with `address already in use` until its predecessor ends."""

    def createInternetSocket(self) -> socket.socket:  # noqa: N802 (Twisted's name)
        sock: socket.socket = super().createInternetSocket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return sock


def listen(reactor: Any, address: str, peers: Peers) -> None:
    """Binds the datagram port; on a reactor with real sockets, shared by both processes of an upgrade."""
    host, port = split(address)
    if not isinstance(reactor, PosixReactorBase):
        reactor.listenUDP(port, peers, interface=host)
        return
    shared_port: Any = SharedPort(port, peers, interface=host, reactor=reactor)  # type: ignore[no-untyped-call]
    shared_port.startListening()


class Peers(protocol.DatagramProtocol):
    """Sends datagrams to peers by index, and passes those received to the broker with the sender's index."""

    transport: Any = None

    def __init__(self, broker: Broker, addresses: list[str]) -> None:
        self.broker = broker
        self.limited_log = RateLimitedLog(log)
        self.addresses = [split(address) for address in addresses]
        self.number_by_address = {address: number for number, address in enumerate(self.addresses)}

    def send(self, peer: int, data: bytes) -> None:
        """Sends a datagram; one that is too long, or that the system refuses, is lost."""
        if len(data) > MAX_DATAGRAM_BYTES or not 0 <= peer < len(self.addresses):
            log.warning(
                "message of %d bytes to peer %d not sent: over the limit of %d bytes, or no such peer "
                "(%d are configured)",
                len(data),
                peer,
                MAX_DATAGRAM_BYTES,
                len(self.addresses),
            )
        elif self.transport is not None:
            try:
                self.transport.write(data, self.addresses[peer])
            except OSError as problem:  # counts as a lost datagram
                log.warning("sending a message to peer %d failed: %s", peer, problem)

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        sender = self.number_by_address.get((addr[0], addr[1]))
        if sender is None:
            self.limited_log.warn(self.broker.clock.now(), addr[0], "message from an unknown address dropped")
        else:
            self.broker.peer_message_received(sender, datagram)
