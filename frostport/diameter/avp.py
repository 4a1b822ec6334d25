"""The Diameter codec (RFC 6733): messages out of a byte stream, AVPs out of messages, and back."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

VERSION, HEADER, LONGEST = 1, 20, 64 * 1024
REQUEST, PROXIABLE, ERROR, RETRANSMITTED = 0x80, 0x40, 0x20, 0x10
VENDOR, MANDATORY = 0x80, 0x40
RESERVED_HEADER_BITS, RESERVED_AVP_BITS = 0x0F, 0x1F

# Commands
CE, AS, CC, DW, DP = 257, 274, 272, 280, 282
BASE, CREDIT_CONTROL = 0, 4  # applications

# Result codes
SUCCESS = 2001
COMMAND_UNSUPPORTED, UNABLE_TO_DELIVER, TOO_BUSY = 3001, 3002, 3004
APPLICATION_UNSUPPORTED, INVALID_HDR_BITS, INVALID_AVP_BITS, UNKNOWN_PEER = 3007, 3008, 3009, 3010
AVP_UNSUPPORTED, UNKNOWN_SESSION_ID, INVALID_AVP_VALUE, MISSING_AVP = 5001, 5002, 5004, 5005
AVP_OCCURS_TOO_MANY_TIMES, NO_COMMON_APPLICATION, UNABLE_TO_COMPLY = 5009, 5010, 5012
INVALID_AVP_LENGTH = 5014

INITIAL, UPDATE, TERMINATION, EVENT = 1, 2, 3, 4  # CC-Request-Type
REBOOTING, BUSY, DO_NOT_WANT_TO_TALK = 0, 1, 2  # Disconnect-Cause
LOGOUT, ADMINISTRATIVE = 1, 4  # Termination-Cause


class Kind(Enum):
    """The data formats in use; the figure is the fixed size, 0 for any."""

    OCTETS = ("octets", 0)
    TEXT = ("text", 0)
    GROUPED = ("grouped", 0)
    UNSIGNED32 = ("unsigned32", 4)
    ENUMERATED = ("enumerated", 4)
    UNSIGNED64 = ("unsigned64", 8)


PACK = {
    Kind.UNSIGNED32: struct.Struct("!I"),
    Kind.ENUMERATED: struct.Struct("!i"),
    Kind.UNSIGNED64: struct.Struct("!Q"),
}


@dataclass(frozen=True, slots=True)
class Definition:
    """What the dictionary says of an AVP."""

    name: str
    code: int
    kind: Kind
    vendor: int = 0
    mandatory: bool = True


SESSION_ID = Definition("Session-Id", 263, Kind.TEXT)
ORIGIN_HOST = Definition("Origin-Host", 264, Kind.TEXT)
ORIGIN_REALM = Definition("Origin-Realm", 296, Kind.TEXT)
ORIGIN_STATE_ID = Definition("Origin-State-Id", 278, Kind.UNSIGNED32)
DESTINATION_HOST = Definition("Destination-Host", 293, Kind.TEXT)
DESTINATION_REALM = Definition("Destination-Realm", 283, Kind.TEXT)
HOST_IP_ADDRESS = Definition("Host-IP-Address", 257, Kind.OCTETS)
VENDOR_ID = Definition("Vendor-Id", 266, Kind.UNSIGNED32)
PRODUCT_NAME = Definition("Product-Name", 269, Kind.TEXT, mandatory=False)
AUTH_APPLICATION_ID = Definition("Auth-Application-Id", 258, Kind.UNSIGNED32)
ACCT_APPLICATION_ID = Definition("Acct-Application-Id", 259, Kind.UNSIGNED32)
VENDOR_SPECIFIC_APPLICATION_ID = Definition("Vendor-Specific-Application-Id", 260, Kind.GROUPED)
SUPPORTED_VENDOR_ID = Definition("Supported-Vendor-Id", 265, Kind.UNSIGNED32)
INBAND_SECURITY_ID = Definition("Inband-Security-Id", 299, Kind.UNSIGNED32)
FIRMWARE_REVISION = Definition("Firmware-Revision", 267, Kind.UNSIGNED32, mandatory=False)
RESULT_CODE = Definition("Result-Code", 268, Kind.UNSIGNED32)
ERROR_MESSAGE = Definition("Error-Message", 281, Kind.TEXT, mandatory=False)
FAILED_AVP = Definition("Failed-AVP", 279, Kind.OCTETS)  # a group, not read: it holds what is malformed
ROUTE_RECORD = Definition("Route-Record", 282, Kind.TEXT)
PROXY_INFO = Definition("Proxy-Info", 284, Kind.GROUPED)
DISCONNECT_CAUSE = Definition("Disconnect-Cause", 273, Kind.ENUMERATED)
TERMINATION_CAUSE = Definition("Termination-Cause", 295, Kind.ENUMERATED)
USER_NAME = Definition("User-Name", 1, Kind.TEXT)
CALLED_STATION_ID = Definition("Called-Station-Id", 30, Kind.TEXT)
CC_REQUEST_TYPE = Definition("CC-Request-Type", 416, Kind.ENUMERATED)
CC_REQUEST_NUMBER = Definition("CC-Request-Number", 415, Kind.UNSIGNED32)
SERVICE_CONTEXT_ID = Definition("Service-Context-Id", 461, Kind.TEXT)
OC_SUPPORTED_FEATURES = Definition("OC-Supported-Features", 621, Kind.GROUPED, mandatory=False)
OC_FEATURE_VECTOR = Definition("OC-Feature-Vector", 622, Kind.UNSIGNED64, mandatory=False)
OC_OLR = Definition("OC-OLR", 623, Kind.GROUPED, mandatory=False)
OC_SEQUENCE_NUMBER = Definition("OC-Sequence-Number", 624, Kind.UNSIGNED64, mandatory=False)
OC_VALIDITY_DURATION = Definition("OC-Validity-Duration", 625, Kind.UNSIGNED32, mandatory=False)
OC_REPORT_TYPE = Definition("OC-Report-Type", 626, Kind.ENUMERATED, mandatory=False)
OC_REDUCTION_PERCENTAGE = Definition("OC-Reduction-Percentage", 627, Kind.UNSIGNED32, mandatory=False)
# 3GPP TS 29.273: how long the originator waits for the answer, in milliseconds.
MAXIMUM_WAIT_TIME = Definition("Maximum-Wait-Time", 1537, Kind.UNSIGNED32, vendor=10415, mandatory=False)

DICTIONARY = {
    (entry.vendor, entry.code): entry for entry in list(globals().values()) if isinstance(entry, Definition)
}
# Further AVPs of RFC 8506's CCR and CCA, handed on unread between client and server.
CREDIT_CONTROL_CODES = frozenset({27, 33, 55, 85, 292, 412, 413, 414, *range(417, 463), *range(649, 670)})


class AvpError(Exception):
    """A fault in one AVP or in the whole message: its result code and, if there is one, the AVP at fault."""

    def __init__(self, result: int, problem: str, failed: bytes = b"") -> None:
        super().__init__(problem)
        self.result, self.failed = result, failed


class StreamError(Exception):
    """The stream can't be read any further: the connection has to close."""


@dataclass(slots=True)
class Avp:
    """One AVP, its data not yet read."""

    code: int
    data: bytes
    vendor: int = 0
    flags: int = 0

    def encode(self) -> bytes:
        vendor = struct.pack("!I", self.vendor) if self.vendor else b""
        length = 8 + len(vendor) + len(self.data)
        flags = (self.flags & ~VENDOR) | (VENDOR if self.vendor else 0)
        head = struct.pack("!II", self.code, flags << 24 | length)
        return head + vendor + self.data + bytes(-length % 4)


def read_avps(data: bytes) -> list[Avp]:
    """All AVPs of a message or a group; the first that is malformed is told."""
    avps = []
    at = 0
    while at < len(data):
        head = data[at : at + 8]
        if len(head) < 8:
            raise AvpError(INVALID_AVP_LENGTH, "AVP header cut off", head.ljust(8, b"\0"))
        code, word = struct.unpack("!II", head)
        flags, length = word >> 24, word & 0xFFFFFF
        least = 12 if flags & VENDOR else 8
        if length < least or at + length > len(data):
            # Guards against lengths that lie: the header alone goes back, with the least data it can have.
            known = DICTIONARY.get((0, code))
            empty = Avp(code, bytes(known.kind.value[1]) if known else b"", 0, flags)
            raise AvpError(INVALID_AVP_LENGTH, f"AVP {code}: length {length}", empty.encode())
        vendor = struct.unpack("!I", data[at + 8 : at + 12])[0] if flags & VENDOR else 0
        avp = Avp(code, data[at + least : at + length], vendor, flags)
        if flags & RESERVED_AVP_BITS:
            raise AvpError(INVALID_AVP_BITS, f"AVP {code}: reserved bits", avp.encode())
        avps.append(avp)
        at += length + (-length % 4)
    return avps


def make(definition: Definition, value: Any) -> Avp:
    """An AVP from a value of its kind; a group is given as its AVPs."""
    match definition.kind:
        case Kind.OCTETS:
            data = bytes(value)
        case Kind.TEXT:
            data = str(value).encode()
        case Kind.GROUPED:
            data = b"".join(avp.encode() for avp in value)
        case _:
            data = PACK[definition.kind].pack(value)
    return Avp(definition.code, data, definition.vendor, MANDATORY if definition.mandatory else 0)


def value_of(definition: Definition, avp: Avp) -> Any:
    size = definition.kind.value[1]
    if size and len(avp.data) != size:
        raise AvpError(INVALID_AVP_LENGTH, f"{definition.name}: {len(avp.data)} bytes", avp.encode())
    match definition.kind:
        case Kind.OCTETS:
            return avp.data
        case Kind.GROUPED:
            inner = read_avps(avp.data)
            for part in inner:
                known = DICTIONARY.get((part.vendor, part.code))
                if known is not None:
                    value_of(known, part)
            return inner
        case Kind.TEXT:
            try:
                return avp.data.decode()
            except UnicodeDecodeError:
                raise AvpError(INVALID_AVP_VALUE, f"{definition.name}: not UTF-8", avp.encode()) from None
        case _:
            return PACK[definition.kind].unpack(avp.data)[0]


def find(avps: Iterable[Avp], definition: Definition) -> Any:
    """The value of the first such AVP, or None."""
    for avp in avps:
        if avp.code == definition.code and avp.vendor == definition.vendor:
            return value_of(definition, avp)
    return None


@dataclass(slots=True)
class Message:
    """One Diameter message."""

    command: int
    application: int
    hop_by_hop: int
    end_to_end: int
    flags: int = 0
    avps: list[Avp] = field(default_factory=list)

    @property
    def is_request(self) -> bool:
        return bool(self.flags & REQUEST)

    def get(self, definition: Definition) -> Any:
        return find(self.avps, definition)

    def encode(self) -> bytes:
        body = b"".join(avp.encode() for avp in self.avps)
        return (
            struct.pack(
                "!IIIII",
                VERSION << 24 | HEADER + len(body),
                self.flags << 24 | self.command,
                self.application,
                self.hop_by_hop,
                self.end_to_end,
            )
            + body
        )

    def answer(self, result: int, avps: Iterable[Avp]) -> Message:
        """An answer to this request; the E bit goes with the protocol errors, 3000 to 3999."""
        flags = (self.flags & PROXIABLE) | (ERROR if 3000 <= result < 4000 else 0)
        first = [avp for avp in self.avps if avp.code == SESSION_ID.code and not avp.vendor][:1]
        info = [avp for avp in self.avps if avp.code == PROXY_INFO.code and not avp.vendor]
        return Message(
            self.command,
            self.application,
            self.hop_by_hop,
            self.end_to_end,
            flags,
            [*first, make(RESULT_CODE, result), *avps, *info],
        )


def read_header(frame: bytes) -> Message:
    """The header alone: enough to answer a message whose AVPs can't be read."""
    _, word, application, hop_by_hop, end_to_end = struct.unpack("!IIIII", frame[:HEADER])
    return Message(word & 0xFFFFFF, application, hop_by_hop, end_to_end, word >> 24)


# What each request must hold once; `once` adds what it may hold once at most.
REQUIRED: Mapping[int, tuple[Definition, ...]] = {
    CE: (ORIGIN_HOST, ORIGIN_REALM, HOST_IP_ADDRESS, VENDOR_ID, PRODUCT_NAME),
    DW: (ORIGIN_HOST, ORIGIN_REALM),
    DP: (ORIGIN_HOST, ORIGIN_REALM, DISCONNECT_CAUSE),
    CC: (
        SESSION_ID,
        ORIGIN_HOST,
        ORIGIN_REALM,
        DESTINATION_REALM,
        AUTH_APPLICATION_ID,
        SERVICE_CONTEXT_ID,
        CC_REQUEST_TYPE,
        CC_REQUEST_NUMBER,
    ),
    AS: (SESSION_ID, ORIGIN_HOST, ORIGIN_REALM, DESTINATION_REALM, DESTINATION_HOST, AUTH_APPLICATION_ID),
}
SEVERAL = {
    entry.code
    for entry in (
        HOST_IP_ADDRESS,
        SUPPORTED_VENDOR_ID,
        AUTH_APPLICATION_ID,
        ACCT_APPLICATION_ID,
        INBAND_SECURITY_ID,
        VENDOR_SPECIFIC_APPLICATION_ID,
        ROUTE_RECORD,
        PROXY_INFO,
        FAILED_AVP,
    )
}


def check(message: Message) -> None:
    """Whether a request's AVPs are those that its command asks for, in number and in form."""
    if message.flags & (RESERVED_HEADER_BITS | ERROR):
        raise AvpError(INVALID_HDR_BITS, "header bits")
    if message.command not in REQUIRED:
        raise AvpError(COMMAND_UNSUPPORTED, f"command {message.command}")
    seen = set()
    for avp in message.avps:
        known = DICTIONARY.get((avp.vendor, avp.code))
        if known is None:
            carried = message.command == CC and not avp.vendor and avp.code in CREDIT_CONTROL_CODES
            if avp.flags & MANDATORY and not carried:
                raise AvpError(AVP_UNSUPPORTED, f"AVP {avp.code}", avp.encode())
            continue
        value_of(known, avp)
        if known in seen and known.code not in SEVERAL:
            raise AvpError(AVP_OCCURS_TOO_MANY_TIMES, known.name, avp.encode())
        seen.add(known)
    for wanted in REQUIRED[message.command]:
        if wanted not in seen:
            example = Avp(wanted.code, bytes(wanted.kind.value[1]), wanted.vendor, MANDATORY)
            raise AvpError(MISSING_AVP, f"{wanted.name} missing", example.encode())


def check_values(message: Message) -> None:
    """Whether the AVPs of an answer can be read; what it must hold is its reader's concern."""
    for avp in message.avps:
        known = DICTIONARY.get((avp.vendor, avp.code))
        if known is not None:
            value_of(known, avp)


class Frames:
    """Cuts a stream into messages. What can't be a Diameter message ends the stream."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def partial(self) -> bool:
        """Whether a message has begun and not ended."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        self._buffer += data
        frames = []
        while len(self._buffer) >= 4:
            word = int.from_bytes(self._buffer[:4], "big")
            version, length = word >> 24, word & 0xFFFFFF
            if version != VERSION:
                raise StreamError(f"version {version}")
            if length < HEADER or length % 4 or length > LONGEST:
                raise StreamError(f"message length {length}")
            if len(self._buffer) < length:
                break
            frames.append(bytes(self._buffer[:length]))
            del self._buffer[:length]
        return frames
