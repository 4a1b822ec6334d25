"""The owner's side: a stream with one writer and one order, followed by its holders. Pure logic, without
I/O.

Every method takes the time in ms and appends messages to `out`, as (receiver, message). A holder catches
up in a round: the owner sends its digests, then the ranges that differ, then a digest to verify. From then
on it follows by batches, which it acknowledges by number; unacknowledged batches are sent again. Invariant
R4: a holder counts only once it has reported its copy as verified.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from frostport.replication.messages import (
    Ack,
    Append,
    Batch,
    Digests,
    Message,
    RangePart,
    RangesWanted,
    Refused,
    Verify,
)
from frostport.replication.reconciliation import DigestTable
from frostport.replication.settings import RESEND_INTERVAL_MS, VERIFY_INTERVAL_MS, Settings

Out = list[tuple[str, Message]]


class Phase(Enum):
    """How far a holder has caught up."""

    NEW = "new"  # the digests were sent to it
    TRANSFER = "pieces"  # ranges that differ are being sent
    VERIFICATION = "check"  # it has all ranges; verification is pending
    VERIFIED = "whole"


@dataclass(slots=True)
class HolderState:
    """The owner's view of one holder."""

    phase: Phase = Phase.NEW
    round: int = 0
    round_base: int = 0  # last batch when the round started
    acked: int = 0
    sent: int = 0
    last_received_at_ms: float = 0.0
    sent_at_ms: float = -math.inf
    pending_ranges: deque[int] = field(default_factory=deque)
    pending_entries: list[tuple[str, bytes]] = field(default_factory=list)  # entries of the range being sent
    next_part: int = 0
    verify_sent_at_ms: float = 0.0
    range_batch: int = 0  # last batch when the range being sent was read
    tokens: float = 0.0  # of the token bucket that limits parts
    tokens_updated_at_ms: float = 0.0


class Stream:
    """The stream of one process in one epoch."""

    def __init__(
        self, owner: str, epoch: int, settings: Settings, records: Iterable[tuple[str, bytes]]
    ) -> None:
        """`records`: the initial records, from disk."""
        self.owner = owner
        self.epoch = epoch
        self.settings = settings
        self.table = DigestTable()
        self.batch_number = 0
        for key, value in records:
            self.table.put(key, 0, value)
        self.retained: deque[tuple[int, Batch]] = deque()
        self.holders: dict[str, HolderState] = {}
        self.ended = False  # reported by a holder or the agreed log

    # Writing

    def write(self, batch: Batch, now_ms: float, out: Out) -> int:
        """Appends a batch; returns its number, under which holders acknowledge it."""
        self.batch_number += 1
        for key, value in batch:
            self.table.put(key, self.batch_number, value)
        self.retained.append((self.batch_number, batch))
        while len(self.retained) > self.settings.retained_batches:
            self.retained.popleft()
        for name, holder in self.holders.items():
            self._send_batches(name, holder, now_ms, out)
        return self.batch_number

    def confirmed(self) -> int:
        """Returns the last batch that the required number of holders has acknowledged; if that number is
        0, the last batch written."""
        if self.settings.required_acks <= 0:
            return self.batch_number
        acked = sorted(
            (holder.acked for holder in self.holders.values() if holder.phase is Phase.VERIFIED), reverse=True
        )
        return acked[self.settings.required_acks - 1] if len(acked) >= self.settings.required_acks else 0

    def set_holders(self, names: Iterable[str], now_ms: float, out: Out) -> None:
        """Replaces the holders. One that is no longer wanted stays until all wanted ones are verified, if
        it is verified itself."""
        holder_names = set(names)
        for name in sorted(holder_names - self.holders.keys()):
            self.holders[name] = HolderState()
            self._start_round(name, self.holders[name], now_ms, out)
        verified = sum(self.holders[name].phase is Phase.VERIFIED for name in holder_names)
        for name in sorted(self.holders.keys() - holder_names):
            if verified >= len(holder_names) or self.holders[name].phase is not Phase.VERIFIED:
                del self.holders[name]

    def _start_round(self, name: str, holder: HolderState, now_ms: float, out: Out) -> None:
        holder.phase = Phase.NEW
        holder.acked = 0
        holder.sent = self.batch_number
        holder.round_base = self.batch_number
        holder.round += 1
        holder.pending_ranges.clear()
        holder.pending_entries.clear()
        holder.sent_at_ms = now_ms
        out.append(
            (name, Digests(self.owner, self.epoch, self.batch_number, self.table.leaf_bytes(), holder.round))
        )

    def _send_batches(self, name: str, holder: HolderState, now_ms: float, out: Out) -> None:
        """Sends batches not yet sent, as far as the window allows."""
        first = holder.sent + 1
        if not self.retained or first > self.batch_number:
            return
        oldest = self.retained[0][0]
        if first < oldest:
            self._start_round(name, holder, now_ms, out)
            return
        last = min(self.batch_number, max(holder.acked, holder.round_base) + self.settings.window_batches)
        batches = tuple(self.retained[number - oldest][1] for number in range(first, last + 1))
        if batches:
            holder.sent = last
            holder.sent_at_ms = now_ms
            out.append((name, Append(self.owner, self.epoch, first, batches)))

    # Messages of holders

    def handle(self, sender: str, message: Message, now_ms: float, out: Out) -> None:
        """Handles a message of a holder."""
        holder = self.holders.get(sender)
        if holder is None or self.ended:
            return
        match message:
            case Refused():
                self.ended = True
            case RangesWanted(_, _, batch_number, range_numbers, round_number) if (
                holder.phase is Phase.NEW and round_number == holder.round
            ):
                holder.last_received_at_ms = now_ms
                holder.acked = max(holder.acked, batch_number)
                holder.pending_ranges.extend(
                    range_number for range_number in range_numbers if 0 <= range_number < 256
                )
                holder.phase = Phase.TRANSFER
                holder.tokens_updated_at_ms = now_ms
                self._send_parts(sender, holder, now_ms, out)
            case Ack(_, _, batch_number, verified, complete, round_number) if (
                round_number == holder.round or (round_number == 0 and verified)
            ):
                holder.last_received_at_ms = now_ms
                if batch_number > self.batch_number:
                    # The holder has batches that this process never wrote.
                    self._start_round(sender, holder, now_ms, out)
                    return
                holder.acked = max(holder.acked, batch_number)
                if verified:
                    holder.phase = Phase.VERIFIED
                elif (
                    complete
                    and holder.phase is Phase.TRANSFER
                    and not holder.pending_ranges
                    and not holder.pending_entries
                ):
                    holder.phase = Phase.VERIFICATION
                    self._send_verify(sender, holder, now_ms, out)
                self._send_batches(sender, holder, now_ms, out)
            case Digests() if message.round == holder.round or (
                message.round == 0 and holder.phase is not Phase.NEW
            ):
                # The holder asks for a new round: its copy differs, or its process was restarted.
                self._start_round(sender, holder, now_ms, out)

    def _send_verify(self, name: str, holder: HolderState, now_ms: float, out: Out) -> None:
        """Sends the digest to verify behind all batches, so that the holder compares it at the same batch."""
        self._send_batches(name, holder, now_ms, out)
        if holder.sent == self.batch_number:
            holder.sent_at_ms = now_ms
            out.append(
                (name, Verify(self.owner, self.epoch, self.batch_number, self.table.root(), holder.round))
            )

    def _send_parts(self, name: str, holder: HolderState, now_ms: float, out: Out) -> None:
        """Sends parts of the missing ranges, within the rate limit and in bursts of at most four."""
        settings = self.settings
        holder.tokens = min(
            4.0, holder.tokens + (now_ms - holder.tokens_updated_at_ms) * settings.parts_per_second / 1000.0
        )
        holder.tokens_updated_at_ms = now_ms
        while holder.pending_ranges and holder.tokens >= 1.0:
            if not holder.pending_entries:
                # The whole range is read now. Later changes in it follow as batches, which take
                # precedence by their higher numbers.
                holder.pending_entries = [
                    (key, self.table.entries[key][1])
                    for key in sorted(self.table.keys_by_range[holder.pending_ranges[0]])
                ]
                holder.next_part = 0
                holder.range_batch = self.batch_number
                self._send_batches(name, holder, now_ms, out)
            size = 0
            entries = []
            while holder.pending_entries and size < settings.part_bytes:
                key, value = holder.pending_entries.pop()
                size += len(key) + len(value)
                entries.append((key, value))
            holder.tokens -= 1.0
            last = not holder.pending_entries
            out.append(
                (
                    name,
                    RangePart(
                        self.owner,
                        self.epoch,
                        holder.range_batch,
                        holder.pending_ranges[0],
                        holder.next_part,
                        tuple(entries),
                        last,
                        holder.round,
                    ),
                )
            )
            holder.next_part += 1
            holder.sent_at_ms = now_ms
            if last:
                holder.pending_ranges.popleft()

    def tick(self, now_ms: float, out: Out) -> None:
        """Resends what is overdue and verifies copies periodically; called regularly."""
        for name, holder in self.holders.items():
            if holder.phase is Phase.TRANSFER and holder.pending_ranges:
                self._send_parts(name, holder, now_ms, out)
            elif now_ms - max(holder.sent_at_ms, holder.last_received_at_ms) < RESEND_INTERVAL_MS:
                continue
            elif holder.phase is Phase.VERIFICATION and holder.sent == self.batch_number:
                self._send_verify(name, holder, now_ms, out)
            elif holder.phase is not Phase.VERIFIED:
                self._start_round(name, holder, now_ms, out)
            elif holder.acked < self.batch_number:
                holder.sent = holder.acked  # resend from the last acknowledged batch
                self._send_batches(name, holder, now_ms, out)
            elif now_ms - holder.verify_sent_at_ms >= VERIFY_INTERVAL_MS:
                # Guards against undetected loss or corruption on a holder's disk.
                holder.verify_sent_at_ms = now_ms
                self._send_verify(name, holder, now_ms, out)
