"""The `store` sub-commands.

An error is reported as one line on standard error, with file and offset, and exit status 2.
"""

from __future__ import annotations

import argparse
import sys

import msgspec
import orjson

from frostport.state import records
from frostport.store import tools
from frostport.store.errors import StoreError


def run(arguments: argparse.Namespace) -> int:
    """Runs the chosen sub-command; returns the exit status."""
    try:
        match arguments.what:
            case "verify":
                print(format_summary(tools.verify(arguments.folder)))
            case "dump":
                for key, value in tools.dump(arguments.folder):
                    print(format_record(key, value))
            case "backup":
                print(format_summary(tools.backup(arguments.folder, arguments.target)))
            case "compact":
                before, after = tools.compact(arguments.folder)
                print(f"{before} bytes before, {after} after")
            case "repair":
                dropped = tools.repair(arguments.folder)
                print("\n".join(dropped) or "sound: nothing was changed")
    except (StoreError, records.BadRecordError) as problem:
        print(f"frostport: store: {problem}", file=sys.stderr)
        return 2
    except OSError as problem:
        print(
            f"frostport: store: {problem.filename or arguments.folder}: {problem.strerror}", file=sys.stderr
        )
        return 2
    return 0


def format_summary(found: tools.VerifyResult) -> str:
    """Formats the summary of a sound store as one line."""
    return (
        f"sound: {found.records} records, {found.live_bytes} bytes live of {found.log_bytes} in "
        f"{found.segments} segments, {found.acknowledged} of {found.sequence} acknowledged, "
        f"{found.torn_bytes} torn"
    )


def format_record(key: str, value: bytes) -> str:
    """Formats one record as JSON: its key, its kind and its fields, with bytes as hexadecimal digits."""
    record = records.decode(key, value)[2]
    fields = {
        name: item.hex() if isinstance(item, bytes) else item
        for name, item in msgspec.structs.asdict(record).items()
    }
    return orjson.dumps({"key": key, "kind": type(record).__name__, **fields}).decode()
