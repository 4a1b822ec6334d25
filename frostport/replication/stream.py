"""An owner's side: one writer, one order, holders that follow. Decisions only.

Every method takes the time in ms and appends what is to be said to `out`, as (to, message). A holder is
caught up by digests, pieces and a check, and followed by numbers that it confirms; what it does not confirm
is sent again from there. Invariant R4: a holder counts only once it has said that it is whole.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from frostport.replication.copies import Table
from frostport.replication.messages import Ack, Append, Batch, Check, Digests, Message, Piece, Refused, Wants
from frostport.replication.settings import RESEND_MS, VERIFY_MS, Settings

Out = list[tuple[str, Message]]


class Phase(Enum):
    """How far a holder is."""

    NEW = "new"  # it was told our digests
    PIECES = "pieces"  # it is sent what differs
    CHECK = "check"  # it has all, to be verified
    WHOLE = "whole"


@dataclass(slots=True)
class Following:
    """What the owner knows of one holder."""

    phase: Phase = Phase.NEW
    round: int = 0
    base: int = 0  # the batch that the round began after
    acked: int = 0
    sent: int = 0
    heard_at: float = 0.0
    said_at: float = -math.inf
    ranges: deque[int] = field(default_factory=deque)  # to be sent
    part: list[tuple[str, bytes]] = field(default_factory=list)  # of the range under way, still to be sent
    parts: int = 0
    checked_at: float = 0.0
    at: int = 0  # the batch after which the range under way was read
    pieces: float = 0.0  # tokens
    pieces_at: float = 0.0


class Stream:
    """The stream of one process in one epoch."""

    def __init__(
        self, owner: str, epoch: int, settings: Settings, records: Iterable[tuple[str, bytes]]
    ) -> None:
        """`records`: what it begins with, from its disk."""
        self.owner, self.epoch, self.settings = owner, epoch, settings
        self.table, self.number = Table(), 0
        for key, value in records:
            self.table.put(key, 0, value)
        self.tail: deque[tuple[int, Batch]] = deque()
        self.holders: dict[str, Following] = {}
        self.over = False  # a holder has said so, or the agreed log

    # What is written

    def write(self, batch: Batch, now: float, out: Out) -> int:
        """The number under which holders confirm it."""
        self.number += 1
        for key, value in batch:
            self.table.put(key, self.number, value)
        self.tail.append((self.number, batch))
        while len(self.tail) > self.settings.tail_batches:
            self.tail.popleft()
        for name, holder in self.holders.items():
            self._send(name, holder, now, out)
        return self.number

    def settled(self) -> int:
        """The last batch that as many holders have as are asked for; with 0 of them all are."""
        if self.settings.acks <= 0:
            return self.number
        acked = sorted(
            (holder.acked for holder in self.holders.values() if holder.phase is Phase.WHOLE), reverse=True
        )
        return acked[self.settings.acks - 1] if len(acked) >= self.settings.acks else 0

    def follow(self, names: Iterable[str], now: float, out: Out) -> None:
        """These are the holders from now on. One that is left out stays until as many others are whole."""
        wanted = set(names)
        for name in sorted(wanted - self.holders.keys()):
            self.holders[name] = Following()
            self._begin(name, self.holders[name], now, out)
        whole = sum(self.holders[name].phase is Phase.WHOLE for name in wanted)
        for name in sorted(self.holders.keys() - wanted):
            if whole >= len(wanted) or self.holders[name].phase is not Phase.WHOLE:
                del self.holders[name]

    def _begin(self, name: str, holder: Following, now: float, out: Out) -> None:
        holder.phase, holder.acked, holder.sent, holder.base = Phase.NEW, 0, self.number, self.number
        holder.round += 1
        holder.ranges.clear()
        holder.part.clear()
        holder.said_at = now
        out.append(
            (name, Digests(self.owner, self.epoch, self.number, self.table.leaf_bytes(), holder.round))
        )

    def _send(self, name: str, holder: Following, now: float, out: Out) -> None:
        """What the window allows of what it has not been sent."""
        first = holder.sent + 1
        if not self.tail or first > self.number:
            return
        oldest = self.tail[0][0]
        if first < oldest:
            self._begin(name, holder, now, out)
            return
        last = min(self.number, max(holder.acked, holder.base) + self.settings.window)
        batches = tuple(self.tail[number - oldest][1] for number in range(first, last + 1))
        if batches:
            holder.sent, holder.said_at = last, now
            out.append((name, Append(self.owner, self.epoch, first, batches)))

    # What holders say

    def heard(self, sender: str, message: Message, now: float, out: Out) -> None:
        holder = self.holders.get(sender)
        if holder is None or self.over:
            return
        match message:
            case Refused():
                self.over = True
            case Wants(_, _, at, ranges, number) if holder.phase is Phase.NEW and number == holder.round:
                holder.heard_at, holder.acked = now, max(holder.acked, at)
                holder.ranges.extend(each for each in ranges if 0 <= each < 256)
                holder.phase, holder.pieces_at = Phase.PIECES, now
                self._pieces(sender, holder, now, out)
            case Ack(_, _, at, whole, has, number) if number == holder.round or (number == 0 and whole):
                holder.heard_at = now
                if at > self.number:
                    self._begin(sender, holder, now, out)  # it has what we never wrote in this life
                    return
                holder.acked = max(holder.acked, at)
                if whole:
                    holder.phase = Phase.WHOLE
                elif has and holder.phase is Phase.PIECES and not holder.ranges and not holder.part:
                    holder.phase = Phase.CHECK
                    self._check(sender, holder, now, out)
                self._send(sender, holder, now, out)
            case Digests() if message.round == holder.round or (
                message.round == 0 and holder.phase is not Phase.NEW
            ):
                # It asks for a new round: its copy differs, or its process is another.
                self._begin(sender, holder, now, out)

    def _check(self, name: str, holder: Following, now: float, out: Out) -> None:
        """Behind all that was written: the holder is there when it reads this."""
        self._send(name, holder, now, out)
        if holder.sent == self.number:
            holder.said_at = now
            out.append((name, Check(self.owner, self.epoch, self.number, self.table.root(), holder.round)))

    def _pieces(self, name: str, holder: Following, now: float, out: Out) -> None:
        at = self.settings
        holder.pieces = min(4.0, holder.pieces + (now - holder.pieces_at) * at.pieces_a_second / 1000.0)
        holder.pieces_at = now
        while holder.ranges and holder.pieces >= 1.0:
            if not holder.part:
                # One range is read at once: what changes in it later comes behind it, by its number.
                holder.part = [
                    (key, self.table.entries[key][1]) for key in sorted(self.table.ranges[holder.ranges[0]])
                ]
                holder.parts, holder.at = 0, self.number
                self._send(name, holder, now, out)
            size, entries = 0, []
            while holder.part and size < at.piece_bytes:
                key, value = holder.part.pop()
                size += len(key) + len(value)
                entries.append((key, value))
            holder.pieces -= 1.0
            last = not holder.part
            out.append(
                (
                    name,
                    Piece(
                        self.owner,
                        self.epoch,
                        holder.at,
                        holder.ranges[0],
                        holder.parts,
                        tuple(entries),
                        last,
                        holder.round,
                    ),
                )
            )
            holder.parts += 1
            holder.said_at = now
            if last:
                holder.ranges.popleft()

    def tick(self, now: float, out: Out) -> None:
        for name, holder in self.holders.items():
            if holder.phase is Phase.PIECES and holder.ranges:
                self._pieces(name, holder, now, out)
            elif now - max(holder.said_at, holder.heard_at) < RESEND_MS:
                continue
            elif holder.phase is Phase.CHECK and holder.sent == self.number:
                self._check(name, holder, now, out)
            elif holder.phase is not Phase.WHOLE:
                self._begin(name, holder, now, out)
            elif holder.acked < self.number:
                holder.sent = holder.acked  # go back
                self._send(name, holder, now, out)
            elif now - holder.checked_at >= VERIFY_MS:
                # Guards against a holder that has lost its disk, or a byte of it, and is asked nothing.
                holder.checked_at = now
                self._check(name, holder, now, out)
