"""Membership's datagrams: a version, a keyed digest, a message; at most 256 bytes. It decides nothing."""

from __future__ import annotations

import hashlib
import hmac
import logging
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet import protocol

from frostport.core.clock import Clock
from frostport.core.rate_limited_log import RateLimitedLog
from frostport.membership import messages
from frostport.membership.messages import BadMessageError, Message
from frostport.net.peers import split

log = logging.getLogger("frostport.gossip")

LONGEST = 256
DIGEST = 16
HEAD = 1 + DIGEST


class Seal:
    """The form of a datagram. The digest is BLAKE2b (RFC 7693), keyed, over fleet, version and message."""

    def __init__(self, fleet: str, key: bytes) -> None:
        self.key, self.fleet = key[:64], hashlib.blake2b(fleet.encode(), digest_size=16).digest()

    def _digest(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            bytes([messages.VERSION]) + body, digest_size=DIGEST, key=self.key, person=self.fleet
        ).digest()

    def close(self, message: Message) -> bytes:
        body = messages.encode(message)
        return bytes([messages.VERSION]) + self._digest(body) + body

    def open(self, data: bytes) -> Message:
        """Raises BadMessageError, and nothing else."""
        if not HEAD < len(data) <= LONGEST:
            raise BadMessageError(f"{len(data)} bytes")
        if data[0] != messages.VERSION:
            raise BadMessageError(f"version {data[0]}")
        if not hmac.compare_digest(data[1:HEAD], self._digest(data[HEAD:])):
            raise BadMessageError("not of this fleet")
        return messages.decode(data[HEAD:])


class Gossip(protocol.DatagramProtocol):
    """Hands on what is heard; `routes`: addresses that are reached by another way (a tunnel)."""

    transport: Any = None

    def __init__(
        self, seal: Seal, hear: Callable[[str, Message], None], clock: Clock, routes: Mapping[str, str]
    ) -> None:
        self.seal, self.hear, self.clock, self.routes = seal, hear, clock, routes
        self.complaints = RateLimitedLog(log)
        self.sent = self.received = self.sent_bytes = self.refused = 0

    def send(self, address: str, message: Message) -> None:
        data = self.seal.close(message)
        if self.transport is None or len(data) > LONGEST:
            return
        try:
            self.transport.write(data, split(self.routes.get(address, address)))
            self.sent, self.sent_bytes = self.sent + 1, self.sent_bytes + len(data)
        except OSError as problem:  # a datagram may be lost anyway
            self.complaints.warn(self.clock.now(), address, f"datagram lost: {problem}")

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        try:
            message = self.seal.open(datagram)
        except BadMessageError as problem:
            self.refused += 1
            self.complaints.warn(self.clock.now(), addr[0], f"datagram dropped: {problem}")
            return
        self.received += 1
        self.hear(f"{addr[0]}:{addr[1]}", message)
