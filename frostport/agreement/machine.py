"""What the agreed log's commands do: registered kinds, each applied once, without clock or chance."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

import msgspec

from frostport.agreement.log import VOTERS
from frostport.agreement.messages import Entry

WINDOW = 1000  # numbers of one origin that are remembered: it never has more commands under way
ORIGINS_MOST = 4096  # lives whose numbers are remembered, those that spoke last
NOTES_MOST = 1000  # notes that are kept to be read; all are counted


class Note(msgspec.Struct, array_like=True, frozen=True):
    """A text that staff put into the log."""

    text: str


class Saved(msgspec.Struct, array_like=True):
    """The state, as a snapshot holds it; `parts`: by kind, the version that wrote it and what it says."""

    seen: list[tuple[str, list[int]]]
    digest: str
    count: int
    parts: dict[str, tuple[int, bytes]]


class NotKnownError(ValueError):
    """An entry or a snapshot of a later version of the program: nothing after it may be applied here."""


class Machine:
    """The same at every agent after the same entry. `kinds`: a kind's version, form and what it does.

    A later version reads what an earlier one wrote; the other way: NotKnownError, and nothing done."""

    def __init__(self) -> None:
        self.seen: OrderedDict[str, deque[int]] = OrderedDict()
        self.digest, self.count = "", 0  # over the order of all that was applied
        self.notes: deque[tuple[int, str]] = deque(maxlen=NOTES_MOST)
        self.kinds: dict[str, tuple[int, Any, Callable[[Entry, Any], None]]] = {"note": (1, Note, self._note)}
        self.parts: dict[str, tuple[Callable[[], bytes], Callable[[bytes], None]]] = {
            "note": (self._save_notes, self._restore_notes)
        }

    def register(
        self,
        kind: str,
        version: int,
        form: Any,
        apply: Callable[[Entry, Any], None],
        save: Callable[[], bytes],
        restore: Callable[[bytes], None],
    ) -> None:
        """A kind of command with a state of its own; before anything is applied or restored."""
        self.kinds[kind] = (version, form, apply)
        self.parts[kind] = (save, restore)

    def _save_notes(self) -> bytes:
        return msgspec.msgpack.encode(list(self.notes))

    def _restore_notes(self, data: bytes) -> None:
        self.notes = deque(msgspec.msgpack.decode(data, type=list[tuple[int, str]]), NOTES_MOST)

    def _note(self, entry: Entry, note: Note) -> None:
        self.notes.append((entry.index, note.text))

    def has(self, id: str) -> bool:
        """Whether a command was applied: a later copy of it does nothing."""
        origin, _, number = id.rpartition("#")
        return origin in self.seen and number.isdecimal() and int(number) in self.seen[origin]

    def apply(self, entry: Entry) -> bool:
        """Whether it did anything: not a copy, and readable. Raises NotKnownError."""
        known = self.kinds.get(entry.kind)
        if entry.kind not in ("", VOTERS) and (known is None or known[0] < entry.version):
            raise NotKnownError(f"entry {entry.index}: {entry.kind} of version {entry.version}")
        origin, _, number = entry.id.rpartition("#")
        if not entry.id or not number.isdecimal() or self.has(entry.id):
            return False
        self.seen.setdefault(origin, deque(maxlen=WINDOW)).append(int(number))
        self.seen.move_to_end(origin)
        if len(self.seen) > ORIGINS_MOST:
            self.seen.popitem(last=False)
        self.count += 1
        self.digest = hashlib.blake2b(f"{self.digest} {entry.id}".encode(), digest_size=12).hexdigest()
        if known is None:
            return entry.kind == VOTERS
        try:
            known[2](entry, msgspec.msgpack.decode(entry.data, type=known[1]))
        except msgspec.MsgspecError:
            return False
        return True

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(
            Saved(
                [(origin, list(seen)) for origin, seen in self.seen.items()],
                self.digest,
                self.count,
                {kind: (self.kinds[kind][0], save()) for kind, (save, _) in self.parts.items()},
            )
        )

    def restore(self, data: bytes) -> None:
        """Raises msgspec.MsgspecError where it is no snapshot; NotKnownError."""
        if not data:
            return
        saved = msgspec.msgpack.decode(data, type=Saved)
        for kind, (version, _) in saved.parts.items():
            if kind not in self.kinds or self.kinds[kind][0] < version:
                raise NotKnownError(f"a snapshot with {kind} of version {version}")
        self.seen = OrderedDict((origin, deque(seen, WINDOW)) for origin, seen in saved.seen)
        self.digest, self.count = saved.digest, saved.count
        for kind, (_, part) in saved.parts.items():
            self.parts[kind][1](part)
