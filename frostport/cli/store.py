"""The `store` commands: what is wrong is one line with file and offset, and exit 2."""

from __future__ import annotations

import argparse
import sys

import msgspec
import orjson

from frostport.state import records
from frostport.store import tools
from frostport.store.errors import StoreError


def run(given: argparse.Namespace) -> int:
    try:
        match given.what:
            case "verify":
                print(told(tools.verify(given.folder)))
            case "dump":
                for key, value in tools.dump(given.folder):
                    print(line(key, value))
            case "backup":
                print(told(tools.backup(given.folder, given.target)))
            case "compact":
                before, after = tools.compact(given.folder)
                print(f"{before} bytes before, {after} after")
            case "repair":
                dropped = tools.repair(given.folder)
                print("\n".join(dropped) or "sound: nothing was changed")
    except (StoreError, records.BadRecordError) as problem:
        print(f"frostport: store: {problem}", file=sys.stderr)
        return 2
    except OSError as problem:
        print(f"frostport: store: {problem.filename or given.folder}: {problem.strerror}", file=sys.stderr)
        return 2
    return 0


def told(found: tools.Verified) -> str:
    return (
        f"sound: {found.records} records, {found.live_bytes} bytes live of {found.log_bytes} in "
        f"{found.segments} segments, {found.acknowledged} of {found.sequence} acknowledged, "
        f"{found.torn_bytes} torn"
    )


def line(key: str, value: bytes) -> str:
    """One record as JSON: its key, its kind and its fields; bytes as hexadecimal digits."""
    record = records.decode(key, value)[2]
    fields = {
        name: item.hex() if isinstance(item, bytes) else item
        for name, item in msgspec.structs.asdict(record).items()
    }
    return orjson.dumps({"key": key, "kind": type(record).__name__, **fields}).decode()
