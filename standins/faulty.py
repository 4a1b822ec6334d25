"""Runs the program with simulated faults of its machine: `python -m standins.faulty FAULTS ARGUMENT ...`.

FAULTS is a JSON object. `skew_ms` sets the time of day ahead, and `drift` (a fraction) makes the time of day
and the monotonic clock run fast. While the file `full` exists, each append to a file in the folder `disk`
fails with ENOSPC and adds a line to `full`.
"""

from __future__ import annotations

import json
import os
import pathlib
import sys
import time
from typing import Any

from frostport.cli import main
from frostport.store.files import DiskFile


def skew_clocks(ms: float, drift: float) -> None:
    """Replaces `time.time` and `time.monotonic`."""
    for name in ("time", "monotonic"):
        real = getattr(time, name)
        started = real()
        offset = ms / 1000.0 if name == "time" else 0.0

        def read(real: Any = real, started: float = started, offset: float = offset) -> float:
            return float(real() + offset + (real() - started) * drift)

        setattr(time, name, read)


def make_disk_fillable(folder: pathlib.Path, flag: pathlib.Path) -> None:
    """Makes appends to files in `folder` fail while `flag` exists."""
    real = DiskFile.append

    def append(self: DiskFile, data: bytes) -> None:
        here = pathlib.Path(os.readlink(f"/proc/self/fd/{self._descriptor}"))
        if flag.exists() and here.is_relative_to(folder):
            with flag.open("a", encoding="utf-8") as file:
                file.write(f"{len(data)} bytes of {here.name}\n")
            raise OSError(28, "No space left on device")
        real(self, data)

    DiskFile.append = append  # type: ignore[method-assign]


def run() -> None:
    """Applies the faults of the first argument, then runs the program with the other ones."""
    faults = json.loads(sys.argv[1])
    skew_clocks(faults.get("skew_ms", 0.0), faults.get("drift", 0.0))
    if "full" in faults:
        make_disk_fillable(pathlib.Path(faults["disk"]), pathlib.Path(faults["full"]))
    sys.exit(main(sys.argv[2:]))


if __name__ == "__main__":
    run()
