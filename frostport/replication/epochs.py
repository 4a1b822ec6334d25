"""Who owns which stream, as the agreed log has it: the same at all agents that have applied the same.

Invariants: an epoch has one owner and at most one successor (R1); epochs of one name only grow (R2); a stream
whose owner has lost its records, or is gone, is kept until a successor has said that it has it (R3).
"""

from __future__ import annotations

import msgspec

from frostport.replication.messages import Done, Own, Succeed, Word


class Stream(msgspec.Struct, array_like=True):
    """`by`: its successor; "": none yet. `over`: its owner writes it no more."""

    owner: str
    epoch: int
    life: int
    over: bool = False
    by: str = ""
    by_life: int = 0


class Epochs:
    """Owns the streams that are written, or wait for a successor to have them."""

    def __init__(self) -> None:
        self.streams: dict[tuple[str, int], Stream] = {}
        self.current: dict[str, int] = {}  # by owner: the epoch that it writes, or wrote last

    def save(self) -> bytes:
        return msgspec.msgpack.encode((list(self.streams.values()), self.current))

    def restore(self, data: bytes) -> None:
        streams, self.current = msgspec.msgpack.decode(data, type=tuple[list[Stream], dict[str, int]])
        self.streams = {(stream.owner, stream.epoch): stream for stream in streams}

    def apply(self, index: int, word: Word) -> None:
        match word:
            case Own(owner, life, continues):
                before = self.streams.get((owner, self.current.get(owner, 0)))
                if before is not None and before.life == life and not before.over:
                    return  # said twice
                if before is not None and not before.over:
                    if continues == before.epoch:
                        del self.streams[owner, before.epoch]  # its records are in the new epoch
                    else:
                        before.over = True  # it has lost them: a successor is needed
                self.current[owner] = index
                self.streams[owner, index] = Stream(owner, index, life)
            case Succeed(owner, epoch, by, life):
                stream = self.streams.get((owner, epoch))
                if stream is not None and not stream.by and by != owner:
                    stream.over, stream.by, stream.by_life = True, by, life
                elif stream is not None and stream.by and self._gone(stream):
                    stream.by, stream.by_life = by, life
            case Done(owner, epoch, by):
                stream = self.streams.get((owner, epoch))
                if stream is not None and stream.by == by:
                    del self.streams[owner, epoch]

    def _gone(self, stream: Stream) -> bool:
        """Whether a successor's process is known to be over before it was done."""
        now = self.streams.get((stream.by, self.current.get(stream.by, 0)))
        return now is None or now.over or now.life != stream.by_life

    def writes(self, owner: str, life: int) -> int:
        """The epoch that this process writes; 0: none."""
        stream = self.streams.get((owner, self.current.get(owner, 0)))
        return stream.epoch if stream is not None and stream.life == life and not stream.over else 0

    def ended(self, owner: str, epoch: int) -> bool:
        """Whether nobody may write this epoch any more."""
        stream = self.streams.get((owner, epoch))
        return epoch < self.current.get(owner, 0) or stream is None or stream.over
