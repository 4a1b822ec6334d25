"""Writes each line in two parts with a pause between them, to test that a reader joins partial lines."""

from __future__ import annotations

import asyncio
from typing import Any

SPLIT_DELAY_S = 0.01  # between the two parts of a line
LINE_GAP_S = 0.001  # between two lines, since timers for the same time run in any order


class SplitWriter:
    """The writer of one connection; it keeps the order of the lines."""

    def __init__(self) -> None:
        self._free_at = 0.0

    def write(self, transport: Any, line: bytes) -> float:
        """Writes a line after all earlier ones; returns the seconds until its last byte is written."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        begin = max(now, self._free_at + LINE_GAP_S)
        self._free_at = begin + SPLIT_DELAY_S
        half = len(line) // 2
        loop.call_at(begin, self._write_part, transport, line[:half])
        loop.call_at(self._free_at, self._write_part, transport, line[half:])
        return self._free_at - now

    @staticmethod
    def _write_part(transport: Any, data: bytes) -> None:
        if not transport.is_closing():
            transport.write(data)
