"""What is passed on with the probes: each word so often, the least often sent first (SWIM, 4.1)."""

from __future__ import annotations

import msgspec

from frostport.membership.messages import Update


class Rumours:
    """One word a member: a newer one takes the place of the older."""

    def __init__(self) -> None:
        self._sent: dict[str, tuple[int, Update]] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def add(self, update: Update) -> None:
        self._sent[update.name] = (0, update)

    def take(self, room: int, most: int, first: Update | None = None) -> tuple[Update, ...]:
        """Words that fit into so many bytes, `first` before all; those sent `most` times are dropped."""
        taken: list[Update] = []
        if first is not None and size(first) <= room:
            taken.append(first)
            room -= size(first)
        for count, update in sorted(self._sent.values(), key=lambda entry: (entry[0], entry[1].name)):
            if first is not None and update.name == first.name:
                continue
            if (needed := size(update)) > room:
                if room < SMALLEST:
                    break
                continue
            room -= needed
            taken.append(update)
            if count + 1 >= most:
                del self._sent[update.name]
            else:
                self._sent[update.name] = (count + 1, update)
        return tuple(taken)


SMALLEST = 16  # bytes: with less room than this no word fits


def size(update: Update) -> int:
    return len(_encoder.encode(update))


_encoder = msgspec.msgpack.Encoder()
