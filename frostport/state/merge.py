"""Merges two copies of the records: those of the predecessor, and those that its successor has written.

If both have a record for a call, `Over` wins over `Standing`, and `Standing` over `Open`. A final answer is
never replaced by another: of two `Over` records the one with an answer wins, and of two answers the earlier.
Of two budgets of a team the one with fewer tokens wins, of all other records the newer. A release or an end
of call that is pending according to either copy remains pending.
"""

from __future__ import annotations

from collections.abc import Mapping

from frostport.state import records
from frostport.state.records import Bucket, Open, Over, Record, Standing

STATE_RANK = {Open: 0, Standing: 1, Over: 2}


def preferred(one: Record, other: Record) -> Record:
    """Returns the one of two records of a key that is kept; associative, commutative and idempotent."""
    match one, other:
        case ((Open() | Standing() | Over()), (Open() | Standing() | Over())):
            if STATE_RANK[type(one)] != STATE_RANK[type(other)]:
                return max(one, other, key=lambda record: STATE_RANK[type(record)])
            if isinstance(one, Over) and isinstance(other, Over):
                return min(
                    one,
                    other,
                    key=lambda record: (record.answer == "gone", record.at, records.encode(record)),
                )
        case Bucket(), Bucket():
            return min(one, other, key=lambda record: (record.tokens, -record.at))
    return max(one, other, key=lambda record: (record.at, records.encode(record)))


def changes(main: Mapping[str, bytes], later: Mapping[str, bytes]) -> list[tuple[str, bytes | None]]:
    """Returns the changes to `main` that merge `later` into it. Raises BadRecordError."""
    needed: list[tuple[str, bytes | None]] = []
    for key, value in later.items():
        current = main.get(key)
        if current is None:
            needed.append((key, value))
        elif current != value:
            kept = records.encode(preferred(records.decode(key, current)[2], records.decode(key, value)[2]))
            if kept != current:
                needed.append((key, kept))
    return needed
