"""The Diameter codec (RFC 6733): splits a byte stream into messages, and reads and writes their AVPs.

The texts of AvpError go out in the Error-Message AVP.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

VERSION = 1
HEADER_BYTES = 20
MAX_MESSAGE_BYTES = 64 * 1024
MAX_AVPS = 256  # in one message or one grouped AVP
AVP_OVERHEAD_BYTES = 256  # the objects that an AVP needs besides its data

# Command flags: the R, P, E and T bits of the message header
REQUEST = 0x80
PROXIABLE = 0x40
ERROR = 0x20
RETRANSMITTED = 0x10
RESERVED_HEADER_BITS = 0x0F

# AVP flags: the V and M bits
VENDOR = 0x80
MANDATORY = 0x40
RESERVED_AVP_BITS = 0x1F

# Command codes, under the first two letters of the RFCs' abbreviations
CE = 257
AS = 274
CC = 272
DW = 280
DP = 282

# Application Ids
BASE = 0
CREDIT_CONTROL = 4

# Values of Result-Code
SUCCESS = 2001
COMMAND_UNSUPPORTED = 3001
UNABLE_TO_DELIVER = 3002
TOO_BUSY = 3004
APPLICATION_UNSUPPORTED = 3007
INVALID_HDR_BITS = 3008
INVALID_AVP_BITS = 3009
UNKNOWN_PEER = 3010
AVP_UNSUPPORTED = 5001
UNKNOWN_SESSION_ID = 5002
INVALID_AVP_VALUE = 5004
MISSING_AVP = 5005
AVP_OCCURS_TOO_MANY_TIMES = 5009
NO_COMMON_APPLICATION = 5010
UNABLE_TO_COMPLY = 5012
INVALID_AVP_LENGTH = 5014

# Values of CC-Request-Type
INITIAL = 1
UPDATE = 2
TERMINATION = 3
EVENT = 4

# Values of Disconnect-Cause
REBOOTING = 0
BUSY = 1
DO_NOT_WANT_TO_TALK = 2

# Values of Termination-Cause
LOGOUT = 1
ADMINISTRATIVE = 4


class DataFormat(Enum):
    """AVP data formats (RFC 6733, section 4.2), each with its size in bytes, 0 if that varies."""

    OCTETS = ("octets", 0)
    TEXT = ("text", 0)
    GROUPED = ("grouped", 0)
    UNSIGNED32 = ("unsigned32", 4)
    ENUMERATED = ("enumerated", 4)
    UNSIGNED64 = ("unsigned64", 8)


STRUCT_BY_FORMAT = {
    DataFormat.UNSIGNED32: struct.Struct("!I"),
    DataFormat.ENUMERATED: struct.Struct("!i"),
    DataFormat.UNSIGNED64: struct.Struct("!Q"),
}


@dataclass(frozen=True, slots=True)
class Definition:
    """The dictionary entry of an AVP; `vendor` is its Vendor-Id, `mandatory` its M bit."""

    name: str
    code: int
    data_format: DataFormat
    vendor: int = 0
    mandatory: bool = True


SESSION_ID = Definition("Session-Id", 263, DataFormat.TEXT)
ORIGIN_HOST = Definition("Origin-Host", 264, DataFormat.TEXT)
ORIGIN_REALM = Definition("Origin-Realm", 296, DataFormat.TEXT)
ORIGIN_STATE_ID = Definition("Origin-State-Id", 278, DataFormat.UNSIGNED32)
DESTINATION_HOST = Definition("Destination-Host", 293, DataFormat.TEXT)
DESTINATION_REALM = Definition("Destination-Realm", 283, DataFormat.TEXT)
HOST_IP_ADDRESS = Definition("Host-IP-Address", 257, DataFormat.OCTETS)
VENDOR_ID = Definition("Vendor-Id", 266, DataFormat.UNSIGNED32)
PRODUCT_NAME = Definition("Product-Name", 269, DataFormat.TEXT, mandatory=False)
AUTH_APPLICATION_ID = Definition("Auth-Application-Id", 258, DataFormat.UNSIGNED32)
ACCT_APPLICATION_ID = Definition("Acct-Application-Id", 259, DataFormat.UNSIGNED32)
VENDOR_SPECIFIC_APPLICATION_ID = Definition("Vendor-Specific-Application-Id", 260, DataFormat.GROUPED)
SUPPORTED_VENDOR_ID = Definition("Supported-Vendor-Id", 265, DataFormat.UNSIGNED32)
INBAND_SECURITY_ID = Definition("Inband-Security-Id", 299, DataFormat.UNSIGNED32)
FIRMWARE_REVISION = Definition("Firmware-Revision", 267, DataFormat.UNSIGNED32, mandatory=False)
RESULT_CODE = Definition("Result-Code", 268, DataFormat.UNSIGNED32)
ERROR_MESSAGE = Definition("Error-Message", 281, DataFormat.TEXT, mandatory=False)
FAILED_AVP = Definition("Failed-AVP", 279, DataFormat.OCTETS)  # grouped; its malformed content is not read
ROUTE_RECORD = Definition("Route-Record", 282, DataFormat.TEXT)
PROXY_INFO = Definition("Proxy-Info", 284, DataFormat.GROUPED)
DISCONNECT_CAUSE = Definition("Disconnect-Cause", 273, DataFormat.ENUMERATED)
TERMINATION_CAUSE = Definition("Termination-Cause", 295, DataFormat.ENUMERATED)
USER_NAME = Definition("User-Name", 1, DataFormat.TEXT)
CALLED_STATION_ID = Definition("Called-Station-Id", 30, DataFormat.TEXT)
CC_REQUEST_TYPE = Definition("CC-Request-Type", 416, DataFormat.ENUMERATED)
CC_REQUEST_NUMBER = Definition("CC-Request-Number", 415, DataFormat.UNSIGNED32)
SERVICE_CONTEXT_ID = Definition("Service-Context-Id", 461, DataFormat.TEXT)
OC_SUPPORTED_FEATURES = Definition("OC-Supported-Features", 621, DataFormat.GROUPED, mandatory=False)
OC_FEATURE_VECTOR = Definition("OC-Feature-Vector", 622, DataFormat.UNSIGNED64, mandatory=False)
OC_OLR = Definition("OC-OLR", 623, DataFormat.GROUPED, mandatory=False)
OC_SEQUENCE_NUMBER = Definition("OC-Sequence-Number", 624, DataFormat.UNSIGNED64, mandatory=False)
OC_VALIDITY_DURATION = Definition("OC-Validity-Duration", 625, DataFormat.UNSIGNED32, mandatory=False)
OC_REPORT_TYPE = Definition("OC-Report-Type", 626, DataFormat.ENUMERATED, mandatory=False)
OC_REDUCTION_PERCENTAGE = Definition("OC-Reduction-Percentage", 627, DataFormat.UNSIGNED32, mandatory=False)
# 3GPP TS 29.273: how long the originator waits for the answer, in ms.
MAXIMUM_WAIT_TIME = Definition(
    "Maximum-Wait-Time", 1537, DataFormat.UNSIGNED32, vendor=10415, mandatory=False
)

DICTIONARY = {
    (entry.vendor, entry.code): entry for entry in list(globals().values()) if isinstance(entry, Definition)
}
# Further AVPs of RFC 8506's CCR and CCA, which pass unread between client and server even if mandatory.
CREDIT_CONTROL_CODES = frozenset({27, 33, 55, 85, 292, 412, 413, 414, *range(417, 463), *range(649, 670)})


class AvpError(Exception):
    """A fault in one AVP or in the whole message.

    `result_code` is what the answer carries, `failed_avp` the content of its Failed-AVP, empty for none."""

    def __init__(self, result_code: int, problem: str, failed_avp: bytes = b"") -> None:
        super().__init__(problem)
        self.result_code = result_code
        self.failed_avp = failed_avp


class StreamError(Exception):
    """The stream can't be split into messages any further: the connection must be closed."""


@dataclass(slots=True)
class Avp:
    """One AVP with undecoded data. `vendor` is 0 without a Vendor-Id, and `encode` sets the V bit from it."""

    code: int
    data: bytes
    vendor: int = 0
    flags: int = 0

    def encode(self) -> bytes:
        """Encodes header and data, padded to a multiple of four bytes."""
        vendor = struct.pack("!I", self.vendor) if self.vendor else b""
        length = 8 + len(vendor) + len(self.data)
        flags = (self.flags & ~VENDOR) | (VENDOR if self.vendor else 0)
        header = struct.pack("!II", self.code, flags << 24 | length)
        return header + vendor + self.data + bytes(-length % 4)


def read_avps(data: bytes) -> list[Avp]:
    """Splits the data of a message or a grouped AVP into AVPs.

    Raises AvpError at the first malformed one, and where there are too many: thousands of empty ones would
    cost the time of a hundred usual messages."""
    avps: list[Avp] = []
    offset = 0
    while offset < len(data):
        if len(avps) >= MAX_AVPS:
            raise AvpError(UNABLE_TO_COMPLY, f"over the limit of {MAX_AVPS} AVPs")
        header = data[offset : offset + 8]
        if len(header) < 8:
            raise AvpError(INVALID_AVP_LENGTH, "AVP header cut off", header.ljust(8, b"\0"))
        code, word = struct.unpack("!II", header)
        flags = word >> 24
        length = word & 0xFFFFFF
        header_bytes = 12 if flags & VENDOR else 8
        if length < header_bytes or offset + length > len(data):
            # Guards against a wrong AVP length: the Failed-AVP holds the AVP's header and as many zero bytes
            # as its data has at least (RFC 6733, section 7.1.5).
            known = DICTIONARY.get((0, code))
            empty = Avp(code, bytes(known.data_format.value[1]) if known else b"", 0, flags)
            raise AvpError(INVALID_AVP_LENGTH, f"AVP {code}: length {length}", empty.encode())
        vendor = struct.unpack("!I", data[offset + 8 : offset + 12])[0] if flags & VENDOR else 0
        avp = Avp(code, data[offset + header_bytes : offset + length], vendor, flags)
        if flags & RESERVED_AVP_BITS:
            raise AvpError(INVALID_AVP_BITS, f"AVP {code}: reserved bits", avp.encode())
        avps.append(avp)
        offset += length + (-length % 4)
    return avps


def make(definition: Definition, value: Any) -> Avp:
    """Builds an AVP from a value of its data format; for a grouped AVP that is its AVPs."""
    match definition.data_format:
        case DataFormat.OCTETS:
            data = bytes(value)
        case DataFormat.TEXT:
            data = str(value).encode()
        case DataFormat.GROUPED:
            data = b"".join(avp.encode() for avp in value)
        case _:
            data = STRUCT_BY_FORMAT[definition.data_format].pack(value)
    return Avp(definition.code, data, definition.vendor, MANDATORY if definition.mandatory else 0)


def value_of(definition: Definition, avp: Avp) -> Any:
    """Decodes an AVP; the known AVPs inside a group are checked too. Raises AvpError if it is malformed."""
    size = definition.data_format.value[1]
    if size and len(avp.data) != size:
        raise AvpError(INVALID_AVP_LENGTH, f"{definition.name}: {len(avp.data)} bytes", avp.encode())
    match definition.data_format:
        case DataFormat.OCTETS:
            return avp.data
        case DataFormat.GROUPED:
            inner = read_avps(avp.data)
            for part in inner:
                known = DICTIONARY.get((part.vendor, part.code))
                if known is not None:
                    value_of(known, part)
            return inner
        case DataFormat.TEXT:
            try:
                return avp.data.decode()
            except UnicodeDecodeError:
                raise AvpError(INVALID_AVP_VALUE, f"{definition.name}: not UTF-8", avp.encode()) from None
        case _:
            return STRUCT_BY_FORMAT[definition.data_format].unpack(avp.data)[0]


def find_value(avps: Iterable[Avp], definition: Definition) -> Any:
    """Returns the value of the first AVP with this definition, or None.

    Raises AvpError if it is malformed."""
    for avp in avps:
        if avp.code == definition.code and avp.vendor == definition.vendor:
            return value_of(definition, avp)
    return None


def held_bytes(avps: Iterable[Avp]) -> int:
    """The memory that AVPs need, in bytes."""
    return sum(AVP_OVERHEAD_BYTES + len(avp.data) for avp in avps)


@dataclass(slots=True)
class Message:
    """One Diameter message; `command` is its Command Code, `application` its Application-ID."""

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
        """Returns the value of the first AVP with this definition, or None.

        Raises AvpError if it is malformed."""
        return find_value(self.avps, definition)

    def for_answer(self) -> Message:
        """This request as far as its answer needs it: a request that waits keeps no other AVP."""
        kept = [avp for avp in self.avps if not avp.vendor and avp.code in ANSWERED_CODES]
        return Message(self.command, self.application, self.hop_by_hop, self.end_to_end, self.flags, kept)

    def held_bytes(self) -> int:
        """The memory that the AVPs need, in bytes."""
        return held_bytes(self.avps)

    def encode(self) -> bytes:
        """Encodes the header and all AVPs."""
        body = b"".join(avp.encode() for avp in self.avps)
        return (
            struct.pack(
                "!IIIII",
                VERSION << 24 | HEADER_BYTES + len(body),
                self.flags << 24 | self.command,
                self.application,
                self.hop_by_hop,
                self.end_to_end,
            )
            + body
        )

    def answer(self, result: int, avps: Iterable[Avp]) -> Message:
        """Builds the answer to this request: Session-Id first, Result-Code, `avps`, and the Proxy-Info AVPs.

        The E bit is set for protocol errors, 3000 to 3999."""
        flags = (self.flags & PROXIABLE) | (ERROR if 3000 <= result < 4000 else 0)
        session_id = [avp for avp in self.avps if avp.code == SESSION_ID.code and not avp.vendor][:1]
        proxy_info = [avp for avp in self.avps if avp.code == PROXY_INFO.code and not avp.vendor]
        return Message(
            self.command,
            self.application,
            self.hop_by_hop,
            self.end_to_end,
            flags,
            [*session_id, make(RESULT_CODE, result), *avps, *proxy_info],
        )


# The AVPs of a credit-control request that its answer repeats.
ANSWERED_CODES = frozenset(
    entry.code for entry in (SESSION_ID, CC_REQUEST_TYPE, CC_REQUEST_NUMBER, PROXY_INFO)
)


def read_header(frame: bytes) -> Message:
    """Reads the header of an undecoded message, which is enough to answer one whose AVPs are malformed."""
    _, word, application, hop_by_hop, end_to_end = struct.unpack("!IIIII", frame[:HEADER_BYTES])
    return Message(word & 0xFFFFFF, application, hop_by_hop, end_to_end, word >> 24)


# The AVPs that each request must contain.
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
# The known AVPs that may occur more than once; any other must not be repeated.
REPEATABLE_CODES = {
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


def validate_request(message: Message) -> None:
    """Checks the flags and AVPs of a request: required ones, repeated ones, unknown ones, data formats.

    Raises AvpError with the first fault."""
    if message.flags & (RESERVED_HEADER_BITS | ERROR):
        raise AvpError(INVALID_HDR_BITS, "header bits")
    if message.command not in REQUIRED:
        raise AvpError(COMMAND_UNSUPPORTED, f"command {message.command}")
    seen = set()
    for avp in message.avps:
        known = DICTIONARY.get((avp.vendor, avp.code))
        if known is None:
            passed_on = message.command == CC and not avp.vendor and avp.code in CREDIT_CONTROL_CODES
            if avp.flags & MANDATORY and not passed_on:
                raise AvpError(AVP_UNSUPPORTED, f"AVP {avp.code}", avp.encode())
            continue
        value_of(known, avp)
        if known in seen and known.code not in REPEATABLE_CODES:
            raise AvpError(AVP_OCCURS_TOO_MANY_TIMES, known.name, avp.encode())
        seen.add(known)
    for required in REQUIRED[message.command]:
        if required not in seen:
            example = Avp(required.code, bytes(required.data_format.value[1]), required.vendor, MANDATORY)
            raise AvpError(MISSING_AVP, f"{required.name} missing", example.encode())


def validate_answer(message: Message) -> None:
    """Checks that the known AVPs of an answer can be decoded; required ones are not checked here.

    Raises AvpError with the first fault."""
    for avp in message.avps:
        known = DICTIONARY.get((avp.vendor, avp.code))
        if known is not None:
            value_of(known, avp)


class MessageSplitter:
    """Splits a byte stream into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def partial(self) -> bool:
        """Whether an incomplete message is buffered."""
        return bool(self._buffer)

    def partial_bytes(self) -> int:
        """The length of the incomplete message, as far as it has come."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the messages completed by `data`, undecoded.

        Raises StreamError if the version or the length in a header can't be that of a message."""
        self._buffer += data
        frames = []
        while len(self._buffer) >= 4:
            word = int.from_bytes(self._buffer[:4], "big")
            version = word >> 24
            length = word & 0xFFFFFF
            if version != VERSION:
                raise StreamError(f"Diameter version {version}, expected {VERSION}")
            if length < HEADER_BYTES or length % 4 or length > MAX_MESSAGE_BYTES:
                raise StreamError(
                    f"message length {length}, expected a multiple of 4 from {HEADER_BYTES} to "
                    f"{MAX_MESSAGE_BYTES} bytes"
                )
            if len(self._buffer) < length:
                break
            frames.append(bytes(self._buffer[:length]))
            del self._buffer[:length]
        return frames
