"""The rule for two copies that differ: the old process's records and those its successor made meanwhile.

Within a call `over` beats `standing` beats `open`; a final answer given is never replaced by another: of two
that are over, the one with an answer, and of two answers the earlier. Of a team's budget the fewer tokens, of
all else the newer. What is owed to either is owed.
"""

from __future__ import annotations

from collections.abc import Mapping

from frostport.state import records
from frostport.state.records import Bucket, Bus, Open, Over, Record, Standing

RANK = {Open: 0, Standing: 1, Over: 2}


def better(one: Record, other: Record) -> Record:
    """Which of two records of one key counts."""
    match one, other:
        case ((Open() | Standing() | Over()), (Open() | Standing() | Over())):
            if RANK[type(one)] != RANK[type(other)]:
                return max(one, other, key=lambda record: RANK[type(record)])
            if isinstance(one, Over) and isinstance(other, Over):
                return min(
                    one,
                    other,
                    key=lambda record: (record.answer == "gone", record.at, records.encode(record)),
                )
        case Bucket(), Bucket():
            return min(one, other, key=lambda record: (record.tokens, -record.at))
        case Bus(), Bus():
            return max(one, other, key=lambda record: (record.offset, record.version, record.at))
    return max(one, other, key=lambda record: (record.at, records.encode(record)))


def changes(main: Mapping[str, bytes], later: Mapping[str, bytes]) -> list[tuple[str, bytes | None]]:
    """What has to be written to `main` so that it holds both. Raises BadRecordError."""
    found: list[tuple[str, bytes | None]] = []
    for key, value in later.items():
        mine = main.get(key)
        if mine is None:
            found.append((key, value))
        elif mine != value:
            kept = records.encode(better(records.decode(key, mine)[2], records.decode(key, value)[2]))
            if kept != mine:
                found.append((key, kept))
    return found
