"""Ports for processes that are started later, reserved so that nothing else takes them meanwhile.

They lie below the ephemeral port range of the system. A socket bound to the next port, held until this
process ends, keeps other tests on this machine from choosing the same port.
"""

from __future__ import annotations

import contextlib
import random
import socket

MIN_PORT, MAX_PORT = 12_000, 30_000
_reserved: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Ports of 127.0.0.1 that are free for TCP and for datagrams."""
    rng = random.SystemRandom()
    found = list[int]()
    while len(found) < count:
        port = rng.randrange(MIN_PORT, MAX_PORT, 2)
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", port + 1))
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with contextlib.closing(socket.socket(socket.AF_INET, kind)) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            lock.close()
            continue
        _reserved.append(lock)
        found.append(port)
    return found
