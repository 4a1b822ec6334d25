"""Detects without reading that the peer has closed a connection."""

from __future__ import annotations

import select
from typing import Any

CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def closed_by_peer(transport: Any) -> bool:
    """Whether a close or a reset has arrived, even behind bytes that have not been read.

    The reactor notices neither while reading is paused. False if the transport has no descriptor or is
    closed on this side."""
    fileno = getattr(transport, "fileno", None)
    if fileno is None:
        return False
    poll = select.poll()
    try:
        poll.register(fileno(), CLOSE_EVENTS)
        return any(events & CLOSE_EVENTS for _, events in poll.poll(0))
    except (OSError, ValueError):  # closed on this side, as its owner knows
        return False
