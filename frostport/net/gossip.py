"""Membership's datagrams: a version, a keyed digest, a message; at most 256 bytes. It decides nothing."""

from __future__ import annotations

import hashlib
import hmac
import logging
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet import protocol

from frostport.core.clock import Clock
from frostport.core.complaints import Complaints
from frostport.membership import messages
from frostport.membership.messages import BadMessageError, Message
from frostport.net.peers import split

log = logging.getLogger("frostport.gossip")

MAX_DATAGRAM_BYTES = 256
DIGEST_BYTES = 16
HEADER_BYTES = 1 + DIGEST_BYTES


class DatagramCodec:
    """The form of a datagram. The digest is BLAKE2b (RFC 7693), keyed, over fleet, version and message."""

    def __init__(self, fleet: str, key: bytes) -> None:
        self.key, self.fleet = key[:64], hashlib.blake2b(fleet.encode(), digest_size=16).digest()

    def _digest(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            bytes([messages.VERSION]) + body, digest_size=DIGEST_BYTES, key=self.key, person=self.fleet
        ).digest()

    def encode(self, message: Message) -> bytes:
        body = messages.encode(message)
        return bytes([messages.VERSION]) + self._digest(body) + body

    def decode(self, data: bytes) -> Message:
        """Raises BadMessageError, and nothing else."""
        if not HEADER_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise BadMessageError(f"{len(data)} bytes")
        if data[0] != messages.VERSION:
            raise BadMessageError(f"version {data[0]}")
        if not hmac.compare_digest(data[1:HEADER_BYTES], self._digest(data[HEADER_BYTES:])):
            raise BadMessageError("not of this fleet")
        return messages.decode(data[HEADER_BYTES:])


class Gossip(protocol.DatagramProtocol):
    """Hands on what is heard; `routes`: addresses that are reached by another way (a tunnel)."""

    transport: Any = None

    def __init__(
        self,
        seal: DatagramCodec,
        hear: Callable[[str, Message], None],
        clock: Clock,
        routes: Mapping[str, str],
    ) -> None:
        self.codec, self.on_message, self.clock, self.routes = seal, hear, clock, routes
        self.complaints = Complaints(log)
        self.sent = self.received = self.sent_bytes = self.refused = 0

    def send(self, address: str, message: Message) -> None:
        data = self.codec.encode(message)
        if self.transport is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        try:
            self.transport.write(data, split(self.routes.get(address, address)))
            self.sent, self.sent_bytes = self.sent + 1, self.sent_bytes + len(data)
        except OSError as problem:  # a datagram may be lost anyway
            self.complaints.say(self.clock.now(), address, f"datagram lost: {problem}")

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        try:
            message = self.codec.decode(datagram)
        except BadMessageError as problem:
            self.refused += 1
            self.complaints.say(self.clock.now(), addr[0], f"datagram dropped: {problem}")
            return
        self.received += 1
        self.on_message(f"{addr[0]}:{addr[1]}", message)
