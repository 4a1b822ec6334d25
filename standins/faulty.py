"""Starts the program with a machine's faults around it: `python -m standins.faulty FAULTS ARGUMENT ...`.

FAULTS is JSON: `skew_ms` and `drift` (a share) move the time of day and the monotonic clock; while the file
`full` exists, whatever is appended to a file under the folder `disk` fails with ENOSPC, and adds a line to
that file.
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


def skew(ms: float, drift: float) -> None:
    for name in ("time", "monotonic"):
        real = getattr(time, name)
        began = real()
        moved = ms / 1000.0 if name == "time" else 0.0

        def read(real: Any = real, began: float = began, moved: float = moved) -> float:
            return float(real() + moved + (real() - began) * drift)

        setattr(time, name, read)


def fill(folder: pathlib.Path, flag: pathlib.Path) -> None:
    real = DiskFile.append

    def append(self: DiskFile, data: bytes) -> None:
        here = pathlib.Path(os.readlink(f"/proc/self/fd/{self._descriptor}"))
        if flag.exists() and here.is_relative_to(folder):
            with flag.open("a", encoding="utf-8") as file:
                file.write(f"{len(data)} bytes of {here.name}\n")
            raise OSError(28, "No space left on device")
        real(self, data)

    DiskFile.append = append  # type: ignore[method-assign]


def begin() -> None:
    faults = json.loads(sys.argv[1])
    skew(faults.get("skew_ms", 0.0), faults.get("drift", 0.0))
    if "full" in faults:
        fill(pathlib.Path(faults["disk"]), pathlib.Path(faults["full"]))
    sys.exit(main(sys.argv[2:]))


if __name__ == "__main__":
    begin()
