"""The set-up of a call on the platform's wire: its fields, checked."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass

from frostport.core.rules import Rules
from frostport.net import jsonl
from frostport.net.jsonl import BadLineError, Message

MAX_DESCRIPTION_BYTES = jsonl.MAX_LINE_BYTES - 512  # leaves room for the other fields of the forwarded line
MAX_OPTION_BYTES = 1024  # of each option
MAX_WAIT_FACTOR = 2.0  # `left` may be up to this many times the longest deadline
KEY_PATTERN = re.compile(r"[0-9a-fA-F]{1,16}\Z")
INTEGER_PATTERN = re.compile(r"-?[0-9]{1,9}\Z")
# The numbers in a set-up's `extras` with their ranges; `dest` must also be one of the class's pools.
EXTRAS_RANGES = {"dest": (-1, 0xFFFF), "width": (1, 0xFFFF), "via": (-1, 0xFFFF), "again": (0, 1)}


@dataclass(frozen=True, slots=True)
class SetUp:
    """A set-up whose fields are fit for the decision module and for a server."""

    call: str
    call_class: str
    key: str  # up to 16 hex digits; "" if the client gave none
    team: str
    left_ms: float  # how long the client waits
    first_choice: int  # the number of the server, -1: none
    is_retry: bool
    cut_before: bool  # the call was cut and comes again
    description: str


def parse_set_up(message: Message, rules: Rules, longest_deadline_ms: float) -> SetUp:
    """Reads a START. Raises BadLineError for a value that is out of range."""
    opts = message.opts
    for name, value in opts.items():
        if len(value) > MAX_OPTION_BYTES:
            raise BadLineError(f"opts.{name[:40]}: over the limit of {MAX_OPTION_BYTES} bytes")
    call_class = opts.get("class", "")
    key = opts.get("key", "")
    left_ms = jsonl.parse_numbers(f"left:{opts.get('left', '')}").get("left", math.nan)
    if call_class not in rules.pools_by_class:
        raise BadLineError(f"opts.class: no such class of call: {call_class[:40]!r}")
    if not 0.0 < left_ms <= longest_deadline_ms * MAX_WAIT_FACTOR:
        raise BadLineError(
            f"opts.left: must be above 0 ms and at most twice the longest deadline of "
            f"{longest_deadline_ms:g} ms, got {left_ms:g}"
        )
    if key and not KEY_PATTERN.match(key):
        raise BadLineError("opts.key: not 16 hex digits")
    if message.blob is None or len(message.blob.encode()) + len(call_class) > MAX_DESCRIPTION_BYTES:
        raise BadLineError(
            f"blob: missing, or over the limit of {MAX_DESCRIPTION_BYTES} bytes for it and the class name"
        )
    extras = parse_extras(opts.get("extras", ""), rules.pools_by_class[call_class])
    return SetUp(
        message.tag,
        call_class,
        key,
        opts.get("tenant", "-"),
        left_ms,
        extras.get("dest", -1),
        opts.get("retry", "0") not in ("", "0"),
        bool(extras.get("again", 0)),
        message.blob,
    )


def parse_extras(text: str, pools: Iterable[int] | None) -> dict[str, int]:
    """The numbers in a set-up's `extras`; `pools` are those of its class, None where it has no pools.

    Raises BadLineError for one out of range, which neither the module nor a server should see."""
    found = {}
    for pair in text.split(";") if text else ():
        name, colon, value = pair.partition(":")
        if name in EXTRAS_RANGES or not colon:
            if not INTEGER_PATTERN.match(value):
                raise BadLineError(f"opts.extras: {pair[:40]!r}: not an integer")
            least, most = EXTRAS_RANGES[name]
            if not least <= int(value) <= most:
                raise BadLineError(f"opts.extras: {pair[:40]!r}: must be {least} to {most}")
            found[name] = int(value)
    if pools is not None and found.get("dest", -1) not in (-1, *pools):
        raise BadLineError(f"opts.extras: dest {found['dest']} is not a pool of this class of call")
    return found
