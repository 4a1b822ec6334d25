"""Datagrams of the membership protocol: a version byte, a keyed digest and a message."""

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

MAX_DATAGRAM_BYTES = 256
DIGEST_BYTES = 16
HEADER_BYTES = 1 + DIGEST_BYTES


class DatagramCodec:
    """Authenticates datagrams with keyed BLAKE2b (RFC 7693) over the version and the message.

    The fleet's name is the personalization, so that fleets with the same key don't accept each other's."""

    def __init__(self, fleet: str, key: bytes) -> None:
        self.key = key[:64]
        self.fleet = hashlib.blake2b(fleet.encode(), digest_size=16).digest()

    def _digest(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            bytes([messages.VERSION]) + body, digest_size=DIGEST_BYTES, key=self.key, person=self.fleet
        ).digest()

    def encode(self, message: Message) -> bytes:
        """The message as a datagram, which may exceed MAX_DATAGRAM_BYTES."""
        body = messages.encode(message)
        return bytes([messages.VERSION]) + self._digest(body) + body

    def decode(self, data: bytes) -> Message:
        """Checks and decodes a datagram. Raises only BadMessageError."""
        if not HEADER_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise BadMessageError(f"{len(data)} bytes, expected {HEADER_BYTES + 1} to {MAX_DATAGRAM_BYTES}")
        if data[0] != messages.VERSION:
            raise BadMessageError(f"protocol version {data[0]}, expected {messages.VERSION}")
        if not hmac.compare_digest(data[1:HEADER_BYTES], self._digest(data[HEADER_BYTES:])):
            raise BadMessageError("digest does not match: the sender has another fleet name or key")
        return messages.decode(data[HEADER_BYTES:])


class Gossip(protocol.DatagramProtocol):
    """Sends and receives datagrams; valid messages go to `on_message` with the sender's address.

    `routes` maps addresses to others by which they are reached (a tunnel)."""

    transport: Any = None

    def __init__(
        self,
        codec: DatagramCodec,
        on_message: Callable[[str, Message], None],
        clock: Clock,
        routes: Mapping[str, str],
    ) -> None:
        self.codec = codec
        self.on_message = on_message
        self.clock = clock
        self.routes = routes
        self.limited_log = RateLimitedLog(log)
        # `refused`: datagrams received that were not valid.
        self.sent = self.received = self.sent_bytes = self.refused = 0

    def send(self, address: str, message: Message) -> None:
        """Sends a message; one that is too long, or that the system refuses, is lost."""
        data = self.codec.encode(message)
        if self.transport is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        try:
            self.transport.write(data, split(self.routes.get(address, address)))
            self.sent += 1
            self.sent_bytes += len(data)
        except OSError as problem:  # counts as a lost datagram
            self.limited_log.warn(self.clock.now(), address, f"sending a datagram failed: {problem}")

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        try:
            message = self.codec.decode(datagram)
        except BadMessageError as problem:
            self.refused += 1
            self.limited_log.warn(self.clock.now(), addr[0], f"datagram dropped: {problem}")
            return
        self.received += 1
        self.on_message(f"{addr[0]}:{addr[1]}", message)
