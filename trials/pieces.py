"""Writes lines in two parts each, with a pause between, and keeps their order."""

from __future__ import annotations

import asyncio
from typing import Any

PAUSE_S = 0.01
APART_S = 0.001  # between two lines: timers of one time run in any order


class Pieces:
    """The writer of one connection."""

    def __init__(self) -> None:
        self._free_at = 0.0

    def write(self, transport: Any, line: bytes) -> float:
        """Writes a line after those before it; the seconds until its last byte is written."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        begin = max(now, self._free_at + APART_S)
        self._free_at = begin + PAUSE_S
        half = len(line) // 2
        loop.call_at(begin, self._part, transport, line[:half])
        loop.call_at(self._free_at, self._part, transport, line[half:])
        return self._free_at - now

    @staticmethod
    def _part(transport: Any, data: bytes) -> None:
        if not transport.is_closing():
            transport.write(data)
