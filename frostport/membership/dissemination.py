"""SWIM's dissemination component: updates that are piggybacked on other messages (SWIM, section 4.1)."""

from __future__ import annotations

import msgspec

from frostport.membership.messages import Update


class UpdateBuffer:
    """Updates still to be disseminated: the latest of each member, each sent a limited number of times."""

    def __init__(self) -> None:
        self._sent: dict[str, tuple[int, Update]] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def add(self, update: Update) -> None:
        """Adds an update; it replaces an older one of the same member."""
        self._sent[update.name] = (0, update)

    def take(self, room: int, max_sends: int, first: Update | None = None) -> tuple[Update, ...]:
        """Updates for one message that fit into `room` bytes, `first` first, then the least often sent.

        Counts them as sent, and drops those that have been sent `max_sends` times."""
        taken: list[Update] = []
        if first is not None and encoded_size(first) <= room:
            taken.append(first)
            room -= encoded_size(first)
        for count, update in sorted(self._sent.values(), key=lambda entry: (entry[0], entry[1].name)):
            if first is not None and update.name == first.name:
                continue
            if (needed := encoded_size(update)) > room:
                if room < MIN_UPDATE_BYTES:
                    break
                continue
            room -= needed
            taken.append(update)
            if count + 1 >= max_sends:
                del self._sent[update.name]
            else:
                self._sent[update.name] = (count + 1, update)
        return tuple(taken)


MIN_UPDATE_BYTES = 16  # no update fits into fewer bytes


def encoded_size(update: Update) -> int:
    """Bytes that the update takes in a datagram."""
    return len(_encoder.encode(update))


_encoder = msgspec.msgpack.Encoder()
