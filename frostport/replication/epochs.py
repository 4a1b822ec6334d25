"""Ownership of streams, as a state machine of the agreed log: identical at all agents that have applied
the same commands.

Invariants: an epoch has one owner and at most one successor (R1); the epochs of an owner only increase
(R2); a stream whose owner is gone or has lost its records is kept until a successor has confirmed that it
has them (R3).
"""

from __future__ import annotations

import msgspec

from frostport.replication.messages import Command, Own, Succeed, TakeoverDone


class StreamRecord(msgspec.Struct, array_like=True):
    """One epoch of an owner. `ended`: the owner no longer writes it. `successor`: empty while there is
    none. The incarnations are those of the owner's and the successor's processes."""

    owner: str
    epoch: int
    incarnation: int
    ended: bool = False
    successor: str = ""
    successor_incarnation: int = 0


class Epochs:
    """Owns the streams that are being written or wait for a successor to take them over."""

    def __init__(self) -> None:
        self.streams: dict[tuple[str, int], StreamRecord] = {}
        self.current_epochs: dict[str, int] = {}  # by owner: the epoch that it writes, or wrote last

    def save(self) -> bytes:
        """Returns the state as a snapshot."""
        return msgspec.msgpack.encode((list(self.streams.values()), self.current_epochs))

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        streams, self.current_epochs = msgspec.msgpack.decode(
            data, type=tuple[list[StreamRecord], dict[str, int]]
        )
        self.streams = {(stream.owner, stream.epoch): stream for stream in streams}

    def apply(self, index: int, command: Command) -> None:
        """Applies a command; `index` is its index in the agreed log and becomes the epoch of a new stream."""
        match command:
            case Own(owner, incarnation, continued_epoch):
                previous = self.streams.get((owner, self.current_epochs.get(owner, 0)))
                if previous is not None and previous.incarnation == incarnation and not previous.ended:
                    return  # a repeated command
                if previous is not None and not previous.ended:
                    if continued_epoch == previous.epoch:
                        del self.streams[owner, previous.epoch]  # the new epoch has its records
                    else:
                        previous.ended = True  # the owner has lost them: a successor is needed
                self.current_epochs[owner] = index
                self.streams[owner, index] = StreamRecord(owner, index, incarnation)
            case Succeed(owner, epoch, successor, incarnation):
                stream = self.streams.get((owner, epoch))
                if stream is not None and not stream.successor and successor != owner:
                    stream.ended = True
                    stream.successor = successor
                    stream.successor_incarnation = incarnation
                elif stream is not None and stream.successor and self._successor_gone(stream):
                    stream.successor = successor
                    stream.successor_incarnation = incarnation
            case TakeoverDone(owner, epoch, successor):
                stream = self.streams.get((owner, epoch))
                if stream is not None and stream.successor == successor:
                    del self.streams[owner, epoch]

    def _successor_gone(self, stream: StreamRecord) -> bool:
        """Returns whether the successor's process is known to have ended before it completed the takeover."""
        current = self.streams.get((stream.successor, self.current_epochs.get(stream.successor, 0)))
        return current is None or current.ended or current.incarnation != stream.successor_incarnation

    def writable_epoch(self, owner: str, incarnation: int) -> int:
        """Returns the epoch that this process may write; 0 if there is none."""
        stream = self.streams.get((owner, self.current_epochs.get(owner, 0)))
        return (
            stream.epoch
            if stream is not None and stream.incarnation == incarnation and not stream.ended
            else 0
        )

    def has_ended(self, owner: str, epoch: int) -> bool:
        """Returns whether this epoch may no longer be written."""
        stream = self.streams.get((owner, epoch))
        return epoch < self.current_epochs.get(owner, 0) or stream is None or stream.ended
