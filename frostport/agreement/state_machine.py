"""The replicated state machine: commands of registered kinds, each applied exactly once.

Handlers are deterministic: they use neither clocks nor random numbers.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

import msgspec

from frostport.agreement.log import VOTERS_KIND
from frostport.agreement.messages import Entry

MAX_NUMBERS_PER_ORIGIN = 1000  # remembered; an origin never has more commands in flight
MAX_ORIGINS = 4096  # remembered, the most recently active ones; an origin is one process of an agent
MAX_NOTES = 1000  # older notes are dropped, but stay counted


class Note(msgspec.Struct, array_like=True, frozen=True):
    """A text that an operator put into the log."""

    text: str


class SavedState(msgspec.Struct, array_like=True):
    """The content of a snapshot. `parts`: by kind, the version that wrote its state, and the state."""

    applied_numbers: list[tuple[str, list[int]]]
    digest: str
    count: int
    parts: dict[str, tuple[int, bytes]]


class UnsupportedVersionError(ValueError):
    """An entry or a snapshot of a later version of the program. Nothing after it may be applied here."""


class StateMachine:
    """After the same entry the state is the same at every agent.

    `kinds` holds the version, payload type and handler of each kind. A later version of the program reads
    what an earlier one wrote. What a later one wrote raises UnsupportedVersionError and changes nothing.
    """

    def __init__(self) -> None:
        self.applied_numbers: OrderedDict[str, deque[int]] = OrderedDict()
        self.digest = ""  # over the ids of all applied commands, in order
        self.applied_count = 0
        self.notes: deque[tuple[int, str]] = deque(maxlen=MAX_NOTES)
        self.kinds: dict[str, tuple[int, Any, Callable[[Entry, Any], None]]] = {"note": (1, Note, self._note)}
        self.state_handlers: dict[str, tuple[Callable[[], bytes], Callable[[bytes], None]]] = {
            "note": (self._save_notes, self._restore_notes)
        }

    def register(
        self,
        kind: str,
        version: int,
        payload_type: Any,
        apply: Callable[[Entry, Any], None],
        save: Callable[[], bytes],
        restore: Callable[[bytes], None],
    ) -> None:
        """Registers a kind of command that has a state of its own, before anything is applied or restored."""
        self.kinds[kind] = (version, payload_type, apply)
        self.state_handlers[kind] = (save, restore)

    def _save_notes(self) -> bytes:
        return msgspec.msgpack.encode(list(self.notes))

    def _restore_notes(self, data: bytes) -> None:
        self.notes = deque(msgspec.msgpack.decode(data, type=list[tuple[int, str]]), MAX_NOTES)

    def _note(self, entry: Entry, note: Note) -> None:
        self.notes.append((entry.index, note.text))

    def is_applied(self, command_id: str) -> bool:
        """Whether a command was applied already, so that a duplicate of it has no effect."""
        origin, _, number = command_id.rpartition("#")
        return (
            origin in self.applied_numbers
            and number.isdecimal()
            and int(number) in self.applied_numbers[origin]
        )

    def apply(self, entry: Entry) -> bool:
        """Returns whether the entry had an effect: it is no duplicate, and its payload is readable.

        Raises UnsupportedVersionError."""
        handler = self.kinds.get(entry.kind)
        if entry.kind not in ("", VOTERS_KIND) and (handler is None or handler[0] < entry.version):
            raise UnsupportedVersionError(f"entry {entry.index}: {entry.kind} of version {entry.version}")
        origin, _, number = entry.id.rpartition("#")
        if not entry.id or not number.isdecimal() or self.is_applied(entry.id):
            return False
        self.applied_numbers.setdefault(origin, deque(maxlen=MAX_NUMBERS_PER_ORIGIN)).append(int(number))
        self.applied_numbers.move_to_end(origin)
        if len(self.applied_numbers) > MAX_ORIGINS:
            self.applied_numbers.popitem(last=False)
        self.applied_count += 1
        self.digest = hashlib.blake2b(f"{self.digest} {entry.id}".encode(), digest_size=12).hexdigest()
        if handler is None:
            return entry.kind == VOTERS_KIND
        try:
            handler[2](entry, msgspec.msgpack.decode(entry.data, type=handler[1]))
        except msgspec.MsgspecError:
            return False
        return True

    def snapshot(self) -> bytes:
        """The state after the last applied entry, for `restore`."""
        return msgspec.msgpack.encode(
            SavedState(
                [(origin, list(numbers)) for origin, numbers in self.applied_numbers.items()],
                self.digest,
                self.applied_count,
                {kind: (self.kinds[kind][0], save()) for kind, (save, _) in self.state_handlers.items()},
            )
        )

    def restore(self, data: bytes) -> None:
        """Raises msgspec.MsgspecError if `data` is no snapshot, and UnsupportedVersionError."""
        if not data:
            return
        saved = msgspec.msgpack.decode(data, type=SavedState)
        for kind, (version, _) in saved.parts.items():
            if kind not in self.kinds or self.kinds[kind][0] < version:
                raise UnsupportedVersionError(f"a snapshot with {kind} of version {version}")
        self.applied_numbers = OrderedDict(
            (origin, deque(numbers, MAX_NUMBERS_PER_ORIGIN)) for origin, numbers in saved.applied_numbers
        )
        self.digest = saved.digest
        self.applied_count = saved.count
        for kind, (_, state) in saved.parts.items():
            self.state_handlers[kind][1](state)
