"""Binary layouts on disk: frames of the log, segment headers, the watermark, the manifest. Opens no file.

A frame is `crc u32, length u32, sequence u64, flags u8`, little-endian, followed by the payload: a msgpack
array of key and value; the value is nil if the key is deleted. The CRC-32C covers all of the frame but
itself. The flag LAST_IN_BATCH marks the last frame of a batch; a batch without it is ignored as a whole.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

import google_crc32c
import msgspec

FORMAT_VERSION = 1
LAST_IN_BATCH = 1  # flag of the frame that ends a batch
FRAME_HEADER = struct.Struct("<IIQB")
CRC = struct.Struct("<I")
CHECKED_HEADER = struct.Struct("<IQB")  # the part of the header that the CRC covers
SEGMENT_HEADER = struct.Struct("<8sIIQQI")  # magic, format, store, number, first sequence, crc
WATERMARK_SLOT = struct.Struct("<8sIQI")  # magic, store, sequence, crc
MANIFEST = struct.Struct("<8sIIQQI")  # magic, format, store, oldest segment, its first sequence, crc
SEGMENT_MAGIC = b"fpseg\r\n\0"
WATERMARK_MAGIC = b"fpmrk\r\n\0"
MANIFEST_MAGIC = b"fpman\r\n\0"

Change = tuple[str, bytes | None]  # a key and its new value; None deletes the key

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(tuple[str, bytes | None]).decode


class Frame(NamedTuple):
    """One record as stored in a segment. `size` includes the frame's header."""

    sequence: int
    offset: int
    size: int
    last: bool
    key: str
    value: bytes | None


def checksum(data: bytes) -> int:
    """Returns the CRC-32C (Castagnoli)."""
    return int(google_crc32c.value(data))


def encode(change: Change, sequence: int, last: bool) -> bytes:
    """Encodes one change as a frame; `last`: it ends a batch."""
    payload: bytes = _encode(change)
    flags = LAST_IN_BATCH if last else 0
    body = CHECKED_HEADER.pack(len(payload), sequence, flags) + payload
    return CRC.pack(google_crc32c.value(body)) + body


def decode(data: bytes, position: int, base: int = 0) -> Frame | None:
    """Decodes the frame at `position` of `data`, which begins at offset `base` of its file.

    Returns None if no complete frame with a correct CRC begins there."""
    if position + FRAME_HEADER.size > len(data):
        return None
    crc, length, sequence, flags = FRAME_HEADER.unpack_from(data, position)
    end = position + FRAME_HEADER.size + length
    if end > len(data) or flags & ~LAST_IN_BATCH:
        return None
    if google_crc32c.value(data[position + CRC.size : end]) != crc:
        return None
    try:
        key, value = _decode(data[position + FRAME_HEADER.size : end])
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return Frame(
        sequence, base + position, FRAME_HEADER.size + length, bool(flags & LAST_IN_BATCH), key, value
    )


def iter_frames(data: bytes, position: int, sequence: int, base: int = 0) -> Iterator[Frame]:
    """Yields the frames from `position` on, of which the first has the number `sequence`.

    Stops at the first one that is incomplete, damaged or out of sequence."""
    while (frame := decode(data, position, base)) is not None and frame.sequence == sequence:
        yield frame
        position = position + frame.size
        sequence = sequence + 1


def pack_with_crc(layout: struct.Struct, *fields: object) -> bytes:
    """Packs the fields, followed by the CRC-32C over them."""
    head = layout.pack(*fields, 0)[:-4]
    return head + CRC.pack(checksum(head))


def unpack_with_crc(layout: struct.Struct, magic: bytes, data: bytes) -> tuple[int, ...] | None:
    """Returns the fields between magic and CRC, or None if the magic or the CRC is wrong."""
    if len(data) < layout.size or data[:8] != magic:
        return None
    *fields, crc = layout.unpack(data[: layout.size])
    return tuple(fields[1:]) if checksum(data[: layout.size - 4]) == crc else None


def segment_header(store_id: int, number: int, first_sequence: int) -> bytes:
    """Returns the encoded header with which a segment's file begins."""
    return pack_with_crc(SEGMENT_HEADER, SEGMENT_MAGIC, FORMAT_VERSION, store_id, number, first_sequence)


def segment_name(number: int) -> str:
    """Returns the file name of a segment. The names sort by number."""
    return f"log-{number:010d}"


def segment_number(name: str) -> int | None:
    """Returns the number in a segment's file name; None if the name is not that of a segment."""
    digits = name[4:]
    return int(digits) if name.startswith("log-") and len(digits) == 10 and digits.isdecimal() else None
