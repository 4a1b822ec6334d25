"""The forms on disk: frames of the log, heads of segments, the mark, the manifest. Nothing here opens a file.

A frame is `crc u32, length u32, sequence u64, flags u8`, little-endian, then the payload: a msgpack array of
key
and value, the value nil where the key is deleted. The CRC-32C covers all but itself. LAST ends a batch: a
batch
is whole or it is not there.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

import google_crc32c
import msgspec

FORMAT = 1
LAST = 1  # the frame that ends a batch
FRAME = struct.Struct("<IIQB")
CRC = struct.Struct("<I")
COVERED = struct.Struct("<IQB")  # the head after the CRC
SEGMENT = struct.Struct("<8sIIQQI")  # magic, format, store, number, first sequence, crc
MARK = struct.Struct("<8sIQI")  # magic, store, sequence, crc
MANIFEST = struct.Struct("<8sIIQQI")  # magic, format, store, oldest segment, its first sequence, crc
SEGMENT_MAGIC, MARK_MAGIC, MANIFEST_MAGIC = b"fpseg\r\n\0", b"fpmrk\r\n\0", b"fpman\r\n\0"

Change = tuple[str, bytes | None]  # a key and its new value; None deletes it

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(tuple[str, bytes | None]).decode


class Frame(NamedTuple):
    """One record as it stands in a segment; `size` counts its head."""

    sequence: int
    offset: int
    size: int
    last: bool
    key: str
    value: bytes | None


def checksum(data: bytes) -> int:
    return int(google_crc32c.value(data))


def encode(change: Change, sequence: int, last: bool) -> bytes:
    payload: bytes = _encode(change)
    flags = LAST if last else 0
    body = COVERED.pack(len(payload), sequence, flags) + payload
    return CRC.pack(google_crc32c.value(body)) + body


def decode(data: bytes, at: int, base: int = 0) -> Frame | None:
    """The frame at a place in `data`, which begins at offset `base` of its file; None if no sound one is
    there."""
    if at + FRAME.size > len(data):
        return None
    crc, length, sequence, flags = FRAME.unpack_from(data, at)
    end = at + FRAME.size + length
    if end > len(data) or flags & ~LAST:
        return None
    if google_crc32c.value(data[at + CRC.size : end]) != crc:
        return None
    try:
        key, value = _decode(data[at + FRAME.size : end])
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return Frame(sequence, base + at, FRAME.size + length, bool(flags & LAST), key, value)


def walk(data: bytes, at: int, sequence: int, base: int = 0) -> Iterator[Frame]:
    """Frames one after the other, from a place and a sequence number on, up to the first that is not
    sound."""
    while (frame := decode(data, at, base)) is not None and frame.sequence == sequence:
        yield frame
        at, sequence = at + frame.size, sequence + 1


def with_crc(form: struct.Struct, *fields: object) -> bytes:
    head = form.pack(*fields, 0)[:-4]
    return head + CRC.pack(checksum(head))


def read_fixed(form: struct.Struct, magic: bytes, data: bytes) -> tuple[int, ...] | None:
    """The fields between magic and CRC, or None where these are not sound."""
    if len(data) < form.size or data[:8] != magic:
        return None
    *fields, crc = form.unpack(data[: form.size])
    return tuple(fields[1:]) if checksum(data[: form.size - 4]) == crc else None


def segment_head(store: int, number: int, first: int) -> bytes:
    return with_crc(SEGMENT, SEGMENT_MAGIC, FORMAT, store, number, first)


def segment_name(number: int) -> str:
    return f"log-{number:010d}"


def segment_number(name: str) -> int | None:
    digits = name[4:]
    return int(digits) if name.startswith("log-") and len(digits) == 10 and digits.isdecimal() else None
