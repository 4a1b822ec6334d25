"""Whether the other side of a connection has closed its end, asked of the system without reading anything."""

from __future__ import annotations

import select
from typing import Any

CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def closed_by_peer(transport: Any) -> bool:
    """Whether a close or a reset has arrived, also behind bytes that nobody has read yet.

    The reactor hears of neither while reading is paused. False where the transport has no descriptor, or
    the system does not tell."""
    fileno = getattr(transport, "fileno", None)
    if fileno is None:
        return False
    poll = select.poll()
    try:
        poll.register(fileno(), CLOSE_EVENTS)
        return any(events & CLOSE_EVENTS for _, events in poll.poll(0))
    except (OSError, ValueError):  # closed on our side: its owner has been told
        return False
